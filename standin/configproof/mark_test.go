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

// maxLeavingDelay is the guaranteed limit after which an endpoint gets no new work, counted from the time
// when the platform's host list marks it as leaving.
const maxLeavingDelay = 3 * time.Second

// maxRequestHold exceeds the time for which the platform holds a request for the host list.
const maxRequestHold = 2500 * time.Millisecond

// leavingObserver registers minions directly with the platform, marks them as leaving one after the other
// and observes when the host learns of it.
type leavingObserver struct {
	*site
	client *logapi.Client
	minion int
}

func newLeavingObserver(t *testing.T) *leavingObserver {
	s := newSite(t, 1, platformsim.Config{HostLag: -1, HostTTL: time.Hour}, nil)
	s.startHosts(0)
	m := &leavingObserver{site: s, client: logapi.NewClient(s.sim.URL(), time.Second)}
	t.Cleanup(m.client.Close)
	return m
}

// isKnown reports whether the host knows the current minion as live or as leaving.
func (m *leavingObserver) isKnown(leaving bool) bool {
	var dump daemon.Dump
	must(m.t, testbed.GetJSON(context.Background(), m.operatorURL(0)+"/debug/state", &dump))
	for _, ep := range dump.Dispatch.Endpoints {
		if string(ep.ID) == m.minionID() {
			return ep.Leaving == leaving
		}
	}
	return false
}

func (m *leavingObserver) minionID() string { return fmt.Sprintf("minion-%d", m.minion) }

func (m *leavingObserver) register(state logapi.HostState) {
	m.t.Helper()
	must(m.t, m.client.Register(context.Background(), logapi.Host{ID: m.minionID(), Kind: logapi.KindMinion,
		Address: "127.0.0.1:1", Identity: "a", Zone: "malabar", Group: "demo", State: state, Slots: 1}))
}

// awaitKnown waits until the host knows the current minion as live or as leaving and returns how long that took.
func (m *leavingObserver) awaitKnown(leaving bool) time.Duration {
	m.t.Helper()
	startedAt := time.Now()
	for !m.isKnown(leaving) {
		if time.Since(startedAt) > 20*time.Second {
			m.t.Fatalf("%s is not seen within %v", m.minionID(), time.Since(startedAt))
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// measureDelays returns, in ascending order, how long each of several marks takes to reach the host.
// prepare runs before each mark and may inject a fault.
func (m *leavingObserver) measureDelays(rounds int, prepare func()) []time.Duration {
	m.t.Helper()
	var took []time.Duration
	for range rounds {
		m.minion++
		m.register(logapi.HostLive)
		m.awaitKnown(false)
		time.Sleep(rand.N(maxRequestHold)) // place the mark at a random phase of the host's requests
		prepare()
		m.register(logapi.HostLeaving)
		took = append(took, m.awaitKnown(true))
	}
	slices.Sort(took)
	m.t.Logf("%d marks: median %v, worst %v", rounds, took[rounds/2], took[rounds-1])
	return took
}

// Guards against requests for the host list, sent to save traffic, that make a host learn
// of leaving endpoints later.
func TestLeavingMarkReachesHost(t *testing.T) {
	t.Parallel()
	m := newLeavingObserver(t)
	took := m.measureDelays(6, func() {})
	// A mark that follows another change of the list waits for the pause between lists.
	if worst, limit := took[len(took)-1], m.settings[0].Platform.HostsInterval+500*time.Millisecond; worst > limit {
		t.Errorf("a mark took %v, the bound is %v", worst, limit)
	}
}

// Guards against a host that sends work to leaving endpoints because its held request waits on a
// connection that no longer delivers data.
func TestLeavingMarkReachesHostDespiteSilentConnections(t *testing.T) {
	t.Parallel()
	m := newLeavingObserver(t)
	took := m.measureDelays(4, func() {
		must(t, m.proxy.SetFault(proxysim.FaultRequest{Route: "platform-0", BlackHole: true}))
	})
	if worst := took[len(took)-1]; worst > maxLeavingDelay {
		t.Errorf("a mark took %v, the bound is %v", worst, maxLeavingDelay)
	}
}
