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
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
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
	// windowMargin is how much of a ticket's submission window is left unused, so that a
	// first submission does not arrive at its end.
	windowMargin = 5 * time.Second
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
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	}
	return c
}

// Run submits a job under a new ticket and returns its final reply. It resubmits the
// same ticket while replies are unknown or connections are lost. The error is the
// context's error, or ErrNoHost if no ticket could be had.
func (c *Client) Run(ctx context.Context, job api.Job) (*api.Reply, error) {
	held, err := c.takeTicket(ctx)
	if err != nil {
		return nil, err
	}
	job.Schema = api.Schema
	job.Ticket = held.id
	for {
		reply, err := c.submitOnce(ctx, &job)
		if err == nil && c.accept(reply, held) {
			return reply, nil
		}
		if time.Since(held.got) > held.life {
			return lifetimeEnded(held.id), nil
		}
		if !pause(ctx, c.opts.RetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// accept reports whether a reply is final. "Complete" counts only within the ticket's
// lifetime, because other hosts may say "failed" after it.
func (c *Client) accept(r *api.Reply, held heldTicket) bool {
	if r.Outcome == api.Complete {
		return time.Since(held.got) <= held.life
	}
	return r.Outcome == api.Failed || r.Outcome == api.Refused
}

func lifetimeEnded(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeOwnerLost, "ticket", "no final reply came within the ticket's lifetime; the job may have run")}
}

// Submit sends a job once and returns the reply of the first host that answers.
func (c *Client) Submit(ctx context.Context, job *api.Job) (*api.Reply, error) {
	return c.submitOnce(ctx, job)
}

// Await asks for the answer of a job, waiting at most wait.
func (c *Client) Await(ctx context.Context, id ticket.ID, wait time.Duration) (*api.Reply, error) {
	query := fmt.Sprintf("?wait_ms=%d", wait.Milliseconds())
	return c.jobRequest(ctx, http.MethodGet, "/v1/jobs/"+string(id)+query, nil)
}

// Cancel ends a job and returns its verdict.
func (c *Client) Cancel(ctx context.Context, id ticket.ID) (*api.Reply, error) {
	return c.jobRequest(ctx, http.MethodDelete, "/v1/jobs/"+string(id), nil)
}

// Tickets fetches n tickets for jobs with deadlines up to maxDeadline; 0 takes the host's
// maximum.
func (c *Client) Tickets(ctx context.Context, n int, maxDeadline time.Duration) (*api.TicketReply, error) {
	req := api.TicketRequest{Schema: api.Schema, Count: n, MaxDeadlineMS: maxDeadline.Milliseconds()}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the request")
	}
	reply := new(api.TicketReply)
	if err := c.request(ctx, http.MethodPost, "/v1/tickets", body, reply); err != nil {
		return nil, err
	}
	if len(reply.Tickets) == 0 {
		return nil, errors.New("the host returned no tickets")
	}
	return reply, nil
}

func (c *Client) submitOnce(ctx context.Context, job *api.Job) (*api.Reply, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the job")
	}
	return c.jobRequest(ctx, http.MethodPost, "/v1/jobs", body)
}

func (c *Client) jobRequest(ctx context.Context, method, path string, body []byte) (*api.Reply, error) {
	reply := new(api.Reply)
	if err := c.request(ctx, method, path, body, reply); err != nil {
		return nil, err
	}
	if reply.Outcome == "" {
		return nil, errors.New("the host's reply has no outcome")
	}
	return reply, nil
}

// request tries each host once, beginning with the one that answered last.
func (c *Client) request(ctx context.Context, method, path string, body []byte, into any) error {
	c.mu.Lock()
	first := c.first
	c.mu.Unlock()
	var lastErr error
	for i := range c.opts.Hosts {
		n := (first + i) % len(c.opts.Hosts)
		err := c.requestTo(ctx, c.opts.Hosts[n], method, path, body, into)
		if err == nil {
			c.mu.Lock()
			c.first = n
			c.mu.Unlock()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		lastErr = err
	}
	return errors.Mark(errors.Wrap(lastErr, "no entry host answered"), ErrNoHost)
}

func (c *Client) requestTo(ctx context.Context, host, method, path string, body []byte, into any) error {
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
	return errors.Wrap(json.Unmarshal(text, into), "decoding the reply")
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
		c.tickets = append(c.tickets, heldTicket{id: id, got: asked, useTill: asked.Add(window - windowMargin), life: life})
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

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
