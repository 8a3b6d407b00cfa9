package dispatch

import (
	"encoding/json"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// taskState is the state of a task as this host knows it.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskInFlight
	taskCompleted
	taskFailed
	taskUnknown
)

type task struct {
	state          taskState
	attempts       int // attempts made so far; the number of the latest one
	endpoint       place.Endpoint
	avoidEndpoint  place.EndpointID // the endpoint that refused the task last
	retryNotBefore time.Duration    // end of the retry delay of a refused task
	// preferLocal is set once an endpoint of another availability zone has refused the task.
	preferLocal bool
	result      json.RawMessage
}

// job is one accepted submission. A job with a final reply starts no more tasks. Times are since
// process start.
type job struct {
	id             ticket.ID
	ticket         ticket.Ticket
	digest         uint64
	team           string
	kindName       string
	kind           Kind
	acceptedAt     time.Duration
	deadline       time.Duration
	expiresAt      time.Duration // end of the ticket's lifetime, when the record is deleted
	tasks          []task
	taskSpecs      []api.Task // tasks as submitted; nil once the job has ended
	estimate       place.Estimate
	targetEnd      time.Duration // orders the queue, see queueTargetEnd
	expectedEnd    time.Duration // expected end of the minion tasks started so far; 0 if unknown
	waiting        []int         // indexes of the tasks to place, in this order
	openTasks      int           // tasks without a result
	inFlight       int
	attemptsMade   int // attempts of all tasks together
	firstAttemptAt time.Duration
	heldBytes      int64 // estimated memory of the record, payloads and results
	waiters        []WaiterID
	finalReply     *api.Reply // nil while the job is open
	fetchedBy      fetchState
}

func (j *job) ended() bool { return j.finalReply != nil }

// replyState returns the state of a task for a failed job's reply. It is TaskNotRun only if the
// task provably did not start.
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
	elapsed := float64(now-j.acceptedAt) / float64(time.Millisecond)
	return &api.Reply{Schema: api.Schema, Ticket: j.id, Outcome: outcome, Reason: reason, ElapsedMS: elapsed}
}
