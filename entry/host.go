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

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/mesh"
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
	storeTransport  *storeTransport
	links           *mesh.Links
	ingress         *ingress
	gates           []*gate // of all listeners
	callers         *gate   // also in gates
	requestLines    lineLimit
	servers         []*http.Server
	callerServer    *http.Server // also in servers
	mesh            *mesh.Server
	stopStoreAccess context.CancelFunc // ends reads and announcements
	metrics         *metrics
	highestFence    atomic.Int64  // fencing token to announce
	recordDue       chan struct{} // the record of this host is to be written again
	workersWanted   chan struct{} // the workers' entries are to be read at once
	hostsWanted     chan struct{} // the hosts' records are
	stopLog         chan struct{} // closed to end the log writer
	drained         chan struct{} // closed when the host has stopped
	stopOnce        sync.Once
	frameFailures   [2]atomic.Int64                 // frames that could not be encoded (0) or decoded (1)
	offeredVersion  atomic.Int64                    // newest configuration that was left to other hosts
	versionInForce  atomic.Int64                    // of the configuration
	decodedConfig   atomic.Pointer[host.ConfigRead] // decoded last
	lastReadOK      [2]atomic.Bool                  // whether the last read of the store succeeded: 0 configuration, 1 workers
}

// Start starts a host that writes its log to out. It sets the memory limit and the garbage
// collection of the whole process. It returns an error if a listener cannot be opened.
func Start(s *Settings, out io.Writer) (*Host, error) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory<<20) * memoryLimitFraction))
	}
	debug.SetGCPercent(gcPercent)
	h := &Host{settings: s, id: randomID(), metrics: newMetrics(), recordDue: make(chan struct{}, 1), workersWanted: make(chan struct{}, 1), hostsWanted: make(chan struct{}, 1), logOutput: newLogWriter(s.Log.LinesPerSecond), stopLog: make(chan struct{}), drained: make(chan struct{})}
	h.logger = newLogger(h.logOutput, s.Host)
	go h.logOutput.run(out, h.stopLog)
	h.storeTransport = newStoreTransport(s.linkBytesPerSecond())
	h.store = platform.NewStoreClient(s.Store, h.storeTransport)
	h.links = mesh.NewLinks(peerIP(s))
	h.links.ReportFailure = func(addr string, err error) { h.reportFrameFailure("out", addr, err) }
	h.ingress = &ingress{host: h}
	h.loop = newLoop(h.newState(), h.logger, h)
	h.loop.readsWorkers.Store(true)
	h.workers = newWorkerCaller(h.metrics, h.loop.callSender())
	h.loop.replaced = func() { h.workers = h.workers.withSender(h.loop.callSender()) }
	_ = h.logger.Log("part", "entry", "msg", "started", "zone", s.Zone, "id", h.id)
	b := s.timing()
	_ = h.logger.Log("part", "entry", "msg", "time limits", "resend_after", b.ResendAfter, "contact", b.ContactTimeout, "lease", b.Lease, "run_end", b.RunEnd, "longest_run", b.LongestRun())
	go h.loop.serve()
	ctx, cancel := context.WithCancel(context.Background())
	h.stopStoreAccess = cancel
	if err := h.listen(); err != nil {
		return nil, err
	}
	go h.sweepGates(ctx)
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
		CellWorkers:        s.CellWorkers,
		Placement:          sched.Policy{LookAhead: s.LookAhead, RemotePenalty: s.RemotePenalty},
		LinkBytesPerSecond: s.linkBytesPerSecond(),
		MemoryMB:           s.Memory,
		Seeds:              s.Seeds,
		Decode:             host.Decoders{Config: platform.DecodeConfig, Worker: platform.DecodeWorker},
		AwaitEvacuations:   true,
		CancelMemory:       s.StatusTime,
		Seed:               h.id,
		Started:            sinceBoot(),
		UnixMillis:         time.Now().UnixMilli(),
		Timing:             s.timing(),
	})
}

