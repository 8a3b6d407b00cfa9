package settings

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/strictyaml"
	"sesameledge.dev/sesameledge/ticket"
)

// minTokenBytes is the least length of a bearer token, so that it is hard to guess.
const minTokenBytes = 16

// maxPublisherBytes bounds a publisher's name. It is also the limit for the author of a record,
// where the name is stored.
const maxPublisherBytes = 128

// check adds a finding for each invalid setting to the list.
func (s *Settings) check(doc *strictyaml.Document, list *finding.List) {
	c := checker{doc: doc, list: list}
	c.require(ticket.ValidHost(s.Host), "host", "must be 1 to 63 lower-case letters, digits or hyphens")
	c.require(s.Zone != "" && len(s.Zone) <= maxZoneBytes, "zone", "must be 1 to 63 characters")
	c.requireAddress("listen.callers", s.Listen.Callers)
	c.requireAddress("listen.peers", s.Listen.Peers)
	c.requireAddress("listen.operators", s.Listen.Operators)
	if s.Listen.Advertise != "" {
		c.requireAddress("listen.advertise", s.Listen.Advertise)
	}
	c.checkPlatformURL(s.Platform.URL)
	c.checkPeers(s)
	c.requirePositive("platform.hosts_every", s.Platform.HostsInterval)
	c.requirePositive("platform.timeout", s.Platform.Timeout)
	c.requirePositive("platform.appends_every", s.Platform.AppendInterval)
	c.requirePositive("platform.snapshot_delay", s.Platform.SnapshotDelay)
	c.requirePositive("platform.snapshot_age", s.Platform.SnapshotAge)
	c.require(s.Platform.SnapshotRecords > 0, "platform.snapshot_every", "must be positive")
	c.require(s.Gossip.Interval >= 100*time.Millisecond, "gossip.interval", "must be at least 100ms")
	c.require(s.Gossip.ContactsPerZone > 0, "gossip.contacts", "must be positive")
	c.requirePositive("tickets.window", s.Tickets.Window)
	c.requirePositive("tickets.max_deadline", s.Tickets.MaxDeadline)
	c.requirePositive("backend.dial_timeout", s.Backend.DialTimeout)
	c.requirePositive("workers.lease_ttl", s.Workers.LeaseTTL)
	c.requirePositive("workers.result_gather", s.Workers.ResultReadInterval)
	c.requirePositive("drain.timeout", s.Drain.Timeout)
	c.require(s.Tickets.Window+s.Tickets.MaxDeadline <= 24*time.Hour, "tickets", "window and max_deadline together must not exceed 24h")
	c.require(s.Limits.BodyBytes > 0, "limits.body_bytes", "must be positive")
	c.require(s.Limits.TasksPerJob > 0, "limits.tasks", "must be positive")
	c.require(s.Limits.TicketsPerBatch > 0, "limits.tickets", "must be positive")
	c.require(s.Backend.ConnsPerMinion > 0, "backend.connections", "must be positive")
	c.require(s.Log.Format == "logfmt" || s.Log.Format == "json", "log.format", "must be logfmt or json")
	c.require(validLevel(s.Log.Level), "log.level", "must be debug, info, warn or error")
	for i, token := range s.Operators.PublishTokens {
		c.require(len(token) >= minTokenBytes, fmt.Sprintf("operators.publish_tokens[%d]", i), "must have at least 16 bytes")
	}
	c.checkPublishers(s)
	c.checkKeyPair("tls.callers", s.TLS.Callers)
	c.checkKeyPair("tls.peers", s.TLS.Peers)
	c.checkKeyPair("tls.operators", s.TLS.Operators)
}

// maxZoneBytes bounds the name of a zone, so that the whole record of a host fits in a gossip
// message.
const maxZoneBytes = 63

// checker adds findings to a list, with the field's place in the document.
type checker struct {
	doc  *strictyaml.Document
	list *finding.List
}

// require adds a finding for the field unless ok.
func (c *checker) require(ok bool, field, message string) {
	if !ok {
		c.list.Add(c.doc.Position(field), field, "%s", message)
	}
}

func (c *checker) requirePositive(field string, d time.Duration) {
	c.require(d > 0, field, "must be a positive duration")
}

// requireAddress requires the form IP:port.
func (c *checker) requireAddress(field, addr string) {
	host, _, err := net.SplitHostPort(addr)
	c.require(err == nil && net.ParseIP(host) != nil, field, "must be an IP address and a port")
}

func (c *checker) checkPlatformURL(text string) {
	u, err := url.Parse(text)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "platform.url", "must be an http or https URL")
}

func (c *checker) checkPeers(s *Settings) {
	seen := make(map[string]bool)
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.require(ticket.ValidHost(p.Host), field+".host", "must be 1 to 63 lower-case letters, digits or hyphens")
		c.require(p.Zone != "", field+".zone", "is required")
		c.require(!seen[p.Host], field+".host", "is listed twice")
		c.requireAddress(field+".address", p.Address)
		seen[p.Host] = true
	}
}

func (c *checker) checkPublishers(s *Settings) {
	names := s.Operators.Publishers
	c.require(len(names) == 0 || s.TLS.Operators.ClientCA != "", "operators.publishers", "needs tls.operators.client_ca, which checks the certificates")
	seen := make(map[string]bool)
	for i, name := range names {
		field := fmt.Sprintf("operators.publishers[%d]", i)
		c.require(name != "" && len(name) <= maxPublisherBytes, field, "must be 1 to 128 bytes")
		c.require(!seen[name], field, "is listed twice")
		seen[name] = true
	}
}

// checkKeyPair requires that a certificate has a key, and that a client CA has both.
func (c *checker) checkKeyPair(field string, k KeyPair) {
	c.require((k.Cert == "") == (k.Key == ""), field, "needs both cert and key")
	c.require(k.ClientCA == "" || k.Cert != "", field+".client_ca", "needs cert and key")
}

func validLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
