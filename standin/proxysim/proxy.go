package proxysim

import (
	"net/http"
	"path"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/simhttp"
)

// ErrUnknownRoute reports that no route matches the name or pattern of a FaultRequest.
var ErrUnknownRoute = errors.New("unknown route")

// Proxy forwards the connections of its routes and serves an HTTP admin interface to set faults.
type Proxy struct {
	adminAddress string // IP:port
	adminServer  *simhttp.Server
	routes       []*route
}

// New returns a Proxy for the configuration. It opens no listener until Start is called.
func New(cfg Config) *Proxy {
	p := &Proxy{adminAddress: cfg.AdminAddress}
	if p.adminAddress == "" {
		p.adminAddress = "127.0.0.1:0"
	}
	for _, r := range cfg.Routes {
		p.routes = append(p.routes, newRoute(r))
	}
	return p
}

// Start opens the admin interface and all routes. It returns an error if an address is not a
// loopback address or cannot be bound; nothing stays open in that case.
func (p *Proxy) Start() error {
	ln, err := simhttp.Listen(p.adminAddress)
	if err != nil {
		return err
	}
	p.adminServer = simhttp.Serve(ln, p.adminHandler())
	for _, r := range p.routes {
		if err := r.open(); err != nil {
			p.Stop()
			return err
		}
	}
	return nil
}

// Stop closes the admin interface, all listeners and all connections.
func (p *Proxy) Stop() {
	if p.adminServer != nil {
		p.adminServer.Close()
	}
	for _, r := range p.routes {
		r.stop()
	}
}

// AdminURL returns the base URL of the admin interface. The proxy must have been started.
func (p *Proxy) AdminURL() string { return "http://" + p.adminServer.Addr() }

// Views returns the state of each route, in the order of the configuration.
func (p *Proxy) Views() []RouteView {
	views := make([]RouteView, 0, len(p.routes))
	for _, r := range p.routes {
		views = append(views, r.describe())
	}
	return views
}

// SetFault changes the faults of the matching routes. It returns an error that wraps ErrUnknownRoute
// if no route matches, and other errors if the request is invalid or if the port of a route cannot
// be bound again after a cut.
func (p *Proxy) SetFault(req FaultRequest) error {
	if err := req.validate(); err != nil {
		return err
	}
	matched := false
	for _, r := range p.routes {
		if ok, _ := path.Match(req.Route, r.cfg.Name); !ok {
			continue
		}
		matched = true
		if err := r.applyFault(req); err != nil {
			return err
		}
	}
	if !matched {
		return errors.Wrapf(ErrUnknownRoute, "%q", req.Route)
	}
	return nil
}

// applyFault changes the faults of the route that the request names.
func (r *route) applyFault(req FaultRequest) error {
	if req.DelayMS != nil {
		r.delayNS.Store(int64(*req.DelayMS) * int64(time.Millisecond))
	}
	if req.Hold != nil {
		r.heldDirections.Store(*req.Hold)
	}
	if req.BlackHole {
		r.blackHoleConnections()
	}
	if req.Cut == nil {
		return nil
	}
	if *req.Cut {
		r.cut()
		return nil
	}
	return r.reopen()
}

// adminHandler returns the HTTP handler of the admin interface.
func (p *Proxy) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/routes", func(w http.ResponseWriter, _ *http.Request) {
		simhttp.WriteJSON(w, http.StatusOK, p.Views())
	})
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var req FaultRequest
		err := simhttp.ReadJSON(r, &req)
		if err == nil {
			err = p.SetFault(req)
		}
		if err != nil {
			simhttp.WriteError(w, http.StatusBadRequest, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
