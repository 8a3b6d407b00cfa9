package peer

import (
	"context"
	"net"
	"testing"
)

// TestSourceAddress guards against connections to peers that leave from an IP other than the one
// that the host listens on, and against the use of a source IP from which the peer cannot be
// reached.
func TestSourceAddress(t *testing.T) {
	for _, test := range []struct{ listen, peer, want string }{
		{"127.0.0.9:0", "127.0.0.1:0", "127.0.0.9"},
		{"0.0.0.0:0", "127.0.0.1:0", "127.0.0.1"},
		{"192.0.2.1:0", "127.0.0.1:0", "127.0.0.1"},
		{"[::1]:0", "127.0.0.1:0", "127.0.0.1"},
	} {
		l, err := net.Listen("tcp", test.peer)
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient(nil, new(Traffic), test.listen)
		conn, err := c.dial(context.Background(), l.Addr().String())
		if err != nil {
			t.Errorf("listening on %s: %v", test.listen, err)
			continue
		}
		if got := conn.LocalAddr().(*net.TCPAddr).IP.String(); got != test.want {
			t.Errorf("listening on %s: connected from %s, want %s", test.listen, got, test.want)
		}
		_ = conn.Close()
		_ = l.Close()
	}
}
