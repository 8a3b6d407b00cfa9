package proxysim

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	chunkSize = 16 << 10 // maximum bytes per read
	// maxQueuedChunks limits the delayed chunks that one direction of a connection buffers: 1 MiB
	// with full chunks. The proxy stops reading from the sender while the buffer is full.
	maxQueuedChunks = 64
	// holdPollInterval is the interval at which a held direction checks whether it is still held.
	holdPollInterval = 5 * time.Millisecond
)

// connection is a forwarded connection: the client's connection to the proxy and the proxy's
// connection to the target.
type connection struct {
	route     *route
	client    *net.TCPConn
	target    *net.TCPConn
	blackHole atomic.Bool // all data and the end of each direction are discarded
	aborted   atomic.Bool
}

// chunk is data to be delivered at a given time. The last chunk of a direction has endOfStream set
// and carries no data.
type chunk struct {
	deliverAt   time.Time
	data        []byte
	endOfStream bool
}

// forwardBoth forwards both directions until both have ended, then closes both connections.
func (c *connection) forwardBoth() {
	done := make(chan struct{}, 2)
	go func() { c.forward(HoldToTarget, c.client, c.target, &c.route.bytesToTarget); done <- struct{}{} }()
	go func() { c.forward(HoldFromTarget, c.target, c.client, &c.route.bytesFromTarget); done <- struct{}{} }()
	<-done
	<-done
	_ = c.client.Close()
	_ = c.target.Close()
}

// forward copies the data of one direction after the route's delay and adds the bytes written to
// deliveredBytes. When the sender ends its direction, forward closes the receiver's connection for
// writing.
func (c *connection) forward(direction Hold, from, to *net.TCPConn, deliveredBytes *atomic.Int64) {
	chunks := make(chan chunk, maxQueuedChunks)
	go c.receive(from, chunks)
	for next := range chunks {
		time.Sleep(time.Until(next.deliverAt))
		for c.route.isHeld(direction) && !c.aborted.Load() {
			time.Sleep(holdPollInterval)
		}
		if c.blackHole.Load() {
			continue
		}
		if next.endOfStream {
			_ = to.CloseWrite()
			continue
		}
		// A write error means that the receiver has closed its connection. The abort also ends the
		// other direction.
		if n, err := to.Write(next.data); err == nil {
			deliveredBytes.Add(int64(n))
		} else {
			c.abortUnlessBlackHole()
		}
	}
}

// receive reads one direction until it ends or fails, queues its data in chunks, and then closes
// the channel.
func (c *connection) receive(from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		deliverAt := time.Now().Add(c.route.delay())
		if n > 0 {
			chunks <- chunk{deliverAt: deliverAt, data: buf[:n]}
		}
		if err != nil {
			chunks <- chunk{deliverAt: deliverAt, endOfStream: true}
			return
		}
	}
}

// abortUnlessBlackHole aborts the connection. A black-holed connection stays open.
func (c *connection) abortUnlessBlackHole() {
	if c.blackHole.Load() {
		return
	}
	c.abort()
}

// abort closes the connections to the client and to the target immediately with a TCP RST.
func (c *connection) abort() {
	c.aborted.Store(true)
	for _, conn := range []*net.TCPConn{c.client, c.target} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}
