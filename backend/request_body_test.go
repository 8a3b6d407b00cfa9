package backend

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// TestWithholdRacesWithRead guards against a body that is sent although it was reported as withheld, when
// the transport reads it while the timer for 100-continue expires.
func TestWithholdRacesWithRead(t *testing.T) {
	const rounds = 5000
	withheld := 0
	for range rounds {
		body := &requestBody{}
		body.data.Reset([]byte("x"))
		var n int
		var wg sync.WaitGroup
		wg.Go(func() { n, _ = body.Read(make([]byte, 1)) })
		neverSent := body.withhold()
		wg.Wait()
		if neverSent == (n > 0) {
			t.Fatalf("withheld %v, %d bytes left", neverSent, n)
		}
		if neverSent {
			withheld++
		}
	}
	t.Logf("withheld in %d of %d rounds", withheld, rounds)
}

// TestBodyStateIsFinal guards against a withheld body that can be read later, and against a body that
// withhold, called after the first read, makes unreadable for the transport's last read.
func TestBodyStateIsFinal(t *testing.T) {
	body := &requestBody{}
	body.data.Reset([]byte("x"))
	for range 2 {
		if !body.withhold() {
			t.Fatal("unread body not withheld")
		}
	}
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, errBodyWithheld) {
		t.Fatalf("read of a withheld body: %v", err)
	}
	body = &requestBody{}
	body.data.Reset([]byte("x"))
	_, _ = body.Read(make([]byte, 1))
	if body.withhold() {
		t.Fatal("body withheld after it was read")
	}
	if _, err := body.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("last read: %v", err)
	}
}

// TestTrackedConnStopWrites guards against a write after the connection was reported as unused, and against
// counting a failed write that sent no byte.
func TestTrackedConnStopWrites(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	server.Close()
	c := &trackedConn{Conn: client}
	if _, err := c.Write([]byte("x")); err == nil {
		t.Fatal("write to a closed pipe succeeded")
	}
	if !c.stopWritesCheckUnused(0) {
		t.Fatal("a write without effect counts as use")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("write after writes were stopped: %v", err)
	}
}
