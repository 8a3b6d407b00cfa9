package platformsim

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// hostMaintenanceInterval is the interval at which expired hosts are removed and the workers'
// registrations renewed.
const hostMaintenanceInterval = 100 * time.Millisecond

// Sim is a simulated platform.
type Sim struct {
	cfg           Config
	runID         uint64 // random; distinguishes the host list versions of this Sim from those of other runs
	log           *logStore
	appendLimiter *appendLimiter
	hosts         *hostList
	faults        map[Service]*faultState
	workers       *workerPool
	// requests counts the requests to the worker interface by path.
	requests requestCounts
	server   *simhttp.Server
	ctx      context.Context // ends at Stop
	cancel   context.CancelFunc
}

// New returns a Sim that has not been started.
func New(cfg Config) *Sim {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	faults := make(map[Service]*faultState, len(services))
	for n, service := range services {
		faults[service] = newFaultState(cfg.Seed, uint64(n))
	}
	return &Sim{
		cfg:           cfg,
		runID:         rand.Uint64(),
		log:           newLogStore(cfg.Retention),
		appendLimiter: newAppendLimiter(cfg.AppendRate, cfg.SyncTime),
		hosts:         newHostList(cfg.HostLag, cfg.HostTTL),
		faults:        faults,
		workers:       newWorkerPool(cfg.Workers, cfg.UsageLag),
		requests:      newRequestCounts(),
		ctx:           ctx,
		cancel:        cancel,
	}
}

// Start listens on the configured address and starts serving. It returns an error if the address
// cannot be bound or is not a loopback address.
func (s *Sim) Start() error {
	ln, err := simhttp.Listen(s.cfg.Address)
	if err != nil {
		return err
	}
	s.server = simhttp.Serve(ln, s.routes())
	s.renewWorkers(time.Now())
	go s.maintainHostList()
	go s.workers.run(s.ctx)
	return nil
}

// Stop closes the listener and all connections. Appends that are still queued are dropped.
func (s *Sim) Stop() {
	s.cancel()
	if s.server != nil {
		s.server.Close()
	}
}

// Addr returns the IP:port on which a started Sim listens.
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
	s.registerWorkerRoutes(handle)
	mux.HandleFunc("GET "+pathTasksAdmin, s.serveTaskTotals)
	mux.HandleFunc("POST "+pathWorkersAdmin, s.serveWorkerFault)
	mux.HandleFunc("GET /admin/faults", s.serveFaults)
	mux.HandleFunc("POST /admin/faults", s.serveSetFaults)
	return mux
}

// maintainHostList maintains the host list until the Sim stops.
func (s *Sim) maintainHostList() {
	ticker := time.NewTicker(hostMaintenanceInterval)
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

// renewWorkers renews the registration of the workers in the host list. Workers are reached through the
// platform, so they are listed with its address.
func (s *Sim) renewWorkers(now time.Time) {
	for _, host := range s.cfg.Workers {
		host.Address = s.Addr()
		s.hosts.register(now, host)
	}
}
