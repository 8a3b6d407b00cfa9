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

// minTokenBytes keeps tokens from being guessed.
const minTokenBytes = 16

// maxPublisher bounds a publisher's name in bytes. It is the limit of a record's author.
const maxPublisher = 128

func (s *Settings) check(doc *strictyaml.Document, list *finding.List) {
	c := checker{doc: doc, list: list}
	c.require(ticket.ValidHost(s.Host), "host", "must be 1 to 63 lower-case letters, digits or hyphens")
	c.require(s.Zone != "" && len(s.Zone) <= maxZone, "zone", "must be 1 to 63 characters")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	if s.Listen.Advertise != "" {
		c.address("listen.advertise", s.Listen.Advertise)
	}
	c.platformURL(s.Platform.URL)
	c.peers(s)
	c.positive("platform.hosts_every", s.Platform.HostsEvery)
	c.positive("platform.timeout", s.Platform.Timeout)
	c.positive("platform.appends_every", s.Platform.AppendsEvery)
	c.positive("platform.snapshot_delay", s.Platform.SnapshotDelay)
	c.positive("platform.snapshot_age", s.Platform.SnapshotAge)
	c.require(s.Platform.SnapshotEvery > 0, "platform.snapshot_every", "must be positive")
	c.require(s.Gossip.Interval >= 100*time.Millisecond, "gossip.interval", "must be at least 100ms")
	c.require(s.Gossip.Contacts > 0, "gossip.contacts", "must be positive")
	c.positive("tickets.window", s.Tickets.Window)
	c.positive("tickets.max_deadline", s.Tickets.MaxDeadline)
	c.positive("backend.dial_timeout", s.Backend.DialTimeout)
	c.positive("workers.lease_ttl", s.Workers.LeaseTTL)
	c.positive("workers.result_gather", s.Workers.ResultGather)
	c.positive("drain.timeout", s.Drain.Timeout)
	c.require(s.Tickets.Window+s.Tickets.MaxDeadline <= 24*time.Hour, "tickets", "window and max_deadline together must not exceed 24h")
	c.require(s.Limits.BodyBytes > 0, "limits.body_bytes", "must be positive")
	c.require(s.Limits.Tasks > 0, "limits.tasks", "must be positive")
	c.require(s.Limits.Tickets > 0, "limits.tickets", "must be positive")
	c.require(s.Backend.Connections > 0, "backend.connections", "must be positive")
	c.require(s.Log.Format == "logfmt" || s.Log.Format == "json", "log.format", "must be logfmt or json")
	c.require(validLevel(s.Log.Level), "log.level", "must be debug, info, warn or error")
	for i, token := range s.Operators.PublishTokens {
		c.require(len(token) >= minTokenBytes, fmt.Sprintf("operators.publish_tokens[%d]", i), "must have at least 16 bytes")
	}
	c.publishers(s)
	c.keyPair("tls.callers", s.TLS.Callers)
	c.keyPair("tls.peers", s.TLS.Peers)
	c.keyPair("tls.operators", s.TLS.Operators)
}

// maxZone bounds the name of a zone in bytes, so that a gossip message holds a whole
// record.
const maxZone = 63

type checker struct {
	doc  *strictyaml.Document
	list *finding.List
}

func (c *checker) require(ok bool, field, message string) {
	if !ok {
		c.list.Add(c.doc.Place(field), field, "%s", message)
	}
}

func (c *checker) positive(field string, d time.Duration) {
	c.require(d > 0, field, "must be a positive duration")
}

func (c *checker) address(field, addr string) {
	host, _, err := net.SplitHostPort(addr)
	c.require(err == nil && net.ParseIP(host) != nil, field, "must be an IP address and a port")
}

func (c *checker) platformURL(text string) {
	u, err := url.Parse(text)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "platform.url", "must be an http or https URL")
}

func (c *checker) peers(s *Settings) {
	seen := make(map[string]bool)
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.require(ticket.ValidHost(p.Host), field+".host", "must be 1 to 63 lower-case letters, digits or hyphens")
		c.require(p.Zone != "", field+".zone", "is required")
		c.require(!seen[p.Host], field+".host", "is listed twice")
		c.address(field+".address", p.Address)
		seen[p.Host] = true
	}
}

func (c *checker) publishers(s *Settings) {
	names := s.Operators.Publishers
	c.require(len(names) == 0 || s.TLS.Operators.ClientCA != "", "operators.publishers", "needs tls.operators.client_ca, which checks the certificates")
	seen := make(map[string]bool)
	for i, name := range names {
		field := fmt.Sprintf("operators.publishers[%d]", i)
		c.require(name != "" && len(name) <= maxPublisher, field, "must be 1 to 128 bytes")
		c.require(!seen[name], field, "is listed twice")
		seen[name] = true
	}
}

func (c *checker) keyPair(field string, k KeyPair) {
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
