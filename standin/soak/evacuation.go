package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

const (
	// evacuationLimit is the time after which no task may start in an evacuated zone.
	evacuationLimit = 5 * time.Second
	// requestReadTime is how long without faults of the store is enough for all hosts to read a request.
	requestReadTime = 1500 * time.Millisecond
	// maxEvacuationPause limits the pause before each evacuation.
	maxEvacuationPause = 3 * time.Second
	// quickEvacuation is the longest time between a request and its withdrawal in quick succession.
	quickEvacuation = 300 * time.Millisecond
	// maxColdTime limits how long the workers of a zone that is taken back are slow.
	maxColdTime = 3 * time.Second
)

// evacuation is a time in which a zone was to get no new work.
type evacuation struct {
	zone string
	interval
}

// evacuateZones evacuates one zone after the other and takes it back, for the given time: some for long
// enough to check evacuationLimit, some in quick succession. It draws from a generator of its own, so that
// it does not change the faults of a seed. The channel is closed when the last zone was taken back.
func (d *deployment) evacuateZones(ctx context.Context, rng *rand.Rand, r *report, length time.Duration) <-chan struct{} {
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		for {
			time.Sleep(time.Duration(rng.Int64N(int64(maxEvacuationPause))))
			left := length - time.Since(start)
			if left <= 0 || ctx.Err() != nil {
				return
			}
			lasts := evacuationLimit + time.Duration(rng.Int64N(int64(evacuationLimit)))
			if rng.IntN(2) == 0 {
				lasts = time.Duration(rng.Int64N(int64(quickEvacuation)))
			}
			e := evacuation{zone: d.zones[rng.IntN(len(d.zones))], interval: interval{from: time.Now()}}
			d.store.PutEvacuation(e.zone, true)
			time.Sleep(min(lasts, left))
			d.chillZone(rng, e.zone)
			e.to = time.Now()
			d.store.PutEvacuation(e.zone, false)
			d.mu.Lock()
			d.evacuations = append(d.evacuations, e)
			d.mu.Unlock()
			r.evacuations = append(r.evacuations, fmt.Sprintf("%.2fs %s for %.2fs", e.from.Sub(start).Seconds(), e.zone, e.to.Sub(e.from).Seconds()))
		}
	}()
	return done
}

// chillZone makes the workers of a zone slow for a drawn time, which may be none.
func (d *deployment) chillZone(rng *rand.Rand, zone string) {
	cold := time.Duration(rng.Int64N(int64(maxColdTime)))
	if rng.IntN(2) == 0 {
		return
	}
	for _, w := range d.workers {
		if w.zone == zone {
			w.SetCold(cold)
			d.publishWorkerState(w, fleetsim.Ready)
		}
	}
}

// checkEvacuations adds a finding for each task that started in a zone later than evacuationLimit after its
// evacuation and before it was taken back, unless a fault of the host that started it excuses it, a fault of
// the store, or a stall of this process.
func (d *deployment) checkEvacuations() {
	starters := d.startersByJob()
	for _, w := range d.workers {
		for _, run := range w.History() {
			for _, e := range d.evacuations {
				if e.zone != w.zone || run.Start.Before(e.from.Add(evacuationLimit)) || run.Start.After(e.to) || d.excusesStart(e, starters[jobOf(run.Task)], run.Start) {
					continue
				}
				d.addFinding("task %s started on %s %v after the evacuation of %s", run.Task, w.ID, run.Start.Sub(e.from), e.zone)
			}
		}
	}
}

// jobOf returns the job in the name of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// startersByJob returns the hosts whose logs say that they have started tasks of a job.
func (d *deployment) startersByJob() map[string][]*hostNode {
	starters := make(map[string][]*hostNode)
	for _, h := range d.hosts {
		text, err := os.ReadFile(filepath.Join(d.runDir, h.name+".log"))
		if err != nil {
			continue // a spare host that was never started
		}
		for _, line := range strings.Split(string(text), "\n") {
			if _, after, found := strings.Cut(line, `msg="tasks started" job=`); found {
				job, _, _ := strings.Cut(after, " ")
				starters[job] = append(starters[job], h)
			}
		}
	}
	return starters
}

// excusesStart reports whether a start in an evacuated zone is excused: shortly before it, a host that may
// have started it had an unplanned fault, or there was never time enough to read the request.
func (d *deployment) excusesStart(e evacuation, starters []*hostNode, at time.Time) bool {
	from := at.Add(-excusePeriod)
	for _, h := range starters {
		if h.hadUnplannedFault(from, at) {
			return true
		}
	}
	for t := e.from; t.Add(requestReadTime).Before(at); t = t.Add(stallCheckInterval) {
		if !anyIntervalOverlaps(d.storeFaults, t, t.Add(requestReadTime)) {
			return d.stalls.overlap(from, at)
		}
	}
	return true
}
