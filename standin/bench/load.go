package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// ticketBatch is how many tickets a caller fetches at a time.
	ticketBatch = 256
	// resubmitDelay is the delay before a caller retries a request.
	resubmitDelay = 100 * time.Millisecond
	// giveUpAfter limits how long after the deadline of a job its caller still retries.
	giveUpAfter = 5 * time.Second
	// maxTicketAge limits the age of an unused ticket. It is well below the submission window.
	maxTicketAge = 15 * time.Second
)

// jobResult is the result of one job as its caller observed it.
type jobResult struct {
	response  time.Duration // from the scheduled arrival
	outcome   api.Outcome   // empty if the caller gave up
	code      api.Code
	broken    bool     // a complete answer with a missing or wrong result
	minions   []string // by task, of a complete answer
	cancelled bool
}

// loadGenerator submits a schedule in an open loop: each job is sent at its
// scheduled time, even if the answers to earlier jobs are late.
type loadGenerator struct {
	dep     *deployment
	sc      *scenario
	net     network
	hosts   []*hostCaller
	results []jobResult
}

// hostCaller submits through one entry host.
type hostCaller struct {
	client  *client.Client
	mu      sync.Mutex
	tickets []ticket.ID
	fetched time.Time
}

func newLoadGenerator(dep *deployment, sc *scenario, net network, bed *testbed.Deployment) *loadGenerator {
	g := &loadGenerator{dep: dep, sc: sc, net: net}
	transport := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	for _, h := range bed.Hosts {
		g.hosts = append(g.hosts, &hostCaller{client: client.New(client.Options{Hosts: []string{h.CallersURL()}, HTTP: transport})})
	}
	return g
}

// run submits the schedule and returns when every job has ended. Results are by the
// index of the arrival.
func (g *loadGenerator) run(ctx context.Context, start time.Time, schedule []arrival) []jobResult {
	g.results = make([]jobResult, len(schedule))
	var wg sync.WaitGroup
	for i := range schedule {
		sleepUntil(ctx, start.Add(schedule[i].at+g.net.client))
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.results[i] = g.submit(ctx, start, i, &schedule[i])
		}()
	}
	wg.Wait()
	return g.results
}

func (g *loadGenerator) submit(ctx context.Context, start time.Time, seq int, a *arrival) jobResult {
	kind := g.dep.kinds[a.kind]
	ctx, stop := context.WithDeadline(ctx, start.Add(a.at+kind.deadline+giveUpAfter))
	defer stop()
	job := g.apiJob(seq, a)
	reply := g.hosts[a.host].submit(ctx, job, func(id ticket.ID) { g.cancelLater(ctx, start, a, id) })
	res := jobResult{response: time.Since(start) - a.at + g.net.client, cancelled: a.cancelAt > 0}
	if reply == nil {
		return res
	}
	res.outcome = reply.Outcome
	if reply.Reason != nil {
		res.code = reply.Reason.Code
	}
	if reply.Outcome == api.Complete {
		res.minions, res.broken = checkAnswer(seq, a, reply)
	}
	return res
}

// cancelLater cancels the job at the time of its cancellation wave.
func (g *loadGenerator) cancelLater(ctx context.Context, start time.Time, a *arrival, id ticket.ID) {
	if a.cancelAt == 0 {
		return
	}
	go func() {
		if sleepUntil(ctx, start.Add(a.cancelAt)) {
			// Submit reports the outcome. If the cancellation is lost, the job completes.
			_, _ = g.hosts[a.host].client.Cancel(ctx, id)
		}
	}()
}

func (g *loadGenerator) apiJob(seq int, a *arrival) *api.Job {
	kind := g.dep.kinds[a.kind]
	job := &api.Job{
		Schema:     api.Schema,
		Team:       g.dep.teams[a.team].name,
		Kind:       kind.name,
		DeadlineMS: kind.deadline.Milliseconds(),
		Tasks:      make([]api.Task, len(a.runsMS)),
	}
	for i, ms := range a.runsMS {
		job.Tasks[i] = api.Task{
			RunMS:   a.declaredMS[i],
			Payload: json.RawMessage(fmt.Sprintf(`{"run_ms":%.3f,"echo":%d}`, ms, echo(seq, i))),
		}
	}
	return job
}

// echo returns the number that the result of a task must contain.
func echo(seq, task int) int { return seq*10_000 + task }

// checkAnswer returns the minion that ran each task, and whether the answer is broken.
func checkAnswer(seq int, a *arrival, r *api.Reply) ([]string, bool) {
	minions := make([]string, len(a.runsMS))
	if len(r.Tasks) != len(a.runsMS) {
		return minions, true
	}
	for i := range r.Tasks {
		var result minionsim.Result
		err := json.Unmarshal(r.Tasks[i].Result, &result)
		if err != nil || string(result.Echo) != fmt.Sprint(echo(seq, i)) {
			return minions, true
		}
		minions[i] = result.Minion
	}
	return minions, false
}

// submit sends a job until its reply is final or the context ends, and returns that
// reply or nil. It calls onTicket once the job's ticket is known.
func (h *hostCaller) submit(ctx context.Context, job *api.Job, onTicket func(ticket.ID)) *api.Reply {
	for ctx.Err() == nil {
		if job.Ticket == "" {
			id, err := h.ticket(ctx)
			if err != nil {
				sleepUntil(ctx, time.Now().Add(resubmitDelay))
				continue
			}
			job.Ticket = id
			onTicket(id)
		}
		reply, err := h.client.Submit(ctx, job)
		if err == nil && (reply.Final() || reply.Outcome == api.Refused) {
			return reply
		}
		sleepUntil(ctx, time.Now().Add(resubmitDelay))
	}
	return nil
}

func (h *hostCaller) ticket(ctx context.Context) (ticket.ID, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.tickets) == 0 || time.Since(h.fetched) > maxTicketAge {
		h.fetched = time.Now()
		reply, err := h.client.Tickets(ctx, ticketBatch, 0)
		if err != nil {
			return "", err
		}
		h.tickets = reply.Tickets
	}
	id := h.tickets[0]
	h.tickets = h.tickets[1:]
	return id, nil
}

// sleepUntil waits until the given time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return pause.For(ctx, wait)
}
