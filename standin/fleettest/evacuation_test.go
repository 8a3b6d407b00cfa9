package fleettest

import (
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

// zoneStarts returns how many tasks were started on the workers of a zone.
func (d *deployment) zoneStarts(zone string) int {
	n := 0
	for _, w := range d.workers {
		if strings.HasPrefix(w.ID, "w-"+zone) {
			for _, starts := range w.Starts() {
				n += starts
			}
		}
	}
	return n
}

// waitUntilLogged waits until the log of each host has a line with the given text.
func (d *deployment) waitUntilLogged(text string, names ...string) {
	d.t.Helper()
	for _, name := range names {
		d.waitUntil(name+" logs "+text, func() bool { return strings.Contains(d.hosts[name].log.String(), text) })
	}
}

// TestEvacuatedZone guards against tasks that start in an evacuated zone, also on a host that starts while the
// store is down, against callers of the zone who are not served, and against a zone whose withdrawal is read
// only from a list that does not name it and that therefore stays empty.
func TestEvacuatedZone(t *testing.T) {
	d, names := startThreeHosts(t)
	d.store.PutEvacuation("north", true)
	d.waitUntilLogged(`msg="zone evacuated" zone=north`, names...)
	before := d.zoneStarts("north")
	d.checkCompleted(d.submitAll(names, 0, 30, "40ms", 2, allAlive))
	d.store.SetDown(true)
	lost := d.commanderOf("north")
	d.hosts[lost].host.Close()
	delete(d.hosts, lost)
	d.startHost("n3", "north", 2)
	d.waitUntilReady("n3")
	d.waitUntilLogged(`msg="zone evacuated" zone=north`, "n3")
	d.checkCompleted(d.submitAll([]string{"n3", "s1"}, 1000, 20, "40ms", 2, allAlive))
	if after := d.zoneStarts("north"); after != before {
		t.Errorf("%d tasks were started in the evacuated zone", after-before)
	}
	d.store.PutEvacuation("north", false)
	d.store.DropHistory("keyed.op")
	d.store.SetDown(false)
	d.waitUntilLogged(`msg="zone taken back" zone=north`, "n3", "s1")
	d.waitUntil("tasks start in the zone that was taken back", func() bool {
		d.submit("n3", jobID(2000+d.zoneStarts("south")), "20ms", 1)
		return d.zoneStarts("north") > before
	})
}

// TestColdWorkers guards against hosts that do not learn how slow cold workers are, or that take their runs
// for hanging ones.
func TestColdWorkers(t *testing.T) {
	d, names := startThreeHosts(t)
	for i, w := range d.workers {
		w.SetCold(20 * time.Second)
		d.listWorker(w, zones[i/(len(d.workers)/len(zones))], d.servers[1+i].Listener.Addr().String(), fleetsim.Ready)
	}
	time.Sleep(time.Second) // until the entries have been read
	d.checkCompleted(d.submitAll(names, 0, 60, "50ms", 2, allAlive))
	for task, n := range d.startCounts() {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}
