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

const contSignal = syscall.SIGCONT

// PostJSON posts a JSON value and decodes the answer, if there is one. It returns the
// status, also when that is an error status.
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
	text, err := io.ReadAll(resp.Body)
	if err != nil || into == nil || len(text) == 0 {
		return resp.StatusCode, err
	}
	return resp.StatusCode, errors.Wrapf(json.Unmarshal(text, into), "decoding the answer of %s", url)
}
