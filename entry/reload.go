package entry

import (
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// Reload reads the settings file again. Seeds and the bound of the log take effect at once;
// the rest, such as addresses, holds from the next start. A file with problems changes
// nothing.
func (h *Host) Reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		_ = h.logger.Log("part", "entry", "msg", "settings not reloaded", "err", err)
		return
	}
	h.writer.setRate(s.Log.LinesPerSecond)
	var seeds host.HostsKnown
	for _, addr := range s.Seeds {
		seeds.Hosts = append(seeds.Hosts, &meshpb.Host{Addr: addr})
	}
	h.loop.send(seeds)
	_ = h.logger.Log("part", "entry", "msg", "settings reloaded", "seeds", len(s.Seeds))
}
