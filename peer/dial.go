package peer

import (
	"context"
	"net"
)

// dial opens a connection that counts as traffic between hosts.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := new(net.Dialer)
	if c.source != nil && canReach(c.source, specificIP(address)) {
		dialer.LocalAddr = &net.TCPAddr{IP: c.source}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.traffic.wire.Wrap(conn), nil
}

// specificIP returns the IP of an IP:port, or nil if it names no single IP.
func specificIP(address string) net.IP {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || ip.IsUnspecified() {
		return nil
	}
	return ip
}

// canReach reports whether a connection from one IP to the other can be opened: both are
// of one address family, and from a loopback IP only loopback is reached.
func canReach(from, to net.IP) bool {
	sameFamily := (from.To4() == nil) == (to.To4() == nil)
	return to != nil && sameFamily && from.IsLoopback() == to.IsLoopback()
}
