package entry

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// queueEvents bounds the events that wait for the loop.
	queueEvents = 4096
	// batchEvents bounds the events that are applied between two rounds of placement.
	batchEvents = 256
	// tickTime is the period of the state machine's clock while it has jobs or cells,
	// idleTickTime otherwise.
	tickTime     = 25 * time.Millisecond
	idleTickTime = 100 * time.Millisecond
)

// loop feeds events to the state machine, one at a time, and carries out its effects.
type loop struct {
	events  chan any // host.Event, arrival or query
	state   *host.State
	logger  log.Logger
	answers map[uint64]chan<- host.Answer
	nextSeq uint64
	run     effects
	stop    chan struct{}
	ended   chan struct{}
	// commanding tells other goroutines whether the host commands a cell.
	commanding atomic.Bool
}

// effects are what the state machine asks of the shell.
type effects interface {
	startRun(sched.StartRun)
	stopRun(sched.StopRun)
	holdWorker(sched.HoldWorker)
	sendFrame(host.SendFrame)
	redial(host.Redial)
	announceFence(host.Announce)
	configInForce(*fleet.Config)
}

// arrival is a caller's job with the channel for its answer.
type arrival struct {
	event  host.Arrived
	seq    chan<- uint64
	answer chan<- host.Answer
}

// query runs in the loop and reads the state.
type query struct {
	read func(now time.Duration, s *host.State)
	done chan<- struct{}
}

func newLoop(state *host.State, logger log.Logger, run effects) *loop {
	return &loop{
		events:  make(chan any, queueEvents),
		state:   state,
		logger:  logger,
		answers: make(map[uint64]chan<- host.Answer),
		run:     run,
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
}

// send hands an event to the loop. After its end events are dropped.
func (l *loop) send(ev any) {
	select {
	case l.events <- ev:
	case <-l.stop:
	}
}

// query reads the state in the loop. It reports false if the loop has ended.
func (l *loop) query(read func(now time.Duration, s *host.State)) bool {
	done := make(chan struct{})
	l.send(query{read: read, done: done})
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

func (l *loop) close() {
	close(l.stop)
	<-l.ended
}

func (l *loop) serve() {
	defer close(l.ended)
	ticker := time.NewTicker(idleTickTime)
	defer ticker.Stop()
	busy := false
	for {
		if b := l.state.Busy(); b != busy {
			busy = b
			ticker.Reset(tickPeriod(busy))
		}
		l.commanding.Store(l.state.Cells() > 0)
		select {
		case ev := <-l.events:
			l.batch(ev)
		case <-ticker.C:
			l.batch(host.Tick{})
		case <-l.stop:
			return
		}
	}
}

func tickPeriod(busy bool) time.Duration {
	if busy {
		return tickTime
	}
	return idleTickTime
}

// batch applies an event and those that wait behind it.
func (l *loop) batch(first any) {
	now := clock()
	events := l.accept(nil, now, first)
	for n := 1; n < batchEvents; n++ {
		select {
		case ev := <-l.events:
			events = l.accept(events, now, ev)
			continue
		default:
		}
		break
	}
	for _, effect := range l.state.Step(now, events...) {
		l.carryOut(effect)
	}
}

func (l *loop) accept(events []host.Event, now time.Duration, ev any) []host.Event {
	switch e := ev.(type) {
	case arrival:
		l.nextSeq++
		e.event.Seq = l.nextSeq
		l.answers[l.nextSeq] = e.answer
		e.seq <- l.nextSeq
		return append(events, e.event)
	case query:
		e.read(now, l.state)
		close(e.done)
		return events
	case host.CallerGone:
		delete(l.answers, e.Seq)
		return append(events, e)
	case host.Event:
		return append(events, e)
	}
	return events
}

func (l *loop) carryOut(effect host.Effect) {
	switch e := effect.(type) {
	case host.Answer:
		if ch := l.answers[e.Seq]; ch != nil {
			delete(l.answers, e.Seq)
			ch <- e
		}
	case host.SendFrame:
		l.run.sendFrame(e)
	case host.Redial:
		l.run.redial(e)
	case host.Announce:
		l.run.announceFence(e)
	case host.ConfigInForce:
		l.run.configInForce(e.Config)
	case host.Note:
		l.log(e)
	case sched.StartRun:
		l.run.startRun(e)
	case sched.StopRun:
		l.run.stopRun(e)
	case sched.HoldWorker:
		l.run.holdWorker(e)
	}
}

func (l *loop) log(n host.Note) {
	fields := append([]any{"part", n.Part, "msg", n.Message}, n.Fields...)
	if n.Request != "" {
		fields = append(fields, "request", n.Request)
	}
	_ = l.logger.Log(fields...) // the writer never fails
}
