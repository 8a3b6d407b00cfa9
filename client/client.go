// Package client is the Go library for callers. It fetches tickets in batches, submits a job under one of
// them, and resubmits the same job to another entry host when a connection is lost, so that a job is
// answered once and never runs twice. Package api defines its messages; the entry hosts schedule and run
// the jobs.
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
	defaultTicketBatch = 32
	defaultRetryDelay  = 100 * time.Millisecond
	// idleTimeout closes unused connections sooner than a draining host does, so that no
	// request meets a connection that the host is closing.
	idleTimeout = 2 * time.Second
	// defaultJobWait is how long one submission waits for the answer if the job sets no wait.
	defaultJobWait = 5 * time.Second
	// responseMargin is how long a host may take beyond the wait before the next host is asked.
	// Otherwise a paused host or a dead connection would block a caller for ever.
	responseMargin = 2 * time.Second
	// windowMargin is the part at the end of a ticket's submission window that is not used, so that a
	// first submission does not arrive too late.
	windowMargin = 5 * time.Second
	// maxJobWait is longer than any host waits for a job without a wait of its own.
	maxJobWait = 24 * time.Hour
	// maxReplyBytes limits the size of a reply.
	maxReplyBytes = 256 << 20
)

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu        sync.Mutex
	firstHost int // index of the host to try first
	tickets   []cachedTicket
}

// ErrNoHost means that no entry host could be reached.
var ErrNoHost = errors.New("no entry host could be reached")

// New returns a Client.
func New(opts Options) *Client {
	if opts.TicketBatch == 0 {
		opts.TicketBatch = defaultTicketBatch
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

// Run submits a job under a new ticket and returns its final reply. It resubmits under the same ticket
// while replies are unknown or connections are lost. If the ticket's owner drains, or never received the
// submission, the job has not run and Run takes a new ticket. The error is the context's error, or is
// marked with ErrNoHost if no ticket could be fetched.
func (c *Client) Run(ctx context.Context, job api.Job) (*api.Reply, error) {
	for range maxTicketsPerJob {
		cached, err := c.takeTicket(ctx)
		if err != nil {
			return nil, err
		}
		reply, err := c.runTicket(ctx, job, cached)
		if err != nil || !needsNewTicket(reply) {
			return reply, err
		}
		c.dropOwnerTickets(cached.id)
		c.preferNextHost()
	}
	return nil, errors.Mark(errors.New("every host that gave a ticket is shutting down"), ErrNoHost)
}

// maxTicketsPerJob limits the number of tickets that Run uses for one job.
const maxTicketsPerJob = 8

// needsNewTicket reports whether the job was refused because the ticket's owner no longer accepts jobs,
// the ticket has expired, or the owner never received the job.
func needsNewTicket(r *api.Reply) bool {
	return r.Outcome == api.Refused &&
		(hasReason(r, api.CodeDraining) || hasReason(r, api.CodeTicketExpired) || hasReason(r, api.CodeOwnerAway))
}

// runTicket submits the job under one ticket until the outcome is final.
func (c *Client) runTicket(ctx context.Context, job api.Job, cached cachedTicket) (*api.Reply, error) {
	job.Schema = api.Schema
	job.Ticket = cached.id
	if job.WaitMS == nil {
		wait := defaultJobWait.Milliseconds()
		job.WaitMS = &wait
	}
	sent := 0
	for {
		reply, n, err := c.submitOnce(ctx, &job)
		sent += n
		if err == nil && sent == 1 && reply.NotForwarded {
			return notForwardedReply(cached.id), nil
		}
		if err == nil && c.handleReply(reply, cached, sent == 1) {
			return reply, nil
		}
		if err == nil && hasReason(reply, api.CodeOwnerAway) {
			// Another host may reach the owner, or have the answer that the owner handed over.
			c.dropOwnerTickets(cached.id)
			c.preferNextHost()
		}
		if time.Since(cached.requestedAt) > cached.lifetime {
			return lifetimeEndedReply(cached.id), nil
		}
		if !pause.For(ctx, c.opts.RetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// hasReason reports whether the reply gives a reason with this code.
func hasReason(r *api.Reply, code api.Code) bool { return r.Reason != nil && r.Reason.Code == code }

// notForwardedReply returns the refusal for a ticket whose only submission did not reach its owner.
func notForwardedReply(id ticket.ID) *api.Reply {
	r := api.Refusal(api.Errorf(api.CodeOwnerAway, "ticket", "the owner of the ticket could not be reached; the job has not run"))
	r.Ticket = id
	return r
}

// handleReply reports whether a reply is final, and drops the other tickets of a lost owner. "Complete" is
// final only within the ticket's lifetime, because other hosts may answer "failed" after it. A refusal
// without the ticket, or an unknown outcome because of a bad request, comes from a host that could not read
// the submission. It proves that the job did not run only if this was the only submission.
func (c *Client) handleReply(r *api.Reply, cached cachedTicket, onlySubmission bool) bool {
	switch r.Outcome {
	case api.Complete:
		return time.Since(cached.requestedAt) <= cached.lifetime
	case api.Refused:
		return onlySubmission || r.Ticket == cached.id
	case api.Unknown:
		if onlySubmission && r.BadRequest() {
			r.Outcome = api.Refused
			return true
		}
	case api.Failed:
		if hasReason(r, api.CodeOwnerLost) {
			c.dropOwnerTickets(cached.id)
		}
		return true
	}
	return false
}

// preferNextHost makes later requests try the next host first.
func (c *Client) preferNextHost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstHost = (c.firstHost + 1) % max(len(c.opts.Hosts), 1)
}

// lifetimeEndedReply returns the failure for a ticket that got no final reply within its lifetime.
func lifetimeEndedReply(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeOwnerLost, "ticket", "no final reply came within the ticket's lifetime; the job may have run")}
}

// Submit submits a job once and returns the reply of the first host that answers, which need not be final.
// The error is the context's error, is marked with ErrNoHost, or says that the job cannot be encoded.
func (c *Client) Submit(ctx context.Context, job *api.Job) (*api.Reply, error) {
	reply, _, err := c.submitOnce(ctx, job)
	return reply, err
}

// Await asks for the answer of a job. The host waits for it for at most wait; a reply that is unknown is
// not an error. The error is the context's error, or is marked with ErrNoHost.
func (c *Client) Await(ctx context.Context, id ticket.ID, wait time.Duration) (*api.Reply, error) {
	query := fmt.Sprintf("?wait_ms=%d", wait.Milliseconds())
	reply, _, err := c.requestReply(ctx, wait, http.MethodGet, "/v1/jobs/"+string(id)+query, nil)
	return reply, err
}

// Cancel cancels a job and returns its reply. The error is the context's error, or is marked with ErrNoHost.
func (c *Client) Cancel(ctx context.Context, id ticket.ID) (*api.Reply, error) {
	reply, _, err := c.requestReply(ctx, 0, http.MethodDelete, "/v1/jobs/"+string(id), nil)
	return reply, err
}
