// Package configcheck checks a decoded configuration of entry hosts beyond what its decoder refuses: entries
// that can never match, limits that contradict each other, and what changes from the version in force. Hosts
// log what it finds when a configuration comes into force; the command line reports it before the
// configuration is sent. It does no I/O.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// Level says how serious a finding is.
type Level string

// The levels of findings.
const (
	// Error: an entry cannot do what it is there for.
	Error Level = "error"
	// Warning: an entry does something, probably not what was meant.
	Warning Level = "warning"
)

// Finding is one problem of a configuration. Field names a value of fleet.Config such as "routes[2].prefix".
type Finding struct {
	Level   Level  `json:"level"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Context is what is known of the deployment that the configuration is for.
type Context struct {
	// Workers is the number of workers by service that take tasks; nil: not known.
	Workers map[string]int
	// MemoryMB is the memory of an entry host in MiB; 0: not known.
	MemoryMB int64
}

const (
	// BodyMemoryFactor is the memory that a request takes in multiples of its body: the text and the job
	// decoded from it.
	BodyMemoryFactor = 2
	// DefaultMemoryShare is the share of a host's memory that requests of callers may use, unless its
	// settings say otherwise.
	DefaultMemoryShare = 0.2
	// minBodiesAtOnce is the number of requests that a host has to be able to read at the same time.
	minBodiesAtOnce = 16
	// minBodyBytes has room for the longest payload of a job, 4,000 bytes, and its other fields.
	minBodyBytes = 4500
	// maxHeaderTimeoutFactor is how many times longer than the shortest timeout of a route a header may take.
	maxHeaderTimeoutFactor = 10
)

// checker collects the findings of one configuration.
type checker struct {
	config   *fleet.Config
	context  Context
	findings []Finding
}

// Check returns the findings of a configuration, in the order of its entries.
func Check(c *fleet.Config, context Context) []Finding {
	k := &checker{config: c, context: context}
	k.checkNames()
	k.checkPaths()
	for i, r := range c.Routes {
		k.checkService(i, r)
		k.checkTimes(i, r)
	}
	k.checkServices()
	k.checkLimits()
	if len(c.Routes) == 0 {
		k.warn("routes", "there are no routes: every request is answered 404")
	}
	slices.SortStableFunc(k.findings, func(a, b Finding) int { return compareFields(a.Field, b.Field) })
	return k.findings
}

// sections are the parts of a configuration in the order in which findings are listed.
var sections = []string{"routes", "services", "limits"}

// compareFields orders fields by section and entry.
func compareFields(a, b string) int {
	sectionA, indexA := parseField(a)
	sectionB, indexB := parseField(b)
	return cmp.Or(cmp.Compare(sectionA, sectionB), cmp.Compare(indexA, indexB))
}

// parseField returns the number of a field's section and of the entry in it, 0 for a field of no entry.
func parseField(field string) (section, index int) {
	end := strings.IndexAny(field+".", ".[")
	if strings.HasPrefix(field[end:], "[") {
		_, _ = fmt.Sscanf(field[end:], "[%d]", &index) // fields of entries have a number
	}
	return slices.Index(sections, field[:end]), index
}

func (k *checker) add(level Level, field, format string, args ...any) {
	k.findings = append(k.findings, Finding{Level: level, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) fail(field, format string, args ...any) { k.add(Error, field, format, args...) }
func (k *checker) warn(field, format string, args ...any) { k.add(Warning, field, format, args...) }

func routeField(i int, name string) string   { return fmt.Sprintf("routes[%d].%s", i, name) }
func serviceField(i int, name string) string { return fmt.Sprintf("services[%d].%s", i, name) }

// checkNames reports empty names and names that are used twice.
func (k *checker) checkNames() {
	routes := make(map[string]int)
	for i, r := range k.config.Routes {
		k.checkName(routes, r.Name, i, "route", routeField)
	}
	services := make(map[string]int)
	for i, s := range k.config.Services {
		k.checkName(services, s.Name, i, "service", serviceField)
	}
}

// checkName reports an empty or repeated name of entry i. field returns the field of an entry: most names are sound,
// and to format the fields of thousands of routes takes long on a small host.
func (k *checker) checkName(seen map[string]int, name string, i int, kind string, field func(i int, name string) string) {
	first, twice := seen[name]
	switch {
	case name == "":
		k.fail(field(i, "name"), "the %s has no name", kind)
	case twice:
		k.fail(field(i, "name"), "%s %d has the name %q too", kind, first, name)
	default:
		seen[name] = i
	}
}

// checkPaths reports routes that no request reaches.
func (k *checker) checkPaths() {
	first := make(map[string]int)
	for i, r := range k.config.Routes {
		k.checkHost(i, r.Host)
		switch {
		case !strings.HasPrefix(r.Prefix, "/"):
			k.fail(routeField(i, "prefix"), "%q does not begin with a slash, so no path matches it", r.Prefix)
		case strings.ContainsAny(r.Prefix, "?#%"):
			k.warn(routeField(i, "prefix"), "%q is compared with decoded paths, so only paths that encode ?, # or %% match it", r.Prefix)
		case !strings.HasSuffix(r.Prefix, "/"):
			k.warn(routeField(i, "prefix"), "%q does not end with a slash, so it also matches paths such as %q", r.Prefix, r.Prefix+"-other/")
		}
		path := r.Host + " " + r.Prefix
		if j, hidden := first[path]; hidden {
			k.fail(routeField(i, "prefix"), "no request reaches the route: route %d (%s) has the same host and prefix", j, k.config.Routes[j].Name)
			continue
		}
		first[path] = i
	}
}

// hostCharacters are the characters of host names beside letters and digits.
const hostCharacters = "-._"

// checkHost reports a host that no Host header equals. Hosts compare the header in lower case and without
// its port.
func (k *checker) checkHost(i int, host string) {
	invalid := strings.IndexFunc(host, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < '0' || c > '9') && !strings.ContainsRune(hostCharacters, c)
	})
	switch {
	case host == "":
		k.fail(routeField(i, "host"), "the host is empty, so no request matches it")
	case invalid >= 0 && host[invalid] == ':':
		k.fail(routeField(i, "host"), "%q has a port, and requests are compared without theirs", host)
	case invalid >= 0:
		k.fail(routeField(i, "host"), "%q has the character %q, which no host name has", host, []rune(host[invalid:])[0])
	case strings.HasSuffix(host, "."):
		k.warn(routeField(i, "host"), "%q ends with a dot, so only requests that write it match", host)
	}
}

// checkService reports a route whose jobs find no workers.
func (k *checker) checkService(i int, r fleet.Route) {
	j := slices.IndexFunc(k.config.Services, func(s fleet.Service) bool { return s.Name == r.Service })
	switch {
	case j < 0:
		k.fail(routeField(i, "service"), "there is no service %q", r.Service)
	case k.config.Services[j].Standby:
		k.warn(routeField(i, "service"), "the machines of service %q are switched off, and hosts do not start them", r.Service)
	case k.context.Workers != nil && k.context.Workers[r.Service] == 0:
		k.warn(routeField(i, "service"), "no worker offers service %q, so all jobs are refused", r.Service)
	}
	if r.PolicyAdvised {
		k.warn(routeField(i, "advised"), "hosts refuse all jobs of routes with an advisor")
	}
}

// checkTimes reports times and attempts of a route that contradict each other.
func (k *checker) checkTimes(i int, r fleet.Route) {
	switch attempts := int64(max(1, r.MaxAttempts)); {
	case r.Timeout < 0:
		k.warn(routeField(i, "timeout"), "%v is negative and counts as none", r.Timeout)
	case r.Timeout == 0:
	case r.Timeout < r.ObjectiveOffset:
		k.warn(routeField(i, "timeout"), "%v is less than the objective of %v at least, so jobs in time are given up", r.Timeout, r.ObjectiveOffset)
	case r.ObjectiveOffset > 0 && int64(r.Timeout/r.ObjectiveOffset) < attempts:
		k.warn(routeField(i, "max_attempts"), "%d attempts of %v each do not fit into the timeout of %v", attempts, r.ObjectiveOffset, r.Timeout)
	}
	if r.ObjectiveOffset < 0 {
		k.warn(routeField(i, "objective_offset"), "%v is negative", r.ObjectiveOffset)
	}
	if r.SlackFactor < 0 || r.SlackFactor > 0 && r.SlackFactor < 1 {
		k.warn(routeField(i, "slack_factor"), "%g counts as 1", r.SlackFactor)
	}
	if r.Priority < 0 {
		k.warn(routeField(i, "priority"), "%d is below 0, the highest priority", r.Priority)
	}
}

// checkServices reports services that no route uses.
func (k *checker) checkServices() {
	for i, s := range k.config.Services {
		if s.Name != "" && !slices.ContainsFunc(k.config.Routes, func(r fleet.Route) bool { return r.Service == s.Name }) {
			k.warn(serviceField(i, "name"), "no route uses service %q", s.Name)
		}
	}
}

// checkLimits reports limits on requests that contradict each other, the routes or the memory of hosts.
func (k *checker) checkLimits() {
	l := k.config.Limits
	usable := int64(DefaultMemoryShare * float64(k.context.MemoryMB<<20))
	k.checkSize("limits.body_bytes", l.BodyBytes, usable)
	k.checkSize("limits.header_bytes", l.HeaderBytes, usable)
	if l.BodyBytes > 0 && l.BodyBytes < minBodyBytes {
		k.warn("limits.body_bytes", "%d bytes have no room for a job with the longest payload, which takes %d", l.BodyBytes, minBodyBytes)
	}
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		k.warn("limits.header_timeout", "a time limit on connections is negative")
	}
	shortest := time.Duration(0)
	for _, r := range k.config.Routes {
		if r.Timeout > 0 && (shortest == 0 || r.Timeout < shortest) {
			shortest = r.Timeout
		}
	}
	if shortest > 0 && l.HeaderTimeout > maxHeaderTimeoutFactor*shortest {
		k.warn("limits.header_timeout", "a request may take %v to send its header, and the shortest timeout of a route is %v", l.HeaderTimeout, shortest)
	}
}

// checkSize reports a limit on a part of requests that is negative or too large for the usable memory.
func (k *checker) checkSize(field string, limit, usable int64) {
	switch atOnce := usable / BodyMemoryFactor / max(1, limit); {
	case limit < 0:
		k.warn(field, "%d is negative and counts as none", limit)
	case limit == 0 || usable == 0:
	case atOnce == 0:
		k.fail(field, "a request of %d bytes does not fit into the memory of a host, of which %d MiB are usable", limit, usable>>20)
	case atOnce < minBodiesAtOnce:
		k.warn(field, "only %d requests of %d bytes fit into the memory of a host at once, of which %d MiB are usable", atOnce, limit, usable>>20)
	}
}
