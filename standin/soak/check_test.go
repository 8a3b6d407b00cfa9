package main

import (
	"errors"
	"testing"
	"time"
)

// TestSilencedConnections guards against findings for requests on a connection that a fault has
// silenced for good, which never reach the host, and against excuses for requests on any other
// connection.
func TestSilencedConnections(t *testing.T) {
	now := time.Now()
	silencedAt := now.Add(-time.Minute)
	for _, c := range []struct {
		name     string
		opened   time.Time
		findings int
	}{
		{"opened before the fault", silencedAt.Add(-time.Second), 0},
		{"opened after the fault", silencedAt.Add(time.Second), 1},
		{"no connection", time.Time{}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &hostNode{name: "h", silencedAt: []time.Time{silencedAt}}
			d := &deployment{}
			a := &attempt{host: h, sent: now.Add(-4 * time.Second), ended: now, connOpened: c.opened, err: errors.New("timeout")}
			d.checkBrokenOff(&job{id: "1", tasks: 1}, a, nil)
			if len(d.findings) != c.findings {
				t.Errorf("%d findings, want %d: %v", len(d.findings), c.findings, d.findings)
			}
		})
	}
}
