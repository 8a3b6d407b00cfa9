package entry

import (
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// defaultTimeout is how long a caller is taken to wait if neither it nor the route says.
	defaultTimeout = 10 * time.Second
	// defaultBodyBytes bounds a request's body if the configuration does not.
	defaultBodyBytes = 1 << 20
)

// routes is a configuration in force, arranged for look-ups. It is not changed.
type routes struct {
	config *fleet.Config
	byHost map[string][]fleet.Route // longest prefix first
}

func newRoutes(c *fleet.Config) *routes {
	r := &routes{config: c, byHost: make(map[string][]fleet.Route)}
	for _, route := range c.Routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, list := range r.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return r
}

// find returns the route with the longest prefix that the path begins with.
func (r *routes) find(hostHeader, path string) (fleet.Route, bool) {
	name := strings.ToLower(hostHeader)
	if bare, _, err := net.SplitHostPort(name); err == nil {
		name = bare
	}
	for _, route := range r.byHost[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return fleet.Route{}, false
}

func (r *routes) bodyBytes() int64 {
	if r.config.Limits.BodyBytes > 0 {
		return r.config.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// ingress serves callers.
type ingress struct {
	host     *Host
	routes   atomic.Pointer[routes]
	draining atomic.Bool // answers close their connections
	refusing atomic.Bool // new jobs are refused
	open     atomic.Int64
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.open.Add(1)
	defer in.open.Add(-1)
	if in.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	current := in.routes.Load()
	if current == nil {
		in.refuse(w, r, "no configuration yet", time.Second)
		return
	}
	route, ok := current.find(r.Host, r.URL.Path)
	if !ok {
		reply(w, http.StatusNotFound, platform.ErrorBody("no such route"))
		return
	}
	id := r.URL.Path[len(route.Prefix):]
	switch {
	case r.Method == http.MethodPost:
		in.submit(w, r, current, route, id)
	case r.Method == http.MethodGet && id == "":
		// Jobs are answered when they have ended; none is accepted and waits.
		reply(w, http.StatusOK, platform.PendingBody(0))
	case r.Method == http.MethodGet || r.Method == http.MethodDelete:
		reply(w, http.StatusGone, platform.ErrorBody("no such job"))
	default:
		reply(w, http.StatusMethodNotAllowed, platform.ErrorBody("method not allowed"))
	}
}

// submit serves the submission of a job.
func (in *ingress) submit(w http.ResponseWriter, r *http.Request, current *routes, route fleet.Route, id string) {
	spec, status, err := in.readJob(w, r, current, id)
	if err != nil {
		in.host.logRequest(r, "bad request", "route", route.Name, "job", id, "err", err)
		reply(w, status, platform.ErrorBody(err.Error()))
		return
	}
	switch {
	case spec.Unsupported != "":
		in.refuse(w, r, "not supported: "+spec.Unsupported, time.Minute)
		return
	case route.Advised:
		in.refuse(w, r, "not supported: routes with an advisor", time.Minute)
		return
	case in.refusing.Load():
		in.refuse(w, r, "the host is shutting down", time.Second)
		return
	}
	in.await(w, r, route, spec)
}

// readJob reads and decodes a submission. With an error it returns the status for it.
func (in *ingress) readJob(w http.ResponseWriter, r *http.Request, current *routes, id string) (fleet.JobSpec, int, error) {
	if !platform.ValidJobID(id) {
		return fleet.JobSpec{}, http.StatusBadRequest, errors.New("the path does not end with the name of a job")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, current.bodyBytes()))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fleet.JobSpec{}, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	case err != nil:
		return fleet.JobSpec{}, http.StatusBadRequest, errors.Wrap(err, "reading the body")
	}
	spec, err := platform.DecodeJob(id, r.Header, body)
	return spec, http.StatusBadRequest, err
}

// await hands a job to the loop and waits for its outcome.
func (in *ingress) await(w http.ResponseWriter, r *http.Request, route fleet.Route, spec fleet.JobSpec) {
	answer := make(chan host.Answer, 1)
	seq := make(chan uint64, 1)
	in.host.loop.send(arrival{event: host.Arrived{Spec: spec, Route: route, Left: timeLeft(r, route)}, seq: seq, answer: answer})
	began := clock()
	select {
	case a := <-answer:
		in.host.metrics.observeAnswer(a.Outcome, clock()-began)
		in.answer(w, a)
	case <-r.Context().Done():
		select {
		case n := <-seq:
			in.host.loop.send(host.CallerGone{Seq: n})
		case <-in.host.loop.ended:
		}
	case <-in.host.loop.ended:
		reply(w, http.StatusBadGateway, platform.ErrorBody("the host has stopped"))
	}
}

// timeLeft returns how long the caller waits, as far as it and the route say.
func timeLeft(r *http.Request, route fleet.Route) time.Duration {
	if left := platform.CallerTimeout(r.Header); left > 0 {
		return left
	}
	if route.Timeout > 0 {
		return route.Timeout
	}
	return defaultTimeout
}

func (in *ingress) answer(w http.ResponseWriter, a host.Answer) {
	switch a.Outcome {
	case sched.Completed:
		reply(w, http.StatusOK, platform.StateBody(platform.StateCompleted))
	case sched.Failed:
		reply(w, http.StatusOK, platform.StateBody(platform.StateFailed))
	case sched.Refused:
		retryAfter(w, a.Retry)
		reply(w, http.StatusServiceUnavailable, platform.ErrorBody(a.Reason))
	default:
		reply(w, http.StatusBadGateway, platform.ErrorBody(a.Reason))
	}
}

// refuse answers a request that has had no effect and will have none.
func (in *ingress) refuse(w http.ResponseWriter, r *http.Request, reason string, retry time.Duration) {
	in.host.logRequest(r, "request refused", "reason", reason, "path", r.URL.Path)
	retryAfter(w, retry)
	reply(w, http.StatusServiceUnavailable, platform.ErrorBody(reason))
}

func retryAfter(w http.ResponseWriter, d time.Duration) {
	seconds := int((d + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
}

func reply(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller is gone; its job has ended
}
