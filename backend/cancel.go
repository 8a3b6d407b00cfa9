package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"sesameledge.dev/sesameledge/dispatch"
)

// maxCancelAnswerBytes limits how much of an answer is read so that its connection can be reused.
const maxCancelAnswerBytes = 4 << 10

// Cancel asks a minion to cancel tasks, all in one message. It returns an error unless the minion answers
// with a 2xx status within CancelTimeout. Cancelling is idempotent, so a failed call may be repeated.
func (c *Client) Cancel(ctx context.Context, cancel dispatch.CancelAttempts) error {
	ctx, stop := context.WithTimeout(ctx, c.opts.CancelTimeout)
	defer stop()
	body, err := json.Marshal(cancelRequest(cancel.Tasks))
	if err != nil {
		return fmt.Errorf("encode cancel request: %w", err)
	}
	url := "http://" + cancel.Endpoint.Address + PathCancel
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("cancel on %s: %w", cancel.Endpoint.ID, err)
	}
	req.Header.Set("Content-Type", "application/json")
	c.counters.cancelMessages.Add(1)
	resp, err := c.cancelTransport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("cancel on %s: %w", cancel.Endpoint.ID, err)
	}
	defer resp.Body.Close()
	// Reading the body makes the connection reusable; its content is ignored.
	_, _ = io.CopyN(io.Discard, resp.Body, maxCancelAnswerBytes)
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return fmt.Errorf("cancel on %s: status %d", cancel.Endpoint.ID, resp.StatusCode)
	}
	return nil
}

func cancelRequest(tasks []dispatch.TaskRef) CancelRequest {
	out := CancelRequest{Tasks: make([]CancelTask, len(tasks))}
	for i, t := range tasks {
		out.Tasks[i] = CancelTask{Ticket: string(t.Ticket), Index: t.Index}
	}
	return out
}
