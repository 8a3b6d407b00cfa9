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
	// orderTimeout bounds a start or a stop. Workers answer within a few ms; an order that
	// stays unanswered holds its room until it has been looked up.
	orderTimeout = 80 * time.Millisecond
	// holdTimeout bounds a hold, beyond the wait that it asks for. With the wait it leaves
	// time for a second hold within the lease.
	holdTimeout = 100 * time.Millisecond
	// dialTimeout bounds an attempt to connect.
	dialTimeout = 300 * time.Millisecond
	// workerIdle is how long an unused connection to a worker is kept. New ones cost a
	// round trip and are priced.
	workerIdle = 60 * time.Second
	// workerConns bounds the unused connections to one worker.
	workerConns = 8
)

// workerCalls calls workers and reports their answers as events.
type workerCalls struct {
	client  *platform.WorkerClient
	conns   *perHost
	metrics *metrics
	send    func(any)
}

func newWorkerCalls(m *metrics, send func(any)) *workerCalls {
	conns := &perHost{transports: make(map[string]*http.Transport)}
	return &workerCalls{client: platform.NewWorkerClient(conns), conns: conns, metrics: m, send: send}
}

func (c *workerCalls) start(e sched.StartRun) {
	sent := clock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		reply := c.client.Start(ctx, e.Worker, e.Order)
		c.metrics.observe("worker.start", clock()-sent)
		c.distrust(e.Worker, reply)
		c.send(host.WorkerEvent{Event: sched.Started{Worker: e.Worker.ID, Run: e.Order.Run, Reply: reply}})
	}()
}

func (c *workerCalls) stop(e sched.StopRun) {
	sent := clock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		reply := c.client.Stop(ctx, e.Worker, e.Order)
		c.metrics.observe("worker.stop", clock()-sent)
		c.distrust(e.Worker, reply)
		c.send(host.WorkerEvent{Event: sched.Stopped{Worker: e.Worker.ID, Run: e.Order.Run, Reply: reply}})
	}()
}

func (c *workerCalls) hold(e sched.HoldWorker) {
	sent := clock()
	go func() {
		wait := time.Duration(e.Order.Wait) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), wait+holdTimeout)
		defer cancel()
		reply := c.client.Hold(ctx, e.Worker, e.Order)
		c.distrust(e.Worker, reply.Reply)
		c.send(host.WorkerEvent{Event: sched.Held{Worker: e.Worker.ID, Seq: e.Seq, Sent: sent, Reply: reply}})
	}()
}

// distrust closes the unused connections to a worker that did not answer: they may have
// gone silent together.
func (c *workerCalls) distrust(w fleet.Worker, r fleet.Reply) {
	if r.Verdict == fleet.NoAnswer {
		c.conns.closeIdle(w.Addr)
	}
}

// perHost is a transport that keeps the connections to each address apart.
type perHost struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (p *perHost) RoundTrip(r *http.Request) (*http.Response, error) {
	return p.transport(r.URL.Host).RoundTrip(r)
}

func (p *perHost) transport(addr string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[addr]
	if t == nil {
		t = newTransport(workerConns, workerIdle)
		p.transports[addr] = t
	}
	return t
}

func (p *perHost) closeIdle(addr string) { p.transport(addr).CloseIdleConnections() }

func newTransport(conns int, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}
