package entry

import (
	"syscall"
	"time"

	"sesameledge.dev/sesameledge/host"
)

const (
	// callerCheckInterval is the shortest time between two looks at the connections of all callers. Leases are
	// granted for the full time as long as looks are less than some 300 ms apart.
	callerCheckInterval = 50 * time.Millisecond
	// maxSuspension is the longest suspension of the machine after which an open connection still shows that its
	// caller waits. Closing segments that came meanwhile were lost and are sent again, the later the longer it took.
	maxSuspension = 50 * time.Millisecond
)

// callers holds the callers that wait for the answers to their jobs. It belongs to the event loop, which looks at
// their connections before it applies events: after a pause of the process, the events for the answers of workers may
// come before those for callers that have left.
type callers struct {
	waiting   map[uint64]caller // by the sequence number of the job
	checkedAt clockReading      // before the newest look at all connections
	awakeTime func() time.Duration
	clocks    func() clockReading
}

// caller is a caller that waits.
type caller struct {
	conn   syscall.RawConn
	answer chan<- host.Answer // closed without an answer if the caller has left
}

func newCallers() *callers {
	return &callers{waiting: make(map[uint64]caller), checkedAt: readClocks(), awakeTime: awakeTime, clocks: readClocks}
}

// answer answers a caller, if it still waits.
func (c *callers) answer(a host.Answer) {
	if w, found := c.waiting[a.Seq]; found {
		delete(c.waiting, a.Seq)
		w.answer <- a
	}
}

// drop forgets a caller that has left.
func (c *callers) drop(seq uint64) {
	if w, found := c.waiting[seq]; found {
		delete(c.waiting, seq)
		close(w.answer)
	}
}

// check looks at the connections of all callers if the last look is callerCheckInterval ago. It drops those that have
// left and returns an event for each of them and one with the time of the look. After an error nothing is known.
func (c *callers) check() ([]host.Event, error) {
	if c.awakeTime()-c.checkedAt.awake < callerCheckInterval {
		return nil, nil
	}
	now := c.clocks()
	suspended := (now.sinceBoot - c.checkedAt.sinceBoot) - (now.awake - c.checkedAt.awake)
	gone, err := c.findGone(suspended > maxSuspension)
	if err != nil {
		return nil, err
	}
	c.checkedAt = now
	events := make([]host.Event, 0, len(gone)+1)
	for _, seq := range gone {
		c.drop(seq)
		events = append(events, host.CallerGone{Seq: seq})
	}
	return append(events, host.CallersSeen{At: now.sinceBoot}), nil
}

// findGone returns the callers that have left, or all of them if the machine was suspended.
func (c *callers) findGone(suspended bool) ([]uint64, error) {
	if len(c.waiting) == 0 {
		return nil, nil
	}
	seqs := make([]uint64, 0, len(c.waiting))
	conns := make([]syscall.RawConn, 0, len(c.waiting))
	for seq, w := range c.waiting {
		seqs = append(seqs, seq)
		conns = append(conns, w.conn)
	}
	if suspended {
		return seqs, nil
	}
	closed, err := findClosed(conns)
	gone := make([]uint64, len(closed))
	for i, index := range closed {
		gone[i] = seqs[index]
	}
	return gone, err
}
