package admission

import (
	"cmp"
	"time"
)

// turnBucket begins a new bucket if the current one is full.
func (c *connection) turnBucket(now time.Duration) {
	switch elapsed := now - c.bucketStart; {
	case elapsed < rateBucket:
	case elapsed < 2*rateBucket:
		c.older, c.bucket, c.bucketStart = c.bucket, 0, c.bucketStart+rateBucket
	default:
		c.older, c.bucket, c.bucketStart = 0, 0, now
	}
}

// rate returns the bytes received in the current bucket and the previous one.
func (c *connection) rate(now time.Duration) int64 {
	c.turnBucket(now)
	return c.older + c.bucket
}

// rank orders the connections that may be dropped for another one.
type rank int

const (
	keep       rank = iota // may not be dropped
	sending                // a request is being received
	unused                 // idle
	standstill             // makes no progress
)

// rank returns the rank of a connection. A request that was received completely is kept: its job may
// have begun.
func (c *connection) rank(now time.Duration) rank {
	if c.dropped {
		return keep
	}
	age, silence := now-c.since, now-c.lastProgress
	switch c.phase {
	case New, Answered:
		if age >= minAge {
			return standstill
		}
	case Header, Body:
		if silence >= minAge {
			return standstill
		}
		if age >= minAge {
			return sending
		}
	case Idle:
		if age >= minIdle {
			return unused
		}
	case Running:
	}
	return keep
}

// slowest returns the connection to drop for another one, or nil if there is none. For a request that
// needs memory, these are the connections with memory that do worse than itself.
func (l *Ledger) slowest(now time.Duration, asker *connection) *connection {
	var worst *connection
	for _, c := range l.connections {
		if c.rank(now) == keep || c == asker || (asker != nil && (c.bytes == 0 || l.compare(now, c, asker) >= 0)) {
			continue
		}
		if worst == nil || l.compare(now, c, worst) < 0 {
			worst = c
		}
	}
	return worst
}

// compare orders connections by who is dropped first: those that stand still, then idle ones, then those
// whose sender uses most of the connections, then the slowest, then the largest, then the oldest.
func (l *Ledger) compare(now time.Duration, a, b *connection) int {
	return cmp.Or(
		-cmp.Compare(a.rank(now), b.rank(now)),
		-cmp.Compare(l.majority(a.sender), l.majority(b.sender)),
		cmp.Compare(a.rate(now), b.rate(now)),
		-cmp.Compare(a.bytes, b.bytes),
		cmp.Compare(a.id, b.id),
	)
}

// majority returns 1 if a sender has more than half of the open connections, else 0.
func (l *Ledger) majority(sender string) int {
	if 2*l.senders[sender] > len(l.connections) {
		return 1
	}
	return 0
}

// Expire returns the connections whose time is over, whether or not there is room. The caller closes
// them.
func (l *Ledger) Expire(now time.Duration) (drop []ID) {
	for _, c := range l.connections {
		if r, expired := l.expired(now, c); expired && !c.dropped {
			drop = append(drop, l.drop(c, r))
		}
	}
	return drop
}

// expired reports whether the time of a connection is over, and why.
func (l *Ledger) expired(now time.Duration, c *connection) (Reason, bool) {
	over := func(limit time.Duration) bool { return limit > 0 && now-c.since >= limit }
	switch c.phase {
	case New, Header:
		return HeaderTooSlow, over(l.limits.HeaderTimeout)
	case Body:
		return BodyTooSlow, l.belowMinRate(now, c)
	case Answered:
		return AnswerUnread, over(l.limits.AnswerTimeout)
	case Idle:
		return IdleTooLong, over(l.limits.IdleTimeout)
	default:
		return 0, false
	}
}

// belowMinRate reports whether a body has arrived more slowly than the minimum rate over a whole window.
func (l *Ledger) belowMinRate(now time.Duration, c *connection) bool {
	window := l.limits.RateWindow
	if window <= 0 || now-c.windowStart < window {
		return false
	}
	tooSlow := float64(c.window) < float64(l.limits.MinRate)*(now-c.windowStart).Seconds()
	c.windowStart, c.window = now, 0
	return tooSlow
}
