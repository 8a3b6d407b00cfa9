// Package entry runs an entry host on the users' platform: it serves callers, speaks to
// workers, to the platform's store and to the other entry hosts, and leaves all decisions
// to the state machine in package host.
package entry

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/mesh"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// memoryShare is the part of the memory limit that the runtime may use. The rest is for
	// what the runtime does not see, such as received bytes.
	memoryShare = 0.6
	// gcPercent lets the heap grow more between collections than the default, since it is
	// small against the limit and collections delay calls.
	gcPercent = 200
	// queueFences bounds the tokens that wait while the store is away. The newest counts.
	queueFences = 64
	// headerTimeout and idleTimeout bound the connections of callers.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

// Host is a running entry host.
type Host struct {
	settings *Settings
	id       uint64
	logger   log.Logger
	writer   *logWriter
	loop     *loop
	workers  *workerCalls
	store    *platform.StoreClient
	conns    *http.Transport // to the store
	links    *mesh.Links
	ingress  *ingress
	servers  []*http.Server
	callers  *http.Server // one of servers
	mesh     *mesh.Server
	cancel   context.CancelFunc
	metrics  *metrics
	fences   chan int64 // tokens to announce
	logStop  chan struct{}
	drained  chan struct{}
	once     sync.Once
	reads    [2]atomic.Bool // whether the newest read of the configuration and the workers went well
}

// Start starts a host. Its log goes to out.
func Start(s *Settings, out io.Writer) (*Host, error) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory<<20) * memoryShare))
	}
	debug.SetGCPercent(gcPercent)
	h := &Host{settings: s, id: randomID(), metrics: newMetrics(), fences: make(chan int64, queueFences), writer: newLogWriter(s.Log.LinesPerSecond), logStop: make(chan struct{}), drained: make(chan struct{})}
	h.logger = newLogger(h.writer, s.Host)
	go h.writer.run(out, h.logStop)
	h.conns = newTransport(4, workerIdle)
	h.store = platform.NewStoreClient(s.Store, h.conns)
	h.links = mesh.NewLinks(peerIP(s))
	h.ingress = &ingress{host: h}
	h.loop = newLoop(h.newState(), h.logger, h)
	h.workers = newWorkerCalls(h.metrics, h.loop.send)
	_ = h.logger.Log("part", "entry", "msg", "started", "zone", s.Zone, "id", h.id)
	go h.loop.serve()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.follow(ctx)
	return h, nil
}

func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func peerIP(s *Settings) net.IP {
	ip, _, _ := net.SplitHostPort(s.Listen.Peers) // checked with the settings
	return net.ParseIP(ip)
}

func (h *Host) newState() *host.State {
	s := h.settings
	return host.New(host.Options{
		Self:       host.Self{Name: s.Host, Zone: s.Zone, Addr: s.Listen.peers(), ID: h.id, Weight: s.weight()},
		Zones:      s.Zones,
		Seeds:      s.Seeds,
		Decode:     host.Decoders{Config: platform.DecodeConfig, Worker: platform.DecodeWorker},
		Seed:       h.id,
		Started:    clock(),
		UnixMillis: time.Now().UnixMilli(),
	})
}

// listen opens the host's listeners.
func (h *Host) listen() error {
	peers, err := net.Listen("tcp4", h.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listening for other hosts")
	}
	h.mesh = mesh.NewServer(func(f *meshpb.Frame) { h.loop.send(host.FrameIn{Frame: f}) })
	go func() { _ = h.mesh.Serve(peers) }() // ends with Stop
	h.callers = newServer(h.ingress)
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{
		{h.settings.Listen.Callers, h.callers},
		{h.settings.Listen.Ready, newServer(http.HandlerFunc(h.ready))},
		{h.settings.Listen.Metrics, newServer(h.operators())},
	} {
		l, err := net.Listen("tcp4", s.addr)
		if err != nil {
			return errors.Wrap(err, "listening")
		}
		h.servers = append(h.servers, s.server)
		go func() { _ = s.server.Serve(l) }() // ends with the shutdown
	}
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// follow reads the store.
func (h *Host) follow(ctx context.Context) {
	go h.announce(ctx)
	for _, f := range []*follower{
		{topic: platform.TopicOperator, wait: configWait, pause: every(0), take: h.takeConfig, state: h.storeState(0)},
		{topic: platform.TopicWorkers, pause: h.workersPeriod, take: h.takeWorkers, state: h.storeState(1)},
		{topic: platform.TopicHosts, pause: every(hostsPause), take: h.takeHosts, state: func(bool) {}},
	} {
		f.store, f.conns, f.logger = h.store, h.conns, h.logger
		go f.run(ctx)
	}
}

// storeState returns a function that notes whether a read of the store went well. The store
// counts as reachable if both the configuration and the workers can be read.
func (h *Host) storeState(read int) func(bool) {
	return func(reachable bool) {
		h.reads[read].Store(reachable)
		h.loop.send(host.StoreState{Reachable: h.reads[0].Load() && h.reads[1].Load()})
	}
}

func (h *Host) startRun(e sched.StartRun)     { h.workers.start(e) }
func (h *Host) stopRun(e sched.StopRun)       { h.workers.stop(e) }
func (h *Host) holdWorker(e sched.HoldWorker) { h.workers.hold(e) }
func (h *Host) sendFrame(e host.SendFrame)    { h.links.Send(e.Addr, e.Frame) }
func (h *Host) announceFence(e host.Announce) {
	select {
	case h.fences <- e.Fence:
	default:
		_ = h.logger.Log("part", "store", "msg", "fencing token not announced", "fence", e.Fence)
	}
}
func (h *Host) redial(e host.Redial)          { h.links.Redial(e.Addr) }
func (h *Host) configInForce(c *fleet.Config) { h.ingress.routes.Store(newRoutes(c)) }

// logRequest logs a decision about a request that no job stands for.
func (h *Host) logRequest(r *http.Request, message string, fields ...any) {
	fields = append([]any{"part", "ingress", "msg", message, "request", platform.RequestID(r.Header)}, fields...)
	_ = h.logger.Log(fields...) // the writer never fails
}
