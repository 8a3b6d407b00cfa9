// Package peer carries messages between entry hosts over gRPC. It uses none of gRPC's
// discovery, balancing or retry features: addresses come from the membership reducer,
// and each call is safe to repeat because tickets make submissions idempotent.
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
	// keepaliveTime and keepaliveTimeout find connections that went silent.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	maxBackoff       = time.Second
	// windowBytes is the flow-control window of a stream and of a connection. A fixed one
	// saves the pings by which gRPC estimates a window, two for each gossip call, and lets
	// 1 MiB pass in a round trip of 1 ms.
	windowBytes = 1 << 20
	// MaxMessageBytes bounds a message between hosts.
	MaxMessageBytes = 64 << 20
)

// Client holds one connection to each peer. It is safe for concurrent use.
type Client struct {
	creds   credentials.TransportCredentials
	traffic *Traffic
	source  net.IP // of connections; nil leaves the choice to the system
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn // by address
}

// NewClient returns a Client that adds to the traffic. Nil credentials mean plain TCP.
// Connections come from the IP of listen, IP:port, if it names one, so that the rules of
// a network between hosts need only one IP for each host.
func NewClient(creds credentials.TransportCredentials, traffic *Traffic, listen string) *Client {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Client{creds: creds, traffic: traffic, source: specificIP(listen), conns: make(map[string]*grpc.ClientConn)}
}

// Peer returns the stub for the peer at an address.
func (c *Client) Peer(address string) (peerpb.PeerClient, error) {
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
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to peer %s", address)
	}
	c.conns[address] = conn
	return peerpb.NewPeerClient(conn), nil
}

// Forward sends a request about a ticket to a peer.
func (c *Client) Forward(ctx context.Context, address string, req *peerpb.ForwardRequest, opts ...grpc.CallOption) (*peerpb.ForwardReply, error) {
	stub, err := c.Peer(address)
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

// NewServer returns a gRPC server with the limits that clients rely on, which adds to the
// traffic. Nil credentials mean plain TCP.
func NewServer(creds credentials.TransportCredentials, traffic *Traffic) *grpc.Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.StatsHandler(statsHandler{traffic}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)
}
