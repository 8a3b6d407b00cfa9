package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"sesameledge.dev/sesameledge/admission"
)

const (
	// sweepInterval is the time between two checks of the time limits.
	sweepInterval = 500 * time.Millisecond
	// reportInterval is the least time between two log lines of a gate.
	reportInterval = 2 * time.Second
	// refusalTimeout limits the time to write a refusal. Its few bytes fit into the empty buffer of a new
	// connection.
	refusalTimeout = 10 * time.Millisecond
)

// gate guards a listener: it admits connections, accounts for what they use, and closes those that the
// account names. It is a net.Listener.
type gate struct {
	*net.TCPListener
	name    string
	refusal []byte                      // written to connections that are not admitted
	prepare func(syscall.RawConn) error // sets options of admitted connections, nil for none
	now     func() time.Duration

	mu          sync.Mutex
	headerBytes int64 // limit of a header, 0 for none
	ledger      *admission.Ledger
	conns       map[admission.ID]*guardedConn
	reported    admission.Stats // figures of the newest log line
	reportedAt  time.Duration
}

// listenGuarded opens a listener with limits. receiveBuffer is the size of the kernel's receive buffers,
// 0 for the system's default.
func listenGuarded(name, addr string, limits admission.Limits, receiveBuffer int) (*gate, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			// Connections inherit the size. A kernel that does not know the option keeps its own.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for %s", name)
	}
	started := time.Now()
	return &gate{
		TCPListener: l.(*net.TCPListener), name: name, ledger: admission.NewLedger(limits),
		conns: make(map[admission.ID]*guardedConn), now: func() time.Duration { return time.Since(started) },
	}, nil
}

// setLimits replaces the limits.
func (g *gate) setLimits(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetLimits(limits)
}

// setHeaderLimit sets the size of the largest header.
func (g *gate) setHeaderLimit(bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headerBytes = bytes
}

// Accept implements net.Listener. It returns the next connection that is admitted. Others are closed at
// once, because the kernel keeps what they send for as long as they wait.
func (g *gate) Accept() (net.Conn, error) {
	for {
		tcp, err := g.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := g.admit(tcp); c != nil {
			g.setOptions(tcp)
			return c, nil
		}
		if g.refusal != nil {
			_ = tcp.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = tcp.Write(g.refusal) // fails only if the client is gone
		}
		_ = tcp.Close()
	}
}

// setOptions sets the options of an admitted connection. Without them it works, too.
func (g *gate) setOptions(tcp *net.TCPConn) {
	if g.prepare == nil {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = g.prepare(raw)
	}
}

// admit opens the account of a connection. It returns nil if the connection is not admitted.
func (g *gate) admit(tcp *net.TCPConn) *guardedConn {
	sender, _, _ := net.SplitHostPort(tcp.RemoteAddr().String()) // a TCP address has both
	g.mu.Lock()
	id, drop, ok := g.ledger.Open(g.now(), sender)
	var c *guardedConn
	if ok {
		c = &guardedConn{TCPConn: tcp, gate: g, id: id}
		g.conns[id] = c
	}
	dropped := g.lookUp(drop)
	g.mu.Unlock()
	abort(dropped)
	return c
}

// lookUp returns the connections with the given identities. The caller holds mu.
func (g *gate) lookUp(ids []admission.ID) []*guardedConn {
	var conns []*guardedConn
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			c.reset = g.ledger.Unfinished(id)
			conns = append(conns, c)
		}
	}
	return conns
}

// abort closes the sockets of connections that the account names. Their requests end with an error, and
// free their memory then.
func abort(conns []*guardedConn) {
	for _, c := range conns {
		if c.reset {
			_ = c.TCPConn.SetLinger(0) // the kernel drops what the client has not taken
		}
		_ = c.TCPConn.Close()
	}
}

// sweep closes the connections whose time is over. It returns the fields of a log line if clients were
// refused since the last line, at most once per reportInterval.
func (g *gate) sweep() (report []any) {
	g.mu.Lock()
	now := g.now()
	dropped := g.lookUp(g.ledger.Expire(now))
	if s := g.ledger.Stats(); s.Refused != g.reported.Refused && now-g.reportedAt >= reportInterval {
		report = []any{"part", "ingress", "msg", "clients refused", "port", g.name, "connections", s.Connections, "bytes", s.Bytes}
		for r, n := range s.Refused {
			if n > g.reported.Refused[r] {
				report = append(report, admission.Reason(r).String(), n-g.reported.Refused[r])
			}
		}
		g.reported, g.reportedAt = s, now
	}
	g.mu.Unlock()
	abort(dropped)
	return report
}

// find returns the open connection from an address, or nil if there is none.
func (g *gate) find(remoteAddr string) *guardedConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		if c.RemoteAddr().String() == remoteAddr {
			return c
		}
	}
	return nil
}

// stats returns the figures of the gate's account.
func (g *gate) stats() admission.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Stats()
}

// trackState follows the requests of an HTTP server's connections.
func (g *gate) trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*guardedConn); ok && state == http.StateIdle {
		c.finish()
	}
}

// count records a refusal.
func (g *gate) count(r admission.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Count(r)
}
