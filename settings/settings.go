// Package settings reads the YAML settings of a daemon. A process learns its addresses
// and availability zone from here only. Problems are collected with line and column and
// reported together.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/strictyaml"
	"sesameledge.dev/sesameledge/ticket"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	Host     string   `yaml:"host"`     // name of this host, unique in the deployment
	Zone     string   `yaml:"zone"`     // availability zone
	Listen   Listen   `yaml:"listen"`   // addresses of this process
	Platform Platform `yaml:"platform"` // the platform's services
	Peers    []Peer   `yaml:"peers"`    // entry hosts known at start
	Gossip   Gossip   `yaml:"gossip"`
	Tickets  Tickets  `yaml:"tickets"`
	Limits   Limits   `yaml:"limits"`
	Backend  Backend  `yaml:"backend"`
	Workers  Workers  `yaml:"workers"`
	Drain    Drain    `yaml:"drain"`
	Log      Log      `yaml:"log"`
	TLS      TLS      `yaml:"tls"`

	Operators Operators `yaml:"operators"`
}

// minTokenBytes keeps tokens from being guessed.
const minTokenBytes = 16

// Operators says who may publish configuration.
type Operators struct {
	// PublishTokens are the bearer tokens accepted. None means that whoever reaches the
	// operators' address may publish.
	PublishTokens []string `yaml:"publish_tokens"`
}

// Listen holds the three addresses of a daemon, each IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
	// Advertise is the peer address, IP:port, that other hosts are told. Empty means
	// Peers. It differs where address translation or a proxy precedes the host.
	Advertise string `yaml:"advertise,omitempty"`
}

// PeerAddress is the address, IP:port, at which other hosts reach this one.
func (l Listen) PeerAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Platform says where the platform's services are.
type Platform struct {
	URL        string        `yaml:"url"`         // http://IP:port
	HostsEvery time.Duration `yaml:"hosts_every"` // pause between reads of the host list
	Timeout    time.Duration `yaml:"timeout"`     // limit of one request
	// SnapshotEvery is the number of records in the config stream after which a host
	// appends a snapshot. It must be well below the number that the log retains.
	SnapshotEvery uint64 `yaml:"snapshot_every"`
	// SnapshotDelay bounds the random delay before a host appends a snapshot that is due.
	// Well above the time in which hosts read a record, one or two of them append it.
	SnapshotDelay time.Duration `yaml:"snapshot_delay"`
	// SnapshotAge is the time after which a host appends a snapshot even if few records
	// came. It must be well below the time for which the log retains records.
	SnapshotAge  time.Duration `yaml:"snapshot_age"`
	AppendsEvery time.Duration `yaml:"appends_every"` // least pause between appends of claims
}

// Peer is another entry host.
type Peer struct {
	Host    string `yaml:"host"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"` // peer address, IP:port
}

// Gossip sets the messages between entry hosts about membership.
type Gossip struct {
	Interval time.Duration `yaml:"interval"` // between calls to a peer
	Contacts int           `yaml:"contacts"` // hosts called in each other availability zone
}

// Tickets sets the life of tickets.
type Tickets struct {
	Window      time.Duration `yaml:"window"`       // from minting to the first submission
	MaxDeadline time.Duration `yaml:"max_deadline"` // longest deadline of a job
}

// Limits bounds requests.
type Limits struct {
	BodyBytes int64 `yaml:"body_bytes"`
	Tasks     int   `yaml:"tasks"`   // tasks in a job
	Tickets   int   `yaml:"tickets"` // tickets in a batch
}

// Backend sets the connections to minions.
type Backend struct {
	Connections    int           `yaml:"connections"` // to one minion
	DialTimeout    time.Duration `yaml:"dial_timeout"`
	IdleTimeout    time.Duration `yaml:"idle_timeout"`
	ProveIdleAfter time.Duration `yaml:"prove_idle_after"` // idle time after which the body is held back
}

// Workers sets how tasks run on workers of the platform.
type Workers struct {
	LeaseTTL     time.Duration `yaml:"lease_ttl"`     // tasks stop if the lease was not renewed for so long
	ResultGather time.Duration `yaml:"result_gather"` // pause between reads of results, to read more at once
}

// Drain sets a graceful shutdown.
type Drain struct {
	Grace   time.Duration `yaml:"grace"`   // not ready but still accepting, for the load balancer
	Timeout time.Duration `yaml:"timeout"` // limit for running jobs
}

// Log sets the logs.
type Log struct {
	Format string `yaml:"format"` // logfmt or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// TLS names the key material of each side. A side without a certificate speaks plain TCP.
type TLS struct {
	Callers   KeyPair `yaml:"callers"`
	Peers     KeyPair `yaml:"peers"`
	Operators KeyPair `yaml:"operators"`
}

// KeyPair names files in PEM format. With ClientCA, clients must show a certificate of it.
type KeyPair struct {
	Cert     string `yaml:"cert"`
	Key      string `yaml:"key"`
	ClientCA string `yaml:"client_ca"`
}

// Enabled reports whether the side speaks TLS.
func (k KeyPair) Enabled() bool { return k.Cert != "" }

// Defaults returns settings with every optional value set.
func Defaults() Settings {
	return Settings{
		Platform: Platform{
			HostsEvery:    time.Second,
			Timeout:       2 * time.Second,
			SnapshotEvery: 1000,
			SnapshotDelay: 10 * time.Second,
			SnapshotAge:   time.Hour,
			AppendsEvery:  25 * time.Millisecond,
		},
		Gossip:  Gossip{Interval: time.Second, Contacts: 2},
		Tickets: Tickets{Window: 30 * time.Second, MaxDeadline: 60 * time.Second},
		Limits:  Limits{BodyBytes: 8 << 20, Tasks: 4096, Tickets: 1024},
		Backend: Backend{
			Connections:    9, // 64 connections of a minion shared by 7 entry hosts
			DialTimeout:    500 * time.Millisecond,
			IdleTimeout:    30 * time.Second,
			ProveIdleAfter: time.Second,
		},
		Workers: Workers{
			// Outlasts short outages of the platform; most tasks end by themselves sooner.
			LeaseTTL:     30 * time.Second,
			ResultGather: 10 * time.Millisecond,
		},
		Drain: Drain{Grace: 2 * time.Second, Timeout: 60 * time.Second},
		Log:   Log{Format: "logfmt", Level: "info"},
	}
}

// Load reads and checks a settings file. The error is a *finding.Error if the file was
// read but has problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file. The error is a *finding.Error.
func Parse(path string, text []byte) (*Settings, error) {
	s := Defaults()
	var list finding.List
	doc := strictyaml.Decode(path, text, &s, &list)
	if doc.Readable() {
		s.check(doc, &list)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

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
