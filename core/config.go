package core

import (
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/member"
)

// configEvent is an event about the config stream or about a snapshot fetched from a peer.
type configEvent interface{ isConfigEvent() }

// ConfigRecord is one record of the config stream.
type ConfigRecord struct {
	Offset uint64
	Data   []byte
}

// ConfigTruncated says that the log holds only the records of the config stream from offset First
// on.
type ConfigTruncated struct{ First uint64 }

// ConfigFetched is a snapshot of the configuration that was fetched from a peer.
type ConfigFetched struct {
	Peer string // host name
	Data []byte
}

func (ConfigRecord) isConfigEvent()    {}
func (ConfigTruncated) isConfigEvent() {}
func (ConfigFetched) isConfigEvent()   {}

// ConfigInForce says that a new revision of the configuration took effect on this host.
type ConfigInForce struct {
	Revision uint64
	Source   ConfigSource
	Config   *config.Config
}

// ConfigNotApplied says that the latest revision was accepted but is not in force on this host.
type ConfigNotApplied struct {
	Latest, InForce uint64
	Reason          string
}

// PublicationDecided says whether a publication that was read from the log was accepted or rejected.
type PublicationDecided struct{ Outcome config.Outcome }

// ConfigFetchFailed says that a snapshot fetched from a peer could not be restored.
type ConfigFetchFailed struct {
	Peer string
	Err  error
}

// ConfigSource says where the configuration in force came from. It is shown to operators.
type ConfigSource string

// The sources of configuration. FromNowhere means that no configuration is in force. The host name
// of the peer is appended to FromPeer.
const (
	FromNowhere  ConfigSource = ""
	FromLog      ConfigSource = "log"
	FromSnapshot ConfigSource = "snapshot"
	FromPeer     ConfigSource = "peer "
)

// ConfigSource returns where the configuration in force came from.
func (s *State) ConfigSource() ConfigSource { return s.configSource }

// SnapshotDue reports whether this host should append a snapshot of the configuration to the log.
// firstOffset is the oldest offset that the log holds, and interval is the number of records
// after which a new snapshot is due. A snapshot is also due when none has been read for maxAge,
// because a log may drop records by their age.
func (s *State) SnapshotDue(now time.Duration, firstOffset, interval uint64, maxAge time.Duration) bool {
	tooOld := now-s.lastSnapshotRead >= maxAge && s.Config.Revision() > 0 && !s.Config.Seeking()
	return tooOld || s.Config.SnapshotDue(firstOffset, interval)
}

func (s *State) handleConfigEvent(now time.Duration, ev configEvent) {
	snapshotAt := s.Config.SnapshotNext()
	inForce, latest := s.Config.InForce(), s.Config.Revision()
	source := FromLog
	switch ev := ev.(type) {
	case ConfigRecord:
		o := s.Config.Apply(ev.Offset, ev.Data)
		if o.Restored {
			source = FromSnapshot
		}
		if !o.Ignored && !o.Restored {
			s.effects = append(s.effects, PublicationDecided{Outcome: o})
		}
	case ConfigTruncated:
		s.Config.HandleTruncation(ev.First)
	case ConfigFetched:
		source = FromPeer + ConfigSource(ev.Peer)
		if _, err := s.Config.Restore(ev.Data); err != nil {
			s.effects = append(s.effects, ConfigFetchFailed{Peer: ev.Peer, Err: err})
		}
	}
	if s.Config.SnapshotNext() != snapshotAt {
		s.lastSnapshotRead = now
	}
	s.reportConfigChange(now, inForce, latest, source)
}

// reportConfigChange passes a new revision in force to the dispatcher, to membership and to the
// daemon, or reports that the latest revision can't be applied. inForce and latest are the
// revisions before the event.
func (s *State) reportConfigChange(now time.Duration, inForce, latest uint64, source ConfigSource) {
	if s.Config.InForce() > inForce {
		s.configSource = source
		current := s.Config.Current()
		s.effects = append(s.effects, ConfigInForce{Revision: s.Config.InForce(), Source: source, Config: current})
		s.applyDispatch(now, dispatch.PolicyChanged{Policy: dispatchPolicy(current)})
		s.applyMember(now, member.ConfigChanged{Revision: s.Config.InForce()})
	}
	if s.Config.Revision() > latest && s.Config.InForce() < s.Config.Revision() {
		s.effects = append(s.effects, ConfigNotApplied{
			Latest: s.Config.Revision(), InForce: s.Config.InForce(), Reason: s.Config.Problem(),
		})
	}
}
