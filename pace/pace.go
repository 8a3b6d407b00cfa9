// Package pace limits how fast a host sends or receives what is large: the orders that carry the bodies of jobs,
// configurations for other hosts, and answers of the store.
//
// It answers bursts of such data on a host with a narrow network link. Everything that the host sends shares
// the link: if a burst of orders fills its queue, the heartbeats to other hosts and the renewals of
// leases wait behind them, other hosts count this one as lost, and running work is given up. Each kind of data
// therefore gets a share of the link only and waits in the host, where an order can still be refused.
//
// The package does no I/O and reads no clock.
package pace

import "time"

const (
	// OrderShare is the share of a link that orders may use, ConfigShare the one for configurations for other hosts, and
	// StoreShare the share, of the other direction, for answers of the store.
	OrderShare  = 0.6
	ConfigShare = 0.35
	StoreShare  = 0.5
	// maxBacklog is how far the sending may lag behind the decisions.
	maxBacklog = 40 * time.Millisecond
)

// Link accounts for the use of a link by one kind of data. The zero value stands for a link without a limit.
type Link struct {
	bytesPerSecond float64       // that the data may use; 0: no limit
	busyUntil      time.Duration // when the data so far is sent
}

// NewLink returns a share of a link of a capacity in bytes a second; 0 means no limit.
func NewLink(bytesPerSecond, share float64) Link { return Link{bytesPerSecond: share * bytesPerSecond} }

// Ready reports whether more may be sent.
func (l *Link) Ready(now time.Duration) bool { return l.Backlog(now) <= maxBacklog }

// Reserve accounts for data of a size in bytes that is sent now.
func (l *Link) Reserve(now time.Duration, size int) {
	l.busyUntil = max(l.busyUntil, now) + l.timeFor(size)
}

// Backlog returns how long it takes until the data so far is sent.
func (l *Link) Backlog(now time.Duration) time.Duration { return max(0, l.busyUntil-now) }

// Wait returns when the last of further data of a total size in bytes can be sent, from now on.
func (l *Link) Wait(now time.Duration, size int) time.Duration {
	return max(0, l.Backlog(now)+l.timeFor(size)-maxBacklog)
}

func (l *Link) timeFor(size int) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second))
}
