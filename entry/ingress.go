package entry

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sesameledge.dev/sesameledge/admission"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// defaultTimeout is the time that a job has if neither the caller nor the route sets a timeout.
	defaultTimeout = 10 * time.Second
	// defaultMaxBodyBytes bounds a request's body if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
)

// routeTable indexes the routes of a configuration in force. It is immutable.
type routeTable struct {
	config *fleet.Config
	byHost map[string][]fleet.Route // longest prefix first
}

func newRouteTable(c *fleet.Config) *routeTable {
	r := &routeTable{config: c, byHost: make(map[string][]fleet.Route)}
	for _, route := range c.Routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, list := range r.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return r
}

// hostName returns the name in a Host header, without its port and in lower case.
func hostName(header string) string {
	name := strings.ToLower(header)
	if withoutPort, _, err := net.SplitHostPort(name); err == nil {
		return withoutPort
	}
	return name
}

// find returns the route of a Host header whose prefix is the longest that the path begins with.
// It ignores the header's port and case. It reports false if no route matches.
func (r *routeTable) find(hostHeader, path string) (fleet.Route, bool) {
	for _, route := range r.byHost[hostName(hostHeader)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return fleet.Route{}, false
}

// maxBodyBytes returns the limit for a request's body.
func (r *routeTable) maxBodyBytes() int64 {
	if r.config.Limits.BodyBytes > 0 {
		return r.config.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// ingress serves the requests of callers.
type ingress struct {
	host         *Host
	routes       atomic.Pointer[routeTable] // nil until a configuration is in force
	draining     atomic.Bool                // each response asks to close its connection
	refusing     atomic.Bool                // new jobs are refused
	openRequests atomic.Int64               // requests being served
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.openRequests.Add(1)
	defer in.openRequests.Add(-1)
	conn := connOf(r.Context())
	conn.enter(receivingPhase(r))
	defer conn.enter(admission.Answered)
	if in.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	current := in.routes.Load()
	if current == nil {
		in.refuse(w, r, "no configuration yet", time.Second)
		return
	}
	if name, ok := cancelledName(r); ok {
		in.cancel(w, r, current, name)
		return
	}
	route, ok := current.find(r.Host, r.URL.Path)
	if !ok {
		writeJSON(w, http.StatusNotFound, platform.ErrorBody("no such route"))
		return
	}
	id := r.URL.Path[len(route.Prefix):]
	switch {
	case r.Method == http.MethodPost:
		in.submit(w, r, current, route, id)
	case r.Method == http.MethodGet && id == "":
		// A submission is answered when its job has ended, so no accepted job is pending.
		writeJSON(w, http.StatusOK, platform.PendingBody(0))
	case r.Method == http.MethodGet || r.Method == http.MethodDelete:
		writeJSON(w, http.StatusGone, platform.ErrorBody("no such job"))
	default:
		writeJSON(w, http.StatusMethodNotAllowed, platform.ErrorBody("method not allowed"))
	}
}

// submit serves the submission of a job.
func (in *ingress) submit(w http.ResponseWriter, r *http.Request, current *routeTable, route fleet.Route, id string) {
	spec, ok := in.receiveJob(w, r, current, route, id)
	if !ok {
		return
	}
	connOf(r.Context()).enter(admission.Running)
	switch {
	case spec.UnsupportedReason != "":
		in.refuse(w, r, "not supported: "+spec.UnsupportedReason, time.Minute)
		return
	case route.PolicyAdvised:
		in.refuse(w, r, "not supported: routes with an advisor", time.Minute)
		return
	case in.refusing.Load():
		in.refuse(w, r, "the host is shutting down", time.Second)
		return
	}
	in.awaitAnswer(w, r, route, spec)
}

// awaitAnswer hands a job to the event loop, waits for its outcome and writes the response. If
// the caller disconnects first, it reports that to the state machine.
func (in *ingress) awaitAnswer(w http.ResponseWriter, r *http.Request, route fleet.Route, spec fleet.JobSpec) {
	conn, err := rawConnOf(r)
	if err != nil {
		in.refuse(w, r, err.Error(), time.Second)
		return
	}
	if !isOpen(conn) {
		in.refuse(w, r, reasonCallerLeft, time.Second)
		return
	}
	answer := make(chan host.Answer, 1)
	seq := make(chan uint64, 1)
	in.host.loop.send(jobArrival{event: host.JobArrived{Spec: spec, Route: route, Remaining: timeLeft(r, route)}, conn: conn, seq: seq, answer: answer})
	started := sinceBoot()
	select {
	case a, waits := <-answer:
		if !waits {
			writeCallerGone(w)
			return
		}
		in.host.metrics.observeAnswer(a.Outcome, sinceBoot()-started)
		in.writeOutcome(w, a)
	case <-r.Context().Done():
		select {
		case n := <-seq:
			in.host.loop.send(host.CallerGone{Seq: n})
		case <-in.host.loop.ended:
		}
		writeCallerGone(w)
	case <-in.host.loop.ended:
		writeJSON(w, http.StatusBadGateway, platform.ErrorBody("the host has stopped"))
	}
}

// reasonCallerLeft is the reason for refusing a job whose caller has closed the connection before the job began.
const reasonCallerLeft = "the caller has left before its job began"

// writeCallerGone answers a caller that has left while its job was in progress. One that has closed one direction of
// the connection only must not read an empty 200.
func writeCallerGone(w http.ResponseWriter) {
	writeJSON(w, http.StatusBadGateway, platform.ErrorBody("the caller has closed the connection"))
}

// timeLeft returns how long the caller waits for the answer: the request's own timeout, else the
// route's, else defaultTimeout.
func timeLeft(r *http.Request, route fleet.Route) time.Duration {
	if left := platform.CallerTimeout(r.Header); left > 0 {
		return left
	}
	if route.Timeout > 0 {
		return route.Timeout
	}
	return defaultTimeout
}

// writeOutcome writes the response for a job's outcome.
func (in *ingress) writeOutcome(w http.ResponseWriter, a host.Answer) {
	switch a.Outcome {
	case sched.Completed:
		writeJSON(w, http.StatusOK, platform.StateBody(platform.StateCompleted))
	case sched.Failed:
		writeJSON(w, http.StatusOK, platform.StateBody(platform.StateFailed))
	case sched.Cancelled:
		writeJSON(w, http.StatusOK, platform.StateBody(platform.StateCancelled))
	case sched.Refused:
		setRetryAfter(w, a.RetryAfter)
		writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody(a.Reason))
	default:
		writeJSON(w, http.StatusBadGateway, platform.ErrorBody(a.Reason))
	}
}

// refuse logs and answers a request that has had no effect and will have none. The caller may
// retry after retryDelay.
func (in *ingress) refuse(w http.ResponseWriter, r *http.Request, reason string, retryDelay time.Duration) {
	in.host.logRequest(r, "request refused", "reason", reason, "path", r.URL.Path)
	setRetryAfter(w, retryDelay)
	writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody(reason))
}

// setRetryAfter sets the Retry-After header to the duration rounded up to seconds, at least 1.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	seconds := int((d + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller has disconnected; the job has ended
}
