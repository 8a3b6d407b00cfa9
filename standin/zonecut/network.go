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

// network manages the fault proxies between availability zones and between them and the platform. Each
// target has one route per source zone, named SOURCE>TARGET.
type network struct {
	zones  []string
	silent bool // a cut blocks the data of open connections instead of resetting them

	mu              sync.Mutex
	proxies         map[string]*proxysim.Proxy // by target address
	peerProxies     map[string]*peerProxy      // by target address
	platformProxies map[string]*platformProxy  // by source zone

	addresses testbed.AddressAllocator
	zoneByIP  map[string]string // by IP of a host
	err       error             // first error of useProxies
}

func newNetwork(zones []string, silent bool) *network {
	return &network{
		addresses: testbed.NewAddressAllocator(),

		zones:           zones,
		silent:          silent,
		proxies:         make(map[string]*proxysim.Proxy),
		peerProxies:     make(map[string]*peerProxy),
		platformProxies: make(map[string]*platformProxy),
		zoneByIP:        make(map[string]string),
	}
}

// useProxies changes a host's settings so that its connections to the platform and to its peers go through
// proxies. It has the signature of testbed.Spec.AdjustSettings, so it stores its error for routingError.
func (n *network) useProxies(_ int, s *settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.err == nil {
		n.err = n.setProxyAddresses(s)
	}
}

func (n *network) setProxyAddresses(s *settings.Settings) error {
	ip, _, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		return err
	}
	n.zoneByIP[ip] = s.Zone
	platform, err := n.platformProxyFor(s.Zone, s.Platform.URL)
	if err != nil {
		return err
	}
	address, err := n.routeAddress(s.Zone, "platform", platform.address())
	if err != nil {
		return err
	}
	s.Platform.URL = "http://" + address
	if s.Listen.Advertise, err = n.peerProxyAddress(s.Zone, s.Listen.Peers); err != nil {
		return err
	}
	for i, p := range s.Peers {
		if s.Peers[i].Address, err = n.peerProxyAddress(p.Zone, p.Address); err != nil {
			return err
		}
	}
	return nil
}

// routeAddress returns the address at which hosts of the source zone reach a target in a zone or the
// platform. It starts the target's proxy if there is none. The caller holds mu.
func (n *network) routeAddress(source, zone, target string) (string, error) {
	p := n.proxies[target]
	if p == nil {
		var routes []proxysim.RouteConfig
		for _, z := range n.zones {
			// A cut closes the port. If other deployments used the same IP, one of them could take the
			// port, and its answers would look as if they were mixed up.
			listen, err := n.addresses.Allocate()
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

// peerProxyAddress returns the proxy address for a peer address. It starts the proxy if there is none. The
// caller holds mu.
func (n *network) peerProxyAddress(zone, target string) (string, error) {
	if f := n.peerProxies[target]; f != nil {
		return f.address(), nil
	}
	f, err := newPeerProxy(n, zone, target)
	if err != nil {
		return "", err
	}
	n.peerProxies[target] = f
	return f.address(), nil
}

// routingError returns the first error of useProxies.
func (n *network) routingError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// setRouteCut cuts or restores the routes from a source to a target. A silent cut keeps open connections
// open but passes no data; new connections are refused.
func (n *network) setRouteCut(source, target string, cut, silent bool) error {
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

// setZoneCut cuts or restores every link between a zone and the other zones and the platform.
func (n *network) setZoneCut(zone string, cut bool) error {
	if err := n.setRouteCut(zone, "platform", cut, n.silent); err != nil {
		return err
	}
	for _, other := range n.zones {
		if other == zone {
			continue
		}
		if err := n.setRouteCut(zone, other, cut, n.silent); err != nil {
			return err
		}
		if err := n.setRouteCut(other, zone, cut, n.silent); err != nil {
			return err
		}
	}
	return nil
}

// crossZoneConnections counts the connections to minions between a zone and the others.
func (n *network) crossZoneConnections(zone string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for target, p := range n.proxies {
		if n.peerProxies[target] != nil {
			continue
		}
		for _, v := range p.Views() {
			source, to, _ := strings.Cut(v.Name, ">")
			if to != "platform" && source != to && (source == zone || to == zone) {
				sum += v.AcceptedConnections
			}
		}
	}
	return sum
}

// stop closes every proxy.
func (n *network) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.peerProxies {
		_ = f.listener.Close()
	}
	for _, platform := range n.platformProxies {
		platform.server.Close()
	}
	for _, p := range n.proxies {
		p.Stop()
	}
}

// listen opens a loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
