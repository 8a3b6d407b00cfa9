package main

import (
	"math/rand/v2"

	"sesameledge.dev/sesameledge/standin/proxysim"
)

// frontRoute is the prefix of the names of the routes from callers to hosts.
const frontRoute = "front-"

// setRouteFault changes the fault of a proxy route.
func (d *deployment) setRouteFault(req proxysim.FaultRequest) {
	if err := d.proxy.SetFault(req); err != nil {
		d.addFinding("setting a fault: %v", err)
	}
}

// routeFault makes an unplanned fault that draws a proxy route as its target: a route of the drawn host
// or, for one in four, the route of a worker.
func routeFault(begin func(d *deployment, rng *rand.Rand, route string) func()) func(*deployment, *rand.Rand) func() {
	kinds := []string{"peers-", frontRoute, "store-"}
	return hostFault(false, func(d *deployment, rng *rand.Rand, h *hostNode) func() {
		if rng.IntN(4) == 0 {
			return begin(d, rng, d.workers[rng.IntN(len(d.workers))].route)
		}
		route := kinds[rng.IntN(len(kinds))] + h.name
		endFault := noop
		if route == frontRoute+h.name {
			endFault = h.beginFrontFault()
		}
		end := begin(d, rng, route)
		return func() {
			end()
			endFault()
		}
	})
}

var delayRoute = routeFault(func(d *deployment, rng *rand.Rand, route string) func() {
	ms, none := 20+rng.IntN(500), 0
	d.setRouteFault(proxysim.FaultRequest{Route: route, DelayMS: &ms})
	return func() { d.setRouteFault(proxysim.FaultRequest{Route: route, DelayMS: &none}) }
})

var resetRoute = routeFault(func(d *deployment, _ *rand.Rand, route string) func() {
	yes, no := true, false
	d.setRouteFault(proxysim.FaultRequest{Route: route, Cut: &yes})
	return func() { d.setRouteFault(proxysim.FaultRequest{Route: route, Cut: &no}) }
})

var silenceRoute = routeFault(func(d *deployment, _ *rand.Rand, route string) func() {
	d.setRouteFault(proxysim.FaultRequest{Route: route, BlackHole: true})
	for _, h := range d.hosts {
		if route == frontRoute+h.name {
			h.recordSilence()
		}
	}
	return noop
})

var holdRoute = routeFault(func(d *deployment, rng *rand.Rand, route string) func() {
	hold := []proxysim.Hold{proxysim.HoldToTarget, proxysim.HoldFromTarget, proxysim.HoldBoth}[rng.IntN(3)]
	return d.holdRouteData(route, hold)
})

// holdRouteData holds back the data of a route in the given directions until the returned function is
// called.
func (d *deployment) holdRouteData(route string, hold proxysim.Hold) func() {
	none := proxysim.HoldNone
	d.setRouteFault(proxysim.FaultRequest{Route: route, Hold: &hold})
	return func() { d.setRouteFault(proxysim.FaultRequest{Route: route, Hold: &none}) }
}

// isolateHost holds back the data of connections to a host from its peers and, for half of the faults,
// also between the host and the store.
var isolateHost = hostFault(false, func(d *deployment, rng *rand.Rand, h *hostNode) func() {
	peers := d.holdRouteData("peers-"+h.name, proxysim.HoldBoth)
	store := noop
	if rng.IntN(2) == 0 {
		store = d.holdRouteData("store-"+h.name, proxysim.HoldBoth)
	}
	return func() {
		peers()
		store()
	}
})
