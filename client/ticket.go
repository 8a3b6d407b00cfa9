package client

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

// cachedTicket is a fetched ticket. Its times are counted from the request for it, which is earlier than
// its minting.
type cachedTicket struct {
	id           ticket.ID
	requestedAt  time.Time
	submitBefore time.Time // latest time to send the first submission
	lifetime     time.Duration
}

// dropOwnerTickets removes the unused tickets that the same process has minted as id.
func (c *Client) dropOwnerTickets(id ticket.ID) {
	parsed, err := ticket.Parse(id)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = slices.DeleteFunc(c.tickets, func(h cachedTicket) bool {
		t, err := ticket.Parse(h.id)
		return err == nil && t.Incarnation == parsed.Incarnation
	})
}

// Tickets fetches n tickets for jobs with deadlines up to maxDeadline; 0 means the host's maximum. The
// error is the context's error, or is marked with ErrNoHost.
func (c *Client) Tickets(ctx context.Context, n int, maxDeadline time.Duration) (*api.TicketReply, error) {
	req := api.TicketRequest{Schema: api.Schema, Count: n, MaxDeadlineMS: maxDeadline.Milliseconds()}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the request")
	}
	var reply *api.TicketReply
	_, err = c.tryHosts(ctx, 0, http.MethodPost, "/v1/tickets", body, func(text []byte) error {
		reply = new(api.TicketReply)
		if err := json.Unmarshal(text, reply); err != nil || len(reply.Tickets) == 0 {
			return errors.Newf("the host returned no tickets: %.200s", text)
		}
		return nil
	})
	return reply, err
}

// takeTicket returns an unused ticket. It fetches a batch if none is left.
func (c *Client) takeTicket(ctx context.Context) (cachedTicket, error) {
	if t, ok := c.popTicket(); ok {
		return t, nil
	}
	requestedAt := time.Now()
	reply, err := c.Tickets(ctx, c.opts.TicketBatch, 0)
	if err != nil {
		return cachedTicket{}, err
	}
	window := time.Duration(reply.WindowMS) * time.Millisecond
	lifetime := window + time.Duration(reply.MaxDeadlineMS)*time.Millisecond
	c.mu.Lock()
	for _, id := range reply.Tickets[1:] {
		c.tickets = append(c.tickets, cachedTicket{id: id, requestedAt: requestedAt, submitBefore: requestedAt.Add(window - min(windowMargin, window/4)), lifetime: lifetime})
	}
	c.mu.Unlock()
	return cachedTicket{id: reply.Tickets[0], requestedAt: requestedAt, lifetime: lifetime}, nil
}

// popTicket removes and returns an unused ticket whose submission window is still open.
func (c *Client) popTicket() (cachedTicket, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.tickets) > 0 {
		t := c.tickets[0]
		c.tickets = c.tickets[1:]
		if time.Now().Before(t.submitBefore) {
			return t, true
		}
	}
	return cachedTicket{}, false
}
