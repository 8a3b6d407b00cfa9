package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

const (
	// bodyBytes is the size of a body, just under the configuration's limit.
	bodyBytes = 262143
	// attempts is how often a client opens a connection, if the host closes it.
	attempts = 2
	// wholeEvery makes every tenth client send its whole request. The others stop one byte short.
	wholeEvery = 10
	// clientTimeout limits how long a client tries to send.
	clientTimeout = 8 * time.Second
)

// form is what each client of a crowd sends, and how.
type form struct {
	name  string
	pause time.Duration                // between two pieces
	whole bool                         // every client sends its whole request, not just every tenth
	deaf  bool                         // the clients do not read the answers
	make  func(d *deployment) [][]byte // returns a request in the pieces in which it is written
}

// bodyForms are the ways in which a body is sent.
var bodyForms = []form{
	{name: "whole", make: func(d *deployment) [][]byte { return [][]byte{declared(d, bodyBytes), jobBody()} }},
	{name: "pieces", pause: 2 * time.Millisecond, make: func(d *deployment) [][]byte {
		return append([][]byte{declared(d, bodyBytes)}, split(jobBody(), 8<<10)...)
	}},
	{name: "large_chunks", make: func(d *deployment) [][]byte { return [][]byte{chunkedHeader(d), chunks(64 << 10)} }},
	{name: "tiny_chunks", make: func(d *deployment) [][]byte { return [][]byte{chunkedHeader(d), chunks(1)} }},
}

// jobBody returns a job of legal size and form with as many steps as fit.
var jobBody = sync.OnceValue(func() []byte {
	step := []byte(`{"count":1,"cpu":1000,"memMb":64,"estimatedMs":50},`)
	body := []byte(`{"spec":"5ms","bestEffort":true,"phases":[`)
	for len(body)+len(step)+2 < bodyBytes {
		body = append(body, step...)
	}
	body = append(body[:len(body)-1], ']')
	body = append(body, bytes.Repeat([]byte(" "), bodyBytes-len(body)-1)...)
	return append(body, '}')
})

// chunks returns the body as chunks of a size, with their end.
func chunks(size int) []byte {
	chunksMu.Lock()
	defer chunksMu.Unlock()
	if chunksBySize[size] == nil {
		var out bytes.Buffer
		for _, piece := range split(jobBody(), size) {
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(piece), piece)
		}
		out.WriteString("0\r\n\r\n")
		chunksBySize[size] = out.Bytes()
	}
	return chunksBySize[size]
}

var (
	chunksMu     sync.Mutex
	chunksBySize = make(map[int][]byte)
)

// split divides bytes into pieces of a size.
func split(b []byte, size int) [][]byte {
	var pieces [][]byte
	for len(b) > 0 {
		n := min(size, len(b))
		pieces, b = append(pieces, b[:n]), b[n:]
	}
	return pieces
}

// header returns the start of the header of a submission.
func header(d *deployment) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: 1800\r\n", prefix, d.newJobID(), fleetsim.CallerHost)
}

// declared returns a header with a Content-Length.
func declared(d *deployment, length int) []byte {
	return []byte(header(d) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
}

func chunkedHeader(d *deployment) []byte {
	return []byte(header(d) + "Transfer-Encoding: chunked\r\n\r\n")
}

// crowd is a number of clients that press an address. Its connections stay open until leave is called.
type crowd struct {
	form    form
	left    chan struct{}
	sent    sync.WaitGroup // clients that have not sent all yet
	present sync.WaitGroup // clients that have not left yet
}

// press starts a crowd that sends requests to an address. Unless the form is whole, all but every tenth
// client stop one byte short.
func press(d *deployment, addr string, size int, f form) *crowd {
	c := &crowd{form: f, left: make(chan struct{})}
	for i := range size {
		c.add(func() {
			for range attempts {
				pieces := f.make(d)
				if last := len(pieces) - 1; !f.whole && i%wholeEvery != 0 && last >= 0 {
					pieces[last] = pieces[last][:len(pieces[last])-1]
				}
				if !c.connect(addr, pieces) {
					return
				}
			}
		})
	}
	return c
}

// add adds a client that runs the function. The client counts as having sent all when it returns.
func (c *crowd) add(client func()) {
	c.sent.Add(1)
	go func() {
		defer c.sent.Done()
		client()
	}()
}

// connect opens a connection and sends the pieces. It keeps the connection open until the crowd leaves,
// and reports true if the host has closed it before everything was sent.
func (c *crowd) connect(addr string, pieces [][]byte) (refused bool) {
	conn, err := c.dial(addr)
	if err != nil {
		return false
	}
	_ = conn.SetWriteDeadline(time.Now().Add(clientTimeout))
	for _, piece := range pieces {
		if _, err := conn.Write(piece); err != nil {
			return true
		}
		time.Sleep(c.form.pause)
	}
	return false
}

// dial opens a connection that stays open until the crowd leaves. It tries for a while, because the
// host may still be starting.
func (c *crowd) dial(addr string) (net.Conn, error) {
	deadline := time.Now().Add(clientTimeout)
	for {
		conn, err := net.DialTimeout("tcp4", addr, clientTimeout)
		if err == nil {
			c.hold(conn)
			return conn, nil
		}
		if time.Now().After(deadline) {
			return nil, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// hold reads from a connection, if the crowd reads, and closes it when the crowd leaves.
func (c *crowd) hold(conn net.Conn) {
	c.present.Add(1)
	go func() {
		defer c.present.Done()
		defer conn.Close()
		if !c.form.deaf {
			go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		}
		<-c.left
	}()
}

// settle waits until every client has sent what it can, and a little longer, so that the host has read
// it.
func (c *crowd) settle() {
	c.sent.Wait()
	time.Sleep(300 * time.Millisecond)
}

// leave closes the connections of the crowd.
func (c *crowd) leave() {
	close(c.left)
	c.present.Wait()
}
