package dispatch

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
		check string // part of its message
	}{
		{"resend unknown", switches{resendUnknown: true}, "which may have run"},
		{"forget refusals", switches{forgetRefusals: true}, "after the reply \"refused\""},
		{"late complete", switches{lateComplete: true}, "came after the deadline"},
		{"no deadline", switches{lateComplete: true}, "no reply after the deadline"},
		{"any attempt", switches{anyAttempt: true}, "result \"crossed\""},
		{"forget jobs", switches{forgetJobs: true}, "after the final reply"},
		{"any digest", switches{anyDigest: true}, "answer of another job"},
		{"partial answer", switches{partialAnswer: true}, "0 starts"},
		{"second verdict", switches{secondVerdict: true}, "outcome \"complete\" after \"failed\""},
		{"false not run", switches{falseNotRun: true}, "said not to have run"},
		{"keep records", switches{keepRecords: true}, "live tickets"},
		{"silent end", switches{silentEnd: true}, "no reply after the deadline"},
		{"forget half of the refusals", switches{forgetHalf: true}, "after the reply \"refused\""},
		{"evict any answer", switches{evictAny: true}, "nobody has fetched it"},
		{"leak slots", switches{leakSlots: true}, "slots in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rapidtest.RequireCaught(t, func(t *rapid.T) { runMachine(t, c.off, c.check) })
		})
	}
}
