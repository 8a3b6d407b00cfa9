package minionsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// Bounds of a minion's speed. A task takes its run time divided by the speed.
const (
	minSpeed = 0.2
	maxSpeed = 5.0
)

// Minion is one minion of a Fleet.
type Minion struct {
	ID    string
	Zone  string
	Speed float64

	cfg      Config
	counters *counters
	faults   *faultSwitch
	line     *delayLine // between availability zones; nil for none
	random   *rand.Rand // identities; guarded by mu

	mu        sync.Mutex
	address   string // IP:port, the same after a restart
	process   *process
	leavingAt time.Time // zero if the minion is not leaving
	refuse    bool      // a leaving minion refuses tasks
	lateTasks LateTasks
	lastTask  TaskID // a task answered before, for FaultCrossed
}

// LateTasks counts the task messages that arrived after a minion began to leave.
type LateTasks struct {
	Count  int   `json:"count"`
	LastMS int64 `json:"last_ms"` // time from the start of leaving to the last one, milliseconds
}

// process holds the state that is lost when the minion crashes: its connections, its tasks
// and its identity.
type process struct {
	identity string
	runner   *runner
	listener *limitListener
	server   *simhttp.Server
	ended    chan struct{}
}

func newMinion(cfg Config, n int, c *counters) *Minion {
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(n)))
	speed := math.Exp(random.NormFloat64() * max(cfg.Spread, 0))
	return &Minion{
		ID:       fmt.Sprintf("%s-%03d", cfg.Prefix, n),
		Zone:     cfg.Zones[n%len(cfg.Zones)],
		Speed:    min(max(speed, minSpeed), maxSpeed),
		cfg:      cfg,
		counters: c,
		faults:   newFaultSwitch(cfg.Seed, uint64(n)+1<<32),
		random:   random,
		address:  net.JoinHostPort(cfg.Address, "0"),
	}
}

// Start starts the minion's process with a new identity, on the address of the process
// before, if there was one. It does nothing if the process runs.
func (m *Minion) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return nil
	}
	ln, err := simhttp.Listen(m.address)
	if err != nil {
		return err
	}
	p := &process{
		identity: fmt.Sprintf("%016x", m.random.Uint64()),
		runner:   newRunner(m.cfg.Slots, m.cfg.Queue, m.counters.recordStart),
		ended:    make(chan struct{}),
	}
	p.listener = newLimitListener(ln, m.cfg.Connections, func() {
		m.counters.update(func(t *Totals) { t.ConnsRefused++ })
	})
	m.address = ln.Addr().String()
	m.process = p
	m.leavingAt, m.refuse, m.lateTasks = time.Time{}, false, LateTasks{}
	p.server = simhttp.Serve(p.listener, m.routes(p))
	go m.keepRegistered(p)
	return nil
}

// Crash ends the minion's process: its connections close and its tasks are forgotten.
func (m *Minion) Crash() {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.mu.Unlock()
	if p == nil {
		return
	}
	p.runner.close()
	close(p.ended)
	p.server.Close()
}

// Silence makes the open connections go silent permanently and returns their number.
func (m *Minion) Silence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	return m.process.listener.silence()
}

// Leave marks the minion as leaving. It goes on to serve unless refuse is set.
func (m *Minion) Leave(refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leavingAt.IsZero() {
		m.leavingAt = time.Now()
	}
	m.refuse = refuse
}

// Host returns the minion's entry in the platform's list. Its Identity is empty while
// the process is down.
func (m *Minion) Host() logapi.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := logapi.Host{
		ID:          m.ID,
		Kind:        logapi.KindMinion,
		Address:     m.address,
		Zone:        m.Zone,
		Group:       m.cfg.Group,
		State:       logapi.HostLive,
		Slots:       m.cfg.Slots,
		Connections: m.cfg.Connections,
	}
	if m.process != nil {
		h.Identity = m.process.identity
	}
	if !m.leavingAt.IsZero() {
		h.State = logapi.HostLeaving
	}
	return h
}

// countLateTask counts a task message of a leaving minion and reports whether to refuse it.
func (m *Minion) countLateTask(now time.Time) (refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leavingAt.IsZero() {
		return false
	}
	m.lateTasks.Count++
	m.lateTasks.LastMS = now.Sub(m.leavingAt).Milliseconds()
	return m.refuse
}

// swapLastTask stores a task and returns the one stored before it, for the answer of FaultCrossed.
// If there is no other task, it returns the task with the next index.
func (m *Minion) swapLastTask(id TaskID) TaskID {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.lastTask
	m.lastTask = id
	if other == (TaskID{}) || other == id {
		return TaskID{Ticket: id.Ticket, Index: id.Index + 1}
	}
	return other
}

// String renders the task as ticket/index.
func (t TaskID) String() string { return t.Ticket + "/" + strconv.Itoa(t.Index) }
