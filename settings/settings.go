// Package settings reads the YAML settings of a daemon. A process learns its addresses
// and availability zone from here only. Problems are collected with line and column and
// reported together.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/strictyaml"
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

// Operators says who may publish configuration.
type Operators struct {
	// PublishTokens are the bearer tokens accepted. None means that whoever reaches the
	// operators' address may publish.
	PublishTokens []string `yaml:"publish_tokens"`
	// Publishers are the names that may publish, each the common name or a DNS or URI name
	// in the client certificate. The name found is recorded as the author. None means that
	// certificates are not checked for names. Tokens, if given, are needed as well.
	Publishers []string `yaml:"publishers"`
}

// Listen holds the three addresses of a daemon, each IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"` // connections to peers leave from its IP, unless that is a wildcard
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
	HostsEvery time.Duration `yaml:"hosts_every"` // least pause between two host lists
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
			ProveIdleAfter: 250 * time.Millisecond,
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
