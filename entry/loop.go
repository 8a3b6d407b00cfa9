package entry

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// eventQueueLength is the capacity of the event channel. Senders block when it is full.
	eventQueueLength = 4096
	// maxBatchEvents bounds the events of one step of the state machine, and so the events
	// between two rounds of placement.
	maxBatchEvents = 256
	// busyTickPeriod is the time between two ticks of the state machine while it has jobs or
	// cells, idleTickPeriod otherwise.
	busyTickPeriod = 25 * time.Millisecond
	idleTickPeriod = 100 * time.Millisecond
)

// loop is the event loop of the host. One goroutine applies events to the state machine in
// batches and carries out the effects that it returns.
type loop struct {
	events  chan any // host.Event, jobArrival, cancelRequest, frameArrival, callAnswer or stateQuery
	state   *host.State
	logger  log.Logger
	callers *callers
	lastSeq uint64                              // last sequence number given to a job or a cancellation
	cancels map[uint64]chan<- host.CancelAnswer // by the sequence number of the cancellation
	effects effectHandler
	// processed is called after the current step, for each frame in it.
	processed []func()
	stop      chan struct{}   // closed to end the loop
	context   context.Context // ends with the loop
	cancel    context.CancelFunc
	ended     chan struct{} // closed when the loop has ended
	containment
	// readsWorkers tells other goroutines whether the host has to read the workers' entries.
	readsWorkers atomic.Bool
}

// effectHandler carries out the effects that the state machine returns. Its methods run in the
// loop, so they must not block.
type effectHandler interface {
	startRun(sched.StartRun)
	stopRun(sched.StopRun)
	holdWorker(sched.HoldWorker)
	sendFrame(host.SendFrame)
	redial(host.Redial)
	closeLink(host.CloseLink)
	announceFence(host.AnnounceFence)
	signHost()
	readHosts()
	useConfig(*fleet.Config)
	decodeFetched(host.ConfigFetched)
	readWorkers()
}

// jobArrival is a caller's job with the caller's connection and the channels for the job's sequence number and its
// answer. Both have room for one value, so that the loop never blocks on them. The second is closed without an answer
// if the caller leaves.
type jobArrival struct {
	event  host.JobArrived
	conn   syscall.RawConn
	seq    chan<- uint64
	answer chan<- host.Answer
}

// stateQuery asks the loop to call read on the state and then to close done.
type stateQuery struct {
	read func(now time.Duration, s *host.State)
	done chan<- struct{}
}

func newLoop(state *host.State, logger log.Logger, effects effectHandler) *loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &loop{
		context: ctx,
		cancel:  cancel,
		events:  make(chan any, eventQueueLength),
		state:   state,
		logger:  logger,
		callers: newCallers(),
		cancels: make(map[uint64]chan<- host.CancelAnswer),
		effects: effects,
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
}

// send hands an event to the loop. It blocks while the queue is full. Events that are
// sent after close are lost.
func (l *loop) send(ev any) {
	select {
	case l.events <- ev:
	case <-l.stop:
	}
}

