package main

import (
	"encoding/json"
	"errors"
	"strings"
	"syscall"
	"time"
)

// Bounds of the site kgcea-quotes.
const (
	contactTime   = 3000 * time.Millisecond // contactMs
	ackTime       = 4000 * time.Millisecond // ackMs
	cancelTime    = 3000 * time.Millisecond // cancel_ms
	killGraceTime = 50 * time.Millisecond   // killGraceMs
	configTime    = 2000 * time.Millisecond // configApplyMs
	// darkTime is how long a killed machine is away, and againAfter when a request arrives again after the 2xx.
	darkTime   = 3500 * time.Millisecond
	againAfter = 5 * time.Second
	// margin is added to a bound where the script compares its own clock with it.
	margin = 300 * time.Millisecond
)

// leaderOf returns the daemon of a zone that has last announced a command over minions in the store.
func (d *deployment) leaderOf(zone string) (*entryHost, error) {
	var leader *entryHost
	highest := int64(0)
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	for name, r := range d.store.topic("keyed.hosts").newest {
		var record struct{ Fence int64 }
		if json.Unmarshal(r.value, &record) != nil {
			continue
		}
		for _, h := range d.inZone(zone) {
			if h.name == name && record.Fence > highest {
				leader, highest = h, record.Fence
			}
		}
	}
	if leader == nil {
		return nil, errors.New("no daemon of the zone gives orders")
	}
	return leader, nil
}

// runsOf returns the runs of a job's tasks.
func (d *deployment) runsOf(id string) []taskRun {
	var list []taskRun
	for _, r := range d.journal.all() {
		if strings.HasPrefix(r.task, id+".") {
			list = append(list, r)
		}
	}
	return list
}

// awaitRuns waits until a job has a number of runs.
func (d *deployment) awaitRuns(id string, n int) error {
	for end := time.Now().Add(3 * time.Second); len(d.runsOf(id)) < n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the job does not start")
		}
	}
	return nil
}

// submitLater submits a job in the background.
func (d *deployment) submitLater(h *entryHost, id string, body any, wait time.Duration) <-chan answer {
	done := make(chan answer, 1)
	d.journal.log("POST %s at %s", id, h.name)
	go func() {
		a := d.call(h, "POST", id, body, wait)
		d.journal.log("POST %s at %s: %v", id, h.name, a)
		done <- a
	}()
	return done
}

// cancelThenKill: a job is cancelled, the daemon that acknowledged this is killed, and a request with the ID of
// the job arrives again.
func cancelThenKill(d *deployment, trouble bool) (int, error) {
	if err := d.startSmall(1500); err != nil {
		return cannot, err
	}
	time.Sleep(contactTime)
	zone := zoneNames[0]
	leader, err := d.leaderOf(zone)
	if err != nil {
		return cannot, err
	}
	var other *entryHost
	for _, h := range d.inZone(zone) {
		if h != leader {
			other = h
		}
	}
	id := jobID()
	body := job("1s", 2, 27000, 64, time.Second)
	posted := d.submitLater(other, id, body, 1500*time.Millisecond)
	if err := d.awaitRuns(id, 2); err != nil {
		return cannot, err
	}
	a := d.call(leader, "DELETE", id, nil, 1500*time.Millisecond)
	acked := time.Now()
	d.journal.log("DELETE %s at %s: %v", id, leader.name, a)
	if a.status != 200 && a.status != 410 {
		return cannot, errors.New("the cancel was not acknowledged")
	}
	<-posted
	time.Sleep(200 * time.Millisecond)
	if trouble {
		d.signal(leader, syscall.SIGKILL)
		time.Sleep(darkTime)
		if err := d.start(leader); err != nil {
			return cannot, err
		}
	}
	time.Sleep(time.Until(acked.Add(againAfter)))
	<-d.submitLater(other, id, body, 1500*time.Millisecond)
	late := 0
	for _, r := range d.runsOf(id) {
		if after := r.begin.Sub(acked); after > cancelTime+margin {
			late++
			d.journal.log("UNASKED: %s starts %s %v after the cancelling of its job was acknowledged", r.minion, r.task, after.Round(time.Millisecond))
		}
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// cancelRemovedQueue: a configuration removes a queue while a job of it runs, and the job is cancelled.
func cancelRemovedQueue(d *deployment, trouble bool) (int, error) {
	d.queues = []string{queuePrefix, "/gono990/"}
	if err := d.startSmall(20000); err != nil {
		return cannot, err
	}
	time.Sleep(contactTime)
	id := jobID()
	d.submitLater(d.hosts[0], id, job("16s", 2, 27000, 64, 16*time.Second), 20*time.Second)
	if err := d.awaitRuns(id, 2); err != nil {
		return cannot, err
	}
	if trouble {
		d.queues = []string{"/gono990/"}
		d.publish(20000)
	}
	time.Sleep(configTime + contactTime) // steady state
	asked := time.Now()
	acked := time.Time{}
	for i := 0; time.Since(asked) < ackTime && acked.IsZero(); i++ {
		h := d.hosts[i%len(d.hosts)]
		a := d.call(h, "DELETE", id, nil, 1500*time.Millisecond)
		d.journal.log("DELETE %s at %s: %v", id, h.name, a)
		if a.status/100 == 2 || a.status == 410 {
			acked = time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	limit := asked.Add(ackTime + cancelTime + killGraceTime + margin)
	if !acked.IsZero() {
		limit = acked.Add(cancelTime + killGraceTime + margin)
	}
	time.Sleep(time.Until(limit))
	running := 0
	for _, r := range d.runsOf(id) {
		if r.end.IsZero() {
			running++
			d.journal.log("UNASKED: %s still runs %s, %v after the first cancel", r.minion, r.task, time.Since(asked).Round(time.Millisecond))
		}
	}
	if running > 0 {
		return broken, nil
	}
	return held, nil
}
