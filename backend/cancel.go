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

// maxCancelAnswerBytes bounds what is read of an answer to keep its connection.
const maxCancelAnswerBytes = 4 << 10

// Cancel asks a minion in one message to drop tasks. It returns an error unless the
// minion confirmed within CancelTimeout. Cancelling is idempotent and may be repeated.
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
	c.counters.cancels.Add(1)
	resp, err := c.cancels.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("cancel on %s: %w", cancel.Endpoint.ID, err)
	}
	defer resp.Body.Close()
	// The body is read for the sake of the connection only.
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
