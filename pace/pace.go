// Package pace limits how fast a host sends the orders that carry the bodies of jobs.
//
// It answers bursts of jobs on a host with a narrow network link. Everything that the host sends shares
// the link: if a burst of orders fills its queue, the heartbeats to other hosts and the renewals of
// leases wait behind them, other hosts count this one as lost, and running work is given up. The orders
// therefore get a share of the link only and wait in the host, where they can still be refused.
//
// The package does no I/O and reads no clock.
package pace

import "time"

const (
	// orderShare is the share of the link that orders may use.
	orderShare = 0.6
	// maxBacklog is how far the sending of orders may lag behind their decisions.
	maxBacklog = 40 * time.Millisecond
)

// Link accounts for the use of a link by orders. The zero value stands for a link without a limit.
type Link struct {
	bytesPerSecond float64       // that orders may use; 0: no limit
	busyUntil      time.Duration // when the orders so far are sent
}

// NewLink returns a link of a capacity in bytes a second; 0 means no limit.
func NewLink(bytesPerSecond float64) Link { return Link{bytesPerSecond: orderShare * bytesPerSecond} }

// Ready reports whether another order may be sent.
func (l *Link) Ready(now time.Duration) bool { return l.Backlog(now) <= maxBacklog }

// Reserve accounts for an order of a size in bytes that is sent now.
func (l *Link) Reserve(now time.Duration, size int) {
	l.busyUntil = max(l.busyUntil, now) + l.timeFor(size)
}

// Backlog returns how long it takes until the orders so far are sent.
func (l *Link) Backlog(now time.Duration) time.Duration { return max(0, l.busyUntil-now) }

// Wait returns when the last of further orders of a total size in bytes can be sent, from now on.
func (l *Link) Wait(now time.Duration, size int) time.Duration {
	return max(0, l.Backlog(now)+l.timeFor(size)-maxBacklog)
}

func (l *Link) timeFor(size int) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second))
}
