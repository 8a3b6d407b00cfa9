package minionsim

import (
	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/simhttp"
)

// ErrUnknownMinion reports that the fleet has no minion with the identifier.
var ErrUnknownMinion = errors.New("unknown minion")

// Fleet is a set of minions in one process with a common admin interface.
type Fleet struct {
	Minions []*Minion

	cfg      Config
	counters *counters
	line     *delayLine // between availability zones; nil for none
	admin    *simhttp.Server
}

// New returns a Fleet that is not started.
func New(cfg Config) *Fleet {
	cfg = cfg.withDefaults()
	f := &Fleet{cfg: cfg, counters: newCounters()}
	for n := range cfg.Count {
		f.Minions = append(f.Minions, newMinion(cfg, n, f.counters))
	}
	return f
}

// Start starts the admin interface and every minion. After an error the fleet is
// stopped. It fails if an address cannot be bound or is not a loopback address.
func (f *Fleet) Start() error {
	ln, err := simhttp.Listen(f.cfg.Admin)
	if err != nil {
		return err
	}
	f.admin = simhttp.Serve(ln, f.routes())
	f.startDelayLine()
	for _, m := range f.Minions {
		if err := m.Start(); err != nil {
			f.Stop()
			return err
		}
	}
	return nil
}

// startDelayLine starts the delay between availability zones, if there is one.
func (f *Fleet) startDelayLine() {
	if f.cfg.ZoneDelay <= 0 {
		return
	}
	f.line = newDelayLine(f.cfg.ZoneDelay)
	for _, m := range f.Minions {
		m.line = f.line
	}
}

// Stop ends every minion and the admin interface.
func (f *Fleet) Stop() {
	for _, m := range f.Minions {
		m.Crash()
	}
	f.line.close()
	if f.admin != nil {
		f.admin.Close()
	}
}

// AdminURL returns the base URL of a started fleet's admin interface.
func (f *Fleet) AdminURL() string { return "http://" + f.admin.Addr() }

// Starts returns the counted starts and messages.
func (f *Fleet) Starts() Starts { return f.counters.snapshot() }

// Reset forgets the counted starts and messages.
func (f *Fleet) Reset() { f.counters.reset() }

// SetFault switches a fault. It fails for an unknown minion or fault.
func (f *Fleet) SetFault(req FaultRequest) error {
	if err := req.check(); err != nil {
		return err
	}
	selected, err := f.selectMinions(req.Minion)
	if err != nil {
		return err
	}
	for _, m := range selected {
		if req.Fault == FaultSilent {
			m.Silence()
			continue
		}
		m.faults.set(req)
	}
	return nil
}

// Leave marks a minion, or all with "*", as leaving and reports that to the platform.
// With refuse it refuses tasks from now on.
func (f *Fleet) Leave(id string, refuse bool) error {
	selected, err := f.selectMinions(id)
	if err != nil {
		return err
	}
	for _, m := range selected {
		m.Leave(refuse)
		if err := m.reportLeaving(); err != nil {
			return err
		}
	}
	return nil
}

// selectMinions returns the minion with the identifier, or all for "*".
func (f *Fleet) selectMinions(id string) ([]*Minion, error) {
	if id == "*" {
		return f.Minions, nil
	}
	for _, m := range f.Minions {
		if m.ID == id {
			return []*Minion{m}, nil
		}
	}
	return nil, errors.Wrapf(ErrUnknownMinion, "%q", id)
}
