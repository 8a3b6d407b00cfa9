package main

import (
	"math/rand/v2"
	"syscall"

	"sesameledge.dev/sesameledge/standin/fleetsim"
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
