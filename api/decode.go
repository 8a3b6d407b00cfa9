package api

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxDurationMS limits the durations in a request to one day, in milliseconds. A much larger number would
// overflow when it is converted to nanoseconds.
const maxDurationMS = 24 * 60 * 60 * 1000

// Limits limits the size of a request: bytes of its body, tasks of a job, and tickets of a batch.
type Limits struct {
	BodyBytes int64
	Tasks     int
	Tickets   int
}

// DecodeJob reads one job and checks its fields. On bad input it returns an *Error together with the job,
// which has the fields that could be decoded. The job is never nil.
func DecodeJob(r io.Reader, limits Limits) (*Job, *Error) {
	job := new(Job)
	if err := decodeStrict(r, limits.BodyBytes, job); err != nil {
		return job, err
	}
	return job, job.validate(limits)
}

// DecodeTicketRequest reads and checks a request for tickets. On bad input it returns nil and an *Error.
func DecodeTicketRequest(r io.Reader, limits Limits) (*TicketRequest, *Error) {
	req := new(TicketRequest)
	if err := decodeStrict(r, limits.BodyBytes, req); err != nil {
		return nil, err
	}
	if err := validateSchema(req.Schema); err != nil {
		return nil, err
	}
	if req.Count < 1 || req.Count > limits.Tickets {
		return nil, Errorf(CodeInvalid, "count", "count must be between 1 and %d", limits.Tickets)
	}
	if req.MaxDeadlineMS < 0 || req.MaxDeadlineMS > maxDurationMS {
		return nil, Errorf(CodeInvalid, "max_deadline_ms", "max_deadline_ms must be between 0 and %d", maxDurationMS)
	}
	return req, nil
}

// validate checks the fields that need no configuration. It returns nil or an *Error about the first bad
// field.
func (j *Job) validate(limits Limits) *Error {
	if err := validateSchema(j.Schema); err != nil {
		return err
	}
	switch {
	case j.Team == "":
		return Errorf(CodeMissing, "team", "team is required")
	case j.Kind == "":
		return Errorf(CodeMissing, "kind", "kind is required")
	case len(j.Tasks) == 0:
		return Errorf(CodeMissing, "tasks", "a job needs at least one task")
	case len(j.Tasks) > limits.Tasks:
		return Errorf(CodeTooManyTasks, "tasks", "a job may have at most %d tasks, this one has %d", limits.Tasks, len(j.Tasks))
	case j.DeadlineMS < 0 || j.DeadlineMS > maxDurationMS:
		return Errorf(CodeInvalid, "deadline_ms", "deadline_ms must be between 0 and %d", maxDurationMS)
	case j.WaitMS != nil && (*j.WaitMS < 0 || *j.WaitMS > maxDurationMS):
		return Errorf(CodeInvalid, "wait_ms", "wait_ms must be between 0 and %d", maxDurationMS)
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
		if t.RunMS > maxDurationMS {
			return Errorf(CodeInvalid, "tasks", "task %d declares a run time above %d ms", i, maxDurationMS)
		}
	}
	return nil
}

// validateSchema reports a schema version that is missing or that this build does not support.
func validateSchema(schema int) *Error {
	switch {
	case schema == 0:
		return Errorf(CodeMissing, "schema", "schema is required; this host supports 1 to %d", Schema)
	case schema < 0 || schema > Schema:
		return Errorf(CodeSchema, "schema", "schema %d is not supported; this host supports 1 to %d", schema, Schema)
	}
	return nil
}

// decodeStrict decodes exactly one JSON value of at most limit bytes and rejects unknown fields.
func decodeStrict(r io.Reader, limit int64, target any) *Error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return Errorf(CodeMalformed, "", "the body could not be read: %v", err)
	}
	if int64(len(body)) > limit {
		return Errorf(CodeBodyTooLarge, "", "the body is larger than %d bytes", limit)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return describeDecodeError(body, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Errorf(CodeMalformed, "", "the body has data after the JSON value")
	}
	return nil
}

// describeDecodeError returns the coded error for a body that could not be decoded. It reports a newer
// schema version first, since such a body may have fields that this build does not know.
func describeDecodeError(body []byte, err error) *Error {
	var probe struct {
		Schema int `json:"schema"`
	}
	if json.Unmarshal(body, &probe) == nil && probe.Schema > Schema {
		return validateSchema(probe.Schema)
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
