package api

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against bad requests that are accepted, and against errors without the right code or field.
func TestDecodeJob(t *testing.T) {
	limits := Limits{BodyBytes: 400, Tasks: 3, Tickets: 10}
	datadriven.RunTest(t, "testdata/decode", func(t *testing.T, d *datadriven.TestData) string {
		body := strings.NewReader(d.Input)
		var err *Error
		switch d.Cmd {
		case "job":
			_, err = DecodeJob(body, limits)
		case "tickets":
			_, err = DecodeTicketRequest(body, limits)
		}
		if err == nil {
			return "ok\n"
		}
		out, marshalErr := json.Marshal(err)
		if marshalErr != nil {
			t.Fatal(marshalErr)
		}
		return string(out) + "\n"
	})
}
