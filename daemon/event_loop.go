package daemon

import (
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
)

// eventLoop owns the state machine. Only its goroutine accesses the state: events and queries arrive
// through a channel, and effects are passed to runEffect.
type eventLoop struct {
	start     time.Time
	state     *core.State
	inputs    chan input
	runEffect func(core.Effect)
	done      chan struct{}
	stop      chan struct{}
	stopOnce  sync.Once

	mu         sync.Mutex
	waiters    map[dispatch.WaiterID]chan *api.Reply
	lastWaiter dispatch.WaiterID
}

// input is an event to apply, or a query to run between events.
type input struct {
	event core.Event
	query func(now time.Duration, s *core.State)
	done  chan struct{}
}

// inputQueueCapacity is the number of inputs that may wait for the event loop before senders block.
const inputQueueCapacity = 4096

// maxBatchInputs is the largest number of queued inputs that share one placement pass. It limits how
// long a task waits for placement.
const maxBatchInputs = 128

// maxTickInterval limits the time between ticks, so that a jump of the clock after the host was
// suspended is noticed soon.
const maxTickInterval = 250 * time.Millisecond

func newEventLoop(state *core.State) *eventLoop {
	return &eventLoop{
		start:   time.Now(),
		state:   state,
		inputs:  make(chan input, inputQueueCapacity),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
		waiters: make(map[dispatch.WaiterID]chan *api.Reply),
	}
}

// now returns the monotonic time since the event loop was created.
func (l *eventLoop) now() time.Duration { return time.Since(l.start) }

// run applies inputs until close is called.
func (l *eventLoop) run() {
	defer close(l.done)
	tick := time.NewTimer(maxTickInterval)
	defer tick.Stop()
	for {
		select {
		case in := <-l.inputs:
			l.handleBatch(in)
		case <-tick.C:
			l.apply(core.Tick{})
		case <-l.stop:
			return
		}
		tick.Reset(l.nextTickDelay())
	}
}

func (l *eventLoop) nextTickDelay() time.Duration {
	at, ok := l.state.NextWake()
	if !ok {
		return maxTickInterval
	}
	return min(max(at-l.now(), 0), maxTickInterval)
}

// handleBatch handles an input and those queued behind it. Tasks are placed once, after the last
// input.
func (l *eventLoop) handleBatch(first input) {
	more := min(len(l.inputs), maxBatchInputs)
	if more == 0 {
		l.handle(first)
		return
	}
	l.state.Dispatch.DeferPlacement(true)
	l.handle(first)
	for range more {
		l.handle(<-l.inputs)
	}
	l.state.Dispatch.DeferPlacement(false)
	l.apply(core.Tick{})
}

func (l *eventLoop) handle(in input) {
	if in.event != nil {
		l.apply(in.event)
	}
	if in.query != nil {
		in.query(l.now(), l.state)
	}
	if in.done != nil {
		close(in.done)
	}
}

func (l *eventLoop) apply(ev core.Event) {
	for _, e := range l.state.Apply(l.now(), ev) {
		l.runEffect(e)
	}
}

// send queues an event for the state machine. It blocks while the queue is full. After close it drops
// the event.
func (l *eventLoop) send(ev core.Event) {
	select {
	case l.inputs <- input{event: ev}:
	case <-l.done:
	}
}

// query runs f on the state between two events and waits until it has run. After close it returns
// without running f.
func (l *eventLoop) query(f func(now time.Duration, s *core.State)) {
	finished := make(chan struct{})
	select {
	case l.inputs <- input{query: f, done: finished}:
	case <-l.done:
		return
	}
	select {
	case <-finished:
	case <-l.done:
	}
}

// close stops the loop and waits for it.
func (l *eventLoop) close() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
}

// newWaiter registers a request that waits for a reply, and returns its ID and the channel of its
// reply.
func (l *eventLoop) newWaiter() (dispatch.WaiterID, chan *api.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastWaiter++
	ch := make(chan *api.Reply, 1)
	l.waiters[l.lastWaiter] = ch
	return l.lastWaiter, ch
}

// dropWaiter removes a request that no longer waits for a reply.
func (l *eventLoop) dropWaiter(id dispatch.WaiterID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, id)
}

// deliverReply sends a reply to the request that waits for it, if there still is one.
func (l *eventLoop) deliverReply(id dispatch.WaiterID, r *api.Reply) {
	l.mu.Lock()
	ch, ok := l.waiters[id]
	delete(l.waiters, id)
	l.mu.Unlock()
	if ok {
		ch <- r
	}
}
