package simhttp

import (
	"context"
	"os/signal"
	"syscall"
	"time"
)

// WaitForSignalOrTimeout blocks until the process receives SIGINT or SIGTERM, or until the period has elapsed.
func WaitForSignalOrTimeout(period time.Duration) {
	ctx, stopNotify := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopNotify()
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	<-ctx.Done()
}
