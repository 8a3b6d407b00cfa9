package configcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// soundConfig returns a configuration without findings.
func soundConfig() *fleet.Config {
	route := func(name, prefix string) fleet.Route {
		return fleet.Route{Name: name, Host: "jobs.example", Prefix: prefix, Service: "desk", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond}
	}
	return &fleet.Config{
		Version: 7, Routes: []fleet.Route{route("a", "/a/"), route("b", "/b/")}, Services: []fleet.Service{{Name: "desk"}},
		Limits: fleet.RequestLimits{BodyBytes: 262144, HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// TestCheck guards against a fault that is not found, has the wrong level or field, and against findings
// about what is sound.
func TestCheck(t *testing.T) {
	context := Context{Workers: map[string]int{"desk": 4}, MemoryMB: 284}
	if found := Check(soundConfig(), context); len(found) != 0 {
		t.Fatalf("findings about a sound configuration: %v", found)
	}
	for _, c := range []struct {
		want   string // level, field and a part of the message
		change func(c *fleet.Config)
	}{
		{"error routes[1].name|route 0 has the name", func(c *fleet.Config) { c.Routes[1].Name = "a" }},
		{"error routes[0].name|has no name", func(c *fleet.Config) { c.Routes[0].Name = "" }},
		{"error routes[1].prefix|route 0 (a) has the same", func(c *fleet.Config) { c.Routes[1].Prefix = "/a/" }},
		{"error routes[1].prefix|begin with a slash", func(c *fleet.Config) { c.Routes[1].Prefix = "b/" }},
		{"warning routes[1].prefix|end with a slash", func(c *fleet.Config) { c.Routes[1].Prefix = "/b" }},
		{"warning routes[1].prefix|decoded paths", func(c *fleet.Config) { c.Routes[1].Prefix = "/b%20/" }},
		{"error routes[0].host|has a port", func(c *fleet.Config) { c.Routes[0].Host = "jobs.example:80" }},
		{"error routes[0].host|character '/'", func(c *fleet.Config) { c.Routes[0].Host = "jobs/x" }},
		{"error routes[0].host|is empty", func(c *fleet.Config) { c.Routes[0].Host = "" }},
		{"warning routes[0].host|ends with a dot", func(c *fleet.Config) { c.Routes[0].Host = "jobs.example." }},
		{"error routes[0].service|no service", func(c *fleet.Config) { c.Routes[0].Service = "other" }},
		{"warning routes[0].service|no worker offers", func(c *fleet.Config) {
			c.Routes[0].Service = "idle"
			c.Services = append(c.Services, fleet.Service{Name: "idle"})
		}},
		{"warning routes[0].service|switched off", func(c *fleet.Config) {
			c.Routes[0].Service = "off"
			c.Services = append(c.Services, fleet.Service{Name: "off", Standby: true})
		}},
		{"warning routes[0].advised|refuse all", func(c *fleet.Config) { c.Routes[0].PolicyAdvised = true }},
		{"warning routes[0].timeout|less than the objective", func(c *fleet.Config) {
			c.Routes[0].Timeout, c.Routes[0].ObjectiveOffset = 500*time.Millisecond, time.Second
		}},
		{"warning routes[0].timeout|negative", func(c *fleet.Config) { c.Routes[0].Timeout = -1 }},
		{"warning routes[0].max_attempts|do not fit", func(c *fleet.Config) { c.Routes[0].MaxAttempts = 26 }},
		{"warning routes[0].slack_factor|counts as 1", func(c *fleet.Config) { c.Routes[0].SlackFactor = 0.5 }},
		{"warning routes[0].objective_offset|negative", func(c *fleet.Config) { c.Routes[0].ObjectiveOffset = -1 }},
		{"warning routes[0].priority|below 0", func(c *fleet.Config) { c.Routes[0].Priority = -1 }},
		{"error services[1].name|service 0 has", func(c *fleet.Config) { c.Services = append(c.Services, c.Services[0]) }},
		{"warning services[1].name|no route uses", func(c *fleet.Config) { c.Services = append(c.Services, fleet.Service{Name: "x"}) }},
		{"error limits.body_bytes|does not fit", func(c *fleet.Config) { c.Limits.BodyBytes = 1 << 30 }},
		{"warning limits.body_bytes|only 1 requests", func(c *fleet.Config) { c.Limits.BodyBytes = 25 << 20 }},
		{"warning limits.body_bytes|negative", func(c *fleet.Config) { c.Limits.BodyBytes = -1 }},
		{"warning limits.body_bytes|no room", func(c *fleet.Config) { c.Limits.BodyBytes = 1000 }},
		{"error limits.header_bytes|does not fit", func(c *fleet.Config) { c.Limits.HeaderBytes = 1 << 30 }},
		{"warning limits.header_timeout|shortest timeout", func(c *fleet.Config) { c.Limits.HeaderTimeout = time.Minute }},
		{"warning limits.header_timeout|negative", func(c *fleet.Config) { c.Limits.IdleTimeout = -1 }},
		{"warning routes|no routes", func(c *fleet.Config) { c.Routes, c.Services = nil, nil }},
	} {
		config := soundConfig()
		c.change(config)
		where, message, _ := strings.Cut(c.want, "|")
		found := Check(config, context)
		if len(found) != 1 || string(found[0].Level)+" "+found[0].Field != where || !strings.Contains(found[0].Message, message) {
			t.Errorf("want %s, found %v", c.want, found)
		}
	}
}

// TestDiff guards against a difference that is not shown or shown as another one.
func TestDiff(t *testing.T) {
	before, after := soundConfig(), soundConfig()
	if d := Diff(before, after); len(d) != 0 {
		t.Fatalf("differences between equal configurations: %v", d)
	}
	before.Routes = append(before.Routes, fleet.Route{Name: "gone", Host: "h", Prefix: "/gone/"}, fleet.Route{Name: "old", Host: "h", Prefix: "/p/"})
	after.Routes = append([]fleet.Route{{Name: "new", Host: "h", Prefix: "/new/"}, {Name: "renamed", Host: "h", Prefix: "/p/"}}, after.Routes...)
	after.Routes[2].Timeout = time.Second
	after.Services[0].Standby = true
	after.Services = append(after.Services, fleet.Service{Name: "more"})
	after.Limits.BodyBytes = 9
	var got []string
	for _, c := range Diff(before, after) {
		if c.Effect == "" {
			t.Errorf("%v has no effect", c)
		}
		got = append(got, strings.TrimSpace(strings.Join([]string{string(c.Kind), c.Entry, c.Field, c.Before, c.After}, " ")))
	}
	want := []string{
		"changed route a timeout 1.5s 1s", "removed route gone  h/gone/ to service", "changed route old name old renamed",
		"added route new   h/new/ to service", "changed service desk standby false true", "added service more", "changed limits body_bytes 262144 9",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}
