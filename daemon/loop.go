package daemon

import (
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
)

// loop owns the reducer. It is the only goroutine that touches it: events and queries
// arrive through a channel, effects leave through run.
type loop struct {
	start  time.Time
	state  *core.State
	inputs chan input
	run    func(core.Effect)
	done   chan struct{}
	stop   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	waiters map[dispatch.WaiterID]chan *api.Reply
	nextID  dispatch.WaiterID
}

// input is an event to apply, or a query to run between events.
type input struct {
	event core.Event
	query func(now time.Duration, s *core.State)
	done  chan struct{}
}

// inputQueue is how many events may wait for the reducer before senders block.
const inputQueue = 4096

// maxBatch bounds the inputs that share one round of placement, and so how long a task may
// wait for it.
const maxBatch = 128

// maxSleep bounds the time between ticks, so that a clock jump after a suspend of the
// host is noticed soon.
const maxSleep = 250 * time.Millisecond

func newLoop(state *core.State) *loop {
	return &loop{
		start:   time.Now(),
		state:   state,
		inputs:  make(chan input, inputQueue),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
		waiters: make(map[dispatch.WaiterID]chan *api.Reply),
	}
}

// now is the time since process start on the monotonic clock.
func (l *loop) now() time.Duration { return time.Since(l.start) }

// serve applies inputs until close is called.
func (l *loop) serve() {
	defer close(l.done)
	wake := time.NewTimer(maxSleep)
	defer wake.Stop()
	for {
		select {
		case in := <-l.inputs:
			l.handleBatch(in)
		case <-wake.C:
			l.apply(core.Tick{})
		case <-l.stop:
			return
		}
		wake.Reset(l.sleep())
	}
}

func (l *loop) sleep() time.Duration {
	at, ok := l.state.NextWake()
	if !ok {
		return maxSleep
	}
	return min(max(at-l.now(), 0), maxSleep)
}

// handleBatch handles an input and those that wait behind it. Tasks are placed once, after
// the last of them.
func (l *loop) handleBatch(first input) {
	more := min(len(l.inputs), maxBatch)
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

func (l *loop) handle(in input) {
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

func (l *loop) apply(ev core.Event) {
	for _, e := range l.state.Apply(l.now(), ev) {
		l.run(e)
	}
}

// send hands an event to the reducer. It blocks while the queue is full and drops the
// event after close.
func (l *loop) send(ev core.Event) {
	select {
	case l.inputs <- input{event: ev}:
	case <-l.done:
	}
}

// query runs f between two events and waits for it.
func (l *loop) query(f func(now time.Duration, s *core.State)) {
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
func (l *loop) close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

// newWaiter registers a caller's request.
func (l *loop) newWaiter() (dispatch.WaiterID, chan *api.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	ch := make(chan *api.Reply, 1)
	l.waiters[l.nextID] = ch
	return l.nextID, ch
}

// dropWaiter forgets a request whose caller is gone.
func (l *loop) dropWaiter(id dispatch.WaiterID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, id)
}

// reply hands a reply to the request that waits for it.
func (l *loop) reply(id dispatch.WaiterID, r *api.Reply) {
	l.mu.Lock()
	ch, ok := l.waiters[id]
	delete(l.waiters, id)
	l.mu.Unlock()
	if ok {
		ch <- r
	}
}
