package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// cutTime and cutMinions are how long minions are cut off, and how many of the 48.
	cutTime    = 5500 * time.Millisecond
	cutMinions = 8
	cuts       = 4
	// lapseClients is the number of clients, each with one job at a time.
	lapseClients = 12
)

// overlaps describes the runs of one task that were on at the same time on two minions.
func overlaps(runs []taskRun) []string {
	byTask := make(map[string][]taskRun)
	for _, r := range runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	var list []string
	for task, rs := range byTask {
		sort.Slice(rs, func(a, b int) bool { return rs[a].begin.Before(rs[b].begin) })
		for i, r := range rs {
			for _, former := range rs[:i] {
				if former.end.IsZero() || former.end.After(r.begin) {
					list = append(list, fmt.Sprintf("%s begins as attempt %d on %s, and its attempt %d on %s ends %v later (%s)",
						task, r.attempt, r.minion, former.attempt, former.minion, former.end.Sub(r.begin).Round(time.Millisecond), former.how))
				}
			}
		}
	}
	sort.Strings(list)
	return list
}

// lapse: minions are cut off and run on, until their leases have lapsed.
func lapse(d *deployment, trouble bool) (int, error) {
	if err := d.startSmall(10000); err != nil {
		return cannot, err
	}
	time.Sleep(contactTime)
	end := time.Now().Add(cuts * (cutTime + 3*time.Second))
	for range lapseClients {
		go func() {
			for time.Now().Before(end) {
				id := jobID()
				h := d.hosts[rand.IntN(len(d.hosts))]
				a := d.call(h, "POST", id, job("2s", 4, 27000, 64, 2*time.Second), 10*time.Second)
				d.journal.log("POST %s at %s: %v", id, h.name, a)
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	for range cuts {
		time.Sleep(3 * time.Second)
		first := rand.IntN(len(d.minions))
		chosen := make([]*minion, cutMinions)
		for i := range chosen {
			chosen[i] = d.minions[(first+i*len(d.minions)/cutMinions)%len(d.minions)]
		}
		for _, m := range chosen {
			if trouble {
				d.journal.log("minion %s is cut off", m.id)
				m.setCut(true)
			}
		}
		time.Sleep(cutTime)
		for _, m := range chosen {
			m.setCut(false)
		}
	}
	time.Sleep(4 * time.Second)
	twice := overlaps(d.journal.all())
	for _, o := range twice {
		d.journal.log("TWICE %s", o)
	}
	d.journal.log("%d runs, %d of them while another one of the task was on", len(d.journal.all()), len(twice))
	if len(twice) > 0 {
		return broken, nil
	}
	return held, nil
}
