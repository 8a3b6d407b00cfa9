package main

import (
	"net"
	"net/url"

	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// links holds the proxies in front of each host's peer address and between each host and the platform.
// They forward everything until a fault is set.
type links struct {
	// ip is used by this deployment only, so that no other one can take the port of a link while it
	// is cut.
	ip              string
	peerProxies     map[string]*proxysim.Proxy // proxies in front of hosts, by peer address
	platformProxies map[string]*proxysim.Proxy // proxies to the platform, by host name
	err             error                      // last error of useProxies
}

const routeName = "link"

func newLinks() (*links, error) {
	address, err := testbed.NewAddressAllocator().Allocate()
	if err != nil {
		return nil, err
	}
	ip, _, err := net.SplitHostPort(address)
	return &links{ip: ip, peerProxies: make(map[string]*proxysim.Proxy), platformProxies: make(map[string]*proxysim.Proxy)}, err
}

// useProxies changes a host's settings so that its connections go through the proxies.
func (l *links) useProxies(s *settings.Settings) {
	platform, err := url.Parse(s.Platform.URL)
	if err != nil {
		l.err = err
		return
	}
	delete(l.platformProxies, s.Host) // an earlier attempt to start the deployment may have left one
	s.Platform.URL = "http://" + l.proxyAddress(l.platformProxies, s.Host, platform.Host)
	s.Listen.Advertise = l.proxyAddress(l.peerProxies, s.Listen.Peers, s.Listen.Peers)
	for i, p := range s.Peers {
		s.Peers[i].Address = l.proxyAddress(l.peerProxies, p.Address, p.Address)
	}
}

// proxyAddress returns the address of the proxy with this name. It starts the proxy if there is none.
func (l *links) proxyAddress(proxies map[string]*proxysim.Proxy, name, target string) string {
	p := proxies[name]
	if p == nil {
		p = proxysim.New(proxysim.Config{Routes: []proxysim.RouteConfig{{Name: routeName, Listen: l.ip + ":0", Target: target}}})
		if err := p.Start(); err != nil {
			l.err = err
			return target
		}
		proxies[name] = p
	}
	return p.Views()[0].Listen
}

// setCut cuts off a host's peer address and its link to the platform, or restores them. The host can
// still open connections to its peers. A silent cut keeps open connections open but passes no data.
func (l *links) setCut(h *testbed.Host, cut, silent bool) error {
	for _, p := range []*proxysim.Proxy{l.peerProxies[h.Settings.Listen.Peers], l.platformProxies[h.Settings.Host]} {
		req := proxysim.FaultRequest{Route: routeName, Cut: &cut, BlackHole: cut && silent}
		if err := p.SetFault(req); err != nil {
			return err
		}
	}
	return nil
}

func (l *links) stop() {
	for _, proxies := range []map[string]*proxysim.Proxy{l.peerProxies, l.platformProxies} {
		for _, p := range proxies {
			p.Stop()
		}
	}
}
