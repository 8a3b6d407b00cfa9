package minionsim

import (
	"net/http"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

// maxDelayed is above the number of requests that a Fleet serves at a time, which its
// connections bound, so that entering a delayLine does not block.
const maxDelayed = 1 << 14

// delayLine is the network between availability zones in one direction. All messages take
// equally long, so a queue in the order of entry and one goroutine serve any number of
// them, and none waits for another.
type delayLine struct {
	delay   time.Duration
	entries chan delayed
	stop    chan struct{}
}

// delayed is a message on its way.
type delayed struct {
	due     time.Time
	arrived chan struct{}
}

func newDelayLine(delay time.Duration) *delayLine {
	l := &delayLine{delay: delay, entries: make(chan delayed, maxDelayed), stop: make(chan struct{})}
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

// pass blocks while a message crosses the line n times. On a nil line it returns at once.
func (l *delayLine) pass(n int) {
	if l == nil {
		return
	}
	for range n {
		d := delayed{due: time.Now().Add(l.delay), arrived: make(chan struct{})}
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

// lineTo returns the line to the host that minted the ticket, which is the host that
// sends its tasks; nil if there is no delay. Hosts are named by zone and number.
func (m *Minion) lineTo(id string) *delayLine {
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

// bodyPasses is how often the line is crossed after the request header has arrived and
// before the body is there: a client that expects 100 Continue sends the body after it.
func bodyPasses(r *http.Request) int {
	if r.Header.Get("Expect") == "" {
		return 0
	}
	return 2
}
