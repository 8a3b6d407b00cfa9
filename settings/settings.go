// Package settings reads and checks the YAML settings file of a daemon. It is the only source of the
// process's addresses and availability zone. All problems are reported in one error, each with its
// line and column. Package strictyaml decodes the text, and package daemon uses the settings.
// Package entry has settings of its own.
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
	Platform Platform `yaml:"platform"` // connection to the platform
	Peers    []Peer   `yaml:"peers"`    // other entry hosts known at start
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

// Operators controls who may publish a configuration.
type Operators struct {
	// PublishTokens are the bearer tokens that allow publishing. If there are none, everyone
	// who can reach the operators' address may publish without a token.
	PublishTokens []string `yaml:"publish_tokens"`
	// Publishers are the names that may publish. A client certificate must hold one of them as
	// its common name or as a DNS or URI name, and that name is recorded as the author. If there
	// are none, the names in certificates are not checked. If there are tokens too, a publisher
	// needs both.
	Publishers []string `yaml:"publishers"`
}

// Listen holds the three addresses of a daemon, each IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"` // its IP is the source address of connections to peers, unless it is a wildcard
	Operators string `yaml:"operators"`
	// Advertise is the peer address, IP:port, that other hosts are told. Empty means Peers. It
	// is set where the host is behind address translation or a proxy.
	Advertise string `yaml:"advertise,omitempty"`
}

// PeerAddress returns the address, IP:port, at which other hosts reach this one.
func (l Listen) PeerAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Platform sets the connection to the platform's services and the use of its log.
type Platform struct {
	URL           string        `yaml:"url"`         // http://IP:port
	HostsInterval time.Duration `yaml:"hosts_every"` // minimum pause between two reads of the list of hosts
	Timeout       time.Duration `yaml:"timeout"`     // time limit of one request
	// SnapshotRecords is the number of records in the config stream after which a host appends a
	// snapshot. It must be well below the number of records that the log retains.
	SnapshotRecords uint64 `yaml:"snapshot_every"`
	// SnapshotDelay is the maximum of the random delay before a host appends a snapshot that is
	// due. If it is well above the time in which hosts read a new record, only one or two hosts
	// append the snapshot.
	SnapshotDelay time.Duration `yaml:"snapshot_delay"`
	// SnapshotAge is the time after which a host appends a snapshot even if there are few new
	// records. It must be well below the time for which the log retains records.
	SnapshotAge    time.Duration `yaml:"snapshot_age"`
	AppendInterval time.Duration `yaml:"appends_every"` // minimum pause between two appends of claims
}

// Peer is another entry host.
type Peer struct {
	Host    string `yaml:"host"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"` // peer address, IP:port
}

// Gossip sets how entry hosts exchange membership.
type Gossip struct {
	Interval        time.Duration `yaml:"interval"` // time between calls to a peer
	ContactsPerZone int           `yaml:"contacts"` // number of hosts called in each other availability zone
}

// TicketsPerBatch sets the lifetime of tickets.
type Tickets struct {
	Window      time.Duration `yaml:"window"`       // time from minting to the first submission
	MaxDeadline time.Duration `yaml:"max_deadline"` // longest deadline of a job
}

// Limits bounds the size of requests.
type Limits struct {
	BodyBytes       int64 `yaml:"body_bytes"` // bytes of a request's body
	TasksPerJob     int   `yaml:"tasks"`      // tasks in a job
	TicketsPerBatch int   `yaml:"tickets"`    // tickets in a batch
}

// Backend sets the connections to minions.
type Backend struct {
	ConnsPerMinion int           `yaml:"connections"`      // maximum to one minion
	DialTimeout    time.Duration `yaml:"dial_timeout"`     // limit for opening a connection
	IdleTimeout    time.Duration `yaml:"idle_timeout"`     // time after which an unused connection is closed
	ProveIdleAfter time.Duration `yaml:"prove_idle_after"` // idle time after which a connection must answer before the body is sent
}

// Workers sets how tasks run on workers of the platform.
type Workers struct {
	LeaseTTL           time.Duration `yaml:"lease_ttl"`     // a worker stops its tasks if the lease is not renewed for this time
	ResultReadInterval time.Duration `yaml:"result_gather"` // pause between two reads of results, so that one read returns several
}

// Drain sets the time limits of a graceful shutdown.
type Drain struct {
	Grace   time.Duration `yaml:"grace"`   // not ready but still accepting jobs, until load balancers notice
	Timeout time.Duration `yaml:"timeout"` // time limit for running jobs to end
}

// Log sets the format and the level of the log.
type Log struct {
	Format string `yaml:"format"` // logfmt or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// TLS sets the certificates for each kind of connection. A kind without a certificate uses plain
// TCP.
type TLS struct {
	Callers   KeyPair `yaml:"callers"`
	Peers     KeyPair `yaml:"peers"`
	Operators KeyPair `yaml:"operators"`
}

// KeyPair holds the paths of PEM files. If ClientCA is set, clients must present a certificate that
// it has issued.
type KeyPair struct {
	Cert     string `yaml:"cert"`
	Key      string `yaml:"key"`
	ClientCA string `yaml:"client_ca"`
}

// Enabled reports whether the connections use TLS.
func (k KeyPair) Enabled() bool { return k.Cert != "" }

// Defaults returns settings in which every optional setting has its default.
func Defaults() Settings {
	return Settings{
		Platform: Platform{
			HostsInterval:   time.Second,
			Timeout:         2 * time.Second,
			SnapshotRecords: 1000,
			SnapshotDelay:   10 * time.Second,
			SnapshotAge:     time.Hour,
			AppendInterval:  25 * time.Millisecond,
		},
		Gossip:  Gossip{Interval: time.Second, ContactsPerZone: 2},
		Tickets: Tickets{Window: 30 * time.Second, MaxDeadline: 60 * time.Second},
		Limits:  Limits{BodyBytes: 8 << 20, TasksPerJob: 4096, TicketsPerBatch: 1024},
		Backend: Backend{
			ConnsPerMinion: 9, // a minion accepts 64 connections, which 7 entry hosts share
			DialTimeout:    500 * time.Millisecond,
			IdleTimeout:    30 * time.Second,
			ProveIdleAfter: 250 * time.Millisecond,
		},
		Workers: Workers{
			// Long enough to survive short outages of the platform. Most tasks end sooner by
			// themselves.
			LeaseTTL:           30 * time.Second,
			ResultReadInterval: 10 * time.Millisecond,
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
