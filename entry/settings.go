package entry

import (
	"cmp"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/strictyaml"
)

// Settings is the content of an entry host's settings file.
type Settings struct {
	Host   string   `yaml:"host"` // unique in the deployment
	Zone   string   `yaml:"zone"`
	Zones  []string `yaml:"zones"`
	Listen Listen   `yaml:"listen"`
	Seeds  []string `yaml:"seeds"` // peer addresses of other hosts, perhaps stale
	Store  string   `yaml:"store"` // address of the platform's store, IP:port
	Memory int64    `yaml:"memory_mb"`
	// Cores and CoreShare give the processors of the host: so many cores, each to this part.
	Cores     float64 `yaml:"cores"`
	CoreShare float64 `yaml:"core_share"`
	// DrainTime is the time that a process has from SIGTERM to its end.
	DrainTime time.Duration `yaml:"drain_time"`
	Log       Log           `yaml:"log"`
}

// Listen holds the addresses of an entry host, each IP:port.
type Listen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"` // where the platform asks whether the host takes connections
	Peers   string `yaml:"peers"` // connections of other entry hosts
	Metrics string `yaml:"metrics"`
	// Advertise is the address of Peers that other hosts are told, by default Peers itself.
	Advertise string `yaml:"advertise"`
}

// peers returns the address under which other hosts reach this one.
func (l Listen) peers() string { return cmp.Or(l.Advertise, l.Peers) }

// Log bounds what the process writes to standard output.
type Log struct {
	LinesPerSecond int `yaml:"lines_per_second"`
}

const (
	defaultDrainTime = 6 * time.Second
	defaultLines     = 400 // a second
)

// LoadSettings reads and checks a settings file. All problems are reported together.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the settings")
	}
	return ParseSettings(path, text)
}

// ParseSettings decodes and checks the text of a settings file.
func ParseSettings(path string, text []byte) (*Settings, error) {
	s := &Settings{Cores: 1, CoreShare: 1, DrainTime: defaultDrainTime, Log: Log{LinesPerSecond: defaultLines}}
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

func (s *Settings) check(doc *strictyaml.Document, list *finding.List) {
	require := func(ok bool, field, message string) {
		if !ok {
			list.Add(doc.Place(field), field, "%s", message)
		}
	}
	require(s.Host != "", "host", "must not be empty")
	require(s.Zone != "", "zone", "must not be empty")
	require(len(s.Zones) > 0, "zones", "must name the zones of the deployment")
	require(s.DrainTime > 0, "drain_time", "must be positive")
	require(s.Memory >= 0, "memory_mb", "must not be negative")
	require(s.Cores > 0, "cores", "must be positive")
	require(s.CoreShare > 0 && s.CoreShare <= 1, "core_share", "must be over 0 and at most 1")
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
	for _, addr := range s.Seeds {
		require(validAddress(addr), "seeds", "must hold addresses of the form IP:port")
	}
}

// weight returns the processors of the host in thousandths of a core.
func (s *Settings) weight() int64 { return int64(s.Cores * s.CoreShare * 1000) }

func validAddress(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}
