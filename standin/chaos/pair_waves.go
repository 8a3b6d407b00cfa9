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
	// jobsPerWave is the number of jobs in each wave that runs while a fault lasts.
	jobsPerWave = 20
	// wavePause is the pause before each wave. It keeps the load below the capacity of the minions.
	wavePause     = 200 * time.Millisecond
	retryInterval = 100 * time.Millisecond
	// submitWait is how long one request waits for the outcome at a host. Like the wait of package client
	// in a deployment, it is much shorter than the ticket's lifetime, so that the host to which an answer
	// was handed over is asked before the ticket expires.
	submitWait = 500 * time.Millisecond
)

// ticketedJob is a job that keeps one ticket. It is resubmitted by the rules of package client.
type ticketedJob struct {
	job             api.Job
	name            string
	ticketRequested time.Time // time of the ticket request
	lifetime        time.Duration
	firstHost       int // index of the host that is asked first
}

// submitFunc submits a job, again if necessary, until its outcome is final.
type submitFunc func(ctx context.Context, s *scenarioRun, j *ticketedJob, random *rand.Rand) (*api.Reply, error)

// startWaves submits waves of jobs until end is called. end waits for the last outcomes.
func (p *pairRun) startWaves(ctx context.Context, name string, run submitFunc) (end func() error) {
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
			p.runWave(ctx, i, fmt.Sprintf("%s wave %d", name, i), random.Uint64(), run)
		}
	}()
	return func() error { close(stop); <-ended; return nil }
}

// runWave runs jobs with tickets of one host. If the host issues no tickets, it runs no job.
func (p *pairRun) runWave(ctx context.Context, host int, name string, seed uint64, run submitFunc) {
	asked := time.Now()
	reply, err := newClient(p.bed, p.load.meter, host).Tickets(ctx, jobsPerWave, 0)
	if err != nil {
		return
	}
	done := make(chan struct{}, jobsPerWave)
	for i, id := range reply.Tickets {
		go func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			j := newTicketedJob(reply, id, asked, fmt.Sprintf("%s job %d", name, i), host+i, random)
			p.load.add(j.run(ctx, p.scenarioRun, random, run))
			done <- struct{}{}
		}()
	}
	for range reply.Tickets {
		<-done
	}
}

func newTicketedJob(reply *api.TicketReply, id ticket.ID, asked time.Time, name string, host int, random *rand.Rand) *ticketedJob {
	j := &ticketedJob{job: randomJob(name, random), name: name, ticketRequested: asked, firstHost: host,
		lifetime: time.Duration(reply.WindowMS+reply.MaxDeadlineMS) * time.Millisecond}
	wait := submitWait.Milliseconds()
	j.job.Ticket, j.job.WaitMS = id, &wait
	return j
}

func (j *ticketedJob) run(ctx context.Context, s *scenarioRun, random *rand.Rand, run submitFunc) outcome {
	o := outcome{name: j.name, ticket: j.job.Ticket, tasks: len(j.job.Tasks), began: j.ticketRequested, fixedTicket: true}
	o.reply, o.err = run(ctx, s, j, random)
	o.ended = time.Now()
	return o
}

// awaitOutcome submits the job through one host after the other until the outcome is final. After the
// ticket's lifetime it returns the failure owner_lost, as package client does.
func (j *ticketedJob) awaitOutcome(ctx context.Context, s *scenarioRun) (*api.Reply, error) {
	for n := j.firstHost; ; n++ {
		reply, err := newClient(s.bed, s.load.meter, n).Submit(ctx, &j.job)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err == nil && j.accepts(reply) {
			return reply, nil
		}
		if time.Since(j.ticketRequested) > j.lifetime {
			return &api.Reply{Ticket: j.job.Ticket, Outcome: api.Failed, Reason: api.Errorf(api.CodeOwnerLost, "ticket", "lifetime ended")}, nil
		}
		time.Sleep(retryInterval)
	}
}

func (j *ticketedJob) accepts(reply *api.Reply) bool {
	switch reply.Outcome {
	case api.Complete:
		return time.Since(j.ticketRequested) <= j.lifetime
	case api.Refused:
		return reply.Ticket == j.job.Ticket // a refusal without a ticket concerns a single request only
	case api.Failed:
		return true
	}
	return false
}

// resubmitAndCancel cancels the job through another host at about the time its tasks start.
func resubmitAndCancel(ctx context.Context, s *scenarioRun, j *ticketedJob, random *rand.Rand) (*api.Reply, error) {
	delay := time.Duration(random.Int64N(int64(40 * time.Millisecond)))
	go func() {
		time.Sleep(delay)
		// The outcome of the submission tells whether the cancellation arrived.
		_, _ = newClient(s.bed, s.load.meter, j.firstHost+1).Cancel(ctx, j.job.Ticket)
	}()
	return j.awaitOutcome(ctx, s)
}

// disconnectAndResubmit closes the connection before, during or after the answer and asks again through
// another host.
func disconnectAndResubmit(ctx context.Context, s *scenarioRun, j *ticketedJob, random *rand.Rand) (*api.Reply, error) {
	short, cancel := context.WithTimeout(ctx, time.Duration(random.Int64N(int64(200*time.Millisecond))))
	defer cancel()
	_, _ = newClient(s.bed, s.load.meter, j.firstHost).Submit(short, &j.job)
	j.firstHost++
	return j.awaitOutcome(ctx, s)
}

// submitUnfetched submits a job to its owner without waiting, so that nobody has fetched the answer when
// the owner drains. It returns nil if the host issues no ticket or the submission fails, which another
// fault may cause.
func (p *pairRun) submitUnfetched(ctx context.Context, h *testbed.Host) *ticketedJob {
	host := indexOf(p.bed, h)
	asked := time.Now()
	reply, err := newClient(p.bed, p.load.meter, host).Tickets(ctx, 1, 0)
	if err != nil {
		return nil
	}
	j := newTicketedJob(reply, reply.Tickets[0], asked, "unfetched "+h.Settings.Host, host+1, p.random)
	job, noWait := j.job, int64(0)
	job.WaitMS = &noWait
	if _, err := newClient(p.bed, p.load.meter, host).Submit(ctx, &job); err != nil {
		return nil
	}
	return j
}

// fetchAnswer asks for the answer of an unfetched job and adds its outcome to the load.
func (p *pairRun) fetchAnswer(ctx context.Context, j *ticketedJob) {
	awaitOutcome := func(ctx context.Context, s *scenarioRun, j *ticketedJob, _ *rand.Rand) (*api.Reply, error) {
		return j.awaitOutcome(ctx, s)
	}
	asked := time.Now()
	o := j.run(ctx, p.scenarioRun, nil, awaitOutcome)
	o.began, o.unfetched = asked, true
	p.load.add(o)
}
