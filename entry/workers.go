package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// startStopTimeout limits a call to start or stop a run. Workers answer within a few ms. If an
	// order stays unanswered, the run's resources stay reserved until the worker's list of runs
	// has shown what became of it.
	startStopTimeout = 80 * time.Millisecond
	// holdTimeout limits a hold call, not counting the long poll that it asks for. Together
	// they leave time for a second hold within the lease.
	holdTimeout = 100 * time.Millisecond
	// dialTimeout limits the time to open a TCP connection.
	dialTimeout = 300 * time.Millisecond
	// workerIdleTimeout is how long an unused connection to a worker is kept. Opening a new one
	// costs a round trip and is charged for.
	workerIdleTimeout = 60 * time.Second
	// maxIdleWorkerConns bounds the unused connections to one worker.
	maxIdleWorkerConns = 8
)

// workerCaller calls workers, each call in a goroutine of its own, and sends their answers to the
// event loop.
type workerCaller struct {
	client    *platform.WorkerClient
	transport *addressTransports
	metrics   *metrics
	send      func(any)
}

func newWorkerCaller(m *metrics, send func(any)) *workerCaller {
	transport := &addressTransports{transports: make(map[string]*http.Transport)}
	return &workerCaller{client: platform.NewWorkerClient(transport), transport: transport, metrics: m, send: send}
}

// start orders a worker to start a run.
func (c *workerCaller) start(e sched.StartRun) {
	sent := sinceBoot()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), startStopTimeout)
		defer cancel()
		reply := c.client.Start(ctx, e.Worker, e.Order)
		c.metrics.observe("worker.start", sinceBoot()-sent)
		c.closeIdleIfUnanswered(e.Worker, reply)
		c.send(host.WorkerEvent{Event: sched.StartReply{Worker: e.Worker.ID, Run: e.Order.Run, Reply: reply}})
	}()
}

// stop orders a worker to stop a run.
func (c *workerCaller) stop(e sched.StopRun) {
	sent := sinceBoot()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), startStopTimeout)
		defer cancel()
		reply := c.client.Stop(ctx, e.Worker, e.Order)
		c.metrics.observe("worker.stop", sinceBoot()-sent)
		c.closeIdleIfUnanswered(e.Worker, reply)
		c.send(host.WorkerEvent{Event: sched.StopReply{Worker: e.Worker.ID, Run: e.Order.Run, Reply: reply}})
	}()
}

// hold extends a worker's lease and asks for its runs.
func (c *workerCaller) hold(e sched.HoldWorker) {
	sent := sinceBoot()
	go func() {
		wait := time.Duration(e.Order.WaitMillis) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), wait+holdTimeout)
		defer cancel()
		reply := c.client.Hold(ctx, e.Worker, e.Order)
		c.closeIdleIfUnanswered(e.Worker, reply.Reply)
		c.send(host.WorkerEvent{Event: sched.HoldReply{Worker: e.Worker.ID, Seq: e.Seq, Sent: sent, Reply: reply}})
	}()
}

// closeIdleIfUnanswered closes the unused connections to a worker that did not answer, since
// whatever made one connection fail may have broken the others too.
func (c *workerCaller) closeIdleIfUnanswered(w fleet.Worker, r fleet.Reply) {
	if r.Verdict == fleet.NoAnswer {
		c.transport.closeIdle(w.Addr)
	}
}

// addressTransports is an http.RoundTripper with a transport of its own for each address, so that
// the unused connections to one address can be closed alone.
type addressTransports struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (p *addressTransports) RoundTrip(r *http.Request) (*http.Response, error) {
	return p.transport(r.URL.Host).RoundTrip(r)
}

// transport returns the transport of an address, IP:port, and creates it if there is none.
func (p *addressTransports) transport(addr string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[addr]
	if t == nil {
		t = newTransport(maxIdleWorkerConns, workerIdleTimeout)
		p.transports[addr] = t
	}
	return t
}

func (p *addressTransports) closeIdle(addr string) { p.transport(addr).CloseIdleConnections() }

// newTransport returns a transport that keeps up to maxIdleConns unused connections to each
// address, each for up to idleTimeout.
func newTransport(maxIdleConns int, idleTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
