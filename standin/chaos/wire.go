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

// wire records what hosts said about tickets in all replies, also in those that a caller
// did not accept as its outcome.
type wire struct {
	mu   sync.Mutex
	said map[ticket.ID]*said
}

// said is what hosts said about one ticket.
type said struct {
	job      []byte // last submission
	refused  bool
	complete bool
	failed   api.Code // reason of a failure decided by the owner
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
	job, _ := io.ReadAll(body) // of a bytes.Reader, which does not fail
	return job
}

// record keeps what a reply says about its ticket. A refusal without a ticket is about the
// one request only.
func (w *wire) record(path string, job, text []byte) {
	var reply api.Reply
	if !strings.HasPrefix(path, jobsPath) || json.Unmarshal(text, &reply) != nil || reply.Ticket == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.said == nil {
		w.said = make(map[ticket.ID]*said)
	}
	s := w.said[reply.Ticket]
	if s == nil {
		s = &said{notRun: make(map[int]bool)}
		w.said[reply.Ticket] = s
	}
	if job != nil {
		s.job = job
	}
	s.add(&reply)
}

func (s *said) add(reply *api.Reply) {
	switch reply.Outcome {
	case api.Refused:
		s.refused = true
	case api.Complete:
		s.complete = true
	case api.Failed:
		if reason := reply.Reason; reason != nil && !notByOwner(reason.Code) {
			s.failed = reason.Code
		}
	}
	for _, task := range reply.Tasks {
		if task.State == api.TaskNotRun {
			s.notRun[task.Index] = true
		}
	}
}

// notByOwner reports whether a failure says that the verdict is out of reach, and not that
// the owner decided it. Another caller may hold the answer then.
func notByOwner(code api.Code) bool {
	return code == api.CodeOwnerLost || code == api.CodeAnswerExpired || code == api.CodeTicketExpired
}

// check holds all replies against the starts and against each other. It returns how many
// statements of the form "not run" it checked.
func (w *wire) check(r *Report, starts *minionsim.Starts) (checked int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, s := range w.said {
		counts := starts.Tickets[string(id)]
		if s.refused {
			checked++
			if len(counts) > 0 {
				r.find("%s: a host refused it, but %d tasks started", id, len(counts))
			}
		}
		for index := range s.notRun {
			checked++
			if counts[index] > 0 {
				r.find("%s: a host said that task %d has not run, but it started", id, index)
			}
		}
		if s.complete && (s.refused || s.failed != "") {
			r.find("%s: complete, and also refused (%t) or failed (%s)", id, s.refused, s.failed)
		}
	}
	return checked
}

// notRunJobs returns up to limit submitted jobs of which hosts said that something had not run.
func (w *wire) notRunJobs(limit int) []*api.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*api.Job
	for id, s := range w.said {
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
