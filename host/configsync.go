package host

import (
	"time"

	"sesameledge.dev/sesameledge/configsync"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// fetchConfig asks another host for a part of the newest configuration if that is due.
func (s *State) fetchConfig(now time.Duration) {
	storeFirst := s.storeReachable && s.offeredConfig <= s.configVersion()
	to, r, due := s.configFetch.Next(now, s.configVersion(), storeFirst, s.configSources(), s.rng.Uint64)
	if !due {
		return
	}
	p := s.peersByID[to]
	s.sendMessage(p, &meshpb.Message{Kind: &meshpb.Message_ConfigRequest{ConfigRequest: &meshpb.ConfigRequest{Version: r.Version, Offset: r.Offset}}})
}

// configSources returns the live hosts that have a newer configuration than this one and answer requests for it.
func (s *State) configSources() []configsync.Source {
	var sources []configsync.Source
	own := s.configVersion()
	for _, p := range s.sortedPeers {
		if p.live && p.status.GetServesConfig() && p.status.GetConfigVersion() > own {
			sources = append(sources, configsync.Source{
				ID: p.info.GetId(), Version: p.status.GetConfigVersion(), Near: p.info.GetZone() == s.opts.Self.Zone, Weight: p.info.GetWeight(),
			})
		}
	}
	return sources
}

// handleConfigRequest takes the request of a peer for a part of the configuration.
func (s *State) handleConfigRequest(p *peer, m *meshpb.ConfigRequest) {
	s.configServer.Add(p.info.GetId(), configsync.Request{Version: m.GetVersion(), Offset: m.GetOffset()})
}

// serveConfig answers requests for parts of the configuration as far as the link has room for it.
func (s *State) serveConfig(now time.Duration) {
	for _, r := range s.configServer.Replies(now) {
		p := s.peersByID[r.To]
		if p == nil || !p.live {
			continue // it asks another host
		}
		part := &meshpb.ConfigPart{Version: r.Part.Version, Offset: r.Part.Offset, Size: r.Part.Size, Data: r.Part.Data}
		s.sendMessage(p, &meshpb.Message{Kind: &meshpb.Message_ConfigPart{ConfigPart: part}})
	}
}

// handleConfigPart takes a part of a configuration, and has the configuration decoded once it is complete.
func (s *State) handleConfigPart(now time.Duration, p *peer, m *meshpb.ConfigPart) {
	part := configsync.Part{Version: m.GetVersion(), Offset: m.GetOffset(), Size: m.GetSize(), Data: m.GetData()}
	record, err := s.configFetch.Receive(now, p.info.GetId(), part)
	if err != nil {
		s.log("config", "", "part of a configuration ignored", "from", p.info.GetName(), "version", m.GetVersion(), "offset", m.GetOffset(), "err", err)
		return
	}
	if record != nil {
		s.emit(ConfigFetched{Record: record, From: p.info.GetName()})
	}
}