// listen opens the listeners and starts to serve them.
func (h *Host) listen() error {
	s := h.settings
	peers, err := h.openGate("peers", s.Listen.Peers, s.peerLimits(), 0)
	if err != nil {
		return err
	}
	if h.callers, err = h.openGate("callers", s.Listen.Callers, s.callerLimits(fleet.RequestLimits{}), receiveBufferBytes); err != nil {
		return err
	}
	ready, err := h.openGate("ready", s.Listen.Ready, s.operatorLimits(), receiveBufferBytes)
	if err != nil {
		return err
	}
	operators, err := h.openGate("metrics", s.Listen.Metrics, s.operatorLimits(), receiveBufferBytes)
	if err != nil {
		return err
	}
	peers.prepare = setUnackedTimeout
	h.mesh = h.newMeshServer(peers)
	go func() { _ = h.mesh.Serve(peers) }() // returns after Stop
	h.callerServer = h.serveHTTP(h.callers, h.ingress)
	h.serveHTTP(ready, phases(http.HandlerFunc(h.serveReady)))
	h.serveHTTP(operators, phases(h.operatorHandler()))
	return nil
}

// startStoreAccess starts the goroutines that read the store and announce this host there.
func (h *Host) startStoreAccess(ctx context.Context) {
	go h.announceHost(ctx)
	for _, f := range []*topicReader{
		{topic: platform.TopicOperator, options: h.operatorReadOptions(), handle: h.handleOperatorRecords, reportRead: h.storeReadReporter(0)},
		{topic: platform.TopicWorkers, interval: workersReadInterval, wake: h.workersWanted, wanted: h.loop.readsWorkers.Load, handle: h.handleWorkerRecords, reportRead: h.storeReadReporter(1)},
		{topic: platform.TopicHosts, interval: hostsReadInterval, wake: h.hostsWanted, handlesNone: true, handle: h.handleHostRecords, reportRead: func(bool) {}},
	} {
		f.store, f.storeTransport, f.logger = h.store, h.storeTransport, h.logger
		go f.run(ctx)
	}
}

// operatorReadOptions returns how the configuration and the requests to evacuate zones are read.
func (h *Host) operatorReadOptions() platform.ReadOptions {
	return platform.ReadOptions{Wait: configLongPoll, LargeBytes: largeBytes(h.settings.linkBytesPerSecond()), Wanted: h.wantsRecord}
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

// announceFence makes announceHost write a fencing token. Only the highest one matters, so a later token
// takes the place of one that waits because the store is unreachable.
func (h *Host) announceFence(e host.AnnounceFence) {
	h.highestFence.Store(max(h.highestFence.Load(), e.Fence))
	h.signHost()
}

// signHost makes announceHost write the host's record again.
func (h *Host) signHost() { wish(h.recordDue) }

// wish asks the reader of a channel with room for one value for something. A wish that is not read yet covers
// the new one.
func wish(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// readWorkers ends the pause before the next read of the workers' entries. A read that is under way is
// followed by another one at once.
func (h *Host) readWorkers() { wish(h.workersWanted) }

// readHosts does the same for the hosts' records.
func (h *Host) readHosts() { wish(h.hostsWanted) }

func (h *Host) redial(e host.Redial)       { h.links.CloseLink(e.Addr) } // the next frame opens a new one
func (h *Host) closeLink(e host.CloseLink) { h.links.CloseLink(e.Addr) }

// useConfig applies the routes and the limits of a configuration.
func (h *Host) useConfig(c *fleet.Config) {
	h.versionInForce.Store(c.Version)
	h.ingress.routes.Store(newRouteTable(c))
	h.useLimits(c.Limits)
}

// logRequest logs a decision about a request that has not become a job. A crowd of such requests leaves
// room in the log for other lines.
func (h *Host) logRequest(r *http.Request, message string, fields ...any) {
	if !h.requestLines.allow(time.Now(), max(1, h.settings.Log.LinesPerSecond/requestLinesDivisor)) {
		h.logOutput.leaveOut()
		return
	}
	fields = append([]any{"part", "ingress", "msg", message, "request", platform.RequestID(r.Header)}, fields...)
	_ = h.logger.Log(fields...) // logWriter.Write never returns an error
}
