// Package proxysim provides a TCP proxy that forwards loopback connections between processes under
// test and injects faults at run time: its routes can delay data, hold data back, reset and refuse
// connections, or silently discard data. Faults are set with Proxy.SetFault or over an HTTP admin
// interface. When to inject which fault is left to the test programs; package simhttp provides the
// listeners and the JSON helpers, and command faultproxy runs the proxy as a process.
package proxysim

import (
	"path"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Config is the configuration of a Proxy.
type Config struct {
	AdminAddress string // loopback IP:port of the admin interface; default 127.0.0.1:0
	Routes       []RouteConfig
}

// RouteConfig describes one forwarded port.
type RouteConfig struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // loopback IP:port; default 127.0.0.1:0
	Target string `json:"target"` // loopback IP:port
}

// ParseRoute parses name=listen=target, where listen and target are IP:port. It returns an error if
// the text does not have three parts; it does not check the addresses.
func ParseRoute(text string) (RouteConfig, error) {
	fields := strings.Split(text, "=")
	if len(fields) != 3 {
		return RouteConfig{}, errors.Newf("route %q is not name=listen=target", text)
	}
	return RouteConfig{Name: fields[0], Listen: fields[1], Target: fields[2]}, nil
}

// FaultRequest changes the faults of the routes whose name matches Route. An absent field leaves the
// fault unchanged. It is the body of POST /admin/faults.
type FaultRequest struct {
	Route string `json:"route"` // name or shell pattern, such as "*" or "zone-a-*"
	// DelayMS is the delay of the data in each direction, in milliseconds. Connection setup is not
	// delayed.
	DelayMS *int `json:"delay_ms,omitempty"`
	// Cut, if true, resets the open connections and refuses new ones until a request sets it to
	// false. Black-holed connections are not reset.
	Cut *bool `json:"cut,omitempty"`
	// BlackHole makes the connections that are open now discard all data in both directions
	// permanently, without being closed. Connections opened later are not affected.
	BlackHole bool `json:"black_hole,omitempty"`
	// Hold selects the directions whose data is held back, as in a network partition, until a
	// later request changes it: HoldToTarget, HoldFromTarget, HoldBoth or HoldNone. Holding by itself loses no data.
	Hold *Hold `json:"hold,omitempty"`
}

// Hold is the set of directions whose data is held back.
type Hold string

// The values of Hold.
const (
	HoldNone       Hold = ""
	HoldToTarget   Hold = "to"   // towards the target
	HoldFromTarget Hold = "from" // from the target
	HoldBoth       Hold = "both"
)

// validate returns an error if a value is out of range or the route pattern is malformed.
func (f FaultRequest) validate() error {
	if f.DelayMS != nil && *f.DelayMS < 0 {
		return errors.Newf("delay_ms %d is negative", *f.DelayMS)
	}
	if f.Hold != nil && !slices.Contains([]Hold{HoldNone, HoldToTarget, HoldFromTarget, HoldBoth}, *f.Hold) {
		return errors.Newf("hold %q names no direction", *f.Hold)
	}
	_, err := path.Match(f.Route, "")
	return errors.Wrapf(err, "route %q", f.Route)
}

// RouteView is the state of a route. The response to GET /admin/routes is a list of them. The
// counters start at zero when the proxy is created.
type RouteView struct {
	RouteConfig
	DelayMS               int   `json:"delay_ms"`
	Cut                   bool  `json:"cut"`
	OpenConnections       int   `json:"open"`        // including black-holed ones
	AcceptedConnections   int64 `json:"accepted"`    // connections since the start
	BytesToTarget         int64 `json:"bytes_to"`    // delivered to the target
	BytesFromTarget       int64 `json:"bytes_from"`  // delivered from the target
	BlackHoledConnections int64 `json:"black_holed"` // since the start
}
