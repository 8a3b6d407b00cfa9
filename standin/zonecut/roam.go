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
	// roamersPerPart is how many tickets of each part are submitted to the other one.
	roamersPerPart = 6
	roamerWait     = 500 * time.Millisecond
	roamerPause    = 100 * time.Millisecond
	roamerRunMS    = 50
)

// roamer is a caller with a ticket of one part that submits on the other side of the cut.
type roamer struct {
	outcome
	owner     *client.Client // hosts of the part that minted the ticket
	other     *client.Client // hosts of the other part
	submitted bool           // also to the owner's part, during the cut
	first     api.Outcome    // first reply of the other part
	sent      time.Time      // first submission to the other part
}

// newRoamers takes tickets from both parts.
func newRoamers(ctx context.Context, bed *testbed.Bed, zone string) ([]*roamer, error) {
	var out []*roamer
	for _, p := range []part{inside, outside} {
		for n := range roamersPerPart {
			r := &roamer{submitted: n%2 == 0}
			r.part, r.name, r.tasks = p, fmt.Sprintf("roamer %s %d", p, n), 2
			r.owner = client.New(client.Options{Hosts: urls(bed, zone, p, n)})
			r.other = client.New(client.Options{Hosts: urls(bed, zone, p.other(), n)})
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

// runRoamers submits each job across the cut until its outcome is final.
func runRoamers(ctx context.Context, list []*roamer) (wait func()) {
	var group sync.WaitGroup
	for _, r := range list {
		group.Go(func() { r.run(ctx) })
	}
	return group.Wait
}

func (r *roamer) run(ctx context.Context) {
	job := newJob(r.name, r.tasks, roamerRunMS)
	job.Ticket = r.ticket
	r.began = time.Now()
	if r.submitted {
		// The reply is lost to the caller, who turns to the other part.
		_, _ = r.owner.Submit(ctx, withWait(job, 0))
	}
	r.sent = time.Now()
	for ctx.Err() == nil {
		reply, err := r.other.Submit(ctx, withWait(job, roamerWait))
		if err == nil && r.take(reply) {
			return
		}
		time.Sleep(roamerPause)
	}
}

// take stores a reply and reports whether it is final.
func (r *roamer) take(reply *api.Reply) bool {
	if r.first == "" {
		r.first = reply.Outcome
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

// askAgain returns what both parts say about the ticket now.
func (r *roamer) askAgain(ctx context.Context) (owner, other api.Outcome) {
	return ask(ctx, r.owner, r.ticket), ask(ctx, r.other, r.ticket)
}

func ask(ctx context.Context, c *client.Client, id ticket.ID) api.Outcome {
	reply, err := c.Await(ctx, id, 0)
	if err != nil {
		return ""
	}
	return reply.Outcome
}
