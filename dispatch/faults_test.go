package dispatch

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
		name     string
		injected faults
		check    string // part of the message of the check that has to fail
	}{
		{"retry unknown outcomes", faults{retryUnknownOutcomes: true}, "which may have run"},
		{"omit refusal records", faults{omitRefusalRecords: true}, "after the reply \"refused\""},
		{"ignore deadlines, late answer", faults{ignoreDeadlines: true}, "came after the deadline"},
		{"ignore deadlines, no reply", faults{ignoreDeadlines: true}, "no reply after the deadline"},
		{"accept any attempt", faults{acceptAnyAttempt: true}, "result \"crossed\""},
		{"forget ended jobs", faults{forgetEndedJobs: true}, "after the final reply"},
		{"accept any digest", faults{acceptAnyDigest: true}, "answer of another job"},
		{"complete on first result", faults{completeOnFirstResult: true}, "0 starts"},
		{"replace final reply", faults{replaceFinalReply: true}, "outcome \"complete\" after \"failed\""},
		{"report all not run", faults{reportAllNotRun: true}, "said not to have run"},
		{"keep expired records", faults{keepExpiredRecords: true}, "live tickets"},
		{"omit final replies", faults{omitFinalReplies: true}, "no reply after the deadline"},
		{"omit refusal bound", faults{omitRefusalBound: true}, "after the reply \"refused\""},
		{"evict unfetched answers", faults{evictUnfetchedAnswers: true}, "nobody has fetched it"},
		{"keep slots of dropped jobs", faults{keepSlotsOfDroppedJobs: true}, "slots in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rapidtest.RequireCaught(t, func(t *rapid.T) { runModel(t, c.injected, c.check) })
		})
	}
}
