package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	callers = 24
	// callerPause is the mean pause between two jobs of a caller. It keeps the load below the capacity of
	// the minions.
	callerPause = 30 * time.Millisecond
	maxTasks    = 6
	maxRunMS    = 120
)

// outcome is the result that a caller accepted for one job.
type outcome struct {
	ticket ticket.ID
	reply  *api.Reply
	err    error
	tasks  int
	began  time.Time
	ended  time.Time
	name   string // echoed by each task
	// unfetched means that nobody had fetched the answer when its owner began to drain.
	unfetched   bool
	fixedTicket bool // the job keeps its ticket, as a ticketedJob does
}

// load is a set of callers that submit jobs until they are stopped. Each caller has its own client, which
// starts with a host of its own and resubmits to the others.
type load struct {
	meter   *meter
	bed     *testbed.Deployment
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func startLoad(ctx context.Context, bed *testbed.Deployment, seed uint64) *load {
	l := &load{bed: bed, stop: make(chan struct{}), meter: newMeter()}
	for n := range callers {
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.runCaller(ctx, n, rand.New(rand.NewPCG(seed, uint64(n))))
		}()
	}
	return l
}

func newMeter() *meter {
	return &meter{base: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 2 * time.Second}}
}

// newClient returns a client that starts with host n.
func newClient(bed *testbed.Deployment, m *meter, n int) *client.Client {
	var urls []string
	for i := range bed.Hosts {
		urls = append(urls, bed.Hosts[(n+i)%len(bed.Hosts)].CallersURL())
	}
	return client.New(client.Options{Hosts: urls, TicketBatch: 4, HTTP: &http.Client{Transport: m}})
}

func (l *load) runCaller(ctx context.Context, n int, random *rand.Rand) {
	c := newClient(l.bed, l.meter, n)
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * callerPause)))):
		}
		l.add(runJob(ctx, c, fmt.Sprintf("caller %d job %d", n, i), random))
	}
}

func runJob(ctx context.Context, c *client.Client, name string, random *rand.Rand) outcome {
	job := randomJob(name, random)
	o := outcome{name: name, tasks: len(job.Tasks), began: time.Now()}
	o.reply, o.err = c.Run(ctx, job)
	o.ended = time.Now()
	if o.reply != nil {
		o.ticket = o.reply.Ticket
	}
	return o
}

func randomJob(name string, random *rand.Rand) api.Job {
	job := api.Job{Schema: api.Schema, Team: "association", Kind: "award"}
	for i := range 1 + random.IntN(maxTasks) {
		run := 1 + random.IntN(maxRunMS)
		job.Tasks = append(job.Tasks, api.Task{RunMS: int64(run),
			Payload: json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"echo":"%s task %d"}`, run, name, i))})
	}
	return job
}

func (l *load) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// stopAndWait stops the callers, waits for their last outcomes and returns all outcomes.
func (l *load) stopAndWait() []outcome {
	close(l.stop)
	l.running.Wait()
	return l.outcomes
}
