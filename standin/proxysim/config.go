// Package proxysim is a TCP proxy between processes under test whose routes can delay,
// cut or silently lose traffic at run time.
package proxysim

import (
	"path"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Config sets up a Proxy.
type Config struct {
	Admin  string // loopback IP:port of the admin interface; default 127.0.0.1:0
	Routes []RouteConfig
}

// RouteConfig describes one forwarded port.
type RouteConfig struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // loopback IP:port; default 127.0.0.1:0
	Target string `json:"target"` // loopback IP:port
}

// ParseRoute parses name=listen=target, where listen and target are IP:port.
func ParseRoute(text string) (RouteConfig, error) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 {
		return RouteConfig{}, errors.Newf("route %q is not name=listen=target", text)
	}
	return RouteConfig{Name: parts[0], Listen: parts[1], Target: parts[2]}, nil
}

// FaultRequest changes the faults of routes. Absent fields leave a fault as it is.
type FaultRequest struct {
	Route string `json:"route"` // name or shell pattern, such as "*" or "zone-a-*"
	// DelayMS delays the data of each direction by this many milliseconds. Connecting
	// is not delayed.
	DelayMS *int `json:"delay_ms,omitempty"`
	// Cut resets the open connections and refuses new ones until it is set to false.
	Cut *bool `json:"cut,omitempty"`
	// BlackHole makes the open connections lose all data of both directions for good,
	// without closing. It acts once; new connections work.
	BlackHole bool `json:"black_hole,omitempty"`
	// Hold keeps the data of a direction back until it is changed, as a partition does:
	// HoldTo, HoldFrom, HoldBoth or HoldNone.
	Hold *Hold `json:"hold,omitempty"`
}

// Hold names the directions whose data is kept back.
type Hold string

// The directions.
const (
	HoldNone Hold = ""
	HoldTo   Hold = "to"   // towards the target
	HoldFrom Hold = "from" // from the target
	HoldBoth Hold = "both"
)

func (f FaultRequest) check() error {
	if f.DelayMS != nil && *f.DelayMS < 0 {
		return errors.Newf("delay_ms %d is negative", *f.DelayMS)
	}
	if f.Hold != nil && !slices.Contains([]Hold{HoldNone, HoldTo, HoldFrom, HoldBoth}, *f.Hold) {
		return errors.Newf("hold %q names no direction", *f.Hold)
	}
	_, err := path.Match(f.Route, "")
	return errors.Wrapf(err, "route %q", f.Route)
}

// RouteView describes a route in the answer of GET /admin/routes.
type RouteView struct {
	RouteConfig
	DelayMS    int   `json:"delay_ms"`
	Cut        bool  `json:"cut"`
	Open       int   `json:"open"`        // connections, black-holed ones included
	Accepted   int64 `json:"accepted"`    // connections since the start
	BytesTo    int64 `json:"bytes_to"`    // delivered to the target
	BytesFrom  int64 `json:"bytes_from"`  // delivered from the target
	BlackHoled int64 `json:"black_holed"` // connections since the start
}
