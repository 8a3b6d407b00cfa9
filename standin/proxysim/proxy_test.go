package proxysim

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startEcho starts a target that echoes every connection.
func startEcho(t *testing.T) string {
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

func startProxy(t *testing.T) *Proxy {
	t.Helper()
	p := New(Config{Routes: []RouteConfig{{Name: "a", Target: startEcho(t)}}})
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Views()[0].Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func set(t *testing.T, p *Proxy, req FaultRequest) {
	t.Helper()
	if err := p.SetFault(req); err != nil {
		t.Fatal(err)
	}
}

// echo writes text and reads its echo within the limit.
func echo(c net.Conn, text string, limit time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
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

// Guards against a delay that is applied per chunk in sequence, which would throttle
// instead of delay, and against lost data and half-closed connections.
func TestDelayKeepsDataAndThroughput(t *testing.T) {
	p := startProxy(t)
	delay := 50
	set(t, p, FaultRequest{Route: "*", DelayMS: &delay})
	c := dial(t, p)
	text := strings.Repeat("x", 60*chunkSize)
	began := time.Now()
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	_ = c.SetDeadline(began.Add(10 * time.Second))
	got, err := io.ReadAll(c)
	took := time.Since(began)
	if err != nil || len(got) != len(text) {
		t.Fatalf("%d of %d bytes: %v", len(got), len(text), err)
	}
	if took < 100*time.Millisecond || took > 2*time.Second {
		t.Fatalf("two delays of 50 ms took %v", took)
	}
}

// Guards against a cut that lets connections through, hides the reset, or does not heal.
func TestCutResetsRefusesAndHeals(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	if err := echo(c, "x", time.Second); err != nil {
		t.Fatal(err)
	}
	on, off := true, false
	set(t, p, FaultRequest{Route: "a", Cut: &on})
	if err := echo(c, "x", time.Second); err == nil || isTimeout(err) {
		t.Errorf("open connection after the cut: %v", err)
	}
	if _, err := net.Dial("tcp", p.Views()[0].Listen); err == nil {
		t.Error("new connection was accepted during the cut")
	}
	set(t, p, FaultRequest{Route: "a", Cut: &off})
	if err := echo(dial(t, p), "x", time.Second); err != nil {
		t.Errorf("new connection after the cut: %v", err)
	}
}

// Guards against a black hole that ends, closes the connection, or hits new ones.
func TestBlackHoleSwallowsOpenConnectionsOnly(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	if err := echo(c, "x", time.Second); err != nil {
		t.Fatal(err)
	}
	set(t, p, FaultRequest{Route: "a", BlackHole: true})
	if err := echo(c, "x", 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("black-holed connection: %v", err)
	}
	if err := echo(dial(t, p), "x", time.Second); err != nil {
		t.Errorf("new connection: %v", err)
	}
	on := true
	set(t, p, FaultRequest{Route: "a", Cut: &on})
	if err := echo(c, "x", 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("black-holed connection after a cut: %v", err)
	}
}

// Guards against a hold that loses data, or that holds the other direction too.
func TestHoldKeepsDataBackOneWay(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	from, none := HoldFrom, HoldNone
	set(t, p, FaultRequest{Route: "a", Hold: &from})
	if err := echo(c, "x", 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("answer through a held direction: %v", err)
	}
	if got := p.Views()[0].BytesTo; got != 1 {
		t.Errorf("%d bytes reached the target, want 1", got)
	}
	set(t, p, FaultRequest{Route: "a", Hold: &none})
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Errorf("the byte that was held back: %v", err)
	}
}
