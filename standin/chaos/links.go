package main

import (
	"net"
	"net/url"

	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// links are proxies in front of each host's peer address and between each host and the
// platform. Without faults they only forward.
type links struct {
	// ip is not shared with other deployments, so that none of them takes the port of a
	// link that is cut.
	ip       string
	byTarget map[string]*proxysim.Proxy // peer address
	byHost   map[string]*proxysim.Proxy // link of the host to the platform
	err      error                      // first error of adjust
}

const linkRoute = "link"

func newLinks() (*links, error) {
	address, err := testbed.NewAddresses().Free()
	if err != nil {
		return nil, err
	}
	ip, _, err := net.SplitHostPort(address)
	return &links{ip: ip, byTarget: make(map[string]*proxysim.Proxy), byHost: make(map[string]*proxysim.Proxy)}, err
}

// adjust routes the links of a host through the proxies.
func (l *links) adjust(s *settings.Settings) {
	platform, err := url.Parse(s.Platform.URL)
	if err != nil {
		l.err = err
		return
	}
	delete(l.byHost, s.Host) // of a deployment that did not start
	s.Platform.URL = "http://" + l.via(l.byHost, s.Host, platform.Host)
	s.Listen.Advertise = l.via(l.byTarget, s.Listen.Peers, s.Listen.Peers)
	for i, p := range s.Peers {
		s.Peers[i].Address = l.via(l.byTarget, p.Address, p.Address)
	}
}

// via returns the address of the proxy with this name, which it starts if there is none.
func (l *links) via(proxies map[string]*proxysim.Proxy, name, target string) string {
	p := proxies[name]
	if p == nil {
		p = proxysim.New(proxysim.Config{Routes: []proxysim.RouteConfig{{Name: linkRoute, Listen: l.ip + ":0", Target: target}}})
		if err := p.Start(); err != nil {
			l.err = err
			return target
		}
		proxies[name] = p
	}
	return p.Views()[0].Listen
}

// cut takes a host's peer address and its link to the platform away, or restores them. The
// host can still open connections to its peers. A silent cut leaves the open connections
// without data.
func (l *links) cut(h *testbed.Host, cut, silent bool) error {
	for _, p := range []*proxysim.Proxy{l.byTarget[h.Settings.Listen.Peers], l.byHost[h.Settings.Host]} {
		req := proxysim.FaultRequest{Route: linkRoute, Cut: &cut, BlackHole: cut && silent}
		if err := p.SetFault(req); err != nil {
			return err
		}
	}
	return nil
}

func (l *links) stop() {
	for _, proxies := range []map[string]*proxysim.Proxy{l.byTarget, l.byHost} {
		for _, p := range proxies {
			p.Stop()
		}
	}
}
