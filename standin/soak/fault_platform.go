package main

import (
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
)

// cutStore cuts some hosts off the store, the others are served.
func cutStore(d *deployment, rng *rand.Rand) func() {
	var ends []func()
	for _, h := range d.hosts {
		if rng.IntN(3) == 0 {
			ends = append(ends, d.hold("store-"+h.name, proxysim.HoldBoth), d.storeFault())
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// storeFault notes that the store is disturbed, and its end.
func (d *deployment) storeFault() func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeFaults++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.storeFaults--
		d.storeCalm = time.Now()
	}
}

// onStore makes a fault of a switch of the store.
func onStore(set func(s *fleetsim.Store, on bool)) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, _ *rand.Rand) func() {
		over := d.storeFault()
		set(d.store, true)
		return func() {
			set(d.store, false)
			over()
		}
	}
}

var (
	storeDown   = onStore((*fleetsim.Store).SetDown)
	storeSilent = onStore((*fleetsim.Store).SetSilent)
	storeLoses  = onStore((*fleetsim.Store).LoseAnswers)
)

func storeForgets(d *deployment, _ *rand.Rand) func() {
	d.store.Forget("keyed.op")
	d.store.Forget("keyed.servers")
	return nothing
}

// entriesLapse removes the entries of workers that live, as an outage of the store may.
func entriesLapse(d *deployment, rng *rand.Rand) func() {
	d.store.SetDown(true)
	over := d.storeFault()
	var lapsed []*workerNode
	for _, w := range d.workers {
		if rng.IntN(2) == 0 {
			d.store.Drop(w.Worker)
			lapsed = append(lapsed, w)
		}
	}
	return func() {
		d.store.SetDown(false)
		over()
		for _, w := range lapsed {
			d.listWorker(w, fleetsim.Ready)
		}
	}
}

func (d *deployment) anyWorker(rng *rand.Rand) *workerNode {
	return d.workers[rng.IntN(len(d.workers))]
}

func (d *deployment) listWorker(w *workerNode, state string) {
	for _, v := range d.proxy.Views() {
		if v.Name == w.route {
			d.store.List(w.Worker, w.zone, v.Listen, state)
		}
	}
}

// restartWorker ends the process of a worker; the next one has another clock.
func restartWorker(d *deployment, rng *rand.Rand) func() {
	w := d.anyWorker(rng)
	yes, no := true, false
	d.set(proxysim.FaultRequest{Route: w.route, Cut: &yes})
	w.SetClockRate([]float64{0.98, 0.99, 1}[rng.IntN(3)])
	return func() {
		w.Restart()
		d.set(proxysim.FaultRequest{Route: w.route, Cut: &no})
	}
}

func drainWorker(d *deployment, rng *rand.Rand) func() {
	w := d.anyWorker(rng)
	d.listWorker(w, fleetsim.Draining)
	return func() { d.listWorker(w, fleetsim.Ready) }
}

// workerFault makes some workers do something wrong.
func workerFault(f fleetsim.Faults) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		var hit []*workerNode
		for _, w := range d.workers {
			if rng.IntN(4) == 0 {
				w.SetFaults(f)
				hit = append(hit, w)
			}
		}
		return func() {
			for _, w := range hit {
				w.SetFaults(fleetsim.Faults{})
			}
		}
	}
}

func publishConfig(d *deployment, _ *rand.Rand) func() {
	d.publish()
	return nothing
}
