// Package pause pauses a goroutine until a time or the end of a context.
package pause

import (
	"context"
	"time"
)

// For pauses for d and reports false if the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
