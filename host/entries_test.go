package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/sched"
)

// restartWorker replaces the process of a worker by one that answers after the time down, has another
// capacity and writes its entry after another delay.
func (w *simulation) restartWorker(ww *simWorker, down, entryDelay time.Duration) {
	w.endProcess(ww, down)
	ww.Capacity.CPU = fullCapacity + smallCapacity - ww.Capacity.CPU
	born := ww.Born
	w.after(down+entryDelay, func() {
		if ww.Born == born {
			w.publishWorker(ww)
		}
	})
}

// fullCapacity and smallCapacity are what the processes of a worker have in turn, in thousandths of a core.
const fullCapacity, smallCapacity = 64000, 32000

// TestRestartedWorkersAreReadAtOnce guards against workers that wait for the next read of all entries
// after a restart, and against one read for each of many workers that restart together.
func TestRestartedWorkersAreReadAtOnce(t *testing.T) {
	w := newSimulation(1, 2, 6, 100)
	w.advance(3 * time.Second)
	for _, ww := range w.workers {
		w.restartWorker(ww, minWorkerRestart, 0)
	}
	w.load = 25 * time.Millisecond
	w.advance(minWorkerRestart - time.Millisecond)
	before := make([]int, len(w.hosts))
	for i, h := range w.hosts {
		before[i] = h.reads
	}
	w.advance(300 * time.Millisecond)
	asked := 0
	for i, h := range w.hosts {
		n := h.reads - before[i]
		asked += n
		if n > 3 {
			t.Errorf("host %s has asked for %d reads in 300 ms", h.name, n)
		}
		for _, ww := range w.workers {
			if entry := h.state.workers[ww.ID]; h.state.sched.AcceptedBy(ww.ID) && entry.info.Capacity != ww.Capacity {
				t.Errorf("host %s uses worker %s by an entry with %+v; it has %+v", h.name, ww.ID, entry.info.Capacity, ww.Capacity)
			}
		}
	}
	w.check()
	if w.failure != nil || asked == 0 {
		t.Errorf("%v, %d reads were asked for", w.failure, asked)
	}
}

// usable reports whether the commander of a worker has the entry of its process.
func (w *simulation) usable(ww *simWorker) bool {
	for _, h := range w.hosts {
		if h.state.sched.AcceptedBy(ww.ID) && h.state.workers[ww.ID].info.ProcessStart == ww.Born {
			return true
		}
	}
	return false
}

// TestEntryAfterAnswerIsRead guards against a restarted worker that stays unused until the next read in
// turn, because its entry was not yet in the store when it first answered.
func TestEntryAfterAnswerIsRead(t *testing.T) {
	const entryDelay = 50 * time.Millisecond
	for seed := range uint64(10) {
		w := newSimulation(seed, 2, 2, 100)
		w.load = 25 * time.Millisecond
		w.advance(3*time.Second + time.Duration(w.rng.Int64N(int64(storeReadInterval))))
		ww := w.workers[0]
		w.restartWorker(ww, minWorkerRestart, entryDelay)
		w.advance(minWorkerRestart)
		for heardAt := time.Duration(0); !w.usable(ww); w.advance(5 * time.Millisecond) {
			if heardAt == 0 && ww.Fence != 0 {
				heardAt = w.now
			}
			if heardAt != 0 && w.now-heardAt > entriesWantedInterval+2*simTickInterval {
				t.Fatalf("seed %d: the worker is not used %v after its first answer", seed, w.now-heardAt)
			}
		}
	}
}

// TestSameWorker guards against a change of a worker that is not passed on to the scheduler.
func TestSameWorker(t *testing.T) {
	a := fleet.Worker{ID: "w", Kind: "a", Rack: "r1", ProcessStart: 1}
	for _, b := range []fleet.Worker{{ID: "w", Kind: "b", Rack: "r1", ProcessStart: 1}, {ID: "w", Kind: "a", Rack: "r2", ProcessStart: 1}, {ID: "w", Kind: "a", Rack: "r1", ProcessStart: 2}} {
		if sameWorker(a, b) {
			t.Errorf("%+v counts as equal to %+v", b, a)
		}
	}
}

// TestReadsForRestartsAreBounded guards against a read of the store with each event while a worker waits
// for its entry.
func TestReadsForRestartsAreBounded(t *testing.T) {
	s := newTestState("h", 1)
	reads := 0
	for now := time.Minute; now < time.Minute+time.Second; now += 10 * time.Millisecond {
		s.wantEntries(now)
		for _, e := range s.Step(now, WorkerEvent{Event: sched.Tick{}}) {
			if _, ok := e.(ReadWorkers); ok {
				reads++
			}
		}
	}
	if reads < 5 || reads > 8 {
		t.Errorf("%d reads in a second, want one each %v", reads, entriesWantedInterval)
	}
}
