package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// maxTimerDelay is the delay of a timer above which this process itself has stalled, so that
	// answers may wait to be read. stallGrace is the time to read them before a call counts as
	// unanswered.
	maxTimerDelay = 20 * time.Millisecond
	stallGrace    = 30 * time.Millisecond
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
	transport := &addressTransports{transports: make(map[string]*addressTransport)}
	return &workerCaller{client: platform.NewWorkerClient(transport), transport: transport, metrics: m, send: send}
}

// start orders a worker to start a run.
func (c *workerCaller) start(e sched.StartRun) {
	go c.call(e.Worker, e.CallLimits, func(ctx context.Context) fleet.HoldReply {
		reply := c.client.Start(ctx, e.Worker, e.Order)
		c.metrics.observe("worker.start", sinceBoot()-e.Decided)
		return fleet.HoldReply{Reply: reply}
	}, func(r fleet.HoldReply) sched.Event {
		return sched.StartReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: e.Decided, Fence: e.Order.Fence, Reply: r.Reply}
	})
}

// stop orders a worker to stop a run.
func (c *workerCaller) stop(e sched.StopRun) {
	go c.call(e.Worker, e.CallLimits, func(ctx context.Context) fleet.HoldReply {
		reply := c.client.Stop(ctx, e.Worker, e.Order)
		c.metrics.observe("worker.stop", sinceBoot()-e.Decided)
		return fleet.HoldReply{Reply: reply}
	}, func(r fleet.HoldReply) sched.Event {
		return sched.StopReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: e.Decided, Fence: e.Order.Fence, Reply: r.Reply}
	})
}

// hold extends a worker's lease and asks for its runs.
func (c *workerCaller) hold(e sched.HoldWorker) {
	wait := time.Duration(e.Order.WaitMillis) * time.Millisecond
	go c.call(e.Worker, e.CallLimits, func(ctx context.Context) fleet.HoldReply {
		return c.client.Hold(ctx, e.Worker, e.Order)
	}, func(r fleet.HoldReply) sched.Event {
		return sched.HoldReply{Worker: e.Worker.ID, Seq: e.Seq, Sent: e.Decided, Wait: wait, Fence: e.Order.Fence, Reply: r}
	})
}

// call makes a call and sends the event for its reply. If there is none at the timeout, it sends an event
// without an answer, goes on waiting until the limit, and then sends an event for the late reply, if it
// comes.
func (c *workerCaller) call(w fleet.Worker, limits sched.CallLimits, perform func(context.Context) fleet.HoldReply, event func(fleet.HoldReply) sched.Event) {
	elapsed := sinceBoot() - limits.Decided
	ctx, cancel := context.WithTimeout(context.Background(), limits.Limit-elapsed)
	defer cancel()
	var reported atomic.Bool // the event for a reply, or for none in time, is sent
	report := func(r fleet.HoldReply) {
		if !reported.CompareAndSwap(false, true) {
			return
		}
		if r.Verdict == fleet.NoAnswer {
			c.transport.closeIdleIfSilent(w.Addr, limits.Decided)
		}
		c.send(host.WorkerEvent{Event: event(r)})
	}
	if elapsed >= limits.Limit {
		report(fleet.HoldReply{Reply: fleet.Reply{Err: errCallTooLate}})
		return
	}
	timer := time.AfterFunc(limits.Timeout-elapsed, func() {
		expire := func() { report(fleet.HoldReply{Reply: fleet.Reply{Err: errNoAnswerInTime}}) }
		if sinceBoot()-limits.Decided > limits.Timeout+maxTimerDelay {
			time.AfterFunc(stallGrace, expire)
			return
		}
		expire()
	})
	defer timer.Stop()
	reply := performSafely(ctx, perform)
	if reply.Verdict != fleet.NoAnswer {
		c.transport.recordAnswer(w.Addr)
	}
	if reported.Load() && reply.Verdict != fleet.NoAnswer {
		c.send(host.WorkerEvent{Event: event(reply)})
		return
	}
	report(reply)
}

var (
	// errNoAnswerInTime is the reason for a reply without an answer while the call still goes on.
	errNoAnswerInTime = errors.New("no answer in time")
	// errCallTooLate is the reason for a reply to a call that was not made because this process was
	// paused past its limit.
	errCallTooLate = errors.New("not sent: this process was paused past the limit of the call")
)

// addressTransports is an http.RoundTripper with a transport of its own for each address, so that
// the unused connections to one address can be closed alone.
type addressTransports struct {
	mu         sync.Mutex
	transports map[string]*addressTransport
}

// addressTransport is the transport of one address.
type addressTransport struct {
	*http.Transport
	answeredAt atomic.Int64 // when the newest answer came, in ns since boot
}

// RoundTrip implements http.RoundTripper.
func (p *addressTransports) RoundTrip(r *http.Request) (*http.Response, error) {
	return p.transport(r.URL.Host).RoundTrip(r)
}

// transport returns the transport of an address, IP:port, and creates it if there is none.
func (p *addressTransports) transport(addr string) *addressTransport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[addr]
	if t == nil {
		t = &addressTransport{Transport: newTransport(maxIdleWorkerConns, workerIdleTimeout)}
		p.transports[addr] = t
	}
	return t
}

// recordAnswer records that an answer has come from an address.
func (p *addressTransports) recordAnswer(addr string) {
	p.transport(addr).answeredAt.Store(int64(sinceBoot()))
}

// closeIdleIfSilent closes the unused connections to an address from which no answer has come since a
// call was sent there. Whatever made one connection fail may have broken the others too. While answers
// come, the connections work and the call is only slow.
func (p *addressTransports) closeIdleIfSilent(addr string, sent time.Duration) {
	if t := p.transport(addr); t.answeredAt.Load() < int64(sent) {
		t.CloseIdleConnections()
	}
}

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
