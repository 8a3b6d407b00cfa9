package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff pauses between attempts that fail, for longer each time. The jitter keeps processes
// from returning all at once after an outage. Use NewBackoff.
type Backoff struct{ least, most, next time.Duration }

// NewBackoff returns pauses that double from least to most, each of 0.5 to 1.5 times that.
func NewBackoff(least, most time.Duration) *Backoff {
	return &Backoff{least: least, most: most, next: least}
}

// Wait pauses and reports false if the context ended first.
func (b *Backoff) Wait(ctx context.Context) bool {
	d := b.next/2 + rand.N(b.next)
	b.next = min(2*b.next, b.most)
	return For(ctx, d)
}

// Reset starts over after an attempt that went well.
func (b *Backoff) Reset() { b.next = b.least }
