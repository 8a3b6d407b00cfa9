package dispatch

import (
	"encoding/json"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	taskInFlight
	taskCompleted
	taskFailed
	taskUnknown
)

type task struct {
	state    taskState
	attempt  int // attempts made so far
	endpoint place.Endpoint
	avoid    place.EndpointID // endpoint that refused last
	retryAt  time.Duration    // a refused task is not offered before
	// preferLocal is set once an endpoint of another availability zone refused.
	preferLocal bool
	result      json.RawMessage
}

// job is one accepted submission. A job with a verdict starts nothing.
type job struct {
	id       ticket.ID
	ticket   ticket.Ticket
	digest   uint64
	team     string
	kindName string
	kind     Kind
	accepted time.Duration
	deadline time.Duration // absolute
	expires  time.Duration // absolute; the record is dropped then
	tasks    []task
	specs    []api.Task
	estimate place.Estimate
	key      time.Duration // orders the queue
	ends     time.Duration // expected end of the tasks placed so far; 0 if unknown
	waiting  []int         // indexes of tasks to place, in order
	open     int           // tasks without a result
	inFlight int
	started  int           // attempts made
	firstAt  time.Duration // time of the first attempt
	bytes    int64
	waiters  []WaiterID
	verdict  *api.Reply
	fetch    fetchState
}

func (j *job) ended() bool { return j.verdict != nil }

// replyState is the truthful state of a task in a reply that is not complete.
func (t *task) replyState() api.TaskState {
	switch t.state {
	case taskWaiting:
		return api.TaskNotRun
	case taskCompleted, taskFailed:
		return api.TaskRan
	}
	return api.TaskMayHaveRun
}

func (j *job) completeReply(now time.Duration) *api.Reply {
	r := j.reply(api.Complete, nil, now)
	r.Tasks = make([]api.TaskReply, len(j.tasks))
	for i := range j.tasks {
		r.Tasks[i] = api.TaskReply{Index: i, State: api.TaskCompleted, Result: j.tasks[i].result}
	}
	return r
}

func (j *job) failedReply(reason *api.Error, now time.Duration) *api.Reply {
	r := j.reply(api.Failed, reason, now)
	r.Tasks = make([]api.TaskReply, len(j.tasks))
	for i := range j.tasks {
		r.Tasks[i] = api.TaskReply{Index: i, State: j.tasks[i].replyState()}
	}
	return r
}

func (j *job) runningReply(now time.Duration) *api.Reply {
	return j.reply(api.Unknown, api.Errorf(api.CodeRunning, "", "the job is running; ask again with its ticket"), now)
}

func (j *job) reply(outcome api.Outcome, reason *api.Error, now time.Duration) *api.Reply {
	elapsed := float64(now-j.accepted) / float64(time.Millisecond)
	return &api.Reply{Schema: api.Schema, Ticket: j.id, Outcome: outcome, Reason: reason, ElapsedMS: elapsed}
}
