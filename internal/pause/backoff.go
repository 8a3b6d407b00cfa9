package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff pauses between failed attempts, with exponential delays and jitter. The jitter keeps processes
// from retrying all at once after an outage. NewBackoff makes one.
type Backoff struct{ minDelay, maxDelay, nextDelay time.Duration }

// NewBackoff returns a Backoff whose delay doubles from minDelay to maxDelay. Each pause takes 0.5 to 1.5
// times the delay.
func NewBackoff(minDelay, maxDelay time.Duration) *Backoff {
	return &Backoff{minDelay: minDelay, maxDelay: maxDelay, nextDelay: minDelay}
}

// Wait pauses for the next delay. It returns false if the context ends first.
func (b *Backoff) Wait(ctx context.Context) bool {
	delay := b.nextDelay/2 + rand.N(b.nextDelay)
	b.nextDelay = min(2*b.nextDelay, b.maxDelay)
	return For(ctx, delay)
}

// Reset returns to the shortest delay after a successful attempt.
func (b *Backoff) Reset() { b.nextDelay = b.minDelay }
