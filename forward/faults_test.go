package forward

import (
	"testing"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/internal/rapidtest"
)

// Shows that each check of the model test can fail: with one mechanism switched off, sequences of
// the same actions must violate it.
func TestModelDetectsInjectedFaults(t *testing.T) {
	rapidtest.ExpectFailures(t)
	for _, c := range []struct {
		name          string
		injected      faults
		disabledRules disabledCallerRules
		check         string // part of the message of the check that has to fail
	}{
		{"fail after half of the lifetime", faults{failAfterHalfLifetime: true}, disabledCallerRules{}, "before the lifetime of a live owner's ticket"},
		{"fail after half of the lifetime, then complete", faults{failAfterHalfLifetime: true}, disabledCallerRules{}, "the owner answers complete after"},
		{"treat unreachable as gone", faults{treatUnreachableAsGone: true}, disabledCallerRules{}, "the owner answers complete after"},
		{"never fail", faults{neverFail: true}, disabledCallerRules{}, "unknown after the lifetime"},
		{"keep answered requests", faults{keepAnsweredRequests: true}, disabledCallerRules{}, "and still kept"},
		{"report all not forwarded, then a new ticket", faults{reportAllNotForwarded: true}, disabledCallerRules{}, "refused after an attempt"},
		{"skip search", faults{skipSearch: true}, disabledCallerRules{}, "failed without a search"},
		{"drop found answers", faults{dropFoundAnswers: true}, disabledCallerRules{}, "a peer holds the answer"},
		{"accept any digest", faults{acceptAnyDigest: true}, disabledCallerRules{}, "answer of another job"},
		{"report all not forwarded", faults{reportAllNotForwarded: true}, disabledCallerRules{}, "a request that it has"},
		{"callers accept late answers", faults{}, disabledCallerRules{acceptLateAnswers: true}, "complete accepted after"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rapidtest.RequireCaught(t, func(t *rapid.T) { runModel(t, c.injected, c.disabledRules, c.check) })
		})
	}
}
