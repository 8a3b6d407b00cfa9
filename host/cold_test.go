package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// TestColdUntil guards against a cold time that grows with each report because reports are read late, and
// against one that ends early after a worker has become cold again or has restarted.
func TestColdUntil(t *testing.T) {
	at := func(now, left time.Duration, born int64) *workerEntry {
		return &workerEntry{offset: 1, info: fleet.Worker{ProcessStart: born, ColdUntil: now + left}}
	}
	info := func(left time.Duration, born int64) fleet.Worker {
		return fleet.Worker{ProcessStart: born, ColdLeft: left}
	}
	const now = time.Minute
	for name, c := range map[string]struct {
		old    *workerEntry
		offset int64
		info   fleet.Worker
		left   time.Duration
	}{
		"warm":                {at(now, 5*time.Second, 1), 2, info(0, 1), -now},
		"first report":        {nil, 2, info(5*time.Second, 1), 5 * time.Second},
		"read late":           {at(now, 4*time.Second, 1), 2, info(5*time.Second, 1), 4 * time.Second},
		"read again":          {at(now, 4*time.Second, 1), 1, info(9*time.Second, 1), 4 * time.Second},
		"earlier end":         {at(now, 6*time.Second, 1), 2, info(5*time.Second, 1), 5 * time.Second},
		"cold again":          {at(now, time.Second, 1), 2, info(8*time.Second, 1), 8 * time.Second},
		"cold after the warm": {at(now, -time.Second, 1), 2, info(time.Second, 1), time.Second},
		"restarted":           {at(now, 4*time.Second, 1), 2, info(5*time.Second, 2), 5 * time.Second},
	} {
		if got := coldUntil(now, c.old, c.offset, c.info) - now; got != c.left {
			t.Errorf("%s: cold for %v, want %v", name, got, c.left)
		}
	}
}
