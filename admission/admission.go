// Package admission decides which clients may use the memory and the connections of a host. It holds an
// account of every open connection: what it has reserved, how far its request is and how fast its sender
// is. It does no I/O: the caller accepts, reads and closes connections and tells the account.
//
// The load it answers: clients that nobody controls open many requests and leave them unfinished, while
// ordinary callers send small requests without delay. Nobody is dropped while there is room, except
// senders below a minimum rate. Without room, those that make no progress go first.
package admission

import "time"

// Phase is how far a connection's request is.
type Phase int

// The phases of a connection.
const (
	New      Phase = iota // nothing was received yet
	Header                // a request's header is being received
	Body                  // a request's body is being received
	Running               // the request was received and has not been answered
	Answered              // the answer is being sent, or the connection is about to be closed
	Idle                  // the last request was answered and no other one has begun
)

// Reason tells why a client was refused or its connection closed.
type Reason int

// The reasons, in the order in which they are reported.
const (
	NoConnections  Reason = iota // no connection is left and none can be dropped
	NoMemory                     // the memory is reserved and nobody can be dropped
	SenderShare                  // one sender uses most of the connections and there are others
	Dropped                      // closed to make room for another client
	HeaderTooSlow                // the header did not arrive in time
	BodyTooSlow                  // the body arrives more slowly than the minimum rate
	AnswerUnread                 // the client does not take the answer
	IdleTooLong                  // no request for too long
	HeaderTooLarge               // the header is larger than the configuration allows
	BodyRefused                  // the body can never be a job
	reasonCount
)

var reasonNames = [reasonCount]string{
	"no_connections", "no_memory", "sender_share", "dropped", "header_slow", "body_slow", "answer_unread", "idle", "header_large", "body_refused",
}

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Limits are the limits of an account. A time or rate of zero sets no limit.
type Limits struct {
	Connections   int
	Bytes         int64         // of all requests
	HeaderTimeout time.Duration // to receive a header
	IdleTimeout   time.Duration // between two requests
	AnswerTimeout time.Duration // to take an answer
	MinRate       int64         // of a body, in bytes a second over RateWindow
	RateWindow    time.Duration
}

const (
	// minAge is the age from which on a request may be dropped for another one, and the time that a
	// sender without progress has before it counts as stalled. Callers inside the published limits send
	// a request within a few round trips of some ms.
	minAge = 250 * time.Millisecond
	// minIdle is the time that a connection must be idle before it is closed for another one, so that
	// few callers send a request on a connection that is being closed.
	minIdle = time.Second
	// rateBucket is the time over which the speed of a sender is measured.
	rateBucket = 500 * time.Millisecond
	// The share of a sender binds when crowdedShare of the connections are open. Then it may have
	// maxSenderShare of them.
	crowdedShare   = 0.875
	maxSenderShare = 0.75
)

// ID identifies an open connection.
type ID uint64

// connection is the account of a connection.
type connection struct {
	id      ID
	sender  string
	phase   Phase
	since   time.Duration // start of the phase; of the request for Header and Body
	bytes   int64         // reserved
	dropped bool          // told to close, and not closed yet

	lastProgress  time.Duration
	bucketStart   time.Duration
	bucket, older int64         // bytes received in the current and in the previous bucket
	windowStart   time.Duration // of the check of the minimum rate
	window        int64         // bytes received since then
}

// Ledger is the account of all connections of a listener. It is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	connections map[ID]*connection
	senders     map[string]int // open connections by sender
	lastID      ID
	bytes       int64 // reserved
	leaving     int64 // reserved by connections that were told to close
	closing     int   // connections that were told to close
	stats       Stats
}

// Stats are the figures of a ledger.
type Stats struct {
	Connections        int
	HighestConnections int
	Bytes              int64
	HighestBytes       int64
	Refused            [reasonCount]int64 // clients refused or closed, by reason
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, connections: make(map[ID]*connection), senders: make(map[string]int)}
}

// SetLimits replaces the limits. What is open stays open.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Limits returns the limits in force.
func (l *Ledger) Limits() Limits { return l.limits }

// Stats returns the figures so far.
func (l *Ledger) Stats() Stats {
	s := l.stats
	s.Connections, s.Bytes = len(l.connections), l.bytes
	return s
}

