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
	callersPerPart = 8
	// callerPause keeps the load below the capacity of the minions of one zone.
	callerPause = 60 * time.Millisecond
	maxTasks    = 4
	maxRunMS    = 80
	// jobDeadline and ticketWindow give tickets a lifetime that ends within the short cut.
	jobDeadline  = 1500 * time.Millisecond
	ticketWindow = 2 * time.Second
	lifetime     = jobDeadline + ticketWindow
)

// part is the side of the cut that a caller can reach.
type part string

const (
	inside  part = "inside"
	outside part = "outside"
)

func (p part) other() part {
	if p == inside {
		return outside
	}
	return inside
}

// outcome is what a caller accepted for one job.
type outcome struct {
	part   part
	name   string // echoed by each task
	tasks  int
	ticket ticket.ID
	reply  *api.Reply // nil without an outcome
	began  time.Time
	ended  time.Time
}

// urls returns the callers' addresses of a part, beginning with host n of it.
func urls(bed *testbed.Bed, zone string, p part, n int) []string {
	var out []string
	for _, h := range bed.Hosts {
		if (h.Settings.Zone == zone) == (p == inside) {
			out = append(out, h.CallersURL())
		}
	}
	n %= len(out)
	return append(out[n:len(out):len(out)], out[:n]...)
}

// load is callers of both parts that submit jobs until they are stopped.
type load struct {
	stop chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func startLoad(ctx context.Context, bed *testbed.Bed, zone string, seed uint64) *load {
	l := &load{stop: make(chan struct{})}
	for _, p := range []part{inside, outside} {
		for n := range callersPerPart {
			c := client.New(client.Options{Hosts: urls(bed, zone, p, n), TicketBatch: 4})
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			l.wait.Go(func() { l.call(ctx, c, p, n, random) })
		}
	}
	return l
}

func (l *load) call(ctx context.Context, c *client.Client, p part, n int, random *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * callerPause)))):
		}
		name := fmt.Sprintf("%s %d job %d", p, n, i)
		job := newJob(name, 1+random.IntN(maxTasks), 1+random.IntN(maxRunMS))
		o := outcome{part: p, name: name, tasks: len(job.Tasks), began: time.Now()}
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

// end stops the callers and waits for their last outcomes.
func (l *load) end() []outcome {
	close(l.stop)
	l.wait.Wait()
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
