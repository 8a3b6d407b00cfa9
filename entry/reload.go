package entry

import (
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// Reload reads the settings file again. New seeds and the log's rate limit take effect at once.
// Other settings, such as addresses, take effect at the next start of the process. A file with
// problems is logged and changes nothing.
func (h *Host) Reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		_ = h.logger.Log("part", "entry", "msg", "settings not reloaded", "err", err)
		return
	}
	h.logOutput.setRate(s.Log.LinesPerSecond)
	var seeds host.HostsDiscovered
	for _, addr := range s.Seeds {
		seeds.Hosts = append(seeds.Hosts, &meshpb.Host{Addr: addr})
	}
	h.loop.send(seeds)
	_ = h.logger.Log("part", "entry", "msg", "settings reloaded", "seeds", len(s.Seeds))
}
