package minionsim

import (
	"net/http"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

// maxMessagesInTransit is above the number of requests that a Fleet serves at a time, which its
// connections bound, so that sending to the entries of a delayLine does not block.
const maxMessagesInTransit = 1 << 14

// delayLine simulates the network delay between availability zones in one direction. The delay
// is the same for all messages, so they arrive in the order of entry: one FIFO queue and one
// goroutine serve any number of them, and no message waits for another.
type delayLine struct {
	delay   time.Duration
	entries chan messageInTransit
	stop    chan struct{}
}

// messageInTransit is a message that has entered a delayLine and has not yet arrived.
type messageInTransit struct {
	due     time.Time
	arrived chan struct{}
}

func newDelayLine(delay time.Duration) *delayLine {
	l := &delayLine{
		delay:   delay,
		entries: make(chan messageInTransit, maxMessagesInTransit),
		stop:    make(chan struct{}),
	}
	go l.run()
	return l
}

func (l *delayLine) run() {
	for {
		select {
		case d := <-l.entries:
			sleepUntil(d.due)
			close(d.arrived)
		case <-l.stop:
			return
		}
	}
}

// waitCrossings blocks for the time in which a message crosses the line n times. On a
// nil line it returns at once.
func (l *delayLine) waitCrossings(n int) {
	if l == nil {
		return
	}
	for range n {
		d := messageInTransit{due: time.Now().Add(l.delay), arrived: make(chan struct{})}
		l.entries <- d
		select {
		case <-d.arrived:
		case <-l.stop:
			return
		}
	}
}

func (l *delayLine) close() {
	if l != nil {
		close(l.stop)
	}
}

// delayLineTo returns the line to the host that issued the ticket, which is the host that
// sends its tasks. It returns nil if there is no delay: none is configured, the host is in the
// minion's zone, or the ticket or its host name cannot be parsed. A host's name is ZONE-NUMBER.
func (m *Minion) delayLineTo(id string) *delayLine {
	if m.line == nil {
		return nil
	}
	t, err := ticket.Parse(ticket.ID(id))
	if err != nil {
		return nil
	}
	if at := strings.LastIndexByte(t.Host, '-'); at < 0 || t.Host[:at] == m.Zone {
		return nil
	}
	return m.line
}

// bodyCrossings returns the number of crossings between the arrival of the request header and
// that of the body. A client that expects 100 Continue sends the body only after receiving it,
// which takes two crossings; otherwise the body arrives with the header.
func bodyCrossings(r *http.Request) int {
	if r.Header.Get("Expect") == "" {
		return 0
	}
	return 2
}
