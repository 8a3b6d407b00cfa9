package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/sched"
)

// newRecoverySimulation returns two zones of four hosts and 24 workers each, in two cells, under the policy
// of the deployment, with jobs that have little time to wait.
func newRecoverySimulation(seed uint64) *simulation {
	w := newSimulation(seed, 4, 24, 16)
	w.placement = sched.Policy{LookAhead: true}
	for _, h := range w.hosts {
		h.kill()
		h.boot()
	}
	w.objective = recoveryOffset
	w.advance(3 * time.Second)
	return w
}

// loseHosts kills hosts and starts them again after an outage, each a little later than the one before.
func (w *simulation) loseHosts(outage, spread time.Duration, hosts ...*simHost) {
	for i, h := range hosts {
		h.kill()
		w.after(outage+time.Duration(i)*spread, h.boot)
	}
}

// arrivals counts the jobs that callers send, and those that are answered.
type arrivals struct {
	w       *simulation
	jobs    []*simJob
	arrived []time.Duration
}

// sendFor sends a job of one short task at each interval to the next host that has a process and is in
// one of the zones.
func (a *arrivals) sendFor(d, interval time.Duration, hosts []*simHost) {
	for at, n := time.Duration(0), 0; at < d; at += interval {
		n++
		turn := n
		a.w.after(at, func() {
			for i := range hosts {
				if h := hosts[(turn+i)%len(hosts)]; h.state != nil {
					a.jobs = append(a.jobs, a.w.submit(h, 1, recoveryTask, false))
					a.arrived = append(a.arrived, a.w.now)
					return
				}
			}
		})
	}
}

// recoveryTask is the duration of a task, recoveryOffset the part of the objective that does not depend on it.
const (
	recoveryTask   = 60 * time.Millisecond
	recoveryOffset = 60 * time.Millisecond
)

// served returns the share of the jobs that arrived in a span and have completed within their objective, and
// the number of those refused.
func (a *arrivals) served(from, to time.Duration) (share float64, refused int) {
	done, of := 0, 0
	for i, j := range a.jobs {
		if a.arrived[i] < from || a.arrived[i] >= to {
			continue
		}
		of++
		if len(j.outcomes) > 0 && j.outcomes[0] == sched.Completed && j.answeredAt-a.arrived[i] <= recoveryOffset+recoveryTask*16/10 {
			done++
		}
		for _, o := range j.outcomes {
			if o == sched.Refused {
				refused++
			}
		}
	}
	return float64(done) / float64(max(1, of)), refused
}

func (w *simulation) zoneHosts(zone string) []*simHost {
	var list []*simHost
	for _, h := range w.hosts {
		if h.zone == zone {
			list = append(list, h)
		}
	}
	return list
}

// checkRecovery fails the test if a job that came after the first host ran again was refused, although
// the load is a fraction of the capacity, or if jobs later than 500 ms after that were not served.
func (a *arrivals) checkRecovery(t *testing.T, seed uint64, back time.Duration) {
	t.Helper()
	if a.w.failure != nil {
		t.Errorf("seed %d: %v", seed, a.w.failure)
	}
	if _, refused := a.served(back, a.w.now); refused > 0 {
		t.Errorf("seed %d: %d jobs were refused with free workers", seed, refused)
	}
	if share, _ := a.served(back+500*time.Millisecond, a.w.now-time.Second); share < 0.98 {
		t.Errorf("seed %d: %.3f of the later jobs were served, want 0.98", seed, share)
	}
}

// recoveryRuns is the number of runs of each test, which differ in the time between the starts of hosts.
const recoveryRuns = 3

func spreadOf(run uint64) time.Duration { return time.Duration(run+1) * 30 * time.Millisecond }

// TestTotalLoss guards against refusals and a slow return after all hosts have lost power: jobs that go to
// the first cell that announces itself, and cells that are taken long after the hosts run.
func TestTotalLoss(t *testing.T) {
	for seed := range uint64(recoveryRuns) {
		w := newRecoverySimulation(seed)
		w.loseHosts(time.Second, spreadOf(seed), w.hosts...)
		back := w.now + time.Second
		a := &arrivals{w: w}
		a.sendFor(3*time.Second, 5*time.Millisecond, w.hosts)
		w.advance(4 * time.Second)
		a.checkRecovery(t, seed, back)
	}
}

// TestZoneLostAndBack guards the same for one zone, whose callers other zones can serve meanwhile.
func TestZoneLostAndBack(t *testing.T) {
	for seed := range uint64(recoveryRuns) {
		w := newRecoverySimulation(seed)
		lost := w.zoneHosts("north")
		w.loseHosts(time.Second, spreadOf(seed), lost...)
		back := w.now + time.Second
		a := &arrivals{w: w}
		a.sendFor(3*time.Second, 10*time.Millisecond, lost)
		w.advance(4 * time.Second)
		a.checkRecovery(t, seed, back)
	}
}

// TestHalfOfHostsBack guards against cells that wait for hosts which do not come back.
func TestHalfOfHostsBack(t *testing.T) {
	for seed := range uint64(recoveryRuns) {
		w := newRecoverySimulation(seed)
		for _, h := range w.hosts[4:] {
			h.kill()
		}
		w.loseHosts(time.Second, spreadOf(seed), w.hosts[:4]...)
		back := w.now + time.Second
		a := &arrivals{w: w}
		a.sendFor(3*time.Second, 5*time.Millisecond, w.hosts[:4])
		w.advance(4 * time.Second)
		a.checkRecovery(t, seed, back)
	}
}

