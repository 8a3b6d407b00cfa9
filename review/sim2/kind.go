package main

import (
	"errors"
	"time"
)

// backAfter is how long a crashed minion is away.
const backAfter = 300 * time.Millisecond

// otherKind: the only minion of kind a, which has just run a job, crashes and is back as a machine of kind b. A job
// comes that needs kind a.
func otherKind(d *deployment, trouble bool) (int, error) {
	d.kind = "b"
	if err := d.addMinions(zoneNames[0], 1, 64000, 131072); err != nil {
		return cannot, err
	}
	m := d.minions[0]
	m.setKind("a")
	if err := d.startSmall(1500); err != nil {
		return cannot, err
	}
	time.Sleep(contactTime)
	h := d.inZone(m.zone)[0]
	body := job("60ms", 1, 27000, 64, 60*time.Millisecond)
	body["phases"].([]map[string]any)[0]["constraints"] = "a"
	first, second := jobID(), jobID()
	d.journal.log("minion %s is the only one of kind a", m.id)
	a := d.call(h, "POST", first, body, 1500*time.Millisecond)
	d.journal.log("POST %s with the constraint a at %s: %v", first, h.name, a)
	if a.status != 200 {
		return cannot, errors.New("the minion of kind a is not used")
	}
	if trouble {
		if err := m.restart("b", backAfter); err != nil {
			return cannot, err
		}
	} else {
		time.Sleep(backAfter)
	}
	a = d.call(h, "POST", second, body, 1500*time.Millisecond)
	d.journal.log("POST %s with the constraint a at %s: %v", second, h.name, a)
	wrong := 0
	for _, r := range d.runsOf(second) {
		if r.kind != "a" {
			wrong++
			d.journal.log("ROUTE: minion %s of kind %s runs %s, which needs kind a", r.minion, r.kind, r.task)
		}
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
