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

// listenerLogInterval is the shortest time between two log lines of one kind about one listener. A
// misconfigured client may fail many times per second.
const listenerLogInterval = 10 * time.Second

// lineLimiter allows one log line per listenerLogInterval. It is safe for concurrent use.
type lineLimiter struct {
	mu          sync.Mutex
	lastAllowed time.Time
	suppressed  int // lines suppressed since lastAllowed
}

// allow reports whether a line may be logged now, and how many lines were suppressed before it.
func (l *lineLimiter) allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastAllowed.IsZero() && now.Sub(l.lastAllowed) < listenerLogInterval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.lastAllowed = l.suppressed, 0, now
	return suppressed, true
}

// listenerErrorLog logs the errors of one listener and counts failed TLS handshakes.
type listenerErrorLog struct {
	log                        log.Logger
	handshakeFailures          atomic.Uint64
	handshakeLines, otherLines lineLimiter
}

// recordHandshakeFailure counts a failed TLS handshake and logs it.
func (e *listenerErrorLog) recordHandshakeFailure(remote, reason string) {
	e.handshakeFailures.Add(1)
	if suppressed, ok := e.handshakeLines.allow(time.Now()); ok {
		level.Warn(e.log).Log("msg", "TLS handshake failed", "remote", remote, "err", reason, "not_logged_before", suppressed)
	}
}

// handshakePrefix starts net/http's log line about a failed handshake. The remote address and the
// error follow it.
const handshakePrefix = "http: TLS handshake error from "

// Write logs one line of an http.Server's error log.
func (e *listenerErrorLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if rest, ok := strings.CutPrefix(text, handshakePrefix); ok {
		remote, reason, _ := strings.Cut(rest, ": ")
		e.recordHandshakeFailure(remote, reason)
		return len(line), nil
	}
	if suppressed, ok := e.otherLines.allow(time.Now()); ok {
		level.Warn(e.log).Log("msg", "HTTP server", "err", text, "not_logged_before", suppressed)
	}
	return len(line), nil
}

// errorLog returns the error log for an http.Server.
func (e *listenerErrorLog) errorLog() *stdlog.Logger { return stdlog.New(e, "", 0) }

// recordConnHandshakeFailure counts and logs a failed TLS handshake of a connection.
func (e *listenerErrorLog) recordConnHandshakeFailure(conn net.Conn, err error) {
	e.recordHandshakeFailure(conn.RemoteAddr().String(), err.Error())
}

// listenerErrorLogs holds the error logs of the three listeners.
type listenerErrorLogs struct{ callers, peers, operators *listenerErrorLog }

func newListenerErrorLogs(l *logs) listenerErrorLogs {
	return listenerErrorLogs{
		callers:   &listenerErrorLog{log: l.callers},
		peers:     &listenerErrorLog{log: l.peer},
		operators: &listenerErrorLog{log: l.operators},
	}
}

// handshakeFailureCounts counts the failed TLS handshakes of each listener.
type handshakeFailureCounts struct {
	Callers   uint64 `json:"callers"`
	Peers     uint64 `json:"peers"`
	Operators uint64 `json:"operators"`
}

func (l *listenerErrorLogs) handshakeFailures() handshakeFailureCounts {
	return handshakeFailureCounts{
		Callers:   l.callers.handshakeFailures.Load(),
		Peers:     l.peers.handshakeFailures.Load(),
		Operators: l.operators.handshakeFailures.Load(),
	}
}
