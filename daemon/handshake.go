package daemon

import (
	stdlog "log"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// listenerLogEvery is the least pause between two lines of one kind about one listener. A
// misconfigured client may fail many times a second.
const listenerLogEvery = 10 * time.Second

// lineLimit lets one line pass in each listenerLogEvery. It is safe for concurrent use.
type lineLimit struct {
	mu    sync.Mutex
	last  time.Time
	since int // lines held back since the last one
}

// pass reports whether a line may be written, and how many were held back before it.
func (l *lineLimit) pass(now time.Time) (held int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < listenerLogEvery {
		l.since++
		return 0, false
	}
	held, l.since, l.last = l.since, 0, now
	return held, true
}

// listenerErrors logs what goes wrong on a listener and counts failed TLS handshakes.
type listenerErrors struct {
	log               log.Logger
	handshakes        atomic.Uint64
	handshake, others lineLimit
}

// handshakeFailed counts a failed TLS handshake and logs it.
func (e *listenerErrors) handshakeFailed(remote, reason string) {
	e.handshakes.Add(1)
	if held, ok := e.handshake.pass(time.Now()); ok {
		level.Warn(e.log).Log("msg", "TLS handshake failed", "remote", remote, "err", reason, "not_logged_before", held)
	}
}

// handshakePrefix is how net/http begins its line about a failed handshake; the address and
// the error follow.
const handshakePrefix = "http: TLS handshake error from "

// Write takes one line of an http.Server's error log.
func (e *listenerErrors) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if rest, ok := strings.CutPrefix(text, handshakePrefix); ok {
		remote, reason, _ := strings.Cut(rest, ": ")
		e.handshakeFailed(remote, reason)
		return len(line), nil
	}
	if held, ok := e.others.pass(time.Now()); ok {
		level.Warn(e.log).Log("msg", "HTTP server", "err", text, "not_logged_before", held)
	}
	return len(line), nil
}

// errorLog is the error log for an http.Server.
func (e *listenerErrors) errorLog() *stdlog.Logger { return stdlog.New(e, "", 0) }

// handshakeError is handshakeFailed for a connection.
func (e *listenerErrors) handshakeError(conn net.Conn, err error) {
	e.handshakeFailed(conn.RemoteAddr().String(), err.Error())
}

// listeners holds the errors of the three listeners.
type listeners struct{ callers, peers, operators *listenerErrors }

func newListeners(l *logs) listeners {
	return listeners{
		callers:   &listenerErrors{log: l.callers},
		peers:     &listenerErrors{log: l.peer},
		operators: &listenerErrors{log: l.operators},
	}
}

// handshakeErrors counts the failed TLS handshakes of each listener.
type handshakeErrors struct {
	Callers   uint64 `json:"callers"`
	Peers     uint64 `json:"peers"`
	Operators uint64 `json:"operators"`
}

func (l *listeners) handshakeErrors() handshakeErrors {
	return handshakeErrors{
		Callers:   l.callers.handshakes.Load(),
		Peers:     l.peers.handshakes.Load(),
		Operators: l.operators.handshakes.Load(),
	}
}
