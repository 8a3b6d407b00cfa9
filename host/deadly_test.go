package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// crashDelay is the time from the start of a deadly task to the crash of its worker.
	crashDelay = 10 * time.Millisecond
	// crashDowntime is how long a crashed worker is away.
	crashDowntime = 3200 * time.Millisecond
	// maxStartsOfDeadlyTask is what the users' pages allow: fewer than three starts after three crashes.
	maxStartsOfDeadlyTask = 5
)

// crasher returns a function that crashes the current process of the worker. Its open connections end, new
// ones are refused until another process is up.
func (ww *simWorker) crasher(w *simulation) func() {
	born := ww.Born
	return func() {
		if ww.Born != born {
			return
		}
		w.endProcess(ww, crashDowntime)
		ww.refuses = true
		for _, c := range ww.openCalls {
			w.after(simLatency, func() { c.answer(fleet.HoldReply{Reply: fleet.Reply{Broken: true}}) })
		}
		ww.openCalls = nil
		w.after(crashDowntime, func() { w.publishWorker(ww) })
	}
}

// deadlyDay plays jobs with a deadly task beside sound ones, with a fault of the hosts, and returns all jobs.
func deadlyDay(seed uint64, fault func(w *simulation)) (w *simulation, deadly, sound []*simJob) {
	w = newSimulation(seed, 3, 8, 100)
	w.patience = 12 * time.Second
	w.advance(2 * time.Second)
	for i := range 60 {
		j := w.submit(w.hosts[w.rng.IntN(len(w.hosts))], 2, 200*time.Millisecond, false)
		if i == 5 || i == 25 {
			j.deadly = true
			deadly = append(deadly, j)
		} else {
			sound = append(sound, j)
		}
		if i%12 == 8 {
			fault(w)
		}
		w.advance(150 * time.Millisecond)
	}
	for w.now < time.Hour+60*time.Second && w.failure == nil {
		w.advance(10 * time.Millisecond)
		w.check()
	}
	return w, deadly, sound
}

// killCommander kills a host that commands a cell; another process starts there after a second.
func killCommander(w *simulation) {
	for _, h := range w.hosts {
		if h.state != nil && h.state.CellCount() > 0 {
			(&hostMachine{w: w}).restart(h, time.Second)
			return
		}
	}
}

// checkDeadlyDays checks that no task crashes more workers than allowed, whatever the fault of the hosts.
func checkDeadlyDays(t *testing.T, limit int, fault func(w *simulation)) {
	t.Helper()
	for seed := range uint64(12) {
		w, deadly, sound := deadlyDay(seed, fault)
		if w.failure != nil {
			t.Fatalf("seed %d: %v", seed, w.failure)
		}
		for _, j := range deadly {
			if j.crashes > limit {
				t.Errorf("seed %d: task 0 of %s has crashed %d workers, want at most %d", seed, j.id, j.crashes, limit)
			}
		}
		incomplete := 0
		for _, j := range sound {
			if len(j.done) < j.tasks {
				incomplete++
				t.Logf("seed %d: %s has %v of %d tasks after the outcomes %v, %s, %d resends", seed, j.id, j.done, j.tasks, j.outcomes, j.reason, j.resends)
			}
		}
		if incomplete > 0 {
			t.Errorf("seed %d: %d of %d sound jobs were not completed", seed, incomplete, len(sound))
		}
	}
}

// TestDeadlyTaskCrashesTwoWorkers guards against a task that crashes worker after worker until its caller
// leaves, and against sound jobs that are lost with it.
func TestDeadlyTaskCrashesTwoWorkers(t *testing.T) {
	checkDeadlyDays(t, 2, func(*simulation) {})
}

// TestDeadlyTaskUnderLostCommanders guards against crashes that are forgotten with the commander that saw
// them, so that each further commander and each further submission of the job begins to count anew.
func TestDeadlyTaskUnderLostCommanders(t *testing.T) {
	checkDeadlyDays(t, maxStartsOfDeadlyTask, killCommander)
}
