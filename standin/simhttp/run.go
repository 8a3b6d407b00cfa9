package simhttp

import (
	"context"
	"os/signal"
	"syscall"
	"time"
)

// RunFor blocks until the process receives SIGINT or SIGTERM, or until the period has elapsed.
func RunFor(period time.Duration) {
	ctx, stopNotify := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopNotify()
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	<-ctx.Done()
}