// Count records that a client was refused for a reason.
func (l *Ledger) Count(r Reason) { l.stats.Refused[r]++ }

// Open admits a connection of a sender or refuses it. The caller closes the connections to drop; it
// closes the new one if it is not admitted.
func (l *Ledger) Open(now time.Duration, sender string) (id ID, drop []ID, admitted bool) {
	if l.overSenderShare(sender) {
		l.Count(SenderShare)
		return 0, nil, false
	}
	if len(l.connections)-l.closing >= l.limits.Connections {
		victim := l.slowest(now, nil)
		if victim == nil {
			l.Count(NoConnections)
			return 0, nil, false
		}
		drop = append(drop, l.drop(victim, Dropped))
	}
	l.lastID++
	l.connections[l.lastID] = &connection{
		id: l.lastID, sender: sender, since: now, lastProgress: now, bucketStart: now, windowStart: now,
	}
	l.senders[sender]++
	l.stats.HighestConnections = max(l.stats.HighestConnections, len(l.connections))
	return l.lastID, drop, true
}

// overSenderShare reports whether a sender has too many of the connections to get another one. A single
// sender may have them all: on the platform, one address may stand for all callers.
func (l *Ledger) overSenderShare(sender string) bool {
	limit := float64(l.limits.Connections)
	return float64(len(l.connections)) >= crowdedShare*limit && len(l.senders) > 1 &&
		float64(l.senders[sender]) >= maxSenderShare*limit
}

// Close removes a connection and frees what it has reserved.
func (l *Ledger) Close(id ID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	if c.dropped {
		l.closing--
		l.leaving -= c.bytes
	}
	l.bytes -= c.bytes
	delete(l.connections, id)
	if l.senders[c.sender]--; l.senders[c.sender] == 0 {
		delete(l.senders, c.sender)
	}
}

// Enter records that a connection's request has reached a phase.
func (l *Ledger) Enter(now time.Duration, id ID, p Phase) {
	c := l.connections[id]
	if c == nil || c.phase == p {
		return
	}
	if p != Body { // the body belongs to the request that began with its header
		c.since = now
	}
	c.phase = p
	c.windowStart, c.window = now, 0
}

// Receive records that bytes have been received. The first ones after an answer begin a new request.
// It returns the phase.
func (l *Ledger) Receive(now time.Duration, id ID, n int) Phase {
	c := l.connections[id]
	if c == nil {
		return Idle
	}
	if c.phase == New || c.phase == Idle {
		l.Enter(now, id, Header)
	}
	c.turnBucket(now)
	c.bucket += int64(n)
	c.window += int64(n)
	c.lastProgress = now
	return c.phase
}

// Grow reserves bytes for a connection's request. If they do not fit, it names connections to drop and
// reports false: the caller closes them, and asks again when their memory is free.
func (l *Ledger) Grow(now time.Duration, id ID, n int64) (drop []ID, ok bool) {
	c := l.connections[id]
	if c == nil || c.dropped {
		return nil, false
	}
	if l.bytes+n <= l.limits.Bytes {
		l.bytes += n
		c.bytes += n
		l.stats.HighestBytes = max(l.stats.HighestBytes, l.bytes)
		return nil, true
	}
	for l.bytes-l.leaving+n > l.limits.Bytes {
		victim := l.slowest(now, c)
		if victim == nil {
			break
		}
		drop = append(drop, l.drop(victim, Dropped))
	}
	return drop, false
}

// Release frees bytes that a connection has reserved.
func (l *Ledger) Release(id ID, n int64) {
	c := l.connections[id]
	if c == nil {
		return
	}
	n = min(n, c.bytes)
	c.bytes -= n
	l.bytes -= n
	if c.dropped {
		l.leaving -= n
	}
}

// IsDropped reports whether a connection is closed or was told to close.
func (l *Ledger) IsDropped(id ID) bool {
	c := l.connections[id]
	return c == nil || c.dropped
}

// Unfinished reports whether a connection's request is being received or its answer sent.
func (l *Ledger) Unfinished(id ID) bool {
	c := l.connections[id]
	return c != nil && (c.phase == Header || c.phase == Body || c.phase == Answered)
}

// drop marks a connection as told to close.
func (l *Ledger) drop(c *connection, r Reason) ID {
	c.dropped = true
	l.closing++
	l.leaving += c.bytes
	l.Count(r)
	return c.id
}
