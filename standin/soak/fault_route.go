package main

import (
	"math/rand/v2"

	"sesameledge.dev/sesameledge/standin/proxysim"
)

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
