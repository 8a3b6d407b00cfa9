// Package entry runs the process of an entry host on the users' platform. It does the I/O: it
// serves callers and operators, calls workers, reads and writes the platform's store, exchanges
// frames with other entry hosts through package mesh, and writes logs and metrics. It also drains
// the host. Package host holds the state machine that makes all decisions, and package platform
// the names and formats of the platform's protocol.
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
	// memoryLimitFraction is the fraction of the host's memory that is set as the Go runtime's
	// limit. The rest is for memory that the runtime does not count, such as received bytes.
	memoryLimitFraction = 0.6
	// gcPercent is above the default of 100, so that there are fewer garbage collections. The
	// heap is small compared with the limit, and collections delay calls.
	gcPercent = 200
	// maxQueuedFences bounds the fencing tokens that wait to be announced while the store is
	// unreachable. Only the highest one matters.
	maxQueuedFences = 64
	// headerTimeout limits the time to read a request's header on every server, idleTimeout the
	// time that an unused connection stays open.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

// Host is a running entry host.
type Host struct {
	settings        *Settings
	id              uint64
	logger          log.Logger
	logOutput       *logWriter
	loop            *loop
	workers         *workerCaller
	store           *platform.StoreClient
	storeTransport  *http.Transport // connections to the store
	links           *mesh.Links
	ingress         *ingress
	servers         []*http.Server
	callerServer    *http.Server // also in servers
	mesh            *mesh.Server
	stopStoreAccess context.CancelFunc // ends reads and announcements
	metrics         *metrics
	queuedFences    chan int64    // fencing tokens to announce
	stopLog         chan struct{} // closed to end the log writer
	drained         chan struct{} // closed when the host has stopped
	stopOnce        sync.Once
	lastReadOK      [2]atomic.Bool // whether the last read of the store succeeded: 0 configuration, 1 workers
}

// Start starts a host that writes its log to out. It sets the memory limit and the garbage
// collection of the whole process. It returns an error if a listener cannot be opened.
func Start(s *Settings, out io.Writer) (*Host, error) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory<<20) * memoryLimitFraction))
	}
	debug.SetGCPercent(gcPercent)
	h := &Host{settings: s, id: randomID(), metrics: newMetrics(), queuedFences: make(chan int64, maxQueuedFences), logOutput: newLogWriter(s.Log.LinesPerSecond), stopLog: make(chan struct{}), drained: make(chan struct{})}
	h.logger = newLogger(h.logOutput, s.Host)
	go h.logOutput.run(out, h.stopLog)
	h.storeTransport = newTransport(4, workerIdleTimeout)
	h.store = platform.NewStoreClient(s.Store, h.storeTransport)
	h.links = mesh.NewLinks(peerIP(s))
	h.ingress = &ingress{host: h}
	h.loop = newLoop(h.newState(), h.logger, h)
	h.loop.readsWorkers.Store(true)
	h.workers = newWorkerCaller(h.metrics, h.loop.send)
	_ = h.logger.Log("part", "entry", "msg", "started", "zone", s.Zone, "id", h.id)
	go h.loop.serve()
	ctx, cancel := context.WithCancel(context.Background())
	h.stopStoreAccess = cancel
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.startStoreAccess(ctx)
	return h, nil
}

// randomID returns a random identity of the process that is not 0.
func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// peerIP returns the IP of the listener for other hosts. It is also the source address of the
// connections to them.
func peerIP(s *Settings) net.IP {
	ip, _, _ := net.SplitHostPort(s.Listen.Peers) // ParseSettings has checked the address
	return net.ParseIP(ip)
}

func (h *Host) newState() *host.State {
	s := h.settings
	return host.New(host.Options{
		Self:               host.Self{Name: s.Host, Zone: s.Zone, Addr: s.Listen.peerAddress(), ID: h.id, Weight: s.weight()},
		Zones:              s.Zones,
		LinkBytesPerSecond: s.linkBytesPerSecond(),
		MemoryMB:           s.Memory,
		Seeds:              s.Seeds,
		Decode:             host.Decoders{Config: platform.DecodeConfig, Worker: platform.DecodeWorker},
		Seed:               h.id,
		Started:            sinceBoot(),
		UnixMillis:         time.Now().UnixMilli(),
	})
}

