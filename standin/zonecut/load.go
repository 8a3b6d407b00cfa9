package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	callersPerSide = 8
	// callerPause is the mean pause between two jobs of a caller. It keeps the load below the capacity of
	// the minions of one zone.
	callerPause = 60 * time.Millisecond
	maxTasks    = 4
	maxRunMS    = 80
	// jobDeadline and ticketWindow are short, so that the lifetime of tickets ends during the cut.
	jobDeadline    = 1500 * time.Millisecond
	ticketWindow   = 2 * time.Second
	ticketLifetime = jobDeadline + ticketWindow
)

// side is the side of the cut whose hosts a caller can reach.
type side string

const (
	inside  side = "inside"
	outside side = "outside"
)

func (p side) other() side {
	if p == inside {
		return outside
	}
	return inside
}

// outcome is the result that a caller accepted for one job.
type outcome struct {
	side   side
	name   string // echoed by each task
	tasks  int
	ticket ticket.ID
	reply  *api.Reply // nil without an outcome
	began  time.Time
	ended  time.Time
}

// callersURLs returns the URLs for callers of the hosts of a side, starting with host n of that side.
func callersURLs(bed *testbed.Deployment, zone string, p side, n int) []string {
	var out []string
	for _, h := range bed.Hosts {
		if (h.Settings.Zone == zone) == (p == inside) {
			out = append(out, h.CallersURL())
		}
	}
	n %= len(out)
	return append(out[n:len(out):len(out)], out[:n]...)
}

// load is a set of callers on both sides that submit jobs until they are stopped.
type load struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func startLoad(ctx context.Context, bed *testbed.Deployment, zone string, seed uint64) *load {
	l := &load{stop: make(chan struct{})}
	for _, p := range []side{inside, outside} {
		for n := range callersPerSide {
			c := client.New(client.Options{Hosts: callersURLs(bed, zone, p, n), TicketBatch: 4})
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			l.running.Go(func() { l.runCaller(ctx, c, p, n, random) })
		}
	}
	return l
}

func (l *load) runCaller(ctx context.Context, c *client.Client, p side, n int, random *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * callerPause)))):
		}
		name := fmt.Sprintf("%s %d job %d", p, n, i)
		job := newJob(name, 1+random.IntN(maxTasks), 1+random.IntN(maxRunMS))
		o := outcome{side: p, name: name, tasks: len(job.Tasks), began: time.Now()}
		// Without a reply the job counts as one without an outcome.
		o.reply, _ = c.Run(ctx, job)
		o.ended = time.Now()
		if o.reply != nil {
			o.ticket = o.reply.Ticket
		}
		l.mu.Lock()
		l.outcomes = append(l.outcomes, o)
		l.mu.Unlock()
	}
}

// stopAndWait stops the callers, waits for their last outcomes and returns all outcomes.
func (l *load) stopAndWait() []outcome {
	close(l.stop)
	l.running.Wait()
	return l.outcomes
}

func newJob(name string, tasks, runMS int) api.Job {
	job := api.Job{Schema: api.Schema, Team: "association", Kind: "estimate", DeadlineMS: jobDeadline.Milliseconds()}
	for i := range tasks {
		job.Tasks = append(job.Tasks, api.Task{RunMS: int64(runMS),
			Payload: json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"echo":"%s task %d"}`, runMS, name, i))})
	}
	return job
}
