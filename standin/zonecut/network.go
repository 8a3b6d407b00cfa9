package main

import (
	"fmt"
	"net"
	"strings"
	"sync"

	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// network puts fault proxies on the links between availability zones and with the
// platform. A target has one route for each source zone, named SOURCE>TARGET.
type network struct {
	zones  []string
	silent bool // open connections lose their data instead of being reset by a cut

	mu       sync.Mutex
	proxies  map[string]*proxysim.Proxy // by target address
	fronts   map[string]*front          // by target address
	gateways map[string]*gateway        // by source zone

	addresses testbed.Addresses
	zoneOf    map[string]string // by IP of a host
	err       error             // first error of adjust
}

func newNetwork(zones []string, silent bool) *network {
	return &network{
		addresses: testbed.NewAddresses(),

		zones:    zones,
		silent:   silent,
		proxies:  make(map[string]*proxysim.Proxy),
		fronts:   make(map[string]*front),
		gateways: make(map[string]*gateway),
		zoneOf:   make(map[string]string),
	}
}

// adjust routes a host's links to the platform and to its peers through proxies. It has
// the form of testbed.Spec.Adjust, so it keeps its error for routed.
func (n *network) adjust(_ int, s *settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.err == nil {
		n.err = n.route(s)
	}
}

func (n *network) route(s *settings.Settings) error {
	ip, _, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		return err
	}
	n.zoneOf[ip] = s.Zone
	g, err := n.gatewayOf(s.Zone, s.Platform.URL)
	if err != nil {
		return err
	}
	address, err := n.via(s.Zone, "platform", g.address())
	if err != nil {
		return err
	}
	s.Platform.URL = "http://" + address
	if s.Listen.Advertise, err = n.frontOf(s.Zone, s.Listen.Peers); err != nil {
		return err
	}
	for i, p := range s.Peers {
		if s.Peers[i].Address, err = n.frontOf(p.Zone, p.Address); err != nil {
			return err
		}
	}
	return nil
}

// via returns the address at which hosts of a zone reach a target of another zone, or of
// the platform. The caller holds mu.
func (n *network) via(source, zone, target string) (string, error) {
	p := n.proxies[target]
	if p == nil {
		var routes []proxysim.RouteConfig
		for _, z := range n.zones {
			// A cut closes the port. On an IP shared with other deployments one of them could
			// take it, and its answers would look like crossed ones.
			listen, err := n.addresses.Free()
			if err != nil {
				return "", err
			}
			routes = append(routes, proxysim.RouteConfig{Name: z + ">" + zone, Listen: listen, Target: target})
		}
		p = proxysim.New(proxysim.Config{Routes: routes})
		if err := p.Start(); err != nil {
			return "", err
		}
		n.proxies[target] = p
	}
	for _, v := range p.Views() {
		if v.Name == source+">"+zone {
			return v.Listen, nil
		}
	}
	return "", fmt.Errorf("no route from %q to %q", source, zone)
}

// frontOf returns the address that stands for a peer address. The caller holds mu.
func (n *network) frontOf(zone, target string) (string, error) {
	if f := n.fronts[target]; f != nil {
		return f.address(), nil
	}
	f, err := newFront(n, zone, target)
	if err != nil {
		return "", err
	}
	n.fronts[target] = f
	return f.address(), nil
}

// routed returns the first error of adjust.
func (n *network) routed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// set cuts or restores the routes from a source to a target.
// A silent cut leaves the open connections without data; new ones are refused.
func (n *network) set(source, target string, cut, silent bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		for _, v := range p.Views() {
			if v.Name != source+">"+target {
				continue
			}
			if err := p.SetFault(proxysim.FaultRequest{Route: v.Name, Cut: &cut, BlackHole: cut && silent}); err != nil {
				return err
			}
		}
	}
	return nil
}

// cutZone cuts or restores every link between a zone and the other zones and the platform.
func (n *network) cutZone(zone string, cut bool) error {
	if err := n.set(zone, "platform", cut, n.silent); err != nil {
		return err
	}
	for _, other := range n.zones {
		if other == zone {
			continue
		}
		if err := n.set(zone, other, cut, n.silent); err != nil {
			return err
		}
		if err := n.set(other, zone, cut, n.silent); err != nil {
			return err
		}
	}
	return nil
}

// crossed counts the connections to minions between a zone and the others.
func (n *network) crossed(zone string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for target, p := range n.proxies {
		if n.fronts[target] != nil {
			continue
		}
		for _, v := range p.Views() {
			source, to, _ := strings.Cut(v.Name, ">")
			if to != "platform" && source != to && (source == zone || to == zone) {
				sum += v.Accepted
			}
		}
	}
	return sum
}

// stop closes every proxy.
func (n *network) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.fronts {
		_ = f.listener.Close()
	}
	for _, g := range n.gateways {
		g.server.Close()
	}
	for _, p := range n.proxies {
		p.Stop()
	}
}

// listen opens a loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
