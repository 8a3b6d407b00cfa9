package api

import (
	"fmt"
	"net/http"
)

// Code is a stable error code: programs may depend on it, unlike on the message.
type Code string

// The error codes of the callers' and operators' interfaces.
const (
	CodeMalformed       Code = "malformed_json"
	CodeUnknownField    Code = "unknown_field"
	CodeSchema          Code = "schema_not_supported"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeTooManyTasks    Code = "too_many_tasks"
	CodeInvalid         Code = "invalid_value"
	CodeMissing         Code = "missing_value"
	CodeUnknownKind     Code = "unknown_kind"
	CodeUnknownTeam     Code = "unknown_team"
	CodeBadTicket       Code = "malformed_ticket"
	CodeTicketExpired   Code = "ticket_expired"
	CodeTicketNotFound  Code = "ticket_not_submitted"
	CodeTicketReused    Code = "ticket_reused"
	CodeDeadlineTooLong Code = "deadline_too_long"
	CodeDraining        Code = "draining"
	CodeOverloaded      Code = "overloaded"
	CodeQuota           Code = "team_quota_exceeded"
	CodeTooLate         Code = "deadline_cannot_be_met"
	CodeNeverFits       Code = "no_endpoint_can_run_it"
	CodeNoEndpoint      Code = "no_endpoint_available"
	CodeKeyEpoch        Code = "key_epoch_expired"
	CodeLogUnavailable  Code = "log_unavailable"
	CodeRunning         Code = "running"
	CodeDeadline        Code = "deadline_exceeded"
	CodeCancelled       Code = "cancelled"
	CodeTaskFailed      Code = "task_failed"
	CodeTaskLost        Code = "task_outcome_unknown"
	CodeOwnerLost       Code = "owner_lost"
	CodeOwnerAway       Code = "owner_unreachable"
	CodeAnswerExpired   Code = "answer_expired"
	CodeInternal        Code = "internal_invariant"
	CodeUnauthorized    Code = "unauthorized"
	CodePublisher       Code = "publisher_not_listed"
	CodeNotFound        Code = "not_found"
)

// Error is an error with a code. Field names the JSON field that it is about, if there is one.
type Error struct {
	Code    Code   `json:"code"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error returns the code, the field if there is one, and the message.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", e.Code, e.Field, e.Message)
}

// Errorf returns an Error with a formatted message. field may be empty.
func Errorf(code Code, field, format string, args ...any) *Error {
	return &Error{Code: code, Field: field, Message: fmt.Sprintf(format, args...)}
}

// HTTPStatus returns the HTTP status code for a reply.
func (r *Reply) HTTPStatus() int {
	switch r.Outcome {
	case Complete, Failed:
		return http.StatusOK
	case Unknown:
		return r.unknownStatus()
	}
	if r.Reason == nil {
		return http.StatusServiceUnavailable
	}
	return r.Reason.status()
}

// BadRequest reports whether the HTTP status of the reply is 4xx and not 429, which is a refusal for load.
// With an unknown outcome that means that the request itself was bad, so that repeating it is of no use.
func (r *Reply) BadRequest() bool {
	status := r.HTTPStatus()
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests
}

// unknownStatus returns the HTTP status for an unknown outcome. It is an error status only if the request
// itself was bad, so that repeating it is of no use.
func (r *Reply) unknownStatus() int {
	if r.Reason != nil {
		switch r.Reason.Code {
		case CodeMalformed, CodeUnknownField, CodeSchema, CodeBodyTooLarge, CodeTooManyTasks, CodeInvalid, CodeMissing, CodeBadTicket, CodeTicketReused:
			return r.Reason.status()
		}
	}
	return http.StatusAccepted
}

// status returns the HTTP status for the reason of a refusal.
func (e *Error) status() int {
	switch e.Code {
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeOverloaded, CodeQuota, CodeTooLate:
		return http.StatusTooManyRequests
	case CodeDraining, CodeNoEndpoint, CodeLogUnavailable, CodeInternal:
		return http.StatusServiceUnavailable
	case CodeTicketExpired, CodeKeyEpoch:
		return http.StatusGone
	case CodeTicketNotFound:
		return http.StatusNotFound
	case CodeTicketReused:
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// Refusal returns a reply with the outcome Refused, which says that no task started, and its reason.
func Refusal(err *Error) *Reply {
	return &Reply{Schema: Schema, Outcome: Refused, Reason: err}
}
