package main

import (
	"math/rand/v2"
	"syscall"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

// fault is a kind of fault. begin draws its target, starts the fault and returns a function that ends it.
type fault struct {
	name  string
	begin func(d *deployment, rng *rand.Rand) (end func())
}

// faultKinds lists the faults that a run draws from. Their order decides which faults a seed gives.
var faultKinds = []fault{
	{"kill a host", killHost},
	{"kill all hosts of a zone", killZone},
	{"kill all hosts", killAllHosts},
	{"pause a host", pauseHost},
	{"terminate a host", terminateHost},
	{"roll the hosts", rollHosts},
	{"replace a host", replaceHost},
	{"reload a host", reloadHost},
	{"delay a route", delayRoute},
	{"reset a route", resetRoute},
	{"silence a route", silenceRoute},
	{"hold a route one way", holdRoute},
	{"cut a host off", isolateHost},
	{"cut hosts off the store", isolateHostsFromStore},
	{"store down", storeDown},
	{"store silent", storeSilent},
	{"store loses answers", storeLosesAnswers},
	{"store forgets", storeDropsHistory},
	{"entries lapse", entriesLapse},
	{"restart a worker", restartWorker},
	{"drain a worker", drainWorker},
	{"workers answer late", workerFault(fleetsim.Faults{LateShare: 0.3})},
	{"workers lose answers", workerFault(fleetsim.Faults{UnansweredShare: 0.3})},
	{"workers silent", workerFault(fleetsim.Faults{Silent: true})},
	{"workers fail tasks", workerFault(fleetsim.Faults{FailedShare: 0.8})},
	{"workers slow", workerFault(fleetsim.Faults{SlowFactor: 4})},
	{"publish a configuration", publishConfig},
}

func noop() {}

// randomRunningHost draws a host with a process. It returns nil if no host has one.
func (d *deployment) randomRunningHost(rng *rand.Rand) *hostNode {
	start := rng.IntN(len(d.hosts))
	for i := range d.hosts {
		if h := d.hosts[(start+i)%len(d.hosts)]; h.running() != nil {
			return h
		}
	}
	return nil
}

// hostFault makes a fault that draws a running host as its target. Planned faults, such as a rollout,
// excuse no broken request; unplanned ones do.
func hostFault(planned bool, begin func(d *deployment, rng *rand.Rand, h *hostNode) (end func())) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		h := d.randomRunningHost(rng)
		if h == nil {
			return noop
		}
		endUnplanned := noop
		if !planned {
			endUnplanned = h.beginUnplannedFault()
		}
		end := begin(d, rng, h)
		return func() {
			end()
			endUnplanned()
		}
	}
}

// restart starts the process of a host again unless it has one or the host was removed.
func (d *deployment) restart(h *hostNode) {
	h.restartMu.Lock()
	defer h.restartMu.Unlock()
	if h.running() != nil || h.isRemoved() {
		return
	}
	if err := d.startProcess(h); err != nil {
		d.addFinding("starting %s: %v", h.name, err)
	}
}

var killHost = hostFault(false, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
	h.kill()
	return func() { d.restart(h) }
})

func killZone(d *deployment, rng *rand.Rand) func() {
	zone := d.zones[rng.IntN(len(d.zones))]
	return d.killMatchingHosts(func(h *hostNode) bool { return h.zone == zone })
}

func killAllHosts(d *deployment, _ *rand.Rand) func() {
	return d.killMatchingHosts(func(*hostNode) bool { return true })
}

// killMatchingHosts kills all running hosts that match and returns a function that restarts them.
func (d *deployment) killMatchingHosts(matches func(*hostNode) bool) func() {
	var ends []func()
	for _, h := range d.hosts {
		if h.running() == nil || !matches(h) {
			continue
		}
		endUnplanned := h.beginUnplannedFault()
		h.kill()
		ends = append(ends, func() {
			d.restart(h)
			endUnplanned()
		})
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

var pauseHost = hostFault(false, func(_ *deployment, _ *rand.Rand, h *hostNode) func() {
	p := h.running()
	if p == nil {
		return noop
	}
	p.Signal(syscall.SIGSTOP)
	h.announcePause()
	return func() { p.Signal(syscall.SIGCONT) }
})

var terminateHost = hostFault(true, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.terminate(h)
	}()
	return func() {
		<-ended
		d.restart(h)
	}
})

// rollHosts terminates and restarts the hosts one after the other, as an upgrade does.
func rollHosts(d *deployment, _ *rand.Rand) func() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, h := range d.hosts {
			if h.running() == nil {
				continue
			}
			d.terminate(h)
			d.restart(h)
		}
	}()
	return func() { <-ended }
}

// replaceHost removes a host permanently and starts a spare one of its zone at another address.
var replaceHost = hostFault(false, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
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
		return func() { d.restart(spare) }
	}
	return noop
})

// reloadHost changes the settings file of a host and sends the process SIGHUP.
var reloadHost = hostFault(true, func(d *deployment, _ *rand.Rand, h *hostNode) func() {
	h.settings.Log.LinesPerSecond++
	if err := h.writeSettings(); err != nil {
		d.addFinding("%v", err)
	}
	if p := h.running(); p != nil {
		p.Signal(syscall.SIGHUP)
	}
	return noop
})
