package host

import (
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/fleet/configcheck"
)

// maxLoggedFindings bounds the log lines about one configuration.
const maxLoggedFindings = 10

// logConfigFindings logs what is questionable about a configuration that comes into force. It is applied all
// the same. Workers are not considered, since most hosts know only those of their zone.
func (s *State) logConfigFindings(c *fleet.Config) {
	findings := configcheck.Check(c, configcheck.Context{MemoryMB: s.opts.MemoryMB})
	for _, f := range findings[:min(len(findings), maxLoggedFindings)] {
		s.log("config", "", "configuration is questionable", "version", c.Version, "level", f.Level, "field", f.Field, "finding", f.Message)
	}
	if more := len(findings) - maxLoggedFindings; more > 0 {
		s.log("config", "", "configuration has more findings", "version", c.Version, "count", more)
	}
}
