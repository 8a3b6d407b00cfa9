package entry

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/fleet/configcheck"
)

// TestCheckJudgesAsRouteTable guards against a check that calls a route unreachable which requests reach, or
// the reverse, because it compares hosts and prefixes in another way than the hosts.
func TestCheckJudgesAsRouteTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := new(fleet.Config)
		for i := range rapid.IntRange(1, 5).Draw(t, "routes") {
			c.Routes = append(c.Routes, fleet.Route{
				Name:   fmt.Sprint(i),
				Host:   rapid.SampledFrom([]string{"a.example", "b.example", "a.example:80", "c.example."}).Draw(t, "host"),
				Prefix: rapid.SampledFrom([]string{"/p/", "/p/q/", "/p", "p/", "/"}).Draw(t, "prefix"),
			})
		}
		unreachable := make(map[int]bool)
		for _, f := range configcheck.Check(c, configcheck.Context{}) {
			var i int
			if _, err := fmt.Sscanf(f.Field, "routes[%d]", &i); err == nil && f.Level == configcheck.Error && !strings.HasSuffix(f.Field, "service") {
				unreachable[i] = true
			}
		}
		table := newRouteTable(c)
		for i, r := range c.Routes {
			path := "/" + strings.TrimPrefix(r.Prefix, "/") + "0123456789abcdef"
			found, _ := table.find(r.Host, path)
			if reached := found.Name == r.Name; reached == unreachable[i] {
				t.Fatalf("route %d, %s%s of %+v: reached %v", i, r.Host, r.Prefix, c.Routes, reached)
			}
		}
	})
}
