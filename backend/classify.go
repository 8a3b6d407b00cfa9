package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sesameledge.dev/sesameledge/dispatch"
)

// maxDrainBytes bounds what is read of an answer without a result to keep its
// connection.
const maxDrainBytes = 4 << 10

var errTooLarge = errors.New("backend: result exceeds MaxResultBytes")

// Digest returns the value of HeaderDigest for a result.
func Digest(result []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(result)) }

// classify reads an answer. Whatever is not the agreed answer of this attempt is
// treated as no answer.
func (at *attempt) classify(ctx context.Context, resp *http.Response) dispatch.AttemptEnded {
	if !at.echoed(resp.Header) {
		return at.lost(ReasonCrossedAnswer)
	}
	switch refusal := resp.Header.Get(HeaderNotRun); {
	case resp.StatusCode == http.StatusOK:
		return at.result(ctx, resp)
	case resp.StatusCode == http.StatusInternalServerError:
		return at.answered(resp, dispatch.AttemptFailed, ReasonTaskFailed)
	case resp.StatusCode == http.StatusServiceUnavailable && refusal != "":
		return at.answered(resp, dispatch.AttemptNotStarted, refusalReason(refusal))
	}
	return at.lost(ReasonBadStatus)
}

// echoed reports whether the answer names this task and attempt, once each.
func (at *attempt) echoed(h http.Header) bool {
	return single(h[HeaderTask], at.task) && single(h[HeaderAttempt], at.number)
}

func single(values []string, want string) bool {
	return len(values) == 1 && values[0] == want
}

func (at *attempt) result(ctx context.Context, resp *http.Response) dispatch.AttemptEnded {
	result, err := readResult(resp, at.client.opts.MaxResultBytes)
	switch {
	case errors.Is(err, errTooLarge):
		return at.lost(ReasonTooLarge)
	case err != nil && ctx.Err() != nil:
		return at.lost(at.errorReason(ctx))
	case err != nil:
		return at.lost(ReasonTruncated)
	case !single(resp.Header[HeaderDigest], Digest(result)):
		return at.lost(ReasonDigestMismatch)
	}
	if len(result) == 0 {
		result = []byte(emptyJSON)
	}
	// A result that is not JSON would make the job's whole answer unreadable.
	if !json.Valid(result) {
		return at.answered(resp, dispatch.AttemptFailed, ReasonInvalidResult)
	}
	ended := at.answered(resp, dispatch.AttemptCompleted, ReasonOK)
	ended.Result = result
	return ended
}

// readResult reads the whole body. It returns errTooLarge for a result over limit
// bytes, and the transport's error for one that broke off.
func readResult(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		result := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, result)
		return result, err
	}
	result, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(result)) > limit {
		return nil, errTooLarge
	}
	return result, err
}

// answered reports an agreed answer and leaves its connection reusable.
func (at *attempt) answered(resp *http.Response, outcome dispatch.AttemptOutcome, reason Reason) dispatch.AttemptEnded {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	ended := at.ended(outcome, reason)
	if load, err := strconv.Atoi(resp.Header.Get(HeaderLoad)); err == nil && load >= 0 {
		ended.Load = load
	}
	return ended
}
