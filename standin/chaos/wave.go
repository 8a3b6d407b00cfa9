package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
)

// Sizes of the waves. All tickets are of one host; it refuses jobs of a larger wave that
// it cannot end within their deadline, which is right but not what is measured here.
const (
	cancelledJobs = 120
	goneJobs      = 40
)

// cancelWave submits many jobs and cancels each through another host at about the time
// when its tasks start, some before the submission.
func cancelWave(ctx context.Context, s *stage) error {
	return s.wave(ctx, cancelledJobs, 20*time.Millisecond, 40*time.Millisecond, cancelJob)
}

// goneCallers submits many jobs, loses each connection before, during or after the answer,
// and asks another host for the answer with the same ticket.
func goneCallers(ctx context.Context, s *stage) error {
	return s.wave(ctx, goneJobs, 20*time.Millisecond, 200*time.Millisecond, goneJob)
}

// waveJob runs one job of a wave. It draws nothing, so that a seed repeats a wave.
type waveJob func(ctx context.Context, s *stage, i int, job api.Job, delays [2]time.Duration) (*api.Reply, error)

// wave runs many jobs at once, each with two delays drawn up to the limits given.
func (s *stage) wave(ctx context.Context, jobs int, limit0, limit1 time.Duration, run waveJob) error {
	tickets, err := newClient(s.bed, s.load.meter, 0).Tickets(ctx, jobs, 0)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, id := range tickets.Tickets {
		o := outcome{name: fmt.Sprintf("wave %d", i), ticket: id, began: time.Now()}
		job := drawJob(o.name, s.random)
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

func cancelJob(ctx context.Context, s *stage, i int, job api.Job, delays [2]time.Duration) (*api.Reply, error) {
	go func() {
		time.Sleep(delays[1])
		// The outcome of the submission tells whether the cancellation arrived.
		_, _ = newClient(s.bed, s.load.meter, i+1).Cancel(ctx, job.Ticket)
	}()
	time.Sleep(delays[0])
	return newClient(s.bed, s.load.meter, i).Submit(ctx, &job)
}

func goneJob(ctx context.Context, s *stage, i int, job api.Job, delays [2]time.Duration) (*api.Reply, error) {
	time.Sleep(delays[0])
	short, cancel := context.WithTimeout(ctx, delays[1])
	defer cancel()
	// The reply, if there is one, is ignored; the caller asks again.
	_, _ = newClient(s.bed, s.load.meter, i).Submit(short, &job)
	return newClient(s.bed, s.load.meter, i+1).Submit(ctx, &job)
}
