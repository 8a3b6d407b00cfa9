package backend

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// Guards against a body that leaves although it was reported as withheld, when the
// transport and the proof timer race.
func TestGateRace(t *testing.T) {
	const rounds = 5000
	withheld := 0
	for range rounds {
		g := &gate{}
		g.body.Reset([]byte("x"))
		var n int
		var wg sync.WaitGroup
		wg.Go(func() { n, _ = g.Read(make([]byte, 1)) })
		held := g.withhold()
		wg.Wait()
		if held == (n > 0) {
			t.Fatalf("withheld %v, %d bytes left", held, n)
		}
		if held {
			withheld++
		}
	}
	t.Logf("withheld in %d of %d rounds", withheld, rounds)
}

// Guards against a withheld gate that opens later, and an opened one that breaks the
// transport's last read.
func TestGateIsFinal(t *testing.T) {
	g := &gate{}
	g.body.Reset([]byte("x"))
	for range 2 {
		if !g.withhold() {
			t.Fatal("unread gate not withheld")
		}
	}
	if _, err := g.Read(make([]byte, 1)); !errors.Is(err, errWithheld) {
		t.Fatalf("read of a withheld gate: %v", err)
	}
	g = &gate{}
	g.body.Reset([]byte("x"))
	_, _ = g.Read(make([]byte, 1))
	if g.withhold() {
		t.Fatal("opened gate withheld")
	}
	if _, err := g.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("last read: %v", err)
	}
}

// Guards against a write after the connection was reported as unused, and against a
// failed write without effect that counts as one.
func TestConnSeal(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	server.Close()
	c := &conn{Conn: client}
	if _, err := c.Write([]byte("x")); err == nil {
		t.Fatal("write to a closed pipe succeeded")
	}
	if !c.sealUnused(0) {
		t.Fatal("a write without effect counts as use")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("write after the seal: %v", err)
	}
}
