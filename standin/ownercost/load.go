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

// jobStats counts the answers to jobs and records response times. It is safe for concurrent use.
type jobStats struct {
	mu       sync.Mutex
	response *hdrhistogram.Histogram // of completed jobs, microseconds
	answers  map[string]int
	jobs     int
}

func newJobStats() *jobStats {
	h := hdrhistogram.New(1, maxResponse.Microseconds(), responseDigits)
	return &jobStats{response: h, answers: make(map[string]int)}
}

// record adds the answer to one job. Only completed jobs count for the response time.
func (t *jobStats) record(took time.Duration, reply *api.Reply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs++
	t.answers[answerLabel(reply, err)]++
	if err == nil && reply.Outcome == api.Complete {
		// The bounds make an error of RecordValue impossible.
		_ = t.response.RecordValue(min(max(took.Microseconds(), 1), maxResponse.Microseconds()))
	}
}

// answerLabel returns the outcome of a job and the code of its reason, if there is one.
func answerLabel(reply *api.Reply, err error) string {
	if err != nil {
		return "no answer"
	}
	if reply.Reason != nil {
		return string(reply.Outcome) + " " + string(reply.Reason.Code)
	}
	return string(reply.Outcome)
}

// quantileMS returns the response time in milliseconds at q percent of the completed jobs.
func (t *jobStats) quantileMS(q float64) float64 {
	return float64(t.response.ValueAtQuantile(q)) / 1000
}

// openLoop submits jobs as a Poisson process with a mean rate in jobs per second and waits for
// every answer. Response times are measured from the scheduled arrival, even if the job is sent
// late.
func openLoop(ctx context.Context, rng *rand.Rand, rate float64, period time.Duration, t *jobStats, submit func() (*api.Reply, error)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	arrival := time.Duration(0)
	for {
		arrival += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if arrival >= period || !pause.For(ctx, time.Until(began.Add(arrival))) {
			return
		}
		wg.Add(1)
		go func(due time.Time) {
			defer wg.Done()
			reply, err := submit()
			t.record(time.Since(due), reply, err)
		}(began.Add(arrival))
	}
}
