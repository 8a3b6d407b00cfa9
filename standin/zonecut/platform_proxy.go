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

// platformProxy forwards requests of the hosts of one zone to the platform. In the host list it replaces the
// addresses of minions by those of the routes from that zone.
type platformProxy struct {
	network *network
	zone    string
	server  *simhttp.Server
}

// platformProxyFor returns the platform proxy of a zone. It starts one if there is none. The caller holds mu.
func (n *network) platformProxyFor(zone, platformURL string) (*platformProxy, error) {
	if p := n.platformProxies[zone]; p != nil {
		return p, nil
	}
	to, err := url.Parse(platformURL)
	if err != nil {
		return nil, err
	}
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	p := &platformProxy{network: n, zone: zone}
	proxy := &httputil.ReverseProxy{
		Rewrite:        func(r *httputil.ProxyRequest) { r.SetURL(to) },
		ModifyResponse: p.rewriteHostList,
		// Errors are expected: hosts give requests up, and the platform link is cut.
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) },
	}
	p.server = simhttp.Serve(ln, proxy)
	n.platformProxies[zone] = p
	return p, nil
}

func (p *platformProxy) address() string { return p.server.Addr() }

// rewriteHostList replaces the addresses of minions if the reply is the host list.
func (p *platformProxy) rewriteHostList(r *http.Response) error {
	if r.Request.Method != http.MethodGet || r.Request.URL.Path != logapi.PathHosts || r.StatusCode != http.StatusOK {
		return nil
	}
	var list logapi.HostListReply
	err := json.NewDecoder(r.Body).Decode(&list)
	_ = r.Body.Close()
	if err != nil {
		return err
	}
	if err := p.replaceAddresses(list.Hosts); err != nil {
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

func (p *platformProxy) replaceAddresses(hosts []logapi.Host) error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for i, h := range hosts {
		if h.Kind != logapi.KindMinion {
			continue
		}
		var err error
		if hosts[i].Address, err = p.network.routeAddress(p.zone, h.Zone, h.Address); err != nil {
			return err
		}
	}
	return nil
}
