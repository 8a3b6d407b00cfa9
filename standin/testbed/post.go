package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
)

// resumeSignal continues a process that was paused by SIGSTOP.
const resumeSignal = syscall.SIGCONT

// PostJSON posts body as JSON and decodes the response body into the value that into points to.
// It doesn't decode if into is nil or the response has no body. It returns the HTTP status code.
// An error status such as 500 is not an error of PostJSON; a failed request, or a response that
// can't be read or decoded, is.
func PostJSON(ctx context.Context, url string, body, into any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil || into == nil || len(responseBody) == 0 {
		return resp.StatusCode, err
	}
	return resp.StatusCode, errors.Wrapf(json.Unmarshal(responseBody, into), "decoding the response of %s", url)
}
