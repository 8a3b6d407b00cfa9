package main

import (
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
)

// isolateHostsFromStore holds back all data between some hosts and the store. The others reach it.
func isolateHostsFromStore(d *deployment, rng *rand.Rand) func() {
	var ends []func()
	for _, h := range d.hosts {
		if rng.IntN(3) == 0 {
			ends = append(ends, d.holdRouteData("store-"+h.name, proxysim.HoldBoth), d.beginStoreFault())
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// beginStoreFault records the start of a store fault and returns a function that records its end.
func (d *deployment) beginStoreFault() func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeStoreFaults++
	d.storeFaults = append(d.storeFaults, interval{from: time.Now()})
	n := len(d.storeFaults) - 1
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.activeStoreFaults--
		d.lastStoreFaultEnd = time.Now()
		d.storeFaults[n].to = d.lastStoreFaultEnd
	}
}

// storeSwitchFault makes a fault that turns a misbehaviour of the store on and, at its end, off.
func storeSwitchFault(set func(s *fleetsim.Store, on bool)) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, _ *rand.Rand) func() {
		endStoreFault := d.beginStoreFault()
		set(d.store, true)
		return func() {
			set(d.store, false)
			endStoreFault()
		}
	}
}

var (
	storeDown         = storeSwitchFault((*fleetsim.Store).SetDown)
	storeSilent       = storeSwitchFault((*fleetsim.Store).SetSilent)
	storeLosesAnswers = storeSwitchFault((*fleetsim.Store).SetLoseAnswers)
)

// storeDropsHistory makes the store drop the history of two topics, all but the newest record of each key.
func storeDropsHistory(d *deployment, _ *rand.Rand) func() {
	d.store.DropHistory("keyed.op")
	d.store.DropHistory("keyed.servers")
	return noop
}

// entriesLapse takes the store down and removes the entries of some running workers, as an outage of the
// store may do. At the end the store is up and lists the workers again.
func entriesLapse(d *deployment, rng *rand.Rand) func() {
	d.store.SetDown(true)
	endStoreFault := d.beginStoreFault()
	var removed []*workerNode
	for _, w := range d.workers {
		if rng.IntN(2) == 0 {
			d.store.RemoveWorkerEntry(w.Worker)
			removed = append(removed, w)
		}
	}
	return func() {
		d.store.SetDown(false)
		endStoreFault()
		for _, w := range removed {
			d.publishWorkerState(w, fleetsim.Ready)
		}
	}
}

func (d *deployment) randomWorker(rng *rand.Rand) *workerNode {
	return d.workers[rng.IntN(len(d.workers))]
}

// publishWorkerState puts a worker with the given state into the store's list.
func (d *deployment) publishWorkerState(w *workerNode, state string) {
	for _, v := range d.proxy.Views() {
		if v.Name == w.route {
			d.store.PutWorkerEntry(w.Worker, w.zone, v.Listen, state)
		}
	}
}

// restartWorker disconnects a worker, then restarts it with a clock that may run up to 2 % slow.
func restartWorker(d *deployment, rng *rand.Rand) func() {
	w := d.randomWorker(rng)
	yes, no := true, false
	d.setRouteFault(proxysim.FaultRequest{Route: w.route, Cut: &yes})
	w.SetClockRate([]float64{0.98, 0.99, 1}[rng.IntN(3)])
	return func() {
		w.Restart()
		d.setRouteFault(proxysim.FaultRequest{Route: w.route, Cut: &no})
	}
}

func drainWorker(d *deployment, rng *rand.Rand) func() {
	w := d.randomWorker(rng)
	d.publishWorkerState(w, fleetsim.Draining)
	return func() { d.publishWorkerState(w, fleetsim.Ready) }
}

// workerFault makes a fault that makes some workers misbehave.
func workerFault(f fleetsim.Faults) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		var affected []*workerNode
		for _, w := range d.workers {
			if rng.IntN(4) == 0 {
				w.SetFaults(f)
				affected = append(affected, w)
			}
		}
		return func() {
			for _, w := range affected {
				w.SetFaults(fleetsim.Faults{})
			}
		}
	}
}

func publishConfig(d *deployment, _ *rand.Rand) func() {
	d.publish()
	return noop
}
