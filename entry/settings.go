package entry

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/strictyaml"
	"sesameledge.dev/sesameledge/timing"
)

// Settings is the content of an entry host's settings file.
type Settings struct {
	Host   string   `yaml:"host"` // unique in the deployment
	Zone   string   `yaml:"zone"`
	Zones  []string `yaml:"zones"`
	Listen Listen   `yaml:"listen"`
	Seeds  []string `yaml:"seeds"`     // peer addresses of other hosts, IP:port; some may be out of date
	Store  string   `yaml:"store"`     // address of the platform's store, IP:port
	Memory int64    `yaml:"memory_mb"` // of the host, in MiB. 0: no memory limit is set
	// MaxDescriptors is the number of file descriptors that the process may open. 0: not known.
	MaxDescriptors int `yaml:"max_descriptors,omitempty"`
	// Cores and CoreShare give the CPU capacity of the host: the number of cores, and the
	// fraction of each that the host may use.
	Cores     float64 `yaml:"cores"`
	CoreShare float64 `yaml:"core_share"`
	// LinkMbps is the capacity of the host's network link in Mbit/s. 0: not known.
	LinkMbps float64 `yaml:"link_mbps,omitempty"`
	// ResendAfter is the time after a broken connection from which on a caller sends a job again.
	ResendAfter time.Duration `yaml:"resend_after,omitempty"`
	// MaxLease is the longest lease that a worker allows.
	MaxLease time.Duration `yaml:"max_lease,omitempty"`
	// RunEndTime is the longest time that a worker takes to end a run once its lease has lapsed or it has taken
	// a stop.
	RunEndTime time.Duration `yaml:"run_end_time,omitempty"`
	// StatusTime is the time for which the state of a job that has ended is known. A job that was cancelled is not
	// started again within it.
	StatusTime time.Duration `yaml:"status_time,omitempty"`
	// RemotePenalty is the factor by which a task takes longer on another rack than that of its data.
	RemotePenalty float64 `yaml:"remote_penalty,omitempty"`
	// LookAhead decides by the predicted ends of running tasks which jobs are admitted and where large
	// tasks will start, and divides the room of an overloaded service by the priorities of its routes.
	LookAhead bool `yaml:"look_ahead,omitempty"`
	// CellWorkers is the number of workers up to which one host commands a zone. 0 means
	// owner.DefaultCellWorkers.
	CellWorkers int `yaml:"cell_workers,omitempty"`
	// DrainTime is the time after SIGTERM within which the process must end.
	DrainTime time.Duration `yaml:"drain_time"`
	// Clients limits what clients may use of the host.
	Clients Clients `yaml:"clients,omitempty"`
	Log     Log     `yaml:"log"`
}

