package main

import (
	"sync"
	"time"
)

// runLabel crashes minions that start again under their ids as minions of another kind. Clients send
// jobs whose tasks need the old kind. Rule ROUTE is checked at each start.
func runLabel(rec *record, trouble bool) error {
	q := queue{name: "r-3hwrr6x", host: "nony24.example", prefix: "/lohu930/", timeoutMillis: 1500, maxAttempts: 3}
	d, err := newDeployment(rec, smallDeployment, []queue{q})
	defer d.stop()
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range d.hosts {
		for range 3 {
			wg.Go(func() { labelClient(rec, d, q, h, stop) })
		}
	}
	for cycle := range 5 {
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		var crashed []*minion
		for i, m := range d.fleet.minions {
			if i%8 == cycle { // 6 of 48
				crashed = append(crashed, m)
				m.crash()
			}
		}
		time.Sleep(time.Second)
		for _, m := range crashed {
			m.mu.Lock()
			if m.kind == "a" {
				m.kind = "b"
			} else {
				m.kind = "a"
			}
			m.mu.Unlock()
			if err := m.boot(); err != nil {
				return err
			}
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	return nil
}

func labelClient(rec *record, d *deployment, q queue, h *host, stop chan struct{}) {
	c := newClient(rec, d.fleet)
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.submit(job{id: newJobID(), queue: q, count: 4, cpu: 2000, workMillis: 60, label: "a", deadline: 1500 * time.Millisecond}, h)
	}
}
