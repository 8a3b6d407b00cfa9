package rapidtest

import (
	"math/rand/v2"
	"testing"
)

// RequireCaughtInRuns runs a randomised state machine test with a mechanism switched off, once for each seed
// below runs. It fails the test if no run returns an error, because then the state machine test would not
// detect that the mechanism is broken. stream gives each state machine test random numbers of its own.
func RequireCaughtInRuns(t *testing.T, mechanism string, runs, stream uint64, run func(draw func(n int) int) error) {
	t.Helper()
	caught := 0
	for seed := range runs {
		if run(rand.New(rand.NewPCG(seed, stream)).IntN) != nil {
			caught++
		}
	}
	t.Logf("%s switched off: caught in %d of %d runs", mechanism, caught, runs)
	if caught == 0 {
		t.Errorf("%s switched off and not caught", mechanism)
	}
}
