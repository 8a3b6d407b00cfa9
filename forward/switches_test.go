package forward

import (
	"testing"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/internal/rapidtest"
)

// TestOracleNotices shows that each check of the oracle can fail: with one mechanism
// switched off the same sequences must break it.
func TestOracleNotices(t *testing.T) {
	rapidtest.ExpectFailures(t)
	for _, c := range []struct {
		name  string
		off   switches
		rules callerRules
		check string // part of its message
	}{
		{"early verdict", switches{earlyVerdict: true}, callerRules{}, "before the lifetime of a live owner's ticket"},
		{"early verdict, then complete", switches{earlyVerdict: true}, callerRules{}, "the owner answers complete after"},
		{"silence is gone", switches{silenceIsGone: true}, callerRules{}, "the owner answers complete after"},
		{"no verdict", switches{noVerdict: true}, callerRules{}, "unknown after the lifetime"},
		{"keep answered", switches{keepAnswered: true}, callerRules{}, "and still kept"},
		{"not reached, then a new ticket", switches{notReached: true}, callerRules{}, "refused after an attempt"},
		{"no search", switches{noSearch: true}, callerRules{}, "failed without a search"},
		{"found answer dropped", switches{foundDropped: true}, callerRules{}, "a peer holds the answer"},
		{"any digest", switches{anyDigest: true}, callerRules{}, "answer of another job"},
		{"not reached", switches{notReached: true}, callerRules{}, "a request that it has"},
		{"caller accepts late", switches{}, callerRules{acceptLate: true}, "complete accepted after"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rapidtest.RequireCaught(t, func(t *rapid.T) { runHosts(t, c.off, c.rules, c.check) })
		})
	}
}
