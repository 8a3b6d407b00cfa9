package platformsim

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/simhttp"
)

// errServiceUnavailable is the error that a service returns during an outage with status 503.
var errServiceUnavailable = errors.New("service is unavailable")

// SetFaults applies a change of the injected faults. If a field is invalid, it returns an error
// that names the field and changes nothing.
func (s *Sim) SetFaults(req FaultsRequest) error {
	if err := req.check(); err != nil {
		return err
	}
	for name, f := range s.faults {
		if req.Service != "" && req.Service != name {
			continue
		}
		if f.apply(req) {
			s.handleOutageEnd(name)
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

func (s *Sim) handleOutageEnd(service Service) {
	if service == ServiceHosts {
		s.hosts.renewAll(time.Now())
	}
}

// Faults returns the injected faults of each service.
func (s *Sim) Faults() map[Service]Faults {
	all := make(map[Service]Faults, len(s.faults))
	for name, f := range s.faults {
		all[name] = f.current()
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

// withFaults wraps a handler with the injected faults of a service. An outage also withholds the
// answers of requests that are being handled when it begins.
func (s *Sim) withFaults(service Service, handle http.HandlerFunc) http.HandlerFunc {
	faults := s.faults[service]
	return func(w http.ResponseWriter, r *http.Request) {
		if err := readBody(w, r); err != nil {
			simhttp.WriteError(w, http.StatusBadRequest, err)
			return
		}
		if !s.checkOutage(faults, w, r) {
			return
		}
		if sleep(r.Context(), faults.delay()) != nil {
			return
		}
		lost := r.Method == http.MethodPost && faults.drawLostAnswer()
		answer := newBufferedAnswer()
		handle(answer, r)
		if lost {
			panic(http.ErrAbortHandler)
		}
		if s.checkOutage(faults, w, r) {
			answer.send(w)
		}
	}
}

// checkOutage returns true if the service has no outage. Otherwise it either answers 503 and
// returns false, or blocks until the outage changes, the client disconnects or the Sim stops, and
// then closes the connection by a panic with http.ErrAbortHandler.
func (s *Sim) checkOutage(faults *faultState, w http.ResponseWriter, r *http.Request) bool {
	outage, changed := faults.outage()
	switch outage {
	case OutageUnavailable:
		simhttp.WriteError(w, http.StatusServiceUnavailable, errServiceUnavailable)
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

// readBody reads the whole request body into memory. A hanging request must end when its client
// disconnects, and net/http detects a disconnected client only after the body has been read.
func readBody(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, simhttp.MaxBodyBytes))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// bufferedAnswer is an http.ResponseWriter that buffers the response, so that it can be withheld.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedAnswer() *bufferedAnswer {
	return &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
}

// Header returns the response header.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader sets the response status.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write appends to the response body.
func (a *bufferedAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

func (a *bufferedAnswer) send(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(a.body.Bytes())
}
