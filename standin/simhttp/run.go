package simhttp

import (
	"context"
	"os/signal"
	"syscall"
	"time"
)

// RunFor blocks until SIGINT or SIGTERM arrives or the period has passed.
func RunFor(period time.Duration) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	<-ctx.Done()
}
