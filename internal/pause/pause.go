// Package pause pauses a goroutine for a fixed or growing time, or until a context ends.
package pause

import (
	"context"
	"time"
)

// For pauses for d. It returns false if the context ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
