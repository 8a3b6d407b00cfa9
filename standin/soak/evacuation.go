package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

const (
	// evacuationLimit is the time after which no task may start in an evacuated zone.
	evacuationLimit = 5 * time.Second
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
			lasts := time.Duration(rng.Int64N(int64(2 * evacuationLimit)))
			if rng.IntN(3) == 0 {
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
// evacuation and before it was taken back, unless a fault within excusePeriod before excuses it.
func (d *deployment) checkEvacuations() {
	for _, w := range d.workers {
		for _, run := range w.History() {
			for _, e := range d.evacuations {
				if e.zone == w.zone && run.Start.After(e.from.Add(evacuationLimit)) && run.Start.Before(e.to) && !d.excusesStart(w, run.Start) {
					d.addFinding("task %s started on %s %v after the evacuation of %s", run.Task, w.ID, run.Start.Sub(e.from), e.zone)
				}
			}
		}
	}
}

// excusesStart reports whether a worker may have got a start at a time although its zone was evacuated: a
// host of the zone had an unplanned fault shortly before, the store had one, or this process stalled.
func (d *deployment) excusesStart(w *workerNode, at time.Time) bool {
	from := at.Add(-excusePeriod)
	for _, h := range d.hosts {
		if h.zone == w.zone && h.hadUnplannedFault(from, at) {
			return true
		}
	}
	return d.stalls.overlap(from, at) || anyIntervalOverlaps(d.storeFaults, from, at)
}
