// Package daemon is the shell around the reducer: listeners, timers, and the goroutines
// that run effects and turn their results into events. It decides nothing about jobs.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"expvar"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/grpc"

	"sesameledge.dev/sesameledge/backend"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/peer"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/ticket"
	"sesameledge.dev/sesameledge/worker"
)

// Version is the version of this build.
const Version = "0.1.0"

// Daemon is one entry-host process.
type Daemon struct {
	settings    *settings.Settings
	incarnation ticket.Incarnation
	logs        *logs
	loop        *loop
	backend     *backend.Client
	platform    *logapi.Client
	workers     *worker.Runner
	peers       *peer.Client
	ctx         context.Context
	cancel      context.CancelFunc
	draining    atomic.Bool
	drainOnce   sync.Once
	refusing    atomic.Bool // new work is refused
	drained     chan struct{}
	callerConns connStates
	followers   sync.WaitGroup

	callers    *http.Server
	operators  *http.Server
	peerServer *grpc.Server
	peerListen heldListener

	callerListen net.Listener
	metrics      *expvar.Map
	gossip       *gossipReplies
	traffic      *trafficRate
	tls          sides
	listeners    listeners

	publications publications
	configLog    *streamFollower
	configPulls  chan string   // hosts that showed a higher revision
	latest       atomic.Uint64 // latest accepted revision
	claimsLog    *streamFollower
	claimQueue   chan claim.Claim
}

// New returns a daemon that is not listening yet. Logs go to w.
func New(s *settings.Settings, w io.Writer) (*Daemon, error) {
	return newKnowing(config.Schema, s, w)
}

// newKnowing returns a daemon that applies configuration of schema versions up to newest.
func newKnowing(newest int, s *settings.Settings, w io.Writer) (*Daemon, error) {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "drawing the incarnation")
	}
	inc := ticket.Incarnation(binary.LittleEndian.Uint64(seed[:8]))
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:    s,
		incarnation: inc,
		logs:        newLogs(w, s.Log.Format, s.Log.Level),
		platform:    logapi.NewClient(s.Platform.URL, s.Platform.Timeout),
		ctx:         ctx,
		cancel:      cancel,
		drained:     make(chan struct{}),
		gossip:      newGossipReplies(),
	}
	var err error
	if d.tls, err = newSides(s.TLS, d.logs.daemon); err != nil {
		cancel()
		return nil, err
	}
	d.logs.redirectStandardLog()
	d.listeners = newListeners(d.logs)
	d.loop = newLoop(core.New(core.Options{
		Host:        s.Host,
		Incarnation: inc,
		Zone:        s.Zone,
		Seed:        binary.LittleEndian.Uint64(seed[8:]),
		Member:      memberOptions(s),

		ConfigSchema: newest,
	}))
	d.loop.run = d.runEffect
	d.newClients()
	d.configLog = d.newConfigLog()
	d.configPulls = make(chan string, 1)
	d.claimsLog = d.newClaimsLog()
	d.claimQueue = make(chan claim.Claim, claimQueue)
	d.metrics = d.newMetrics()
	return d, nil
}

// newClients makes the clients of peers, minions and workers.
func (d *Daemon) newClients() {
	s := d.settings
	traffic := new(peer.Traffic)
	d.traffic = &trafficRate{counters: traffic}
	d.peers = peer.NewClient(newPeerCredentials(d.tls.peers, d.listeners.peers), traffic, s.Listen.Peers)
	d.backend = backend.New(backend.Options{
		ConnsPerMinion: s.Backend.Connections,
		DialTimeout:    s.Backend.DialTimeout,
		IdleTimeout:    s.Backend.IdleTimeout,
		ProveIdleAfter: s.Backend.ProveIdleAfter,
	})
	d.workers = worker.New(worker.Options{
		Platform:     d.platform,
		Incarnation:  d.incarnation.String(),
		Report:       func(ev dispatch.AttemptEnded) { d.loop.send(ev) },
		ReportUsage:  func(ev dispatch.UsageReported) { d.loop.send(ev) },
		LeaseTTL:     s.Workers.LeaseTTL,
		ResultGather: s.Workers.ResultGather,
	})
}

// Start opens the listeners and starts serving. On error everything is closed again.
func (d *Daemon) Start() error {
	listen := d.settings.Listen
	listeners, err := listenAll(listen.Callers, listen.Peers, listen.Operators)
	if err != nil {
		return err
	}
	if d.peerListen, err = holdListener(listeners[1]); err != nil {
		return err
	}
	d.callers = &http.Server{Handler: d.closeWhileDraining(d.callersMux()), ConnState: d.callerConns.note, ReadHeaderTimeout: headerTimeout, ErrorLog: d.listeners.callers.errorLog()}
	d.operators = &http.Server{Handler: d.operatorsMux(), ReadHeaderTimeout: headerTimeout, ErrorLog: d.listeners.operators.errorLog()}
	d.peerServer = peer.NewServer(newPeerCredentials(d.tls.peers, d.listeners.peers), d.traffic.counters)
	peerpb.RegisterPeerServer(d.peerServer, &peerServer{d: d})
	go d.loop.serve()
	d.callerListen = listeners[0]
	go func() { _ = serveHTTP(d.callers, d.callerListen, d.tls.callers) }()
	go func() { _ = d.peerServer.Serve(d.traffic.counters.Listener(d.peerListen)) }()
	go func() { _ = serveHTTP(d.operators, listeners[2], d.tls.operators) }()
	for _, f := range []func(context.Context){
		d.configLog.follow, d.pullConfig, d.claimsLog.follow, d.commitClaims,
		d.followHosts, d.renewRegistration, d.traffic.follow, d.workers.Run,
	} {
		d.follow(f)
	}
	level.Info(d.logs.daemon).Log("msg", "started", "host", d.settings.Host, "zone", d.settings.Zone,
		"incarnation", d.incarnation, "callers", listen.Callers, "peers", listen.Peers, "operators", listen.Operators)
	return nil
}

// listenTCP listens without multipath TCP, whose sockets take no filter; see ignoreOpening.
func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// listenAll opens a listener for each address, or none.
func listenAll(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, addr := range addresses {
		l, err := listenTCP(addr)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, errors.Wrapf(err, "listening on %s", addr)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

const (
	headerTimeout = 10 * time.Second
	// registerEvery is the pause between renewals in the platform's host list.
	registerEvery = time.Second
)

func (d *Daemon) follow(f func(context.Context)) {
	d.followers.Add(1)
	go func() {
		defer d.followers.Done()
		f(d.ctx)
	}()
}

// renewRegistration keeps this host in the platform's list.
func (d *Daemon) renewRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		state := logapi.HostLive
		if d.draining.Load() {
			state = logapi.HostLeaving
		}
		err := d.platform.Register(ctx, logapi.Host{
			ID:       d.settings.Host,
			Kind:     logapi.KindEntry,
			Address:  d.settings.Listen.PeerAddress(),
			Identity: d.incarnation.String(),
			Zone:     d.settings.Zone,
			State:    state,
		})
		if err != nil {
			level.Debug(d.logs.platform).Log("msg", "registration was not renewed", "err", err)
		}
		pause.For(ctx, registerEvery)
	}
}

// ready reports whether the load balancer should send callers here.
func (d *Daemon) ready() bool {
	if d.draining.Load() {
		return false
	}
	ok := false
	d.loop.query(func(_ time.Duration, s *core.State) {
		ok = s.Config.InForce() > 0 && s.Dispatch.Endpoints() > 0
	})
	return ok
}
