// Package client is the Go library for callers. It takes tickets in batches, submits a
// job under one of them, and resubmits the same job to another entry host when a
// connection is lost, so that a job is answered once and never runs twice.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

// heldTicket is a ticket with the time by which its first submission must have left.
type heldTicket struct {
	id      ticket.ID
	got     time.Time
	useTill time.Time
	life    time.Duration
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

// dropTickets forgets the unused tickets of the process that minted id.
func (c *Client) dropTickets(id ticket.ID) {
	gone, err := ticket.Parse(id)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = slices.DeleteFunc(c.tickets, func(h heldTicket) bool {
		t, err := ticket.Parse(h.id)
		return err == nil && t.Incarnation == gone.Incarnation
	})
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

// Tickets fetches n tickets for jobs with deadlines up to maxDeadline; 0 takes the host's
// maximum.
func (c *Client) Tickets(ctx context.Context, n int, maxDeadline time.Duration) (*api.TicketReply, error) {
	req := api.TicketRequest{Schema: api.Schema, Count: n, MaxDeadlineMS: maxDeadline.Milliseconds()}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the request")
	}
	var reply *api.TicketReply
	_, err = c.request(ctx, 0, http.MethodPost, "/v1/tickets", body, func(text []byte) error {
		reply = new(api.TicketReply)
		if err := json.Unmarshal(text, reply); err != nil || len(reply.Tickets) == 0 {
			return errors.Newf("the host returned no tickets: %.200s", text)
		}
		return nil
	})
	return reply, err
}

// submitOnce returns the reply and the number of hosts that may have received the job.
func (c *Client) submitOnce(ctx context.Context, job *api.Job) (*api.Reply, int, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encoding the job")
	}
	return c.jobRequest(ctx, jobWait(job), http.MethodPost, "/v1/jobs", body)
}

// jobWait is how long the host may wait for the job's answer.
func jobWait(job *api.Job) time.Duration {
	if job.WaitMS == nil {
		return maxJobWait
	}
	return time.Duration(*job.WaitMS) * time.Millisecond
}

func (c *Client) jobRequest(ctx context.Context, wait time.Duration, method, path string, body []byte) (*api.Reply, int, error) {
	var reply *api.Reply
	sent, err := c.request(ctx, wait, method, path, body, func(text []byte) error {
		reply = new(api.Reply)
		if err := json.Unmarshal(text, reply); err != nil {
			return errors.Wrap(err, "decoding the reply")
		}
		if reply.Outcome == "" {
			return errors.New("the host's reply has no outcome")
		}
		return nil
	})
	return reply, sent, err
}

// request tries each host once, beginning with the one that answered last, until decode
// takes a reply. A host may take wait and a margin. It returns the number of hosts that
// may have received the request.
func (c *Client) request(ctx context.Context, wait time.Duration, method, path string, body []byte, decode func([]byte) error) (int, error) {
	c.mu.Lock()
	first := c.first
	c.mu.Unlock()
	var lastErr error
	sent := 0
	for i := range c.opts.Hosts {
		n := (first + i) % len(c.opts.Hosts)
		limited, cancel := context.WithTimeout(ctx, wait+silence)
		err := c.requestTo(limited, c.opts.Hosts[n], method, path, body, decode)
		cancel()
		if !notSent(err) {
			sent++
		}
		if err == nil {
			c.mu.Lock()
			c.first = n
			c.mu.Unlock()
			return sent, nil
		}
		if ctx.Err() != nil {
			return sent, ctx.Err()
		}
		lastErr = err
	}
	return sent, errors.Mark(errors.Wrap(lastErr, "no entry host answered"), ErrNoHost)
}

// notSent reports whether a request failed because no connection could be opened.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) requestTo(ctx context.Context, host, method, path string, body []byte, decode func([]byte) error) error {
	req, err := http.NewRequestWithContext(ctx, method, host+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "reading the reply")
	}
	return decode(text)
}

// takeTicket returns a held ticket, fetching a batch if none is left.
func (c *Client) takeTicket(ctx context.Context) (heldTicket, error) {
	if t, ok := c.popTicket(); ok {
		return t, nil
	}
	asked := time.Now()
	reply, err := c.Tickets(ctx, c.opts.TicketBatch, 0)
	if err != nil {
		return heldTicket{}, err
	}
	window := time.Duration(reply.WindowMS) * time.Millisecond
	life := window + time.Duration(reply.MaxDeadlineMS)*time.Millisecond
	c.mu.Lock()
	for _, id := range reply.Tickets[1:] {
		c.tickets = append(c.tickets, heldTicket{id: id, got: asked, useTill: asked.Add(window - min(windowMargin, window/4)), life: life})
	}
	c.mu.Unlock()
	return heldTicket{id: reply.Tickets[0], got: asked, life: life}, nil
}

// popTicket returns a held ticket whose window is still open.
func (c *Client) popTicket() (heldTicket, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.tickets) > 0 {
		t := c.tickets[0]
		c.tickets = c.tickets[1:]
		if time.Now().Before(t.useTill) {
			return t, true
		}
	}
	return heldTicket{}, false
}
