package platformsim

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/simhttp"
)

// errOutage reports an outage of the service.
var errOutage = errors.New("service is unavailable")

// SetFaults changes faults. The error names an invalid field; nothing changes then.
func (s *Sim) SetFaults(req FaultsRequest) error {
	if err := req.check(); err != nil {
		return err
	}
	for name, f := range s.faults {
		if req.Service != "" && req.Service != name {
			continue
		}
		if f.set(req) {
			s.outageEnded(name)
		}
	}
	if req.Retention != nil {
		s.log.setRetention(*req.Retention)
	}
	if req.HostLagMS != nil {
		s.hosts.setLag(time.Duration(*req.HostLagMS) * time.Millisecond)
	}
	return nil
}

func (s *Sim) outageEnded(service Service) {
	if service == ServiceHosts {
		s.hosts.renewAll(time.Now())
	}
}

// Faults returns the faults of each service.
func (s *Sim) Faults() map[Service]Faults {
	all := make(map[Service]Faults, len(s.faults))
	for name, f := range s.faults {
		all[name] = f.get()
	}
	return all
}

func (s *Sim) serveFaults(w http.ResponseWriter, _ *http.Request) {
	simhttp.WriteJSON(w, http.StatusOK, s.Faults())
}

func (s *Sim) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultsRequest
	err := simhttp.ReadJSON(r, &req)
	if err == nil {
		err = s.SetFaults(req)
	}
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	s.serveFaults(w, r)
}

// withFaults applies the faults of a service to a handler. An outage withholds the
// answers of requests that were being handled when it began, too.
func (s *Sim) withFaults(service Service, handle http.HandlerFunc) http.HandlerFunc {
	faults := s.faults[service]
	return func(w http.ResponseWriter, r *http.Request) {
		if err := readBody(w, r); err != nil {
			simhttp.WriteError(w, http.StatusBadRequest, err)
			return
		}
		if !s.passOutage(faults, w, r) {
			return
		}
		if sleep(r.Context(), faults.delay()) != nil {
			return
		}
		lost := r.Method == http.MethodPost && faults.loses()
		answer := newAnswer()
		handle(answer, r)
		if lost {
			panic(http.ErrAbortHandler)
		}
		if s.passOutage(faults, w, r) {
			answer.send(w)
		}
	}
}

// passOutage reports whether the service is up. Otherwise it answers 503, or hangs until
// the outage changes and then closes the connection.
func (s *Sim) passOutage(faults *faultSwitch, w http.ResponseWriter, r *http.Request) bool {
	outage, changed := faults.outage()
	switch outage {
	case OutageUnavailable:
		simhttp.WriteError(w, http.StatusServiceUnavailable, errOutage)
		return false
	case OutageHang:
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-s.ctx.Done():
		}
		panic(http.ErrAbortHandler)
	}
	return true
}

// readBody buffers the request body. net/http notices that a client has gone only after
// the body was read, and a hanging request must end with its client.
func readBody(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, simhttp.MaxBody))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// answer buffers an answer, so that it can be withheld.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newAnswer() *answer {
	return &answer{header: make(http.Header), status: http.StatusOK}
}

// Header returns the header to be sent.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write adds to the body.
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }

func (a *answer) send(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	// A write error means that the client has gone.
	_, _ = w.Write(a.body.Bytes())
}
