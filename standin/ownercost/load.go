package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/internal/pause"
)

const (
	// maxResponse bounds recorded response times; no deadline is longer.
	maxResponse    = time.Minute
	responseDigits = 3
)

// tally collects the answers to jobs. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	response *hdrhistogram.Histogram // of completed jobs, microseconds
	answers  map[string]int
	jobs     int
}

func newTally() *tally {
	h := hdrhistogram.New(1, maxResponse.Microseconds(), responseDigits)
	return &tally{response: h, answers: make(map[string]int)}
}

func (t *tally) record(took time.Duration, reply *api.Reply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs++
	t.answers[answerName(reply, err)]++
	if err == nil && reply.Outcome == api.Complete {
		// The bounds make an error of RecordValue impossible.
		_ = t.response.RecordValue(min(max(took.Microseconds(), 1), maxResponse.Microseconds()))
	}
}

// answerName names what a caller was answered, with the code of the reason.
func answerName(reply *api.Reply, err error) string {
	if err != nil {
		return "no answer"
	}
	if reply.Reason != nil {
		return string(reply.Outcome) + " " + string(reply.Reason.Code)
	}
	return string(reply.Outcome)
}

func (t *tally) quantileMS(q float64) float64 {
	return float64(t.response.ValueAtQuantile(q)) / 1000
}

// openLoop submits jobs at random times with the given mean rate per second and waits for
// every answer. A response time counts from the scheduled arrival, however late the job
// left.
func openLoop(ctx context.Context, rng *rand.Rand, rate float64, period time.Duration, t *tally, submit func() (*api.Reply, error)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= period || !pause.For(ctx, time.Until(began.Add(at))) {
			return
		}
		wg.Add(1)
		go func(due time.Time) {
			defer wg.Done()
			reply, err := submit()
			t.record(time.Since(due), reply, err)
		}(began.Add(at))
	}
}

// sleepUntil reports whether the time came before the context ended.
