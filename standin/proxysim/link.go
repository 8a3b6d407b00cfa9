package proxysim

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	chunkSize = 16 << 10 // bytes read at a time
	// maxChunks bounds the chunks that one direction of a connection holds back while
	// they are delayed: 1 MiB with full chunks.
	maxChunks = 64
	// holdPoll is the pause between checks of a direction that is kept back.
	holdPoll = 5 * time.Millisecond
)

// link is one forwarded connection.
type link struct {
	route     *route
	client    *net.TCPConn
	target    *net.TCPConn
	blackHole atomic.Bool
	aborted   atomic.Bool
}

// chunk is data that is due to be delivered; the last one of a direction has end set.
type chunk struct {
	due  time.Time
	data []byte
	end  bool
}

// run forwards both directions until both have ended, then closes the connections.
func (l *link) run() {
	done := make(chan struct{}, 2)
	go func() { l.forward(HoldTo, l.client, l.target, &l.route.bytesTo); done <- struct{}{} }()
	go func() { l.forward(HoldFrom, l.target, l.client, &l.route.bytesFrom); done <- struct{}{} }()
	<-done
	<-done
	_ = l.client.Close()
	_ = l.target.Close()
}

// forward copies one direction, delayed, and passes its end on.
func (l *link) forward(direction Hold, from, to *net.TCPConn, delivered *atomic.Int64) {
	chunks := make(chan chunk, maxChunks)
	go l.receive(from, chunks)
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		for l.route.holds(direction) && !l.aborted.Load() {
			time.Sleep(holdPoll)
		}
		if l.blackHole.Load() {
			continue
		}
		if c.end {
			_ = to.CloseWrite()
			continue
		}
		// A write error means that the receiver has gone; its other direction ends too.
		if n, err := to.Write(c.data); err == nil {
			delivered.Add(int64(n))
		} else {
			l.reset()
		}
	}
}

// receive reads one direction to its end and closes chunks.
func (l *link) receive(from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		due := time.Now().Add(l.route.delay())
		if n > 0 {
			chunks <- chunk{due: due, data: buf[:n]}
		}
		if err != nil {
			chunks <- chunk{due: due, end: true}
			return
		}
	}
}

// reset closes both connections at once with RST, unless the link is a black hole.
func (l *link) reset() {
	if l.blackHole.Load() {
		return
	}
	l.abort()
}

// abort closes both connections at once with RST.
func (l *link) abort() {
	l.aborted.Store(true)
	for _, c := range []*net.TCPConn{l.client, l.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}
