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

// heldTicket is a ticket with the time by which its first submission must have left.
type heldTicket struct {
	id      ticket.ID
	got     time.Time
	useTill time.Time
	life    time.Duration
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
