package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// gateway serves the platform to the hosts of one zone. In the host list it replaces the
// addresses of minions by those of the routes from that zone.
type gateway struct {
	net    *network
	zone   string
	server *simhttp.Server
}

// gatewayOf returns the gateway of a zone. The caller holds the network's mu.
func (n *network) gatewayOf(zone, platformURL string) (*gateway, error) {
	if g := n.gateways[zone]; g != nil {
		return g, nil
	}
	to, err := url.Parse(platformURL)
	if err != nil {
		return nil, err
	}
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	g := &gateway{net: n, zone: zone}
	proxy := &httputil.ReverseProxy{
		Rewrite:        func(r *httputil.ProxyRequest) { r.SetURL(to) },
		ModifyResponse: g.rewrite,
		// Hosts that give a request up, or a cut, make errors by design.
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) },
	}
	g.server = simhttp.Serve(ln, proxy)
	n.gateways[zone] = g
	return g, nil
}

func (g *gateway) address() string { return g.server.Addr() }

// rewrite replaces addresses in a reply with the host list.
func (g *gateway) rewrite(r *http.Response) error {
	if r.Request.Method != http.MethodGet || r.Request.URL.Path != logapi.PathHosts || r.StatusCode != http.StatusOK {
		return nil
	}
	var list logapi.HostsReply
	err := json.NewDecoder(r.Body).Decode(&list)
	_ = r.Body.Close()
	if err != nil {
		return err
	}
	if err := g.replace(list.Hosts); err != nil {
		return err
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

func (g *gateway) replace(hosts []logapi.Host) error {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	for i, h := range hosts {
		if h.Kind != logapi.KindMinion {
			continue
		}
		var err error
		if hosts[i].Address, err = g.net.via(g.zone, h.Zone, h.Address); err != nil {
			return err
		}
	}
	return nil
}