// Listen holds the addresses of an entry host, each IP:port.
type Listen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`   // the platform's readiness checks
	Peers   string `yaml:"peers"`   // connections from other entry hosts
	Metrics string `yaml:"metrics"` // metrics and state for operators
	// Advertise is the address that other hosts are told to connect to. Empty means Peers.
	Advertise string `yaml:"advertise"`
}

// peerAddress returns the IP:port at which other hosts reach this one.
func (l Listen) peerAddress() string { return cmp.Or(l.Advertise, l.Peers) }

// Log limits what the process writes to its log.
type Log struct {
	LinesPerSecond int `yaml:"lines_per_second"`
}

const (
	defaultDrainTime      = 6 * time.Second
	defaultLinesPerSecond = 400
	defaultRemotePenalty  = 2.0
)

// LoadSettings reads and checks a settings file. All problems are reported in one error, a
// *finding.Error if the file could be read.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the settings")
	}
	return ParseSettings(path, text)
}

// ParseSettings decodes and checks the text of a settings file. The error is a *finding.Error with
// all problems; path is only named there.
func ParseSettings(path string, text []byte) (*Settings, error) {
	s := &Settings{
		Cores: 1, CoreShare: 1, DrainTime: defaultDrainTime,
		ResendAfter: timing.DefaultResendAfter, MaxLease: timing.DefaultMaxLease, RunEndTime: timing.DefaultRunEnd,
		StatusTime: host.DefaultCancelMemory, RemotePenalty: defaultRemotePenalty, Log: Log{LinesPerSecond: defaultLinesPerSecond},
	}
	list := new(finding.List)
	doc := strictyaml.Decode(path, text, s, list)
	if doc.Readable() {
		s.check(doc, list)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// check adds a finding for each invalid setting to the list.
func (s *Settings) check(doc *strictyaml.Document, list *finding.List) {
	require := func(ok bool, field, message string) {
		if !ok {
			list.Add(doc.Position(field), field, "%s", message)
		}
	}
	require(s.Host != "", "host", "must not be empty")
	require(s.Zone != "", "zone", "must not be empty")
	require(len(s.Zones) > 0, "zones", "must name the zones of the deployment")
	require(s.DrainTime > 0, "drain_time", "must be positive")
	require(s.Memory >= 0, "memory_mb", "must not be negative")
	require(s.MaxDescriptors >= 0, "max_descriptors", "must not be negative")
	require(s.ResendAfter > 0, "resend_after", "must be positive")
	require(s.MaxLease > 0, "max_lease", "must be positive")
	require(s.RunEndTime > 0, "run_end_time", "must be positive")
	require(s.StatusTime > 0, "status_time", "must be positive")
	if s.ResendAfter > 0 && s.MaxLease > 0 && s.RunEndTime > 0 {
		_, err := timing.New(s.timeLimits())
		require(err == nil, s.tightestTime(), fmt.Sprint(err))
	}
	require(s.RemotePenalty >= 1, "remote_penalty", "must be at least 1")
	require(s.CellWorkers >= 0, "cell_workers", "must not be negative")
	require(s.Cores > 0, "cores", "must be positive")
	require(s.CoreShare > 0 && s.CoreShare <= 1, "core_share", "must be over 0 and at most 1")
	require(s.LinkMbps >= 0, "link_mbps", "must not be negative")
	require(s.Log.LinesPerSecond > 0, "log.lines_per_second", "must be positive")
	for _, a := range []struct{ field, addr string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.ready", s.Listen.Ready},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
		{"store", s.Store},
	} {
		require(validAddress(a.addr), a.field, "must be an address of the form IP:port")
	}
	require(s.Listen.Advertise == "" || validAddress(s.Listen.Advertise), "listen.advertise", "must be an address of the form IP:port")
	s.checkClients(doc, list)
	for _, addr := range s.Seeds {
		require(validAddress(addr), "seeds", "must hold addresses of the form IP:port")
	}
}

// timeLimits returns the times on which the time limits of the deployment rest.
func (s *Settings) timeLimits() timing.Limits {
	return timing.Limits{ResendAfter: s.ResendAfter, MaxLease: s.MaxLease, RunEnd: s.RunEndTime}
}

// tightestTime returns the field to which a finding on time limits that do not add up belongs.
func (s *Settings) tightestTime() string {
	switch {
	case s.MaxLease < timing.MinLease:
		return "max_lease"
	case s.RunEndTime > timing.DefaultRunEnd:
		return "run_end_time"
	default:
		return "resend_after"
	}
}

// timing returns the time limits of the deployment. ParseSettings has checked that they add up.
func (s *Settings) timing() timing.Budget {
	b, _ := timing.New(s.timeLimits())
	return b
}

// weight returns the CPU capacity of the host in thousandths of a core.
func (s *Settings) weight() int64 { return int64(s.Cores * s.CoreShare * 1000) }

// linkBytesPerSecond returns the capacity of the host's network link, 0 if it is not known.
func (s *Settings) linkBytesPerSecond() float64 { return s.LinkMbps * 1e6 / 8 }

// validAddress reports whether addr has the form IP:port.
func validAddress(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}
