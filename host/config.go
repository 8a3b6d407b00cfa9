package host

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/fleet/configcheck"
)

// maxLoggedFindings bounds the log lines about one configuration.
const maxLoggedFindings = 10

// DecodedConfig is a decoded configuration with what is questionable about it.
type DecodedConfig struct {
	Config   *fleet.Config // nil if Err is set
	Findings []configcheck.Finding
	Err      error // why the record cannot be decoded
}

// DecodeConfig decodes the record of a configuration and checks it. Workers are not considered, since most hosts know
// only those of their zone. memoryMB is the memory of the host in MiB; 0: not known.
func DecodeConfig(decode func(record []byte) (*fleet.Config, error), record []byte, memoryMB int64) *DecodedConfig {
	config, err := decode(record)
	if err != nil {
		return &DecodedConfig{Err: err}
	}
	return &DecodedConfig{Config: config, Findings: configcheck.Check(config, configcheck.Context{MemoryMB: memoryMB})}
}

// applyConfig puts a configuration in force if it is newer than the current one. The version
// never decreases.
func (s *State) applyConfig(now time.Duration, e ConfigRead) {
	from := e.From
	if from == "" {
		from = "store"
	}
	d := e.Decoded
	if d == nil {
		d = DecodeConfig(s.opts.Decode.Config, e.Record, s.opts.MemoryMB)
	}
	if d.Err != nil {
		s.configInvalid = true
		s.log("config", "", "configuration ignored", "from", from, "bytes", len(e.Record), "err", d.Err)
		return
	}
	if d.Config.Version <= s.configVersion() {
		return
	}
	s.log("config", "", "configuration in force", "version", d.Config.Version, "from", from, "routes", len(d.Config.Routes), "bytes", len(e.Record))
	s.logConfigFindings(d)
	s.configInvalid = false
	s.config = d.Config
	s.priorities = newPriorityLevels(d.Config)
	s.configRecord = e.Record
	s.configAdoptedAt = now
	s.configServer.SetRecord(d.Config.Version, e.Record)
	s.emit(ActivateConfig{Config: d.Config})
}

// logConfigFindings logs what is questionable about a configuration that comes into force. It is applied all
// the same.
func (s *State) logConfigFindings(d *DecodedConfig) {
	for _, f := range d.Findings[:min(len(d.Findings), maxLoggedFindings)] {
		s.log("config", "", "configuration is questionable", "version", d.Config.Version, "level", f.Level, "field", f.Field, "finding", f.Message)
	}
	if more := len(d.Findings) - maxLoggedFindings; more > 0 {
		s.log("config", "", "configuration has more findings", "version", d.Config.Version, "count", more)
	}
}
