package platformsim

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/platform"
)

// Guards against a list that is ahead of its lag, loses the leaving mark at the next
// renewal, or keeps dead hosts.
func TestHostListLagsKeepsLeavingAndExpires(t *testing.T) {
	l := newHostList(time.Second, 3*time.Second)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	host := platform.Host{ID: "m", Identity: "a", Address: "127.0.0.1:1"}

	l.register(at(0), host)
	expectState(t, l, at(900), "")
	expectState(t, l, at(1000), platform.HostLive)

	if err := l.setState(at(2000), "m", platform.HostLeaving); err != nil {
		t.Fatal(err)
	}
	l.register(at(2500), host)
	expectState(t, l, at(2900), platform.HostLive)
	expectState(t, l, at(3600), platform.HostLeaving)

	host.Identity = "b"
	l.register(at(4000), host)
	expectState(t, l, at(5000), platform.HostLive)

	l.expire(at(7000))
	expectState(t, l, at(8000), platform.HostLive)
	l.expire(at(7001))
	expectState(t, l, at(8001), "")
	if v := l.list(at(9000)).Version; v != 4 {
		t.Fatalf("version %d after 4 changes", v)
	}
}

// expectState checks the state of host m in the served list; "" means absent.
func expectState(t *testing.T, l *hostList, now time.Time, want platform.HostState) {
	t.Helper()
	var got platform.HostState
	for _, h := range l.list(now).Hosts {
		got = h.State
	}
	if got != want {
		t.Fatalf("state %q, want %q", got, want)
	}
}
