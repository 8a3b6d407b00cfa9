// Package configproof tests the publication of configuration, idempotency keys, job handover and leaving
// endpoints with real daemons, a simulated platform and injected faults on the connections between them.
// Tests of the pure logic belong to the packages that implement it.
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

// maxPropagationDelay is the guaranteed limit for a published revision to be in force on every host.
const maxPropagationDelay = 3 * time.Second

// configText is a minimal valid configuration.
const configText = `schema: 1
teams: {association: {weight: 1}, abzeichenwerk: {weight: 1}}
kinds: {badge-award: {group: demo, default_deadline: 5s}}
groups: {demo: {endpoints: minion}}
`

// site is a deployment whose daemons, simulated platform and fault proxy run in the test process. Host N
// reaches the platform through its own proxy route, platform-N.
type site struct {
	t        *testing.T
	sim      *platformsim.Sim
	proxy    *proxysim.Proxy
	settings []*settings.Settings
	daemons  []*daemon.Daemon // nil while a host is down
}

// newSite starts the platform and the proxy and prepares the settings of the hosts, but starts no host.
// adjust, if not nil, changes the settings of each host.
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
			s.stopHost(n)
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
	addresses := testbed.NewAddressAllocator()
	for _, a := range []*string{&out.Listen.Callers, &out.Listen.Peers, &out.Listen.Operators} {
		address, err := addresses.Allocate()
		must(t, err)
		*a = address
	}
	if adjust != nil {
		adjust(&out)
	}
	return &out
}

func (s *site) startHosts(hosts ...int) {
	s.t.Helper()
	for _, n := range hosts {
		d, err := daemon.New(s.settings[n], io.Discard)
		must(s.t, err)
		must(s.t, d.Start())
		s.daemons[n] = d
	}
}

func (s *site) stopHost(n int) {
	if s.daemons[n] != nil {
		// A drain waits for callers to close their idle connections.
		http.DefaultClient.CloseIdleConnections()
		s.daemons[n].Drain()
		s.daemons[n] = nil
	}
}

// setPlatformCut cuts the connection between a host and the platform, or restores it.
func (s *site) setPlatformCut(n int, cut bool) {
	s.t.Helper()
	must(s.t, s.proxy.SetFault(proxysim.FaultRequest{Route: fmt.Sprintf("platform-%d", n), Cut: &cut}))
}

// setLogOutage sets the kind of outage of the platform's log for all hosts.
func (s *site) setLogOutage(o platformsim.Outage) {
	s.t.Helper()
	must(s.t, s.sim.SetFaults(platformsim.FaultsRequest{Service: platformsim.ServiceLog, Outage: &o}))
}

func (s *site) operatorURL(n int) string { return "http://" + s.settings[n].Listen.Operators }

// publish posts a record through a host and returns the HTTP status and the reply.
func (s *site) publish(n int, rec config.Record, token string) (int, daemon.PublishReply) {
	s.t.Helper()
	if rec.Schema == 0 {
		rec.Schema = 1
	}
	if rec.Text == "" {
		rec.Text = configText
	}
	body, _ := json.Marshal(&rec)
	req, _ := http.NewRequest(http.MethodPost, s.operatorURL(n)+"/v1/config", bytes.NewReader(body))
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
	base := s.configView(n).LatestRevision
	status, reply := s.publish(n, config.Record{ID: fmt.Sprintf("r-%d", base+1), Base: base, Author: "ann", Reason: "test"}, "")
	if status != http.StatusOK || reply.Revision != base+1 {
		s.t.Fatalf("publishing revision %d: status %d, %+v", base+1, status, reply)
	}
	return reply.Revision
}

// configView returns the state of the configuration that a host reports to operators.
func (s *site) configView(n int) daemon.ConfigView {
	s.t.Helper()
	var dump daemon.Dump
	must(s.t, testbed.GetJSON(context.Background(), s.operatorURL(n)+"/debug/state", &dump))
	return dump.Config
}

// awaitInForce waits until the host has the revision in force and returns how long that took.
func (s *site) awaitInForce(n int, revision uint64) time.Duration {
	s.t.Helper()
	startedAt := time.Now()
	for s.configView(n).RevisionInForce != revision {
		if time.Since(startedAt) > 2*maxPropagationDelay {
			s.t.Fatalf("host %d does not get revision %d: %+v", n, revision, s.configView(n))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// readStream reads a stream directly from the platform's log, without going through a host.
func (s *site) readStream(stream string) []logapi.Record {
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
