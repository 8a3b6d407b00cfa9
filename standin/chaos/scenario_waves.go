package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
)

// Numbers of jobs in a wave. All tickets of a wave come from one host. In a larger wave the host would
// refuse jobs that it cannot finish within their deadline. That is correct, but not under test here.
const (
	cancelledJobs    = 120
	disconnectedJobs = 40
)

// cancelWave submits many jobs and cancels each through another host at about the time its tasks start.
// Some cancellations are sent before the submission.
func cancelWave(ctx context.Context, s *scenarioRun) error {
	return s.wave(ctx, cancelledJobs, 20*time.Millisecond, 40*time.Millisecond, submitAndCancel)
}

// disconnectCallers submits many jobs and closes each connection before, during or after the answer.
// Then it asks another host for the answer with the same ticket.
func disconnectCallers(ctx context.Context, s *scenarioRun) error {
	return s.wave(ctx, disconnectedJobs, 20*time.Millisecond, 200*time.Millisecond, submitAndDisconnect)
}

// waveJobFunc runs one job of a wave. It draws no random numbers, so that a seed reproduces the wave.
type waveJobFunc func(ctx context.Context, s *scenarioRun, i int, job api.Job, delays [2]time.Duration) (*api.Reply, error)

// wave runs many jobs concurrently, each with two random delays below limit0 and limit1.
func (s *scenarioRun) wave(ctx context.Context, jobs int, limit0, limit1 time.Duration, run waveJobFunc) error {
	tickets, err := newClient(s.bed, s.load.meter, 0).Tickets(ctx, jobs, 0)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, id := range tickets.Tickets {
		o := outcome{name: fmt.Sprintf("wave %d", i), ticket: id, began: time.Now()}
		job := randomJob(o.name, s.random)
		job.Ticket, o.tasks = id, len(job.Tasks)
		delays := [2]time.Duration{time.Duration(s.random.Int64N(int64(limit0))), time.Duration(s.random.Int64N(int64(limit1)))}
		group.Go(func() {
			o.reply, o.err = run(ctx, s, i, job, delays)
			o.ended = time.Now()
			mu.Lock()
			defer mu.Unlock()
			s.extra = append(s.extra, o)
		})
	}
	group.Wait()
	return nil
}

func submitAndCancel(ctx context.Context, s *scenarioRun, i int, job api.Job, delays [2]time.Duration) (*api.Reply, error) {
	go func() {
		time.Sleep(delays[1])
		// The outcome of the submission tells whether the cancellation arrived.
		_, _ = newClient(s.bed, s.load.meter, i+1).Cancel(ctx, job.Ticket)
	}()
	time.Sleep(delays[0])
	return newClient(s.bed, s.load.meter, i).Submit(ctx, &job)
}

func submitAndDisconnect(ctx context.Context, s *scenarioRun, i int, job api.Job, delays [2]time.Duration) (*api.Reply, error) {
	time.Sleep(delays[0])
	short, cancel := context.WithTimeout(ctx, delays[1])
	defer cancel()
	// The reply, if there is one, is ignored; the caller asks again.
	_, _ = newClient(s.bed, s.load.meter, i).Submit(short, &job)
	return newClient(s.bed, s.load.meter, i+1).Submit(ctx, &job)
}
