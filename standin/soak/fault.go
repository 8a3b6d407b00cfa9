package main

import (
	"math/rand/v2"
	"syscall"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
)

// fault is a way to disturb a deployment. begin draws what it hits and returns what ends it.
type fault struct {
	name  string
	begin func(d *deployment, rng *rand.Rand) (end func())
}

// faults are all that the soak draws from.
var faults = []fault{
	{"kill a host", killHost},
	{"kill all hosts of a zone", killZone},
	{"kill all hosts", killAll},
	{"pause a host", pauseHost},
	{"terminate a host", terminateHost},
	{"roll the hosts", rollHosts},
	{"replace a host", replaceHost},
	{"reload a host", reloadHost},
	{"delay a route", delayRoute},
	{"reset a route", resetRoute},
	{"silence a route", silenceRoute},
	{"hold a route one way", holdRoute},
	{"cut a host off", cutHost},
	{"cut hosts off the store", cutStore},
	{"store down", storeDown},
	{"store silent", storeSilent},
	{"store loses answers", storeLoses},
	{"store forgets", storeForgets},
	{"entries lapse", entriesLapse},
	{"restart a worker", restartWorker},
	{"drain a worker", drainWorker},
	{"workers answer late", workerFault(fleetsim.Faults{Late: 0.3})},
	{"workers lose answers", workerFault(fleetsim.Faults{Deaf: 0.3})},
	{"workers silent", workerFault(fleetsim.Faults{Silent: true})},
	{"workers fail tasks", workerFault(fleetsim.Faults{Fail: 0.8})},
	{"workers slow", workerFault(fleetsim.Faults{Slow: 4})},
	{"publish a configuration", publishConfig},
}

func nothing() {}

// anyHost draws a host with a process, or nil.
func (d *deployment) anyHost(rng *rand.Rand) *hostNode {
	start := rng.IntN(len(d.hosts))
	for i := range d.hosts {
		if h := d.hosts[(start+i)%len(d.hosts)]; h.running() != nil {
			return h
		}
	}
	return nil
}

// onHost makes a fault of one that hits a host. Planned ones excuse no broken request.
func onHost(planned bool, begin func(d *deployment, rng *rand.Rand, h *hostNode) (end func())) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		h := d.anyHost(rng)
		if h == nil {
			return nothing
		}
		over := nothing
		if !planned {
			over = h.disturb()
		}
		end := begin(d, rng, h)
		return func() {
			end()
			over()
		}
	}
}

// restarted starts the process of a host again, unless it has one or is gone for good.
func (d *deployment) restarted(h *hostNode) {
	h.starting.Lock()
	defer h.starting.Unlock()
	if h.running() != nil || h.gone() {
		return
	}
	if err := d.run(h); err != nil {
		d.finding("starting %s: %v", h.name, err)
	}
}

var killHost = onHost(false, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
	h.kill()
	return func() { d.restarted(h) }
})

func killZone(d *deployment, rng *rand.Rand) func() {
	zone := d.zones[rng.IntN(len(d.zones))]
	return d.killHosts(func(h *hostNode) bool { return h.zone == zone })
}

func killAll(d *deployment, _ *rand.Rand) func() {
	return d.killHosts(func(*hostNode) bool { return true })
}

func (d *deployment) killHosts(which func(*hostNode) bool) func() {
	var ends []func()
	for _, h := range d.hosts {
		if h.running() == nil || !which(h) {
			continue
		}
		over := h.disturb()
		h.kill()
		ends = append(ends, func() {
			d.restarted(h)
			over()
		})
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

var pauseHost = onHost(false, func(_ *deployment, _ *rand.Rand, h *hostNode) func() {
	p := h.running()
	if p == nil {
		return nothing
	}
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT) }
})

var terminateHost = onHost(true, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.terminate(h)
	}()
	return func() {
		<-ended
		d.restarted(h)
	}
})

// rollHosts stops the hosts one after the other, as an upgrade does.
func rollHosts(d *deployment, _ *rand.Rand) func() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, h := range d.hosts {
			if h.running() == nil {
				continue
			}
			d.terminate(h)
			d.restarted(h)
		}
	}()
	return func() { <-ended }
}

// replaceHost removes a host for good and starts a spare one at another address.
var replaceHost = onHost(false, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
	for _, spare := range d.hosts {
		spare.mu.Lock()
		usable := spare.removed && spare.process == nil && spare.zone == h.zone
		spare.removed = spare.removed && !usable
		spare.mu.Unlock()
		if !usable {
			continue
		}
		h.kill()
		h.mu.Lock()
		h.removed = true
		h.mu.Unlock()
		return func() { d.restarted(spare) }
	}
	return nothing
})

// reloadHost changes the settings file of a host and tells it so.
var reloadHost = onHost(true, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
	h.settings.Log.LinesPerSecond++
	if err := h.write(); err != nil {
		d.finding("%v", err)
	}
	if p := h.running(); p != nil {
		p.Signal(syscall.SIGHUP)
	}
	return nothing
})

// set changes the faults of routes.
func (d *deployment) set(req proxysim.FaultRequest) {
	if err := d.proxy.SetFault(req); err != nil {
		d.finding("setting a fault: %v", err)
	}
}

// onRoute makes a fault of one that hits a route of a host.
func onRoute(begin func(d *deployment, rng *rand.Rand, route string) func()) func(*deployment, *rand.Rand) func() {
	kinds := []string{"peers-", "front-", "store-"}
	return onHost(false, func(d *deployment, rng *rand.Rand, h *hostNode) func() {
		if rng.IntN(4) == 0 {
			return begin(d, rng, d.workers[rng.IntN(len(d.workers))].route)
		}
		return begin(d, rng, kinds[rng.IntN(len(kinds))]+h.name)
	})
}

var delayRoute = onRoute(func(d *deployment, rng *rand.Rand, route string) func() {
	ms, none := 20+rng.IntN(500), 0
	d.set(proxysim.FaultRequest{Route: route, DelayMS: &ms})
	return func() { d.set(proxysim.FaultRequest{Route: route, DelayMS: &none}) }
})

var resetRoute = onRoute(func(d *deployment, _ *rand.Rand, route string) func() {
	yes, no := true, false
	d.set(proxysim.FaultRequest{Route: route, Cut: &yes})
	return func() { d.set(proxysim.FaultRequest{Route: route, Cut: &no}) }
})

var silenceRoute = onRoute(func(d *deployment, _ *rand.Rand, route string) func() {
	d.set(proxysim.FaultRequest{Route: route, BlackHole: true})
	return nothing
})

var holdRoute = onRoute(func(d *deployment, rng *rand.Rand, route string) func() {
	hold := []proxysim.Hold{proxysim.HoldTo, proxysim.HoldFrom, proxysim.HoldBoth}[rng.IntN(3)]
	return d.hold(route, hold)
})

func (d *deployment) hold(route string, hold proxysim.Hold) func() {
	none := proxysim.HoldNone
	d.set(proxysim.FaultRequest{Route: route, Hold: &hold})
	return func() { d.set(proxysim.FaultRequest{Route: route, Hold: &none}) }
}

// cutHost keeps a host from being reached by others and from reaching the store.
var cutHost = onHost(false, func(d *deployment, rng *rand.Rand, h *hostNode) func() {
	peers := d.hold("peers-"+h.name, proxysim.HoldBoth)
	store := nothing
	if rng.IntN(2) == 0 {
		store = d.hold("store-"+h.name, proxysim.HoldBoth)
	}
	return func() {
		peers()
		store()
	}
})

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
