package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/sched"
)

// submitSteadily submits jobs of one task to the hosts in turn, one in each pause, for a time.
func (w *simulation) submitSteadily(d, pause, takes time.Duration) []*simJob {
	var jobs []*simJob
	for end := w.now + d; w.now < end; w.advance(pause) {
		jobs = append(jobs, w.submit(w.hosts[len(jobs)%len(w.hosts)], 1, takes, false))
	}
	return jobs
}

// TestBurstWhileZoneEmpties replays a burst on both zones in the middle of which one is evacuated. It guards
// against jobs that hang in the evacuated zone, against an overrun of the other one (the workers check their
// capacity), and against jobs that are turned away although they fit.
func TestBurstWhileZoneEmpties(t *testing.T) {
	w := newSimulation(5, 2, 3, 0)
	w.advance(3 * time.Second)
	const takes = 200 * time.Millisecond
	before := w.submitSteadily(time.Second, 13*time.Millisecond, takes) // 77 a second; each zone does 30
	w.evacuate("north", true)
	burst := w.submitSteadily(2*time.Second, 18*time.Millisecond, takes)
	calm := w.submitSteadily(6*time.Second, 50*time.Millisecond, takes)
	w.advance(5 * time.Second)
	if w.failure != nil {
		t.Fatal(w.failure)
	}
	count := func(jobs []*simJob) map[sched.Outcome]int {
		n := make(map[sched.Outcome]int)
		for _, j := range jobs {
			if len(j.outcomes) == 0 {
				t.Fatalf("%s has no answer", j.id)
			}
			n[j.outcomes[len(j.outcomes)-1]]++
		}
		return n
	}
	for _, h := range w.hosts {
		if n := h.state.Scheduler().Stats().Violations; n > 0 {
			t.Errorf("host %s: %d starts were stopped by an internal check", h.name, n)
		}
	}
	if n := count(before); n[sched.Completed] < len(before)*6/10 || n[sched.Aborted] > 0 {
		t.Errorf("before the evacuation: %v of %d", n, len(before))
	}
	if n := count(burst); n[sched.Completed] < 50 || n[sched.Aborted] > 0 {
		t.Errorf("while the zone is empty: %v of %d; one zone can complete 60", n, len(burst))
	}
	if n := count(calm[len(calm)/2:]); n[sched.Completed] < len(calm)/2*9/10 {
		t.Errorf("after the burst: %v of %d", n, len(calm)/2)
	}
}

// TestLoadReturnsAsZoneWarms guards against a zone that is taken back and gets its whole share while its workers
// are cold, and against one that gets nothing then or stays without its share when it is warm.
func TestLoadReturnsAsZoneWarms(t *testing.T) {
	w := newSimulation(9, 2, 3, 0)
	w.advance(3 * time.Second)
	w.evacuate("north", true)
	w.advance(2 * time.Second)
	for _, ww := range w.workers {
		if ww.info.Zone == "north" {
			ww.coldUntil, ww.info.ColdLeft = w.now+16*time.Second, 16*time.Second
			w.publishWorker(ww)
		}
	}
	w.advance(time.Second)
	w.evacuate("north", false)
	w.advance(time.Second)
	share := func(d, pause time.Duration) float64 {
		north, south := w.zoneStarts("north"), w.zoneStarts("south")
		w.submitSteadily(d, pause, 200*time.Millisecond)
		north, south = w.zoneStarts("north")-north, w.zoneStarts("south")-south
		return float64(north) / float64(north+south)
	}
	light := share(6*time.Second, 60*time.Millisecond) // the other zone has room for all
	heavy := share(5*time.Second, 26*time.Millisecond)
	w.advance(3 * time.Second)
	warm := share(6*time.Second, 60*time.Millisecond)
	if w.failure != nil {
		t.Fatal(w.failure)
	}
	if light <= 0 || light > 0.2 || heavy < 0.1 || heavy > 0.4 || warm < 0.4 {
		t.Errorf("the zone gets %.2f of a light load and %.2f of a heavy one while it is cold, and %.2f when it is warm", light, heavy, warm)
	}
}
