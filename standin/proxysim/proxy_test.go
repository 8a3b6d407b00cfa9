package proxysim

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startEchoServer starts a TCP server that returns all data it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// startProxy starts a proxy with one route, named a, to an echo server.
func startProxy(t *testing.T) *Proxy {
	t.Helper()
	p := New(Config{Routes: []RouteConfig{{Name: "a", Target: startEchoServer(t)}}})
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// dial opens a connection to the first route of the proxy.
func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Views()[0].Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func setFault(t *testing.T, p *Proxy, req FaultRequest) {
	t.Helper()
	if err := p.SetFault(req); err != nil {
		t.Fatal(err)
	}
}

// roundTrip writes the text and reads as many bytes back. Both must complete within the timeout.
func roundTrip(c net.Conn, text string, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// Guards against delaying the chunks one after the other, which would limit the throughput instead
// of only adding latency. Also guards against lost data and against an end of stream that is not
// forwarded.
func TestDelayKeepsDataAndThroughput(t *testing.T) {
	p := startProxy(t)
	delay := 50
	setFault(t, p, FaultRequest{Route: "*", DelayMS: &delay})
	c := dial(t, p)
	text := strings.Repeat("x", 60*chunkSize)
	start := time.Now()
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	_ = c.SetDeadline(start.Add(10 * time.Second))
	got, err := io.ReadAll(c)
	elapsed := time.Since(start)
	if err != nil || len(got) != len(text) {
		t.Fatalf("%d of %d bytes: %v", len(got), len(text), err)
	}
	if elapsed < 100*time.Millisecond || elapsed > 2*time.Second {
		t.Fatalf("two delays of 50 ms took %v", elapsed)
	}
}

// Guards against a cut that accepts new connections, does not reset open ones, or cannot be ended.
func TestCutResetsAndRefusesConnectionsUntilReopened(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	if err := roundTrip(c, "x", time.Second); err != nil {
		t.Fatal(err)
	}
	on, off := true, false
	setFault(t, p, FaultRequest{Route: "a", Cut: &on})
	if err := roundTrip(c, "x", time.Second); err == nil || isTimeout(err) {
		t.Errorf("open connection after the cut: %v", err)
	}
	if _, err := net.Dial("tcp", p.Views()[0].Listen); err == nil {
		t.Error("new connection was accepted during the cut")
	}
	setFault(t, p, FaultRequest{Route: "a", Cut: &off})
	if err := roundTrip(dial(t, p), "x", time.Second); err != nil {
		t.Errorf("new connection after the cut: %v", err)
	}
}

// Guards against a black hole that delivers data again, closes the connection, or affects
// connections opened later.
func TestBlackHoleAffectsOpenConnectionsOnly(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	if err := roundTrip(c, "x", time.Second); err != nil {
		t.Fatal(err)
	}
	setFault(t, p, FaultRequest{Route: "a", BlackHole: true})
	if err := roundTrip(c, "x", 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("black-holed connection: %v", err)
	}
	if err := roundTrip(dial(t, p), "x", time.Second); err != nil {
		t.Errorf("new connection: %v", err)
	}
	on := true
	setFault(t, p, FaultRequest{Route: "a", Cut: &on})
	if err := roundTrip(c, "x", 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("black-holed connection after a cut: %v", err)
	}
}

// Guards against a hold that loses data or also holds the other direction.
func TestHoldDelaysOneDirectionWithoutLoss(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	from, none := HoldFromTarget, HoldNone
	setFault(t, p, FaultRequest{Route: "a", Hold: &from})
	if err := roundTrip(c, "x", 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("answer through a held direction: %v", err)
	}
	if got := p.Views()[0].BytesToTarget; got != 1 {
		t.Errorf("%d bytes reached the target, want 1", got)
	}
	setFault(t, p, FaultRequest{Route: "a", Hold: &none})
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Errorf("the byte that was held back: %v", err)
	}
}
