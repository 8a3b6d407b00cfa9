// Package peer carries messages between entry hosts over gRPC: forwarded requests, gossip,
// configuration and answers that are handed over. It holds one client connection to each peer,
// limits message sizes and counts the traffic. Package daemon decides what is sent and serves
// the requests. gRPC's discovery, load balancing and retries are not used: addresses come from
// the membership state machine (package member), and the caller may repeat every call, because
// tickets make submissions idempotent.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"sesameledge.dev/sesameledge/peer/peerpb"
)

const (
	// keepaliveTime and keepaliveTimeout detect connections that have gone silent.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	maxBackoff       = time.Second
	// flowWindowBytes is the flow-control window of each stream and each connection. A fixed
	// window avoids the pings by which gRPC estimates one (two for each gossip call), and lets
	// 1 MiB pass within a round trip of 1 ms.
	flowWindowBytes = 1 << 20
	// MaxMessageBytes is the largest encoded message between hosts.
	MaxMessageBytes = 64 << 20
)

// Client holds one connection to each peer. It is safe for concurrent use.
type Client struct {
	creds    credentials.TransportCredentials
	traffic  *Traffic
	sourceIP net.IP // of outgoing connections; nil lets the system choose
	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn // by address
}

// NewClient returns a Client that counts its messages and bytes in traffic. Nil credentials
// mean plain TCP. listen is the IP:port that this host listens on. If it names a single IP,
// connections also leave from that IP, so that firewall rules between hosts need only one IP
// for each host.
func NewClient(creds credentials.TransportCredentials, traffic *Traffic, listen string) *Client {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Client{creds: creds, traffic: traffic, sourceIP: specificIP(listen), conns: make(map[string]*grpc.ClientConn)}
}

// Stub returns the gRPC stub of the peer at an address (IP:port). The connection is opened on
// first use; the error is that of creating the gRPC client.
func (c *Client) Stub(address string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return peerpb.NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithStatsHandler(statsHandler{c.traffic}),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, MaxDelay: maxBackoff},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithStaticStreamWindowSize(flowWindowBytes),
		grpc.WithStaticConnWindowSize(flowWindowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to peer %s", address)
	}
	c.conns[address] = conn
	return peerpb.NewPeerClient(conn), nil
}

// Forward sends a request about a ticket to the peer at an address (IP:port). Errors are those
// of Stub and the gRPC status of the call.
func (c *Client) Forward(ctx context.Context, address string, req *peerpb.ForwardRequest, opts ...grpc.CallOption) (*peerpb.ForwardReply, error) {
	stub, err := c.Stub(address)
	if err != nil {
		return nil, err
	}
	return stub.Forward(ctx, req, opts...)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}

// NewServer returns a gRPC server with limits that match those of Client. It counts its
// messages in traffic. Nil credentials mean plain TCP.
func NewServer(creds credentials.TransportCredentials, traffic *Traffic) *grpc.Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.StatsHandler(statsHandler{traffic}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(flowWindowBytes),
		grpc.StaticConnWindowSize(flowWindowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)
}
