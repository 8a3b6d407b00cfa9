package entry

import (
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
)

// cancelRetryDelay is the time after which a caller may send a cancellation again whose result is not known.
const cancelRetryDelay = time.Second

// cancelRequest is a caller's cancellation with the channel for its answer, which has room for one value.
type cancelRequest struct {
	event  host.CancelRequested
	answer chan<- host.CancelAnswer
}

// cancel serves the cancellation of a job, also while the host shuts down. It goes on if the caller
// disconnects.
func (in *ingress) cancel(w http.ResponseWriter, r *http.Request, route fleet.Route, id string) {
	answer := make(chan host.CancelAnswer, 1)
	in.host.loop.send(cancelRequest{
		event:  host.CancelRequested{Job: id, Route: route, RequestID: platform.RequestID(r.Header), Remaining: platform.CallerTimeout(r.Header)},
		answer: answer,
	})
	started := sinceBoot()
	select {
	case a := <-answer:
		in.host.metrics.observe("cancel."+a.Result.String(), sinceBoot()-started)
		writeCancelAnswer(w, a)
	case <-r.Context().Done():
	case <-in.host.loop.ended:
		writeUnknownCancellation(w, "the host has stopped")
	}
}

// writeCancelAnswer writes the response for the result of a cancellation.
func writeCancelAnswer(w http.ResponseWriter, a host.CancelAnswer) {
	switch a.Result {
	case host.CancelDone:
		writeJSON(w, http.StatusOK, platform.StateBody(platform.StateCancelled))
	case host.CancelNotFound:
		writeJSON(w, http.StatusGone, platform.ErrorBody("no such job is in progress"))
	default:
		writeUnknownCancellation(w, a.Reason)
	}
}

// writeUnknownCancellation writes the response for a cancellation of which some hosts may not have heard.
func writeUnknownCancellation(w http.ResponseWriter, reason string) {
	setRetryAfter(w, cancelRetryDelay)
	writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody("not known whether the job is cancelled everywhere, try again: "+reason))
}
