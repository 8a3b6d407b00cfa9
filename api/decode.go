package api

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxMillis bounds the durations of a request, a day in milliseconds. A larger number could
// overflow when it is turned into nanoseconds.
const maxMillis = 24 * 60 * 60 * 1000

// Limits bounds what a submission may hold.
type Limits struct {
	BodyBytes int64
	Tasks     int
	Tickets   int
}

// DecodeJob reads one job and checks its form. On bad input it returns an *Error, and what
// could be read of the job, at least its ticket, or nil.
func DecodeJob(r io.Reader, lim Limits) (*Job, *Error) {
	job := new(Job)
	if err := decodeStrict(r, lim.BodyBytes, job); err != nil {
		return job, err
	}
	return job, job.check(lim)
}

// DecodeTicketRequest reads a request for tickets. It returns an *Error on bad input.
func DecodeTicketRequest(r io.Reader, lim Limits) (*TicketRequest, *Error) {
	req := new(TicketRequest)
	if err := decodeStrict(r, lim.BodyBytes, req); err != nil {
		return nil, err
	}
	if err := checkSchema(req.Schema); err != nil {
		return nil, err
	}
	if req.Count < 1 || req.Count > lim.Tickets {
		return nil, Errorf(CodeInvalid, "count", "count must be between 1 and %d", lim.Tickets)
	}
	if req.MaxDeadlineMS < 0 || req.MaxDeadlineMS > maxMillis {
		return nil, Errorf(CodeInvalid, "max_deadline_ms", "max_deadline_ms must be between 0 and %d", maxMillis)
	}
	return req, nil
}

func (j *Job) check(lim Limits) *Error {
	if err := checkSchema(j.Schema); err != nil {
		return err
	}
	switch {
	case j.Team == "":
		return Errorf(CodeMissing, "team", "team is required")
	case j.Kind == "":
		return Errorf(CodeMissing, "kind", "kind is required")
	case len(j.Tasks) == 0:
		return Errorf(CodeMissing, "tasks", "a job needs at least one task")
	case len(j.Tasks) > lim.Tasks:
		return Errorf(CodeTooManyTasks, "tasks", "a job may have at most %d tasks, this one has %d", lim.Tasks, len(j.Tasks))
	case j.DeadlineMS < 0 || j.DeadlineMS > maxMillis:
		return Errorf(CodeInvalid, "deadline_ms", "deadline_ms must be between 0 and %d", maxMillis)
	case j.WaitMS != nil && (*j.WaitMS < 0 || *j.WaitMS > maxMillis):
		return Errorf(CodeInvalid, "wait_ms", "wait_ms must be between 0 and %d", maxMillis)
	case j.Ticket != "" && j.Key != "":
		return Errorf(CodeInvalid, "key", "a job carries a ticket or a key, not both")
	case j.Key != "" && j.KeyEpoch == nil:
		return Errorf(CodeMissing, "key_epoch", "a key needs the key_epoch that GET /v1/epoch returned")
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.RunMS < 0 || t.Cores < 0 || t.MemoryMB < 0 || t.Accelerators < 0 {
			return Errorf(CodeInvalid, "tasks", "task %d declares a negative run time or size", i)
		}
		if t.RunMS > maxMillis {
			return Errorf(CodeInvalid, "tasks", "task %d declares a run time above %d ms", i, maxMillis)
		}
	}
	return nil
}

func checkSchema(schema int) *Error {
	switch {
	case schema == 0:
		return Errorf(CodeMissing, "schema", "schema is required; this host supports 1 to %d", Schema)
	case schema < 0 || schema > Schema:
		return Errorf(CodeSchema, "schema", "schema %d is not supported; this host supports 1 to %d", schema, Schema)
	}
	return nil
}

// decodeStrict decodes exactly one JSON value with no unknown fields. A body of a newer
// schema version is reported as such, even if it has fields that this build does not know.
func decodeStrict(r io.Reader, limit int64, into any) *Error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return Errorf(CodeMalformed, "", "the body could not be read: %v", err)
	}
	if int64(len(body)) > limit {
		return Errorf(CodeBodyTooLarge, "", "the body is larger than %d bytes", limit)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return decodeError(body, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Errorf(CodeMalformed, "", "the body has data after the JSON value")
	}
	return nil
}

func decodeError(body []byte, err error) *Error {
	var probe struct {
		Schema int `json:"schema"`
	}
	if json.Unmarshal(body, &probe) == nil && probe.Schema > Schema {
		return checkSchema(probe.Schema)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		field = strings.Trim(field, `"`)
		return Errorf(CodeUnknownField, field, "the field %s is not known", field)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Errorf(CodeInvalid, typeErr.Field, "the value is a JSON %s, not a %s", typeErr.Value, typeErr.Type)
	}
	return Errorf(CodeMalformed, "", "the body is not valid JSON: %v", err)
}
