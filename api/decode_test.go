package api

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDecodeJob guards against bad submissions that are accepted, and against errors
// that lose their code or field.
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
		out, encErr := json.Marshal(err)
		if encErr != nil {
			t.Fatal(encErr)
		}
		return string(out) + "\n"
	})
}
