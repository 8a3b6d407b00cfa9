package entry

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// distrustTime is how long nothing more is taken from a worker, a host or a job whose event has caused
	// a panic: it would cause the next one.
	distrustTime = 30 * time.Second
	// maxStackBytes limits the stack in the log line about a panic.
	maxStackBytes = 2000
)

// containment keeps a panic while an event is applied from ending the process. The event may have changed
// a part of the state only, which no check can find in general, so the state machine is replaced by a new
// one without any permission: its cells, runs and contacts are gone as if the process had been killed, and
// its callers are told that their jobs may have run. Listeners, connections, the log and what was read go on.
type containment struct {
	panics     atomic.Int64
	generation uint64                   // number of replacements of the state
	distrusted map[string]time.Duration // sources of events that caused a panic, until when
	replaced   func()                   // called after the state was replaced; nil: nothing
}

// callAnswer is the event for the answer of a worker to a call of the state of a generation.
type callAnswer struct {
	generation uint64
	event      host.Event
}

// callSender returns a function that sends answers to calls of the current state. They are dropped if the
// state has been replaced by then: the numbers of calls begin anew.
func (l *loop) callSender() func(any) {
	generation := l.generation
	return func(ev any) { l.send(callAnswer{generation: generation, event: ev.(host.Event)}) }
}

// withSender returns a caller that uses the same connections and sends answers elsewhere.
func (c *workerCaller) withSender(send func(any)) *workerCaller {
	other := *c
	other.send = send
	return &other
}

// step applies events and returns the effects. After a panic it replaces the state and applies the other
// events that only report what was read.
func (l *loop) step(now time.Duration, events []host.Event) (effects []host.Effect) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		failed := l.state.Applying()
		l.replaceState(now, cause, events, failed)
		effects = nil
		if failed >= 0 {
			effects = l.step(now, readings(events, failed))
		}
	}()
	return l.state.Step(now, events...)
}

// performSafely makes a call to a worker. A panic, as on an answer that no worker gives, counts as no
// answer.
func performSafely(ctx context.Context, perform func(context.Context) fleet.HoldReply) (reply fleet.HoldReply) {
	defer func() {
		if cause := recover(); cause != nil {
			reply = fleet.HoldReply{Reply: fleet.Reply{Err: errors.Newf("the call failed: %v", cause)}}
		}
	}()
	return perform(ctx)
}

// tryCarryOut carries out an effect. It reports false if that has failed, so that the state was replaced:
// it counts on the effect. Log entries may fail.
func (l *loop) tryCarryOut(effect host.Effect) (done bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if _, done = effect.(host.LogEntry); done {
			l.logPanic("log entry failed", cause)
			return
		}
		l.replaceState(sinceBoot(), cause, nil, -1)
	}()
	l.carryOut(effect)
	return true
}

// readings returns the events, except for the one that failed, that hold what was read from the store, and
// the request to drain.
func readings(events []host.Event, failed int) []host.Event {
	var out []host.Event
	for i, ev := range events {
		switch ev.(type) {
		case host.ConfigRead, host.EvacuationsRead, host.WorkersRead, host.HostsDiscovered, host.StoreReachability, host.Drain:
			if i != failed {
				out = append(out, ev)
			}
		}
	}
	return out
}

// replaceState replaces the state after a panic and answers all callers. failed is the index of the event
// that caused the panic, or negative.
func (l *loop) replaceState(now time.Duration, cause any, events []host.Event, failed int) {
	kind, source := "none", ""
	if failed >= 0 {
		kind, source = fmt.Sprintf("%T", events[failed]), eventSource(events[failed])
	}
	l.logPanic("event failed; jobs and cells are given up", cause, "event", kind, "source", fleet.Printable(source, maxErrorBytes), "jobs", len(l.callers.waiting))
	if source != "" {
		if l.distrusted == nil {
			l.distrusted = make(map[string]time.Duration)
		}
		l.distrusted[source] = now + distrustTime
	}
	l.state = l.state.Successor(randomID(), now)
	if failed >= 0 {
		l.state.RecordFailure(now, events[failed])
	}
	l.generation++
	if l.replaced != nil {
		l.replaced()
	}
	for seq := range l.callers.waiting {
		l.answerAborted(seq)
	}
	for seq, ch := range l.cancels {
		delete(l.cancels, seq)
		ch <- host.CancelAnswer{Seq: seq, Result: host.CancelUnknown, Reason: "the host failed while it had the request"}
	}
}

// answerAborted tells a caller that its job may have run.
func (l *loop) answerAborted(seq uint64) {
	l.callers.answer(host.Answer{Seq: seq, Outcome: sched.Aborted, Reason: "the host failed while it had the job"})
}

// logPanic counts a panic and logs it with the part of its stack that shows the place.
func (l *loop) logPanic(message string, cause any, fields ...any) {
	l.panics.Add(1)
	stack := string(debug.Stack())
	if _, rest, found := strings.Cut(stack, "panic("); found {
		stack = rest
	}
	fields = append([]any{"part", "entry", "msg", message, "panic", fleet.Printable(fmt.Sprint(cause), maxErrorBytes)}, fields...)
	_ = l.logger.Log(append(fields, "stack", fleet.Printable(stack, maxStackBytes))...)
}

// answerQuery runs a query of the state. Queries change nothing, so the state is kept after a panic.
func (l *loop) answerQuery(q stateQuery) {
	defer close(q.done)
	defer func() {
		if cause := recover(); cause != nil {
			l.logPanic("query failed", cause)
		}
	}()
	q.read(sinceBoot(), l.state)
}

// admit appends an event to a batch. Of a source that is distrusted, frames are dropped as if it were
// silent, calls stay without an answer, and jobs are answered as if they may have run.
func (l *loop) admit(events []host.Event, ev host.Event) []host.Event {
	if len(l.distrusted) == 0 {
		return append(events, ev)
	}
	source := eventSource(ev)
	until, found := l.distrusted[source]
	if !found {
		return append(events, ev)
	}
	if sinceBoot() >= until {
		delete(l.distrusted, source)
		return append(events, ev)
	}
	switch e := ev.(type) {
	case host.JobArrived:
		l.answerAborted(e.Seq)
		return events
	case host.WorkerEvent:
		return append(events, host.WorkerEvent{Event: withoutAnswer(e.Event)})
	default:
		return events
	}
}

// eventSource names the worker, host or job that an event comes from; empty: none of them.
func eventSource(ev host.Event) string {
	switch e := ev.(type) {
	case host.FrameReceived:
		return "host " + e.Frame.GetFrom().GetAddr()
	case host.JobArrived:
		return "job " + e.Spec.ID
	case host.WorkerEvent:
		switch r := e.Event.(type) {
		case sched.StartReply:
			return "worker " + r.Worker
		case sched.StopReply:
			return "worker " + r.Worker
		case sched.HoldReply:
			return "worker " + r.Worker
		}
	}
	return ""
}

// withoutAnswer returns the event for a call that was not answered.
func withoutAnswer(ev sched.Event) sched.Event {
	none := fleet.Reply{Err: errNoAnswerInTime}
	switch r := ev.(type) {
	case sched.StartReply:
		r.Reply = none
		return r
	case sched.StopReply:
		r.Reply = none
		return r
	case sched.HoldReply:
		r.Reply = fleet.HoldReply{Reply: none}
		return r
	}
	return ev
}
