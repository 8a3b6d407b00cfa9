package platformsim

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// sweepInterval is how often hosts that stopped renewing are removed.
const sweepInterval = 100 * time.Millisecond

// Sim is one stand-in of the platform.
type Sim struct {
	cfg     Config
	run     uint64 // tells the list versions of this run from those of others
	log     *logStore
	sync    *syncer
	hosts   *hostList
	faults  map[Service]*faultSwitch
	workers *workerPool
	// messages counts the requests to the worker interface.
	messages messageCounts
	server   *simhttp.Server
	ctx      context.Context // ends at Stop
	cancel   context.CancelFunc
}

// New returns a Sim that is not started.
func New(cfg Config) *Sim {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	faults := make(map[Service]*faultSwitch, len(services))
	for n, service := range services {
		faults[service] = newFaultSwitch(cfg.Seed, uint64(n))
	}
	return &Sim{
		cfg:      cfg,
		run:      rand.Uint64(),
		log:      newLogStore(cfg.Retention),
		sync:     newSyncer(cfg.AppendRate, cfg.SyncTime),
		hosts:    newHostList(cfg.HostLag, cfg.HostTTL),
		faults:   faults,
		workers:  newWorkerPool(cfg.Workers, cfg.UsageLag),
		messages: newMessageCounts(),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Start listens and serves. It fails if the address cannot be bound or is not a
// loopback address.
func (s *Sim) Start() error {
	ln, err := simhttp.Listen(s.cfg.Address)
	if err != nil {
		return err
	}
	s.server = simhttp.Serve(ln, s.routes())
	s.renewWorkers(time.Now())
	go s.sweep()
	go s.workers.run(s.ctx)
	return nil
}

// Stop closes the listener and all connections. Queued appends are dropped.
func (s *Sim) Stop() {
	s.cancel()
	if s.server != nil {
		s.server.Close()
	}
}

// Addr returns the IP:port that a started Sim listens on.
func (s *Sim) Addr() string { return s.server.Addr() }

// URL returns the base URL of a started Sim.
func (s *Sim) URL() string { return "http://" + s.Addr() }

func (s *Sim) routes() http.Handler {
	mux := http.NewServeMux()
	handle := func(service Service, pattern string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, s.withFaults(service, handler))
	}
	handle(ServiceLog, "POST "+logapi.PathRecords, s.serveAppend)
	handle(ServiceLog, "GET "+logapi.PathRecords, s.serveRead)
	handle(ServiceHosts, "GET "+logapi.PathHosts, s.serveHosts)
	handle(ServiceHosts, "POST "+logapi.PathHosts, s.serveRegister)
	handle(ServiceHosts, "POST "+logapi.PathHosts+"/{id}/state", s.serveHostState)
	s.workerRoutes(handle)
	mux.HandleFunc("GET "+pathTasksAdmin, s.serveTaskTotals)
	mux.HandleFunc("POST "+pathWorkersAdmin, s.serveWorkerFault)
	mux.HandleFunc("GET /admin/faults", s.serveFaults)
	mux.HandleFunc("POST /admin/faults", s.serveSetFaults)
	return mux
}

func (s *Sim) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.renewWorkers(now)
			s.hosts.expire(now)
		}
	}
}

// renewWorkers keeps the workers in the host list. They are reached through the
// platform, so its address is theirs.
func (s *Sim) renewWorkers(now time.Time) {
	for _, host := range s.cfg.Workers {
		host.Address = s.Addr()
		s.hosts.register(now, host)
	}
}
