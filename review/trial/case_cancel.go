package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	cancelBound = 3000 * time.Millisecond // cancel_ms
	killGrace   = 50 * time.Millisecond   // killGraceMs

	cancelJobs    = 14
	cancelledJobs = 4
)

// runCancel submits jobs and cancels some of them while they run. After the cancelling is acknowledged,
// their tasks have to be gone within cancelBound and killGrace.
func runCancel(rec *record, trouble bool) error {
	q := queue{name: "r-3hwrr6x", host: "nony24.example", prefix: "/lohu930/", timeoutMillis: 15000, maxAttempts: 3}
	d, err := newDeployment(rec, smallDeployment, []queue{q})
	defer d.stop()
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // until all machines are in touch
	var wg sync.WaitGroup
	var mu sync.Mutex
	ackedAt := make(map[string]time.Time)
	completed := 0
	for i := range cancelJobs {
		h := d.hosts[i%len(d.hosts)]
		wg.Go(func() {
			c := newClient(rec, d.fleet)
			j := job{id: newJobID(), queue: q, count: 4, cpu: 2000, workMillis: 7000, deadline: 15 * time.Second}
			if trouble && i < cancelledJobs {
				wg.Go(func() {
					time.Sleep(time.Second)
					status, _ := newClient(rec, d.fleet).send(http.MethodDelete, h, j, nil)
					if status/100 == 2 || status == http.StatusGone {
						mu.Lock()
						defer mu.Unlock()
						ackedAt[j.id] = time.Now()
					}
				})
			}
			if c.submit(j, h) == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				completed++
			}
		})
	}
	wg.Wait()
	for _, r := range d.fleet.allRuns() {
		id, _, _ := strings.Cut(r.task, ".")
		acked, cancelled := ackedAt[id]
		end := r.end
		if end.IsZero() {
			end = time.Now()
		}
		if limit := acked.Add(cancelBound + killGrace); cancelled && end.After(limit) {
			rec.breakRule("UNASKED", "task %s ran until %.3f s after the acknowledgement of its job's cancelling, and ended %s", r.task, end.Sub(acked).Seconds(), r.how)
		}
	}
	if !trouble && completed != cancelJobs {
		return fmt.Errorf("only %d of %d jobs were completed", completed, cancelJobs)
	}
	return nil
}
