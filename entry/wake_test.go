package entry

import (
	"context"
	"testing"
	"time"
)

// TestWakeEndsPause guards against a read of the workers' entries that is wanted at once and waits for its
// turn, and against a wish during a read that is lost.
func TestWakeEndsPause(t *testing.T) {
	h := &Host{workersWanted: make(chan struct{}, 1)}
	h.readWorkers()
	h.readWorkers() // one read serves both; the call does not block
	r := &topicReader{interval: time.Hour, wake: h.workersWanted}
	r.pause(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	r.pause(ctx)
	if ctx.Err() == nil {
		t.Error("two wishes ended two pauses")
	}
}
