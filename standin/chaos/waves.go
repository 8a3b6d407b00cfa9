package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// waveJobs is the size of one of the waves that go on while a fault lasts.
	waveJobs = 20
	// wavePause keeps the load of the waves below the capacity of the minions.
	wavePause = 200 * time.Millisecond
	retry     = 100 * time.Millisecond
	// askWait is how long one host is asked. It is short against the lifetime, as the wait
	// of package client is in a deployment, so that the host that holds a handed-over
	// answer is asked in time.
	askWait = 500 * time.Millisecond
)

// heldJob is a job with its ticket, submitted by the rules of package client.
type heldJob struct {
	job  api.Job
	name string
	got  time.Time // when the ticket was asked for
	life time.Duration
	host int // asked first
}

// resubmitJob runs a job of a wave until its final outcome.
type resubmitJob func(ctx context.Context, s *stage, j *heldJob, random *rand.Rand) (*api.Reply, error)

// waves submits waves of jobs until the returned function is called, which waits for the
// last outcomes.
func (p *pairStage) waves(ctx context.Context, name string, run resubmitJob) (end func() error) {
	stop, ended := make(chan struct{}), make(chan struct{})
	random := rand.New(rand.NewPCG(p.random.Uint64(), 0))
	go func() {
		defer close(ended)
		for i := 0; ctx.Err() == nil; i++ {
			select {
			case <-stop:
				return
			case <-time.After(wavePause):
			}
			p.oneWave(ctx, i, fmt.Sprintf("%s wave %d", name, i), random.Uint64(), run)
		}
	}()
	return func() error { close(stop); <-ended; return nil }
}

// oneWave runs jobs with tickets of one host. Without tickets there is no job.
func (p *pairStage) oneWave(ctx context.Context, host int, name string, seed uint64, run resubmitJob) {
	asked := time.Now()
	reply, err := newClient(p.bed, p.load.meter, host).Tickets(ctx, waveJobs, 0)
	if err != nil {
		return
	}
	done := make(chan struct{}, waveJobs)
	for i, id := range reply.Tickets {
		go func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			j := hold(reply, id, asked, fmt.Sprintf("%s job %d", name, i), host+i, random)
			p.load.add(j.run(ctx, p.stage, random, run))
			done <- struct{}{}
		}()
	}
	for range reply.Tickets {
		<-done
	}
}

func hold(reply *api.TicketReply, id ticket.ID, asked time.Time, name string, host int, random *rand.Rand) *heldJob {
	j := &heldJob{job: drawJob(name, random), name: name, got: asked, host: host,
		life: time.Duration(reply.WindowMS+reply.MaxDeadlineMS) * time.Millisecond}
	wait := askWait.Milliseconds()
	j.job.Ticket, j.job.WaitMS = id, &wait
	return j
}

func (j *heldJob) run(ctx context.Context, s *stage, random *rand.Rand, run resubmitJob) outcome {
	o := outcome{name: j.name, ticket: j.job.Ticket, tasks: len(j.job.Tasks), began: j.got, held: true}
	o.reply, o.err = run(ctx, s, j, random)
	o.ended = time.Now()
	return o
}

// verdict submits the job through one host after the other until the outcome is final, or
// until the ticket's lifetime has ended, as package client does.
func (j *heldJob) verdict(ctx context.Context, s *stage) (*api.Reply, error) {
	for n := j.host; ; n++ {
		reply, err := newClient(s.bed, s.load.meter, n).Submit(ctx, &j.job)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err == nil && j.accepts(reply) {
			return reply, nil
		}
		if time.Since(j.got) > j.life {
			return &api.Reply{Ticket: j.job.Ticket, Outcome: api.Failed, Reason: api.Errorf(api.CodeOwnerLost, "ticket", "lifetime ended")}, nil
		}
		time.Sleep(retry)
	}
}

func (j *heldJob) accepts(reply *api.Reply) bool {
	switch reply.Outcome {
	case api.Complete:
		return time.Since(j.got) <= j.life
	case api.Refused:
		return reply.Ticket == j.job.Ticket // one without it is about a single request
	case api.Failed:
		return true
	}
	return false
}

// cancelResubmitted cancels the job through another host at about the time of its start.
func cancelResubmitted(ctx context.Context, s *stage, j *heldJob, random *rand.Rand) (*api.Reply, error) {
	delay := time.Duration(random.Int64N(int64(40 * time.Millisecond)))
	go func() {
		time.Sleep(delay)
		// The outcome of the submission tells whether the cancellation arrived.
		_, _ = newClient(s.bed, s.load.meter, j.host+1).Cancel(ctx, j.job.Ticket)
	}()
	return j.verdict(ctx, s)
}

// loseAndResubmit loses the connection before, during or after the answer and asks again
// through another host.
func loseAndResubmit(ctx context.Context, s *stage, j *heldJob, random *rand.Rand) (*api.Reply, error) {
	short, cancel := context.WithTimeout(ctx, time.Duration(random.Int64N(int64(200*time.Millisecond))))
	defer cancel()
	_, _ = newClient(s.bed, s.load.meter, j.host).Submit(short, &j.job)
	j.host++
	return j.verdict(ctx, s)
}

// submitUnfetched submits a job to its owner without waiting, so that nobody has fetched
// the answer when the owner drains. It returns nil if the host gives no ticket, which
// another fault may cause.
func (p *pairStage) submitUnfetched(ctx context.Context, h *testbed.Host) *heldJob {
	host := indexOf(p.bed, h)
	asked := time.Now()
	reply, err := newClient(p.bed, p.load.meter, host).Tickets(ctx, 1, 0)
	if err != nil {
		return nil
	}
	j := hold(reply, reply.Tickets[0], asked, "unfetched "+h.Settings.Host, host+1, p.random)
	job, noWait := j.job, int64(0)
	job.WaitMS = &noWait
	if _, err := newClient(p.bed, p.load.meter, host).Submit(ctx, &job); err != nil {
		return nil
	}
	return j
}

// fetch asks for the answer of an unfetched job and adds its outcome.
func (p *pairStage) fetch(ctx context.Context, j *heldJob) {
	verdict := func(ctx context.Context, s *stage, j *heldJob, _ *rand.Rand) (*api.Reply, error) {
		return j.verdict(ctx, s)
	}
	asked := time.Now()
	o := j.run(ctx, p.stage, nil, verdict)
	o.began, o.unfetched = asked, true
	p.load.add(o)
}
