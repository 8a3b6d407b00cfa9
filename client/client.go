// Package client is the Go library for callers. It takes tickets in batches, submits a
// job under one of them, and resubmits the same job to another entry host when a
// connection is lost, so that a job is answered once and never runs twice.
package client

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/ticket"
)

// Options configures a Client.
type Options struct {
	// Hosts are base URLs of entry hosts or of a load balancer, tried in order.
	Hosts []string
	// TicketBatch is how many tickets are fetched at a time. 0 means 32.
	TicketBatch int
	// RetryDelay is the pause before a lost request is sent again. 0 means 100 ms.
	RetryDelay time.Duration
	// HTTP is the client to use. Nil means one without a timeout of its own.
	HTTP *http.Client
}

const (
	defaultBatch      = 32
	defaultRetryDelay = 100 * time.Millisecond
	// idleTimeout closes unused connections sooner than a draining host does, so that no
	// request meets a connection that the host is closing.
	idleTimeout = 2 * time.Second
	// pollWait is how long one submission waits for the answer, unless the job says.
	pollWait = 5 * time.Second
	// silence is how long a host may take beyond the wait. After that the next host is
	// asked; a paused host or a silent connection would otherwise hold a caller for good.
	silence = 2 * time.Second
	// windowMargin is how much of a ticket's submission window is left unused, so that a
	// first submission does not arrive at its end.
	windowMargin = 5 * time.Second
	// maxJobWait is longer than any host waits for a job without a wait of its own.
	maxJobWait = 24 * time.Hour
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 256 << 20
)

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu      sync.Mutex
	first   int // host to try first
	tickets []heldTicket
}

// ErrNoHost means that no entry host could be reached.
var ErrNoHost = errors.New("no entry host could be reached")

// New returns a Client.
func New(opts Options) *Client {
	if opts.TicketBatch == 0 {
		opts.TicketBatch = defaultBatch
	}
	if opts.RetryDelay == 0 {
		opts.RetryDelay = defaultRetryDelay
	}
	c := &Client{opts: opts, http: opts.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: idleTimeout}}
	}
	return c
}

// Run submits a job under a new ticket and returns its final reply. It resubmits the
// same ticket while replies are unknown or connections are lost. If the ticket's owner
// drains, or never received the submission, the job has not run and Run takes a new ticket. The error is the context's error,
// or ErrNoHost if no ticket could be had.
func (c *Client) Run(ctx context.Context, job api.Job) (*api.Reply, error) {
	for range maxTickets {
		held, err := c.takeTicket(ctx)
		if err != nil {
			return nil, err
		}
		reply, err := c.runTicket(ctx, job, held)
		if err != nil || !movedOn(reply) {
			return reply, err
		}
		c.dropTickets(held.id)
		c.next()
	}
	return nil, errors.Mark(errors.New("every host that gave a ticket is shutting down"), ErrNoHost)
}

// maxTickets bounds the tickets that Run takes for one job.
const maxTickets = 8

// movedOn reports whether the owner refused because it no longer takes work, or never
// received the job.
func movedOn(r *api.Reply) bool {
	return r.Outcome == api.Refused &&
		(ownerIs(r, api.CodeDraining) || ownerIs(r, api.CodeTicketExpired) || ownerIs(r, api.CodeOwnerAway))
}

// runTicket asks for the outcome of one ticket until it is final.
func (c *Client) runTicket(ctx context.Context, job api.Job, held heldTicket) (*api.Reply, error) {
	job.Schema = api.Schema
	job.Ticket = held.id
	if job.WaitMS == nil {
		wait := pollWait.Milliseconds()
		job.WaitMS = &wait
	}
	sent := 0
	for {
		reply, n, err := c.submitOnce(ctx, &job)
		sent += n
		if err == nil && sent == 1 && reply.NotForwarded {
			return neverSubmitted(held.id), nil
		}
		if err == nil && c.accept(reply, held, sent == 1) {
			return reply, nil
		}
		if err == nil && ownerIs(reply, api.CodeOwnerAway) {
			// Another host may reach the owner, or hold the answer that it handed over.
			c.dropTickets(held.id)
			c.next()
		}
		if time.Since(held.got) > held.life {
			return lifetimeEnded(held.id), nil
		}
		if !pause.For(ctx, c.opts.RetryDelay) {
			return nil, ctx.Err()
		}
	}
}

func ownerIs(r *api.Reply, code api.Code) bool { return r.Reason != nil && r.Reason.Code == code }

// neverSubmitted is the refusal of a ticket whose only submission did not reach its owner.
func neverSubmitted(id ticket.ID) *api.Reply {
	r := api.Refusal(api.Errorf(api.CodeOwnerAway, "ticket", "the owner of the ticket could not be reached; the job has not run"))
	r.Ticket = id
	return r
}

// accept reports whether a reply is final. "Complete" counts only within the ticket's
// lifetime, because other hosts may say "failed" after it. A refusal that does not name
// the ticket, or a complaint about the request, comes from a host that could not read the
// submission; it proves that the job did not run only if this was the only submission.
func (c *Client) accept(r *api.Reply, held heldTicket, only bool) bool {
	switch r.Outcome {
	case api.Complete:
		return time.Since(held.got) <= held.life
	case api.Refused:
		return only || r.Ticket == held.id
	case api.Unknown:
		if only && r.BadRequest() {
			r.Outcome = api.Refused
			return true
		}
	case api.Failed:
		if ownerIs(r, api.CodeOwnerLost) {
			c.dropTickets(held.id)
		}
		return true
	}
	return false
}

// next makes the following requests start with another host.
func (c *Client) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = (c.first + 1) % max(len(c.opts.Hosts), 1)
}

func lifetimeEnded(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeOwnerLost, "ticket", "no final reply came within the ticket's lifetime; the job may have run")}
}

// Submit sends a job once and returns the reply of the first host that answers.
func (c *Client) Submit(ctx context.Context, job *api.Job) (*api.Reply, error) {
	reply, _, err := c.submitOnce(ctx, job)
	return reply, err
}

// Await asks for the answer of a job, waiting at most wait.
func (c *Client) Await(ctx context.Context, id ticket.ID, wait time.Duration) (*api.Reply, error) {
	query := fmt.Sprintf("?wait_ms=%d", wait.Milliseconds())
	reply, _, err := c.jobRequest(ctx, wait, http.MethodGet, "/v1/jobs/"+string(id)+query, nil)
	return reply, err
}

// Cancel ends a job and returns its verdict.
func (c *Client) Cancel(ctx context.Context, id ticket.ID) (*api.Reply, error) {
	reply, _, err := c.jobRequest(ctx, 0, http.MethodDelete, "/v1/jobs/"+string(id), nil)
	return reply, err
}
