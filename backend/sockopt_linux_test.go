package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSocketOptions guards against connections without TCP keepalive and user timeout, which would stay
// open for hours after the peer has stopped responding.
func TestSocketOptions(t *testing.T) {
	c := newClient(t, Options{KeepAlive: 3 * time.Second, UserTimeout: 7 * time.Second})
	nc, err := c.dial(context.Background(), "tcp", newFakeMinion(t, runAndAnswer).address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	rc, err := nc.(*trackedConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	want := map[int]int{unix.TCP_USER_TIMEOUT: 7000, unix.TCP_KEEPIDLE: 3, unix.TCP_KEEPINTVL: 3, unix.TCP_KEEPCNT: keepAliveProbes}
	_ = rc.Control(func(fd uintptr) {
		for option, value := range want {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			if err != nil || got != value {
				t.Errorf("option %d: got %d, want %d (%v)", option, got, value, err)
			}
		}
	})
}
