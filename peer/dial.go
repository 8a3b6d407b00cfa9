package peer

import (
	"context"
	"net"
)

// dial opens a TCP connection whose bytes count as traffic. It connects from sourceIP if the
// peer can be reached from there.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := new(net.Dialer)
	if c.sourceIP != nil && canReach(c.sourceIP, specificIP(address)) {
		dialer.LocalAddr = &net.TCPAddr{IP: c.sourceIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.traffic.wire.Wrap(conn), nil
}

// specificIP returns the IP of an IP:port, or nil if the address has a host name, an unspecified IP or
// no valid form.
func specificIP(address string) net.IP {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || ip.IsUnspecified() {
		return nil
	}
	return ip
}

// canReach reports whether a connection from one IP to the other can be opened. Both must be of
// one address family, and loopback IPs reach only each other.
func canReach(from, to net.IP) bool {
	sameFamily := (from.To4() == nil) == (to.To4() == nil)
	return to != nil && sameFamily && from.IsLoopback() == to.IsLoopback()
}
