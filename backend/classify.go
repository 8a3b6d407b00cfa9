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

// maxDrainBytes limits how much of the rest of an answer is read so that its connection can be reused.
const maxDrainBytes = 4 << 10

var errTooLarge = errors.New("backend: result exceeds MaxResultBytes")

// Digest returns the value of HeaderDigest for a result: its xxhash64 as 16 hexadecimal digits.
func Digest(result []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(result)) }

// classifyAnswer reads and classifies an answer. An answer that breaks the protocol or belongs to another
// attempt is treated as no answer.
func (at *attempt) classifyAnswer(ctx context.Context, resp *http.Response) dispatch.AttemptEnded {
	if !at.matchesEcho(resp.Header) {
		return at.endWithoutAnswer(ReasonCrossedAnswer)
	}
	switch refusal := resp.Header.Get(HeaderNotRun); {
	case resp.StatusCode == http.StatusOK:
		return at.classifyResult(ctx, resp)
	case resp.StatusCode == http.StatusInternalServerError:
		return at.endWithAnswer(resp, dispatch.AttemptFailed, ReasonTaskFailed)
	case resp.StatusCode == http.StatusServiceUnavailable && refusal != "":
		return at.endWithAnswer(resp, dispatch.AttemptNotStarted, refusalReason(refusal))
	}
	return at.endWithoutAnswer(ReasonBadStatus)
}

// matchesEcho reports whether the header of the answer names this task and this attempt, once each.
func (at *attempt) matchesEcho(h http.Header) bool {
	return isSingleValue(h[HeaderTask], at.taskHeader) && isSingleValue(h[HeaderAttempt], at.attemptHeader)
}

// isSingleValue reports whether values holds want and nothing else.
func isSingleValue(values []string, want string) bool {
	return len(values) == 1 && values[0] == want
}

// classifyResult reads and checks the result in an answer of status 200.
func (at *attempt) classifyResult(ctx context.Context, resp *http.Response) dispatch.AttemptEnded {
	result, err := readResult(resp, at.client.opts.MaxResultBytes)
	switch {
	case errors.Is(err, errTooLarge):
		return at.endWithoutAnswer(ReasonTooLarge)
	case err != nil && ctx.Err() != nil:
		return at.endWithoutAnswer(at.errorReason(ctx))
	case err != nil:
		return at.endWithoutAnswer(ReasonTruncated)
	case !isSingleValue(resp.Header[HeaderDigest], Digest(result)):
		return at.endWithoutAnswer(ReasonDigestMismatch)
	}
	if len(result) == 0 {
		result = []byte(emptyJSON)
	}
	// A result that is not JSON would make the answer of the whole job unreadable.
	if !json.Valid(result) {
		return at.endWithAnswer(resp, dispatch.AttemptFailed, ReasonInvalidResult)
	}
	ended := at.endWithAnswer(resp, dispatch.AttemptCompleted, ReasonOK)
	ended.Result = result
	return ended
}

// readResult reads the whole body. It returns errTooLarge if the result exceeds limit bytes, and the
// error of the transport if the result is truncated.
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

// endWithAnswer classifies an attempt with a valid answer. It adds the reported load and reads the rest of
// the answer, so that the connection can be reused.
func (at *attempt) endWithAnswer(resp *http.Response, outcome dispatch.AttemptOutcome, reason Reason) dispatch.AttemptEnded {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	ended := at.newAttemptEnded(outcome, reason)
	if load, err := strconv.Atoi(resp.Header.Get(HeaderLoad)); err == nil && load >= 0 {
		ended.ReportedLoad = load
	}
	return ended
}