// TestSecondLossDuringRecovery guards against state of the first recovery, such as records of hosts or
// workers half taken, that delays the second one.
func TestSecondLossDuringRecovery(t *testing.T) {
	for seed := range uint64(recoveryRuns) {
		w := newRecoverySimulation(seed)
		w.loseHosts(time.Second, spreadOf(seed), w.hosts...)
		w.advance(time.Second + time.Duration(50+40*seed)*time.Millisecond)
		for _, h := range w.hosts {
			h.kill()
		}
		w.advance(800 * time.Millisecond) // the boots of the first recovery are over
		w.loseHosts(500*time.Millisecond, spreadOf(seed), w.hosts...)
		back := w.now + 500*time.Millisecond
		a := &arrivals{w: w}
		a.sendFor(3*time.Second, 5*time.Millisecond, w.hosts)
		w.advance(4 * time.Second)
		a.checkRecovery(t, seed, back)
	}
}

// TestStoreAwayAtStart guards against hosts that, started while the store is away, serve nothing although
// the hosts that kept running know the configuration and the workers.
func TestStoreAwayAtStart(t *testing.T) {
	for seed := range uint64(recoveryRuns) {
		w := newRecoverySimulation(seed)
		for _, h := range w.hosts {
			h.storeCut = true
		}
		lost := w.zoneHosts("north")[1:]
		w.loseHosts(time.Second, spreadOf(seed), lost...)
		back := w.now + time.Second
		a := &arrivals{w: w}
		a.sendFor(4*time.Second, 10*time.Millisecond, lost)
		w.advance(5 * time.Second)
		a.checkRecovery(t, seed, back)
	}
}

// TestDrawCell guards against jobs that all wait for the same cell, or for one by the number of cells and
// not by what these will have.
func TestDrawCell(t *testing.T) {
	s := New(Options{Self: Self{Name: "a", Zone: "z", Addr: "a:1", ID: 1}, Zones: []string{"z"}, CellWorkers: 2, Seed: 1})
	listed := make(map[fleet.Cell]int)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		s.workers[id] = &workerEntry{info: fleet.Worker{ID: id, Zone: "z", Service: "s", Capacity: fleet.Resources{CPU: 1000}}}
	}
	s.updateZoneParts(0, nil)
	for _, e := range s.sortedEntries() {
		listed[s.workerCell(e)]++
	}
	drawn := make(map[fleet.Cell]int)
	for range 6000 {
		drawn[s.drawCell("s")]++
	}
	for cell, n := range listed {
		if want := 1000 * n; drawn[cell] < want*9/10 || drawn[cell] > want*11/10 {
			t.Errorf("cell %s with %d of 6 workers was drawn %d times of 6000", cell, n, drawn[cell])
		}
	}
	if cell := s.drawCell("other"); cell != "" {
		t.Errorf("drew %s for a service without workers", cell)
	}
}

// TestStartLog guards against a start without its breakdown in the log.
func TestStartLog(t *testing.T) {
	w := newRecoverySimulation(1)
	a := &arrivals{w: w}
	a.sendFor(100*time.Millisecond, 5*time.Millisecond, w.hosts)
	w.advance(time.Second)
	for _, h := range w.hosts {
		if times := h.state.StartTimes(); !h.state.start.logged || times["first_job"] == 0 || times["cells_covered"] == 0 {
			t.Errorf("host %s: logged %v, %v", h.name, h.state.start.logged, times)
		}
	}
}

// TestZoneBackWithoutStore guards against a zone whose hosts come back while the store is away and never
// learn of their workers, although commanders of other zones know them.
func TestZoneBackWithoutStore(t *testing.T) {
	w := newRecoverySimulation(1)
	for _, h := range w.hosts {
		h.storeCut = true
	}
	w.loseHosts(time.Second, 30*time.Millisecond, w.zoneHosts("north")...)
	w.advance(time.Second + 1500*time.Millisecond)
	held := 0
	for _, h := range w.zoneHosts("north") {
		for _, ww := range w.workers {
			if ww.info.Zone == "north" && h.state.sched.AcceptedBy(ww.ID) {
				held++
			}
		}
	}
	if held != 24 {
		t.Errorf("%d of 24 workers of the zone obey its hosts 1.5 s after these are back", held)
	}
}

// TestRollingRestart guards against refusals and late answers while the hosts of a zone are drained and
// started again one after the other.
func TestRollingRestart(t *testing.T) {
	w := newRecoverySimulation(1)
	hosts := w.zoneHosts("north")
	var ready []*simHost
	for i, h := range hosts {
		w.after(time.Duration(i)*1300*time.Millisecond, func() {
			h.draining = true
			h.step(Drain{})
		})
		w.after(time.Duration(i)*1300*time.Millisecond+600*time.Millisecond, h.kill)
		w.after(time.Duration(i)*1300*time.Millisecond+600*time.Millisecond+bootTime, h.boot)
	}
	a := &arrivals{w: w}
	from := w.now
	for range 120 {
		ready = ready[:0]
		for _, h := range hosts {
			if h.state != nil && !h.draining && h.state.Serving(h.clock()) {
				ready = append(ready, h)
			}
		}
		a.sendFor(time.Millisecond, time.Millisecond, ready)
		w.advance(50 * time.Millisecond)
	}
	if w.failure != nil {
		t.Error(w.failure)
	}
	if share, refused := a.served(from, w.now-500*time.Millisecond); share < 0.98 || refused > 0 {
		t.Errorf("%.3f of the jobs were served in time, want 0.98; %d were refused, want none", share, refused)
	}
}