// readState calls read in the loop and waits for it. It reports false if the loop has ended.
func (l *loop) readState(read func(now time.Duration, s *host.State)) bool {
	done := make(chan struct{})
	l.send(stateQuery{read: read, done: done})
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// close ends the loop and waits until it has ended.
func (l *loop) close() {
	close(l.stop)
	l.cancel()
	<-l.ended
}

// serve applies events and ticks until close is called.
func (l *loop) serve() {
	defer close(l.ended)
	ticker := time.NewTicker(idleTickPeriod)
	defer ticker.Stop()
	busy := false
	for {
		if isBusy := l.state.NeedsFrequentTicks(); isBusy != busy {
			busy = isBusy
			ticker.Reset(tickPeriod(busy))
		}
		l.readsWorkers.Store(l.state.ReadsWorkers())
		select {
		case ev := <-l.events:
			l.applyBatch(ev)
		case <-ticker.C:
			l.applyBatch(host.Tick{})
		case <-l.stop:
			return
		}
	}
}

func tickPeriod(busy bool) time.Duration {
	if busy {
		return busyTickPeriod
	}
	return idleTickPeriod
}

// applyBatch applies an event and the queued ones after it in one step, at most maxBatchEvents. The time
// of the step is taken after the last event: events report what happened at that time or earlier.
func (l *loop) applyBatch(first any) {
	defer l.releaseFrames()
	events := l.collect(l.checkCallers(), first)
	for n := 1; n < maxBatchEvents; n++ {
		select {
		case ev := <-l.events:
			events = l.collect(events, ev)
			continue
		default:
		}
		break
	}
	for _, effect := range l.step(sinceBoot(), events) {
		if !l.tryCarryOut(effect) {
			return // the state is another one
		}
	}
}

// checkCallers looks at the callers' connections when it is time, and returns the events that tell what was seen. They
// come before all others of a batch, in which something may be started for callers that have left. A pause after the
// look makes what was seen old, and the state machine does not act on it.
func (l *loop) checkCallers() []host.Event {
	events, err := l.callers.check()
	if err != nil {
		_ = l.logger.Log("part", "entry", "msg", "callers cannot be seen", "callers", len(l.callers.waiting), "err", err)
	}
	return events
}

// releaseFrames calls the functions of the frames of the step that has ended.
func (l *loop) releaseFrames() {
	for _, done := range l.processed {
		done()
	}
	l.processed = l.processed[:0]
}

// collect appends what an item of the queue means for the state machine to its events. It runs
// queries at once, and registers or removes the channel for a job's answer.
func (l *loop) collect(events []host.Event, ev any) []host.Event {
	switch e := ev.(type) {
	case jobArrival:
		return l.collectJob(events, e)
	case cancelRequest:
		l.lastSeq++
		e.event.Seq = l.lastSeq
		l.cancels[l.lastSeq] = e.answer
		return append(events, e.event)
	case stateQuery:
		l.answerQuery(e)
		return events
	case callAnswer:
		if e.generation != l.generation {
			return events // the state that made the call is gone
		}
		return l.admit(events, e.event)
	case frameArrival:
		l.processed = append(l.processed, e.processed)
		return l.admit(events, host.FrameReceived{Frame: e.frame})
	case host.CallerGone:
		l.callers.drop(e.Seq)
		return append(events, e)
	case host.Event:
		return l.admit(events, e)
	}
	return events
}

// collectJob registers the caller of a job and appends the job's arrival to the events. What was seen of all callers
// before must hold for this one, too, so a caller that has left by now gets no job.
func (l *loop) collectJob(events []host.Event, e jobArrival) []host.Event {
	l.lastSeq++
	e.event.Seq = l.lastSeq
	e.seq <- l.lastSeq
	if !isOpen(e.conn) {
		e.answer <- host.Answer{Seq: e.event.Seq, Outcome: sched.Refused, Reason: reasonCallerLeft, RetryAfter: time.Second}
		return events
	}
	l.callers.waiting[e.event.Seq] = caller{conn: e.conn, answer: e.answer}
	return l.admit(events, e.event)
}

// carryOut delivers answers, writes log lines and passes other effects to the handler.
func (l *loop) carryOut(effect host.Effect) {
	switch e := effect.(type) {
	case host.Answer:
		l.callers.answer(e)
	case host.CancelAnswer:
		if ch := l.cancels[e.Seq]; ch != nil {
			delete(l.cancels, e.Seq)
			ch <- e
		}
	case host.SendFrame:
		l.effects.sendFrame(e)
	case host.Redial:
		l.effects.redial(e)
	case host.CloseLink:
		l.effects.closeLink(e)
	case host.AnnounceFence:
		l.effects.announceFence(e)
	case host.ActivateConfig:
		l.effects.useConfig(e.Config)
	case host.ConfigFetched:
		l.effects.decodeFetched(e)
	case host.SignHost:
		l.effects.signHost()
	case host.ReadHosts:
		l.effects.readHosts()
	case host.ReadWorkers:
		l.effects.readWorkers()
	case host.LogEntry:
		l.log(e)
	case sched.StartRun:
		l.effects.startRun(e)
	case sched.StopRun:
		l.effects.stopRun(e)
	case sched.HoldWorker:
		l.effects.holdWorker(e)
	}
}

func (l *loop) log(n host.LogEntry) {
	fields := append([]any{"part", n.Part, "msg", n.Message}, n.Fields...)
	if n.Request != "" {
		fields = append(fields, "request", n.Request)
	}
	_ = l.logger.Log(fields...) // logWriter.Write never returns an error
}
