package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// crossCutCallersPerSide is the number of tickets of each side that are submitted to the other side.
	crossCutCallersPerSide = 6
	crossCutWait           = 500 * time.Millisecond
	crossCutRetryInterval  = 100 * time.Millisecond
	crossCutRunMS          = 50
)

// crossCutCaller is a caller that has a ticket of one side of the cut and submits its job to the other side.
type crossCutCaller struct {
	outcome
	owner            *client.Client // hosts of the side that issued the ticket
	other            *client.Client // hosts of the other side
	submittedToOwner bool           // also submits to the owner's side, during the cut
	firstOutcome     api.Outcome    // first reply of the other side
	firstSubmission  time.Time      // time of the first submission to the other side
}

// newCrossCutCallers takes tickets from both sides.
func newCrossCutCallers(ctx context.Context, bed *testbed.Deployment, zone string) ([]*crossCutCaller, error) {
	var out []*crossCutCaller
	for _, p := range []side{inside, outside} {
		for n := range crossCutCallersPerSide {
			r := &crossCutCaller{submittedToOwner: n%2 == 0}
			r.side, r.name, r.tasks = p, fmt.Sprintf("roamer %s %d", p, n), 2
			r.owner = client.New(client.Options{Hosts: callersURLs(bed, zone, p, n)})
			r.other = client.New(client.Options{Hosts: callersURLs(bed, zone, p.other(), n)})
			reply, err := r.owner.Tickets(ctx, 1, 0)
			if err != nil {
				return nil, err
			}
			r.ticket = reply.Tickets[0]
			out = append(out, r)
		}
	}
	return out, nil
}

// runCrossCutCallers submits each job across the cut until its outcome is final. wait waits for all of them.
func runCrossCutCallers(ctx context.Context, list []*crossCutCaller) (wait func()) {
	var group sync.WaitGroup
	for _, r := range list {
		group.Go(func() { r.run(ctx) })
	}
	return group.Wait
}

func (r *crossCutCaller) run(ctx context.Context) {
	job := newJob(r.name, r.tasks, crossCutRunMS)
	job.Ticket = r.ticket
	r.began = time.Now()
	if r.submittedToOwner {
		// The caller does not see the reply and turns to the other side.
		_, _ = r.owner.Submit(ctx, withWait(job, 0))
	}
	r.firstSubmission = time.Now()
	for ctx.Err() == nil {
		reply, err := r.other.Submit(ctx, withWait(job, crossCutWait))
		if err == nil && r.storeReply(reply) {
			return
		}
		time.Sleep(crossCutRetryInterval)
	}
}

// storeReply stores a reply and reports whether it is final.
func (r *crossCutCaller) storeReply(reply *api.Reply) bool {
	if r.firstOutcome == "" {
		r.firstOutcome = reply.Outcome
	}
	if reply.Outcome == api.Unknown {
		return false
	}
	r.reply, r.ended = reply, time.Now()
	return true
}

func withWait(job api.Job, wait time.Duration) *api.Job {
	ms := wait.Milliseconds()
	job.WaitMS = &ms
	return &job
}

// currentOutcomes returns the outcomes of the ticket that both sides report now.
func (r *crossCutCaller) currentOutcomes(ctx context.Context) (owner, other api.Outcome) {
	return queryOutcome(ctx, r.owner, r.ticket), queryOutcome(ctx, r.other, r.ticket)
}

func queryOutcome(ctx context.Context, c *client.Client, id ticket.ID) api.Outcome {
	reply, err := c.Await(ctx, id, 0)
	if err != nil {
		return ""
	}
	return reply.Outcome
}
