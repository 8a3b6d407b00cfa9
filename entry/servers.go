package entry

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sesameledge.dev/sesameledge/admission"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/fleet/configcheck"
	"sesameledge.dev/sesameledge/platform"
)

const (
	// requestLinesDivisor leaves most lines of the log to what is not about single requests.
	requestLinesDivisor = 4
	// peerUnackedTimeout is the time after which the connection of another host is closed if the host does
	// not acknowledge what was sent.
	peerUnackedTimeout = 20 * time.Second
)

// openGate opens a guarded listener.
func (h *Host) openGate(name, addr string, limits admission.Limits, receiveBuffer int) (*gate, error) {
	g, err := listenGuarded(name, addr, limits, receiveBuffer)
	if err == nil {
		h.gates = append(h.gates, g)
	}
	return g, err
}

// setUnackedTimeout makes the kernel close a connection of another host that has not acknowledged what
// was sent. The gRPC server sets the option only on connections that it has accepted itself.
func setUnackedTimeout(c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(peerUnackedTimeout.Milliseconds()))
	})
}

// serveHTTP serves HTTP on a guarded listener until the server is shut down.
func (h *Host) serveHTTP(g *gate, handler http.Handler) *http.Server {
	g.refusal = busyResponse()
	g.setHeaderLimit(defaultHeaderBytes)
	server := &http.Server{Handler: handler, ConnState: g.trackState, ConnContext: withConn}
	h.servers = append(h.servers, server)
	go func() { _ = server.Serve(g) }() // returns after Shutdown or Close
	return server
}

// phases records how far each request is, for a handler that reads no body.
func phases(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connOf(r.Context()).enter(admission.Answered)
		handler.ServeHTTP(w, r)
	})
}

// busyResponse returns the answer on a connection that is not admitted, of which nothing was read.
func busyResponse() []byte {
	body := platform.ErrorBody("too many connections")
	return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body))
}

// useLimits applies the configuration's limits to the callers' port.
func (h *Host) useLimits(c fleet.RequestLimits) {
	h.callers.setLimits(h.settings.callerLimits(c))
	h.callers.setHeaderLimit(cmp.Or(max(0, c.HeaderBytes), defaultHeaderBytes))
	if room := h.settings.requestBytes(); configcheck.BodyMemoryFactor*c.BodyBytes > room {
		_ = h.logger.Log("part", "ingress", "msg", "the configuration allows bodies that do not fit into the memory for requests",
			"body_bytes", c.BodyBytes, "memory_for_requests", room)
	}
}

// sweepGates closes connections whose time is over, until ctx ends.
func (h *Host) sweepGates(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, g := range h.gates {
				if report := g.sweep(); report != nil {
					_ = h.logger.Log(report...)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// lineLimit limits the log lines of one kind. The zero value is ready to use.
type lineLimit struct {
	mu     sync.Mutex
	second int64
	lines  int
}

// allow reports whether a line may be written, of at most max lines a second.
func (l *lineLimit) allow(now time.Time, max int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
	}
	l.lines++
	return l.lines <= max
}
