package simhttp

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxBody bounds a request body, in bytes.
const MaxBody = 4 << 20

// ReadJSON decodes the request body into v. Unknown fields and trailing data are errors,
// so that a misspelled fault switch is reported and not ignored.
func ReadJSON(r *http.Request, v any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, MaxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Wrap(err, "decode request")
	}
	if dec.More() {
		return errors.New("data after the JSON value")
	}
	return nil
}

// WriteJSON answers with the status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has gone.
	_, _ = w.Write(body)
}

// ErrorReply is the body of an answer that reports an error.
type ErrorReply struct {
	Error string `json:"error"`
}

// WriteError answers with the status and the error's message.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, ErrorReply{Error: err.Error()})
}
