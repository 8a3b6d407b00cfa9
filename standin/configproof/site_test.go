// Package configproof holds the proofs of configuration and idempotency keys that need
// daemons, the platform's stand-in and faults between them.
package configproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// inForceWithin is the promise: a revision is in force everywhere within this time.
const inForceWithin = 3 * time.Second

const text = `schema: 1
teams: {association: {weight: 1}, abzeichenwerk: {weight: 1}}
kinds: {badge-award: {group: demo, default_deadline: 5s}}
groups: {demo: {endpoints: minion}}
`

// site is a deployment in this process. Each host reaches the platform through a route
// of its own, named platform-N.
type site struct {
	t        *testing.T
	sim      *platformsim.Sim
	proxy    *proxysim.Proxy
	settings []*settings.Settings
	daemons  []*daemon.Daemon // nil while a host is down
}

func newSite(t *testing.T, hosts int, sim platformsim.Config, adjust func(*settings.Settings)) *site {
	t.Helper()
	s := &site{t: t, sim: platformsim.New(sim), daemons: make([]*daemon.Daemon, hosts)}
	must(t, s.sim.Start())
	t.Cleanup(s.sim.Stop)
	var routes []proxysim.RouteConfig
	for n := range hosts {
		routes = append(routes, proxysim.RouteConfig{Name: fmt.Sprintf("platform-%d", n), Target: s.sim.Addr()})
	}
	s.proxy = proxysim.New(proxysim.Config{Routes: routes})
	must(t, s.proxy.Start())
	t.Cleanup(s.proxy.Stop)
	for n, view := range s.proxy.Views() {
		s.settings = append(s.settings, newSettings(t, n, "http://"+view.Listen, adjust))
	}
	for _, a := range s.settings {
		for _, b := range s.settings {
			if a != b {
				a.Peers = append(a.Peers, settings.Peer{Host: b.Host, Zone: b.Zone, Address: b.Listen.Peers})
			}
		}
	}
	t.Cleanup(func() {
		for n := range s.daemons {
			s.stop(n)
		}
	})
	return s
}

func newSettings(t *testing.T, n int, platformURL string, adjust func(*settings.Settings)) *settings.Settings {
	t.Helper()
	out := settings.Defaults()
	out.Host, out.Zone = fmt.Sprintf("host-%d", n), "malabar"
	out.Platform.URL = platformURL
	out.Drain = settings.Drain{Grace: time.Millisecond, Timeout: 2 * time.Second}
	out.Log.Level = "error"
	addresses := testbed.NewAddresses()
	for _, a := range []*string{&out.Listen.Callers, &out.Listen.Peers, &out.Listen.Operators} {
		address, err := addresses.Free()
		must(t, err)
		*a = address
	}
	if adjust != nil {
		adjust(&out)
	}
	return &out
}

func (s *site) start(hosts ...int) {
	s.t.Helper()
	for _, n := range hosts {
		d, err := daemon.New(s.settings[n], io.Discard)
		must(s.t, err)
		must(s.t, d.Start())
		s.daemons[n] = d
	}
}

func (s *site) stop(n int) {
	if s.daemons[n] != nil {
		// A drain waits for callers to close their idle connections.
		http.DefaultClient.CloseIdleConnections()
		s.daemons[n].Drain()
		s.daemons[n] = nil
	}
}

func (s *site) cut(n int, cut bool) {
	s.t.Helper()
	must(s.t, s.proxy.SetFault(proxysim.FaultRequest{Route: fmt.Sprintf("platform-%d", n), Cut: &cut}))
}

func (s *site) outage(o platformsim.Outage) {
	s.t.Helper()
	must(s.t, s.sim.SetFaults(platformsim.FaultsRequest{Service: platformsim.ServiceLog, Outage: &o}))
}

func (s *site) operators(n int) string { return "http://" + s.settings[n].Listen.Operators }

// publish posts a record through a host.
func (s *site) publish(n int, rec config.Record, token string) (int, daemon.PublishReply) {
	s.t.Helper()
	if rec.Schema == 0 {
		rec.Schema = 1
	}
	if rec.Text == "" {
		rec.Text = text
	}
	body, _ := json.Marshal(&rec)
	req, _ := http.NewRequest(http.MethodPost, s.operators(n)+"/v1/config", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	must(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	var reply daemon.PublishReply
	must(s.t, json.NewDecoder(resp.Body).Decode(&reply))
	return resp.StatusCode, reply
}

// publishNext publishes the next revision through a host, which must accept it.
func (s *site) publishNext(n int) uint64 {
	s.t.Helper()
	base := s.view(n).Latest
	status, reply := s.publish(n, config.Record{ID: fmt.Sprintf("r-%d", base+1), Base: base, Author: "ann", Reason: "test"}, "")
	if status != http.StatusOK || reply.Revision != base+1 {
		s.t.Fatalf("publishing revision %d: status %d, %+v", base+1, status, reply)
	}
	return reply.Revision
}

func (s *site) view(n int) daemon.ConfigView {
	s.t.Helper()
	var dump daemon.Dump
	must(s.t, testbed.GetJSON(context.Background(), s.operators(n)+"/debug/state", &dump))
	return dump.Config
}

// awaitInForce waits until the host has the revision in force and returns the time.
func (s *site) awaitInForce(n int, revision uint64) time.Duration {
	s.t.Helper()
	began := time.Now()
	for s.view(n).InForce != revision {
		if time.Since(began) > 2*inForceWithin {
			s.t.Fatalf("host %d does not get revision %d: %+v", n, revision, s.view(n))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// records reads a stream of the log as an operator would, past the hosts.
func (s *site) records(stream string) []logapi.Record {
	s.t.Helper()
	client := logapi.NewClient(s.sim.URL(), time.Second)
	defer client.Close()
	reply, err := client.Read(context.Background(), stream, 0, 0)
	must(s.t, err)
	return reply.Records
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
