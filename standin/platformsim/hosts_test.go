package platformsim

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// Guards against a host list that shows changes before the lag has passed, resets the state leaving
// at the next renewal, or keeps hosts that no longer renew.
func TestHostListLagLeavingStateAndExpiry(t *testing.T) {
	l := newHostList(time.Second, 3*time.Second)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	host := logapi.Host{ID: "m", Identity: "a", Address: "127.0.0.1:1"}

	l.register(at(0), host)
	expectState(t, l, at(900), "")
	expectState(t, l, at(1000), logapi.HostLive)

	if err := l.setState(at(2000), "m", logapi.HostLeaving); err != nil {
		t.Fatal(err)
	}
	l.register(at(2500), host)
	expectState(t, l, at(2900), logapi.HostLive)
	expectState(t, l, at(3600), logapi.HostLeaving)

	host.Identity = "b"
	l.register(at(4000), host)
	expectState(t, l, at(5000), logapi.HostLive)

	l.expire(at(7000))
	expectState(t, l, at(8000), logapi.HostLive)
	l.expire(at(7001))
	expectState(t, l, at(8001), "")
	if v := l.list(at(9000)).Version; v != 4 {
		t.Fatalf("version %d after 4 changes", v)
	}
}

// expectState checks the state of host m in the served list; "" means absent.
func expectState(t *testing.T, l *hostList, now time.Time, want logapi.HostState) {
	t.Helper()
	var got logapi.HostState
	for _, h := range l.list(now).Hosts {
		got = h.State
	}
	if got != want {
		t.Fatalf("state %q, want %q", got, want)
	}
}

// Guards against a held request that is answered before the list changes or that misses the change,
// and against a response body where the client asked for none.
func TestHeldHostListRequestAndMinimalAnswer(t *testing.T) {
	sim := New(Config{HostLag: -1})
	if err := sim.Start(); err != nil {
		t.Fatal(err)
	}
	defer sim.Stop()
	client := logapi.NewClient(sim.URL(), 5*time.Second)
	defer client.Close()
	ctx := context.Background()
	host := logapi.Host{ID: "m", Kind: logapi.KindEntry, Identity: "a", Address: "127.0.0.1:1"}
	if err := client.Register(ctx, host); err != nil {
		t.Fatal(err)
	}
	list, err := client.Hosts(ctx, "", time.Minute)
	if err != nil || list == nil || len(list.Hosts) != 1 {
		t.Fatalf("without a tag: %+v, %v", list, err)
	}
	began := time.Now()
	if unchanged, err := client.Hosts(ctx, list.Tag, 200*time.Millisecond); err != nil || unchanged != nil || time.Since(began) < 200*time.Millisecond {
		t.Errorf("unchanged: %+v, %v after %v", unchanged, err, time.Since(began))
	}
	time.AfterFunc(100*time.Millisecond, func() {
		host.State = logapi.HostLeaving
		_ = client.Register(ctx, host)
	})
	changed, err := client.Hosts(ctx, list.Tag, 20*time.Second)
	if err != nil || changed == nil || changed.Hosts[0].State != logapi.HostLeaving {
		t.Errorf("changed: %+v, %v", changed, err)
	}
}
