package host

import (
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// configLagReportAfter is how long a host may lack the newest configuration before it is reported. Reads of
	// the store end well before.
	configLagReportAfter = time.Second
	// lagMemory is how long a host that is not in contact is reported. It may have been removed.
	lagMemory = 5 * time.Minute
	// reasonNoContact is why nothing newer is known of a host.
	reasonNoContact = "no contact"
)

// configLag is the state of a host that has an older configuration than the newest one known here.
type configLag struct {
	since    time.Duration // 0: it has the newest one
	reported bool
}

// newestConfigVersion returns the highest version that this host or a live peer has in force.
func (s *State) newestConfigVersion() int64 {
	newest := s.configVersion()
	for _, p := range s.sortedPeers {
		if p.live {
			newest = max(newest, p.status.GetConfigVersion())
		}
	}
	return newest
}

// configVersion returns the version in force, or 0.
func (s *State) configVersion() int64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// configWait returns what this host waits for if it knows of a newer configuration than its own.
func (s *State) configWait() meshpb.ConfigWait {
	newest := s.newestConfigVersion()
	switch {
	case s.configVersion() >= newest:
		return meshpb.ConfigWait_CONFIG_WAIT_NONE
	case s.configInvalid:
		return meshpb.ConfigWait_CONFIG_WAIT_INVALID
	case s.configFetch.Active():
		return meshpb.ConfigWait_CONFIG_WAIT_HOST
	case !s.storeReachable:
		return meshpb.ConfigWait_CONFIG_WAIT_STORE_UNREACHABLE
	default:
		return meshpb.ConfigWait_CONFIG_WAIT_STORE
	}
}

// waitReason returns the words for a ConfigWait in logs and metrics.
func waitReason(w meshpb.ConfigWait) string {
	switch w {
	case meshpb.ConfigWait_CONFIG_WAIT_STORE:
		return "reading the store"
	case meshpb.ConfigWait_CONFIG_WAIT_STORE_UNREACHABLE:
		return "store unreachable"
	case meshpb.ConfigWait_CONFIG_WAIT_HOST:
		return "reading from a host"
	case meshpb.ConfigWait_CONFIG_WAIT_INVALID:
		return "invalid"
	default:
		return "unknown"
	}
}

// trackConfigLag notes since when this host and its peers lack the newest configuration, and logs it: each host
// for itself, and a commander also for the hosts of its zone, which may not be able to tell.
func (s *State) trackConfigLag(now time.Duration) {
	newest := s.newestConfigVersion()
	s.trackLagOf(now, &s.lag, LaggingHost{Host: s.opts.Self.Name, Version: s.configVersion(), Newest: newest, Reason: waitReason(s.configWait())}, true)
	for _, p := range s.sortedPeers {
		if !s.tracksConfigOf(now, p) {
			p.lag = configLag{}
			continue
		}
		logged := s.CellCount() > 0 && p.info.GetZone() == s.opts.Self.Zone
		s.trackLagOf(now, &p.lag, p.laggingHost(newest), logged)
	}
}

// tracksConfigOf reports whether this host hears, or lately heard, often enough from a peer to tell which
// configuration it has.
func (s *State) tracksConfigOf(now time.Duration, p *peer) bool {
	return p.contacted && now-max(p.session.LastContact(), p.firstContactAt) < lagMemory && p.info.GetId() != 0 && (p.info.GetZone() == s.opts.Self.Zone || s.mayExchangeJobs(p))
}

// laggingHost returns what is known of a peer's configuration.
func (p *peer) laggingHost(newest int64) LaggingHost {
	h := LaggingHost{Host: p.info.GetName(), Version: p.status.GetConfigVersion(), Newest: newest, Reason: reasonNoContact}
	if p.live {
		h.Reason = waitReason(p.status.GetConfigWait())
	}
	return h
}

func (s *State) trackLagOf(now time.Duration, l *configLag, h LaggingHost, logged bool) {
	if h.Version >= h.Newest {
		if l.reported && logged {
			s.log("config", "", "host has the newest configuration", "peer", h.Host, "version", h.Version, "after", now-l.since)
		}
		*l = configLag{}
		return
	}
	if l.since == 0 {
		l.since = now
	}
	if l.reported || now-l.since < configLagReportAfter {
		return
	}
	l.reported = true
	if logged {
		s.log("config", "", "host lacks the newest configuration", "peer", h.Host, "version", h.Version, "newest", h.Newest, "since", now-l.since, "reason", h.Reason)
	}
}

// LaggingHost is a host that lacks the newest configuration.
type LaggingHost struct {
	Host    string
	Version int64 // that it has in force, as far as known
	Newest  int64
	Reason  string
	Since   time.Duration // for how long
}

// LaggingHosts returns this host and its peers as far as they are known to lack the newest configuration for
// longer than a read of the store takes.
func (s *State) LaggingHosts(now time.Duration) []LaggingHost {
	newest := s.newestConfigVersion()
	var list []LaggingHost
	add := func(l configLag, h LaggingHost) {
		if l.reported {
			h.Since = now - l.since
			list = append(list, h)
		}
	}
	add(s.lag, LaggingHost{Host: s.opts.Self.Name, Version: s.configVersion(), Newest: newest, Reason: waitReason(s.configWait())})
	for _, p := range s.sortedPeers {
		add(p.lag, p.laggingHost(newest))
	}
	return list
}
