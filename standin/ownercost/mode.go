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
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

// ownershipMode selects how a job is protected against a second start: by a ticket of the host
// that is asked or of another host, by a key, or not at all.
type ownershipMode string

const (
	modeTickets     ownershipMode = "tickets"     // tickets taken in batches by package client
	modeUnprotected ownershipMode = "unprotected" // neither ticket nor key
	modeKeys        ownershipMode = "keys"        // a claim in the platform's log before the first start
	modeForwarded   ownershipMode = "forwarded"   // a ticket of another host than the one that is asked
)

var ownershipModes = []ownershipMode{modeTickets, modeUnprotected, modeKeys, modeForwarded}

// ticketBatch is the number of tickets taken at a time, the default of package client.
const ticketBatch = 32

// caller submits jobs in one ownership mode to all hosts in turn.
type caller struct {
	mode      ownershipMode
	transport *countingTransport
	clients   []*client.Client // one for each host, which tries no other
	urls      []string
	prefix    string // of the keys, unique in the deployment

	mu      sync.Mutex
	epoch   uint64
	tickets []foreignTickets // of modeForwarded, by the host that issued them
}

// foreignTickets are unused tickets of one host.
type foreignTickets struct {
	ids   []ticket.ID
	until time.Time // end of the submission window, less a margin
}

func newCaller(w ownershipMode, bed *testbed.Deployment) *caller {
	c := &caller{mode: w, transport: newCountingTransport(), tickets: make([]foreignTickets, len(bed.Hosts)), prefix: string(w)}
	for _, h := range bed.Hosts {
		opts := client.Options{Hosts: []string{h.CallersURL()}, TicketBatch: ticketBatch, HTTP: &http.Client{Transport: c.transport}}
		c.clients = append(c.clients, client.New(opts))
		c.urls = append(c.urls, h.CallersURL())
	}
	return c
}

// prepare does what a caller does once before many jobs: it fetches the epoch that keys need.
func (c *caller) prepare(ctx context.Context) error {
	if c.mode != modeKeys {
		return nil
	}
	var reply api.EpochReply
	if err := c.getJSON(ctx, c.urls[0]+"/v1/epoch", &reply); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = reply.Epoch
	return nil
}

func (c *caller) getJSON(ctx context.Context, url string, into any) error {
	return testbed.GetJSONWith(ctx, &http.Client{Transport: c.transport}, url, into)
}

// submit runs the n-th job at the n-th host in turn and returns its reply.
func (c *caller) submit(ctx context.Context, n int, job api.Job) (*api.Reply, error) {
	host := n % len(c.clients)
	job.Schema = api.Schema
	switch c.mode {
	case modeTickets:
		return c.clients[host].Run(ctx, job)
	case modeKeys:
		c.mu.Lock()
		epoch := c.epoch
		c.mu.Unlock()
		job.Key, job.KeyEpoch = fmt.Sprintf("%s-%d", c.prefix, n), &epoch
	case modeForwarded:
		id, err := c.foreignTicket(ctx, (host+1)%len(c.clients))
		if err != nil {
			return nil, err
		}
		job.Ticket = id
	}
	return c.clients[host].Submit(ctx, &job)
}

// foreignTicket returns an unused ticket of the host.
func (c *caller) foreignTicket(ctx context.Context, owner int) (ticket.ID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := &c.tickets[owner]
	if len(held.ids) == 0 || time.Now().After(held.until) {
		asked := time.Now()
		reply, err := c.clients[owner].Tickets(ctx, ticketBatch, 0)
		if err != nil {
			return "", err
		}
		// A ticket submitted at the very end of its window could arrive after it.
		window := time.Duration(reply.WindowMS) * time.Millisecond * 3 / 4
		*held = foreignTickets{ids: reply.Tickets, until: asked.Add(window)}
	}
	id := held.ids[0]
	held.ids = held.ids[1:]
	return id, nil
}

// newJob returns a job of some tasks of taskMS milliseconds each.
func newJob(tasks int) api.Job {
	j := api.Job{Team: "team", Kind: "short", Tasks: make([]api.Task, tasks)}
	payload := json.RawMessage(fmt.Sprintf(`{"run_ms":%d}`, taskMS))
	for i := range j.Tasks {
		j.Tasks[i] = api.Task{RunMS: taskMS, Payload: payload}
	}
	return j
}
