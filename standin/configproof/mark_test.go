package configproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// noWorkWithin is the promise: an endpoint gets no new work once this time has passed
// since its mark reached the platform's list.
const noWorkWithin = 3 * time.Second

// hold is longer than a request of the host for the list is held.
const hold = 2500 * time.Millisecond

// marks registers minions past the host and marks them as leaving one after the other.
type marks struct {
	*site
	client *logapi.Client
	minion int
}

func newMarks(t *testing.T) *marks {
	s := newSite(t, 1, platformsim.Config{HostLag: -1, HostTTL: time.Hour}, nil)
	s.start(0)
	m := &marks{site: s, client: logapi.NewClient(s.sim.URL(), time.Second)}
	t.Cleanup(m.client.Close)
	return m
}

// known reports whether the host knows the present minion as live or as leaving.
func (m *marks) known(leaving bool) bool {
	var dump daemon.Dump
	must(m.t, testbed.GetJSON(context.Background(), m.operators(0)+"/debug/state", &dump))
	for _, ep := range dump.Dispatch.Endpoints {
		if string(ep.ID) == m.name() {
			return ep.Leaving == leaving
		}
	}
	return false
}

func (m *marks) name() string { return fmt.Sprintf("minion-%d", m.minion) }

func (m *marks) register(state logapi.HostState) {
	m.t.Helper()
	must(m.t, m.client.Register(context.Background(), logapi.Host{ID: m.name(), Kind: logapi.KindMinion,
		Address: "127.0.0.1:1", Identity: "a", Zone: "malabar", Group: "demo", State: state, Slots: 1}))
}

func (m *marks) await(leaving bool) time.Duration {
	m.t.Helper()
	began := time.Now()
	for !m.known(leaving) {
		if time.Since(began) > 20*time.Second {
			m.t.Fatalf("%s is not seen within %v", m.name(), time.Since(began))
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(began)
}

// measure returns how long each of several marks takes to reach the host, in order. Before
// each mark prepare may disturb the host.
func (m *marks) measure(rounds int, prepare func()) []time.Duration {
	m.t.Helper()
	var took []time.Duration
	for range rounds {
		m.minion++
		m.register(logapi.HostLive)
		m.await(false)
		time.Sleep(rand.N(hold)) // any phase of the host's requests
		prepare()
		m.register(logapi.HostLeaving)
		took = append(took, m.await(true))
	}
	slices.Sort(took)
	m.t.Logf("%d marks: median %v, worst %v", rounds, took[rounds/2], took[rounds-1])
	return took
}

// Guards against requests for the host list, sent to save traffic, that make a host learn
// of leaving endpoints later.
func TestLeavingMarkReachesHost(t *testing.T) {
	t.Parallel()
	m := newMarks(t)
	took := m.measure(6, func() {})
	// A mark that follows another change of the list waits for the pause between lists.
	if worst, limit := took[len(took)-1], m.settings[0].Platform.HostsEvery+500*time.Millisecond; worst > limit {
		t.Errorf("a mark took %v, the bound is %v", worst, limit)
	}
}

// Guards against work for leaving endpoints while a held request waits on a connection that
// has gone silent.
func TestLeavingMarkReachesHostPastSilentConnections(t *testing.T) {
	t.Parallel()
	m := newMarks(t)
	took := m.measure(4, func() {
		must(t, m.proxy.SetFault(proxysim.FaultRequest{Route: "platform-0", BlackHole: true}))
	})
	if worst := took[len(took)-1]; worst > noWorkWithin {
		t.Errorf("a mark took %v, the bound is %v", worst, noWorkWithin)
	}
}
