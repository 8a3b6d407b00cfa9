package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/ticket"
)

// newCallersMux returns the routes of the callers' HTTP interface.
func (d *Daemon) newCallersMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", d.serveTickets)
	mux.HandleFunc("POST /v1/jobs", d.serveSubmit)
	mux.HandleFunc("GET /v1/jobs/{ticket}", d.serveAwait)
	mux.HandleFunc("DELETE /v1/jobs/{ticket}", d.serveCancel)
	mux.HandleFunc("GET /v1/epoch", d.serveEpoch)
	d.addHealthRoutes(mux)
	return mux
}

func (d *Daemon) requestLimits() api.Limits {
	l := d.settings.Limits
	return api.Limits{BodyBytes: l.BodyBytes, Tasks: l.TasksPerJob, Tickets: l.TicketsPerBatch}
}

func (d *Daemon) serveTickets(w http.ResponseWriter, r *http.Request) {
	req, refusal := api.DecodeTicketRequest(r.Body, d.requestLimits())
	if refusal != nil {
		writeReply(w, api.Refusal(refusal))
		return
	}
	if d.refusingNewWork.Load() {
		writeReply(w, api.Refusal(api.Errorf(api.CodeDraining, "", "this host is shutting down")))
		return
	}
	maxDeadline := d.settings.Tickets.MaxDeadline
	if req.MaxDeadlineMS > 0 {
		maxDeadline = min(maxDeadline, time.Duration(req.MaxDeadlineMS)*time.Millisecond)
	}
	minted := d.mintTickets(req.Count, maxDeadline)
	reply := api.TicketReply{
		Schema:        api.Schema,
		Tickets:       make([]ticket.ID, len(minted)),
		WindowMS:      d.settings.Tickets.Window.Milliseconds(),
		MaxDeadlineMS: maxDeadline.Milliseconds(),
	}
	for i, t := range minted {
		reply.Tickets[i] = t.ID()
	}
	writeJSON(w, http.StatusOK, reply)
}

func (d *Daemon) serveSubmit(w http.ResponseWriter, r *http.Request) {
	job, refusal := api.DecodeJob(r.Body, d.requestLimits())
	if refusal != nil {
		writeReply(w, invalidJobReply(job, refusal))
		return
	}
	if job.Key != "" {
		d.serveKeyedSubmit(w, r, job)
		return
	}
	op := operation{kind: forward.Submit, job: job, wait: d.submitWait(job)}
	if job.Ticket == "" {
		op.ticket = d.mintTickets(1, d.settings.Tickets.MaxDeadline)[0]
		op.id = op.ticket.ID()
	} else {
		parsed, err := ticket.Parse(job.Ticket)
		if err != nil {
			writeReply(w, api.Refusal(api.Errorf(api.CodeBadTicket, "ticket", "%v", err)))
			return
		}
		op.id, op.ticket = job.Ticket, parsed
	}
	d.performAndWrite(w, r, op)
}

// invalidJobReply returns the reply to a submission that this host cannot decode or does not allow. If
// the submission has a ticket, the reply doesn't claim that the job has not run: another host with
// other limits or a newer version may have forwarded the job to its owner. The same holds for a key.
func invalidJobReply(job *api.Job, reason *api.Error) *api.Reply {
	if job == nil || (job.Ticket == "" && job.Key == "") {
		return api.Refusal(reason)
	}
	return &api.Reply{Schema: api.Schema, Ticket: job.Ticket, Outcome: api.Unknown, Reason: reason}
}

// submitWait returns how long a submission waits for its reply.
func (d *Daemon) submitWait(job *api.Job) time.Duration {
	if job.WaitMS != nil {
		return min(time.Duration(*job.WaitMS)*time.Millisecond, d.maxReplyWait())
	}
	return d.maxReplyWait()
}

// maxReplyWait returns the longest time that a request waits for its reply. It exceeds every job's
// deadline, so that a caller that sets no wait gets the final outcome.
func (d *Daemon) maxReplyWait() time.Duration { return d.settings.Tickets.MaxDeadline + replyMargin }

func (d *Daemon) serveAwait(w http.ResponseWriter, r *http.Request) {
	wait := d.maxReplyWait()
	if text := r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			writeReply(w, api.Refusal(api.Errorf(api.CodeInvalid, "wait_ms", "wait_ms must be a whole number of milliseconds")))
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, wait)
	}
	d.serveTicketOperation(w, r, forward.Await, wait)
}

func (d *Daemon) serveCancel(w http.ResponseWriter, r *http.Request) {
	d.serveTicketOperation(w, r, forward.Cancel, time.Second)
}

func (d *Daemon) serveTicketOperation(w http.ResponseWriter, r *http.Request, kind forward.Operation, wait time.Duration) {
	id := ticket.ID(r.PathValue("ticket"))
	parsed, err := ticket.Parse(id)
	if err != nil {
		writeReply(w, api.Refusal(api.Errorf(api.CodeBadTicket, "ticket", "%v", err)))
		return
	}
	d.performAndWrite(w, r, operation{kind: kind, id: id, ticket: parsed, wait: wait})
}

func (d *Daemon) performAndWrite(w http.ResponseWriter, r *http.Request, op operation) {
	if reply := d.perform(r.Context(), op); reply != nil {
		d.writeReplyAndRecordFetch(w, r, op.ticket.Incarnation, reply)
	}
}

// writeReplyAndRecordFetch writes a reply and records that the caller has fetched it. If the
// connection has ended, the caller may not have read the reply, so the answer stays unfetched.
func (d *Daemon) writeReplyAndRecordFetch(w http.ResponseWriter, r *http.Request, owner ticket.Incarnation, reply *api.Reply) {
	writeReply(w, reply)
	if http.NewResponseController(w).Flush() == nil && r.Context().Err() == nil {
		d.recordFetch(owner, reply, false)
	}
}

func writeReply(w http.ResponseWriter, r *api.Reply) { writeJSON(w, r.HTTPStatus(), r) }

// writeJSON sends a value as JSON with Content-Length, so that the client detects a truncated answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	// A write error means that the caller has disconnected. It can ask again with its ticket.
	_, _ = w.Write(append(body, '\n'))
}
