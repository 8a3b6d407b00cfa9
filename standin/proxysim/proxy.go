package proxysim

import (
	"net/http"
	"path"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/simhttp"
)

// ErrUnknownRoute reports that no route matches.
var ErrUnknownRoute = errors.New("unknown route")

// Proxy forwards its routes.
type Proxy struct {
	adminAddress string
	admin        *simhttp.Server
	routes       []*route
}

// New returns a Proxy that is not started.
func New(cfg Config) *Proxy {
	p := &Proxy{adminAddress: cfg.Admin}
	if p.adminAddress == "" {
		p.adminAddress = "127.0.0.1:0"
	}
	for _, r := range cfg.Routes {
		p.routes = append(p.routes, newRoute(r))
	}
	return p
}

// Start opens the admin interface and every route. After an error the proxy is stopped.
func (p *Proxy) Start() error {
	ln, err := simhttp.Listen(p.adminAddress)
	if err != nil {
		return err
	}
	p.admin = simhttp.Serve(ln, p.handler())
	for _, r := range p.routes {
		if err := r.open(); err != nil {
			p.Stop()
			return err
		}
	}
	return nil
}

// Stop closes every listener and connection.
func (p *Proxy) Stop() {
	if p.admin != nil {
		p.admin.Close()
	}
	for _, r := range p.routes {
		r.stop()
	}
}

// AdminURL returns the base URL of a started proxy's admin interface.
func (p *Proxy) AdminURL() string { return "http://" + p.admin.Addr() }

// Views describes the routes.
func (p *Proxy) Views() []RouteView {
	views := make([]RouteView, 0, len(p.routes))
	for _, r := range p.routes {
		views = append(views, r.view())
	}
	return views
}

// SetFault changes the faults of the matching routes. It fails with ErrUnknownRoute if
// none matches, or if the port of a route cannot be bound again after a cut.
func (p *Proxy) SetFault(req FaultRequest) error {
	if err := req.check(); err != nil {
		return err
	}
	found := false
	for _, r := range p.routes {
		if ok, _ := path.Match(req.Route, r.cfg.Name); !ok {
			continue
		}
		found = true
		if err := r.set(req); err != nil {
			return err
		}
	}
	if !found {
		return errors.Wrapf(ErrUnknownRoute, "%q", req.Route)
	}
	return nil
}

func (r *route) set(req FaultRequest) error {
	if req.DelayMS != nil {
		r.delayNS.Store(int64(*req.DelayMS) * int64(time.Millisecond))
	}
	if req.Hold != nil {
		r.hold.Store(*req.Hold)
	}
	if req.BlackHole {
		r.swallow()
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

func (p *Proxy) handler() http.Handler {
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
