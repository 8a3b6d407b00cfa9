package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/ticket"
)

// replyLog records what the hosts' replies state about each ticket. It includes replies that a caller
// did not accept as the outcome.
type replyLog struct {
	mu       sync.Mutex
	byTicket map[ticket.ID]*ticketReplies
}

// ticketReplies sums up all replies about one ticket.
type ticketReplies struct {
	job      []byte // body of the last submission
	refused  bool
	complete bool
	failed   api.Code // reason of a failure that the owner decided
	notRun   map[int]bool
}

const jobsPath = "/v1/jobs"

// submittedJob returns the body of a submission, or nil for another request.
func submittedJob(r *http.Request) []byte {
	if r.Method != http.MethodPost || r.URL.Path != jobsPath || r.GetBody == nil {
		return nil
	}
	body, err := r.GetBody()
	if err != nil {
		return nil
	}
	job, _ := io.ReadAll(body) // reads from a bytes.Reader, which does not fail
	return job
}

// record adds a reply to the log. It ignores a reply without a ticket: such a refusal concerns a single
// request only.
func (w *replyLog) record(path string, job, body []byte) {
	var reply api.Reply
	if !strings.HasPrefix(path, jobsPath) || json.Unmarshal(body, &reply) != nil || reply.Ticket == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byTicket == nil {
		w.byTicket = make(map[ticket.ID]*ticketReplies)
	}
	s := w.byTicket[reply.Ticket]
	if s == nil {
		s = &ticketReplies{notRun: make(map[int]bool)}
		w.byTicket[reply.Ticket] = s
	}
	if job != nil {
		s.job = job
	}
	s.add(&reply)
}

func (s *ticketReplies) add(reply *api.Reply) {
	switch reply.Outcome {
	case api.Refused:
		s.refused = true
	case api.Complete:
		s.complete = true
	case api.Failed:
		if reason := reply.Reason; reason != nil && !isAnswerUnavailable(reason.Code) {
			s.failed = reason.Code
		}
	}
	for _, task := range reply.Tasks {
		if task.State == api.TaskNotRun {
			s.notRun[task.Index] = true
		}
	}
}

// isAnswerUnavailable reports whether a failure means that the answer cannot be obtained, not that the
// owner decided that the job failed. Another caller may have received the answer then.
func isAnswerUnavailable(code api.Code) bool {
	return code == api.CodeOwnerLost || code == api.CodeAnswerExpired || code == api.CodeTicketExpired
}

// check compares all replies with the counted starts and with each other. It returns the number of
// statements of the form "not run" that it checked.
func (w *replyLog) check(r *Report, starts *minionsim.Starts) (checked int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, s := range w.byTicket {
		counts := starts.Tickets[string(id)]
		if s.refused {
			checked++
			if len(counts) > 0 {
				r.addFinding("%s: a host refused it, but %d tasks started", id, len(counts))
			}
		}
		for index := range s.notRun {
			checked++
			if counts[index] > 0 {
				r.addFinding("%s: a host said that task %d has not run, but it started", id, index)
			}
		}
		if s.complete && (s.refused || s.failed != "") {
			r.addFinding("%s: complete, and also refused (%t) or failed (%s)", id, s.refused, s.failed)
		}
	}
	return checked
}

// notRunJobs returns up to limit submitted jobs that a host refused or of which it said that a task had
// not run.
func (w *replyLog) notRunJobs(limit int) []*api.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*api.Job
	for id, s := range w.byTicket {
		job := new(api.Job)
		if len(out) == limit || s.job == nil || (!s.refused && len(s.notRun) == 0) || json.Unmarshal(s.job, job) != nil {
			continue
		}
		if job.Ticket == id {
			out = append(out, job)
		}
	}
	return out
}
