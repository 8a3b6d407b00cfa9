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

// jobPath names a job as its caller does.
type jobPath struct{ host, prefix, id string }

// cancelledName returns the job that a request cancels. It does not look at the routes in force, so that a job whose
// route was removed can be cancelled: the path of a submission is the prefix of its route and the ID.
func cancelledName(r *http.Request) (jobPath, bool) {
	at := len(r.URL.Path) - platform.JobIDDigits
	if r.Method != http.MethodDelete || at < 0 {
		return jobPath{}, false
	}
	p := jobPath{host: hostName(r.Host), prefix: r.URL.Path[:at], id: r.URL.Path[at:]}
	return p, platform.ValidJobID(p.id)
}

// cancel serves the cancellation of a job, also while the host shuts down. It goes on if the caller
// disconnects.
func (in *ingress) cancel(w http.ResponseWriter, r *http.Request, current *routeTable, job jobPath) {
	answer := make(chan host.CancelAnswer, 1)
	in.host.loop.send(cancelRequest{
		event: host.CancelRequested{
			Job: job.id, Route: fleet.Route{Host: job.host, Prefix: job.prefix},
			RequestID: platform.RequestID(r.Header), Remaining: platform.CallerTimeout(r.Header),
		},
		answer: answer,
	})
	started := sinceBoot()
	select {
	case a := <-answer:
		in.host.metrics.observe("cancel."+a.Result.String(), sinceBoot()-started)
		route, found := current.find(r.Host, r.URL.Path)
		writeCancelAnswer(w, a, found && route.Prefix == job.prefix)
	case <-r.Context().Done():
	case <-in.host.loop.ended:
		writeUnknownCancellation(w, "the host has stopped")
	}
}

// writeCancelAnswer writes the response for the result of a cancellation. Where the job's route is not in force, no
// request succeeds: the caller is told that there is no such job, which is so once it is cancelled.
func writeCancelAnswer(w http.ResponseWriter, a host.CancelAnswer, routeInForce bool) {
	switch {
	case a.Result == host.CancelDone && routeInForce:
		writeJSON(w, http.StatusOK, platform.StateBody(platform.StateCancelled))
	case a.Result == host.CancelDone || a.Result == host.CancelNotFound:
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
