package main

import (
	"syscall"
	"time"
)

// cancelZone: the daemons of one zone are lost for good; afterwards clients of the others cancel accepted jobs.
func cancelZone(d *deployment, trouble bool) (int, error) {
	if err := d.startSmall(1500); err != nil {
		return cannot, err
	}
	time.Sleep(contactTime)
	lost := zoneNames[2]
	if trouble {
		for _, h := range d.inZone(lost) {
			d.signal(h, syscall.SIGKILL)
		}
	}
	time.Sleep(contactTime + ackTime) // steady state
	clients := append(d.inZone(zoneNames[0]), d.inZone(zoneNames[1])...)
	const jobs = 6
	acks := make(chan bool)
	for i := range jobs {
		go func() { acks <- d.runAndCancel(clients[i%len(clients)], clients[(i+1)%len(clients)]) }()
	}
	unacked := 0
	for range jobs {
		if !<-acks {
			unacked++
		}
	}
	d.journal.log("%d of %d cancels without 2xx or 410", unacked, jobs)
	if unacked >= 3 && 10*unacked > jobs {
		return broken, nil
	}
	return held, nil
}

// runAndCancel submits a job at a daemon, and cancels it at another one as soon as it was accepted, until that is
// acknowledged or ackTime has passed. It reports whether it was.
func (d *deployment) runAndCancel(at, by *entryHost) bool {
	id := jobID()
	a := d.call(at, "POST", id, job("100ms", 2, 27000, 64, 100*time.Millisecond), 1500*time.Millisecond)
	d.journal.log("POST %s at %s: %v", id, at.name, a)
	if a.status != 200 {
		return true // it was not accepted, so its cancel does not count
	}
	for begin := time.Now(); time.Since(begin) < ackTime+time.Second; time.Sleep(500 * time.Millisecond) {
		c := d.call(by, "DELETE", id, nil, 2500*time.Millisecond)
		d.journal.log("DELETE %s at %s: %v", id, by.name, c)
		if c.status/100 == 2 || c.status == 410 {
			return true
		}
	}
	return false
}