// listen opens the listeners and starts to serve them.
func (h *Host) listen() error {
	peers, err := net.Listen("tcp4", h.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listening for other hosts")
	}
	h.mesh = mesh.NewServer(func(f *meshpb.Frame) { h.loop.send(host.FrameReceived{Frame: f}) })
	go func() { _ = h.mesh.Serve(peers) }() // returns after Stop
	h.callerServer = newServer(h.ingress)
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{
		{h.settings.Listen.Callers, h.callerServer},
		{h.settings.Listen.Ready, newServer(http.HandlerFunc(h.serveReady))},
		{h.settings.Listen.Metrics, newServer(h.operatorHandler())},
	} {
		l, err := net.Listen("tcp4", s.addr)
		if err != nil {
			return errors.Wrap(err, "listening")
		}
		h.servers = append(h.servers, s.server)
		go func() { _ = s.server.Serve(l) }() // returns after Shutdown or Close
	}
	return nil
}

// newServer returns an HTTP server with the time limits of this package.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// startStoreAccess starts the goroutines that read the store and announce this host there.
func (h *Host) startStoreAccess(ctx context.Context) {
	go h.announceHost(ctx)
	for _, f := range []*topicReader{
		{topic: platform.TopicOperator, longPoll: configLongPoll, handle: h.handleConfigRecords, reportRead: h.storeReadReporter(0)},
		{topic: platform.TopicWorkers, interval: workersReadInterval, wanted: h.loop.readsWorkers.Load, handle: h.handleWorkerRecords, reportRead: h.storeReadReporter(1)},
		{topic: platform.TopicHosts, interval: hostsReadInterval, handle: h.handleHostRecords, reportRead: func(bool) {}},
	} {
		f.store, f.storeTransport, f.logger = h.store, h.storeTransport, h.logger
		go f.run(ctx)
	}
}

// storeReadReporter returns a function that records whether a read of one kind succeeded, 0 for
// the configuration and 1 for the workers. It also tells the state machine whether the store is
// reachable: it is if the last reads of both kinds succeeded.
func (h *Host) storeReadReporter(kind int) func(bool) {
	return func(succeeded bool) {
		h.lastReadOK[kind].Store(succeeded)
		h.loop.send(host.StoreReachability{Reachable: h.lastReadOK[0].Load() && h.lastReadOK[1].Load()})
	}
}

func (h *Host) startRun(e sched.StartRun)     { h.workers.start(e) }
func (h *Host) stopRun(e sched.StopRun)       { h.workers.stop(e) }
func (h *Host) holdWorker(e sched.HoldWorker) { h.workers.hold(e) }
func (h *Host) sendFrame(e host.SendFrame)    { h.links.Send(e.Addr, e.Frame) }

// announceFence queues a fencing token for announceHost. It drops the token if the queue is full.
func (h *Host) announceFence(e host.AnnounceFence) {
	select {
	case h.queuedFences <- e.Fence:
	default:
		_ = h.logger.Log("part", "store", "msg", "fencing token not announced", "fence", e.Fence)
	}
}

func (h *Host) redial(e host.Redial)       { h.links.CloseLink(e.Addr) } // the next frame opens a new one
func (h *Host) closeLink(e host.CloseLink) { h.links.CloseLink(e.Addr) }
func (h *Host) useConfig(c *fleet.Config)  { h.ingress.routes.Store(newRouteTable(c)) }

// logRequest logs a decision about a request that has not become a job.
func (h *Host) logRequest(r *http.Request, message string, fields ...any) {
	fields = append([]any{"part", "ingress", "msg", message, "request", platform.RequestID(r.Header)}, fields...)
	_ = h.logger.Log(fields...) // logWriter.Write never returns an error
}
