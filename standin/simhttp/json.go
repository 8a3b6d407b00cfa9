package simhttp

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxBodyBytes is the maximum size of a request body, in bytes.
const MaxBodyBytes = 4 << 20

// ReadJSON decodes the request body into v. It returns an error for malformed JSON, unknown fields
// and data after the JSON value. Rejecting unknown fields ensures that a misspelled fault setting
// is reported, not ignored.
func ReadJSON(r *http.Request, v any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return errors.Wrap(err, "decode request")
	}
	if decoder.More() {
		return errors.New("data after the JSON value")
	}
	return nil
}

// WriteJSON writes a response with the given status and v encoded as JSON. If v cannot be encoded,
// the response has status 500.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(body)
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error string `json:"error"`
}

// WriteError writes a response with the given status and the error's message as an ErrorReply.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, ErrorReply{Error: err.Error()})
}
