// Package daemon runs the process of an entry host. It owns all I/O around the state machine in
// package core: it opens the listeners, runs the timers, carries out the state machine's effects and
// feeds their results back as events. All decisions about jobs are left to core; gRPC between hosts is
// in package peer.
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

// Daemon is one process of an entry host.
type Daemon struct {
	settings        *settings.Settings
	incarnation     ticket.Incarnation
	logs            *logs
	loop            *eventLoop
	backend         *backend.Client
	platform        *logapi.Client
	workers         *worker.Runner
	peers           *peer.Client
	ctx             context.Context
	cancel          context.CancelFunc
	draining        atomic.Bool
	drainOnce       sync.Once
	refusingNewWork atomic.Bool // new work is refused
	drained         chan struct{}
	callerConns     connStates
	background      sync.WaitGroup

	callers      *http.Server
	operators    *http.Server
	peerServer   *grpc.Server
	peerListener boundListener

	callerListener net.Listener
	metrics        *expvar.Map
	pendingGossip  *pendingGossipCalls
	traffic        *trafficSampler
	tlsKeys        tlsKeySources
	listenerErrors listenerErrorLogs

	outcomeWaiters outcomeWaiters
	configFollower *streamFollower
	aheadPeers     chan string   // hosts that showed a higher revision
	latestAccepted atomic.Uint64 // latest accepted revision
	claimsFollower *streamFollower
	claimQueue     chan claim.Claim
}

// New returns a daemon that is not listening yet and logs to w. It returns an error if the TLS files
// cannot be read.
func New(s *settings.Settings, w io.Writer) (*Daemon, error) {
	return newWithConfigSchema(config.Schema, s, w)
}

// newWithConfigSchema is New for a build that applies configuration of schema versions up to
// newestSchema.
func newWithConfigSchema(newestSchema int, s *settings.Settings, w io.Writer) (*Daemon, error) {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "drawing the incarnation")
	}
	inc := ticket.Incarnation(binary.LittleEndian.Uint64(seed[:8]))
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:      s,
		incarnation:   inc,
		logs:          newLogs(w, s.Log.Format, s.Log.Level),
		platform:      logapi.NewClient(s.Platform.URL, s.Platform.Timeout),
		ctx:           ctx,
		cancel:        cancel,
		drained:       make(chan struct{}),
		pendingGossip: newPendingGossipCalls(),
	}
	var err error
	if d.tlsKeys, err = newTLSKeySources(s.TLS, d.logs.daemon); err != nil {
		cancel()
		return nil, err
	}
	d.logs.redirectStandardLog()
	d.listenerErrors = newListenerErrorLogs(d.logs)
	d.loop = newEventLoop(core.New(core.Options{
		Host:        s.Host,
		Incarnation: inc,
		Zone:        s.Zone,
		Seed:        binary.LittleEndian.Uint64(seed[8:]),
		Member:      memberOptions(s),

		ConfigSchema: newestSchema,
	}))
	d.loop.runEffect = d.runEffect
	d.newClients()
	d.configFollower = d.newConfigFollower()
	d.aheadPeers = make(chan string, 1)
	d.claimsFollower = d.newClaimsFollower()
	d.claimQueue = make(chan claim.Claim, claimQueueCapacity)
	d.metrics = d.newMetrics()
	return d, nil
}

// newClients creates the clients for peers, minions and workers.
func (d *Daemon) newClients() {
	s := d.settings
	traffic := new(peer.Traffic)
	d.traffic = &trafficSampler{counters: traffic}
	d.peers = peer.NewClient(newPeerCredentials(d.tlsKeys.peers, d.listenerErrors.peers), traffic, s.Listen.Peers)
	d.backend = backend.New(backend.Options{
		ConnsPerMinion:          s.Backend.ConnsPerMinion,
		DialTimeout:             s.Backend.DialTimeout,
		IdleTimeout:             s.Backend.IdleTimeout,
		ExpectContinueAfterIdle: s.Backend.ProveIdleAfter,
	})
	d.workers = worker.New(worker.Options{
		Platform:           d.platform,
		Incarnation:        d.incarnation.String(),
		Report:             func(ev dispatch.AttemptEnded) { d.loop.send(ev) },
		ReportUsage:        func(ev dispatch.UsageReported) { d.loop.send(ev) },
		LeaseTTL:           s.Workers.LeaseTTL,
		ResultReadInterval: s.Workers.ResultReadInterval,
	})
}

// Start opens the listeners and starts serving. If an address cannot be bound, it returns an error and
// leaves no listener open.
func (d *Daemon) Start() error {
	listen := d.settings.Listen
	listeners, err := listenAll(listen.Callers, listen.Peers, listen.Operators)
	if err != nil {
		return err
	}
	if d.peerListener, err = newBoundListener(listeners[1]); err != nil {
		return err
	}
	d.callers = &http.Server{Handler: d.closeConnsWhileDraining(d.newCallersMux()), ConnState: d.callerConns.setState, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: d.listenerErrors.callers.errorLog()}
	d.operators = &http.Server{Handler: d.newOperatorsMux(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: d.listenerErrors.operators.errorLog()}
	d.peerServer = peer.NewServer(newPeerCredentials(d.tlsKeys.peers, d.listenerErrors.peers), d.traffic.counters)
	peerpb.RegisterPeerServer(d.peerServer, &peerServer{daemon: d})
	go d.loop.run()
	d.callerListener = listeners[0]
	go func() { _ = serveHTTP(d.callers, d.callerListener, d.tlsKeys.callers) }()
	go func() { _ = d.peerServer.Serve(d.traffic.counters.Listener(d.peerListener)) }()
	go func() { _ = serveHTTP(d.operators, listeners[2], d.tlsKeys.operators) }()
	for _, f := range []func(context.Context){
		d.configFollower.follow, d.pullConfig, d.claimsFollower.follow, d.appendClaimBatches,
		d.followHosts, d.renewRegistration, d.traffic.run, d.workers.Run,
	} {
		d.runInBackground(f)
	}
	level.Info(d.logs.daemon).Log("msg", "started", "host", d.settings.Host, "zone", d.settings.Zone,
		"incarnation", d.incarnation, "callers", listen.Callers, "peers", listen.Peers, "operators", listen.Operators)
	return nil
}

// listenTCP opens a TCP listener without multipath TCP, whose sockets accept no filter (see
// dropNewConnections).
func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// listenAll opens a listener for each address. If one fails, it closes the others and returns the
// error.
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
	readHeaderTimeout = 10 * time.Second
	// registrationInterval is the pause between renewals of this host's entry in the platform's host
	// list.
	registrationInterval = time.Second
)

func (d *Daemon) runInBackground(f func(context.Context)) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		f(d.ctx)
	}()
}

// renewRegistration renews this host's entry in the platform's host list until the context ends.
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
		pause.For(ctx, registrationInterval)
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
