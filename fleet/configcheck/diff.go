package configcheck

import (
	"fmt"
	"strconv"

	"sesameledge.dev/sesameledge/fleet"
)

// Kind says what happens to an entry of a configuration.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is a difference between two configurations, and what it does to jobs. Field names a value of an
// entry, without the entry; it is empty if the whole entry is added or removed.
type Change struct {
	Kind   Kind   `json:"kind"`
	Entry  string `json:"entry"` // for people, such as "route quotes"
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	Effect string `json:"effect"`
}

// What changes do to jobs. A job keeps the settings of the route with which it arrived.
const (
	effectRouteAdded   = "its requests are served as soon as a host applies the version"
	effectRouteRemoved = "jobs in progress run to their end, and DELETE cancels them with 410; new ones get 404"
	effectNewJobsOnly  = "jobs in progress keep the earlier value; it applies to new ones"
	effectPathMoved    = "requests to the earlier path get 404; jobs in progress run to their end, and DELETE of it cancels them with 410"
	effectServiceMoved = "jobs in progress stay on the workers of the earlier service; new ones go to the other"
	effectRenamed      = "jobs in progress go on; predicted durations of tasks are learned again under the new name"
	effectNewRequests  = "it applies to new requests"
	effectService      = "none on jobs in progress"
)

// field is a value of an entry in a form for people.
type field struct{ name, value, effect string }

func routeFields(r fleet.Route) []field {
	return []field{
		{"name", r.Name, effectRenamed},
		{"host", r.Host, effectPathMoved},
		{"prefix", r.Prefix, effectPathMoved},
		{"service", r.Service, effectServiceMoved},
		{"priority", strconv.Itoa(r.Priority), effectNewJobsOnly},
		{"max_attempts", strconv.Itoa(r.MaxAttempts), effectNewJobsOnly},
		{"slack_factor", strconv.FormatFloat(r.SlackFactor, 'g', -1, 64), effectNewJobsOnly},
		{"objective_offset", r.ObjectiveOffset.String(), effectNewJobsOnly},
		{"timeout", r.Timeout.String(), effectNewJobsOnly},
		{"advised", strconv.FormatBool(r.PolicyAdvised), effectNewJobsOnly},
	}
}

func serviceFields(s fleet.Service) []field {
	return []field{
		{"name", s.Name, effectService},
		{"enforces_capacity", strconv.FormatBool(s.EnforcesCapacity), effectService},
		{"standby", strconv.FormatBool(s.Standby), effectService},
	}
}

func limitFields(l fleet.RequestLimits) []field {
	return []field{
		{"body_bytes", strconv.FormatInt(l.BodyBytes, 10), effectNewRequests},
		{"header_bytes", strconv.FormatInt(l.HeaderBytes, 10), effectNewRequests},
		{"header_timeout", l.HeaderTimeout.String(), effectNewRequests},
		{"idle_timeout", l.IdleTimeout.String(), effectNewRequests},
	}
}

// Diff returns what changes from one configuration to the next, in the order of the entries: those of the
// earlier configuration and then the added ones. Entries with an equal name are the same one; a route with
// another name and the same path counts as renamed.
func Diff(before, after *fleet.Config) []Change {
	changes := diffRoutes(before.Routes, after.Routes)
	match := matchEntries(len(before.Services), len(after.Services), func(i, j int) bool { return before.Services[i].Name == after.Services[j].Name })
	for i, s := range before.Services {
		if match[i] < 0 {
			changes = append(changes, Change{Kind: Removed, Entry: "service " + s.Name, Effect: effectService})
			continue
		}
		changes = append(changes, diffFields("service "+s.Name, serviceFields(s), serviceFields(after.Services[match[i]]))...)
	}
	for _, j := range unmatched(match, len(after.Services)) {
		changes = append(changes, Change{Kind: Added, Entry: "service " + after.Services[j].Name, Effect: effectService})
	}
	return append(changes, diffFields("limits", limitFields(before.Limits), limitFields(after.Limits))...)
}

func diffRoutes(before, after []fleet.Route) []Change {
	match := matchEntries(len(before), len(after),
		func(i, j int) bool { return before[i].Name == after[j].Name },
		func(i, j int) bool { return before[i].Host == after[j].Host && before[i].Prefix == after[j].Prefix })
	var changes []Change
	for i, r := range before {
		if match[i] < 0 {
			changes = append(changes, Change{Kind: Removed, Entry: "route " + r.Name, Before: describe(r), Effect: effectRouteRemoved})
			continue
		}
		changes = append(changes, diffFields("route "+r.Name, routeFields(r), routeFields(after[match[i]]))...)
	}
	for _, j := range unmatched(match, len(after)) {
		changes = append(changes, Change{Kind: Added, Entry: "route " + after[j].Name, After: describe(after[j]), Effect: effectRouteAdded})
	}
	return changes
}

func describe(r fleet.Route) string {
	return fmt.Sprintf("%s%s to service %s", r.Host, r.Prefix, r.Service)
}

// matchEntries returns for each of n earlier entries the number of the same one among m later entries, or -1.
// Each criterion is applied to the entries that the ones before it have left.
func matchEntries(n, m int, criteria ...func(i, j int) bool) []int {
	match := make([]int, n)
	taken := make([]bool, m)
	for i := range match {
		match[i] = -1
	}
	for _, same := range criteria {
		for i := range n {
			for j := 0; j < m && match[i] < 0; j++ {
				if !taken[j] && same(i, j) {
					match[i], taken[j] = j, true
				}
			}
		}
	}
	return match
}

// unmatched returns the later entries that no earlier one matches.
func unmatched(match []int, m int) []int {
	taken := make([]bool, m)
	for _, j := range match {
		if j >= 0 {
			taken[j] = true
		}
	}
	var list []int
	for j, t := range taken {
		if !t {
			list = append(list, j)
		}
	}
	return list
}

// diffFields returns the changes of the fields of an entry.
func diffFields(entry string, before, after []field) []Change {
	var changes []Change
	for i, f := range before {
		if f.value != after[i].value {
			changes = append(changes, Change{Kind: Changed, Entry: entry, Field: f.name, Before: f.value, After: after[i].value, Effect: f.effect})
		}
	}
	return changes
}
