package core

import (
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/member"
)

// configEvent is an event of the config stream or of a peer's configuration.
type configEvent interface{ isConfigEvent() }

// ConfigRecord is one record of the config stream.
type ConfigRecord struct {
	Offset uint64
	Data   []byte
}

// ConfigTruncated says that the log keeps only offsets from First on.
type ConfigTruncated struct{ First uint64 }

// ConfigFetched is a peer's snapshot.
type ConfigFetched struct {
	Peer string // host name
	Data []byte
}

func (ConfigRecord) isConfigEvent()    {}
func (ConfigTruncated) isConfigEvent() {}
func (ConfigFetched) isConfigEvent()   {}

// ConfigInForce says that a new revision took effect.
type ConfigInForce struct {
	Revision uint64
	Source   ConfigSource
	Config   *config.Config
}

// ConfigNotApplied says that the latest revision was accepted but is not in force here.
type ConfigNotApplied struct {
	Latest, InForce uint64
	Reason          string
}

// ConfigJudged says what became of a publication in the log.
type ConfigJudged struct{ Outcome config.Outcome }

// ConfigFetchFailed says that a peer's snapshot could not be used.
type ConfigFetchFailed struct {
	Peer string
	Err  error
}

// ConfigSource says where the configuration in force came from.
type ConfigSource string

// The sources of configuration. A peer's name follows FromPeer.
const (
	FromNowhere  ConfigSource = ""
	FromLog      ConfigSource = "log"
	FromSnapshot ConfigSource = "snapshot"
	FromPeer     ConfigSource = "peer "
)

// ConfigSource returns where the configuration in force came from.
func (s *State) ConfigSource() ConfigSource { return s.source }

// SnapshotDue reports whether this host should append a snapshot of the configuration.
// first is the oldest offset that the log keeps. A snapshot is also due when none has been
// seen for the time age, since a log may drop records by their age.
func (s *State) SnapshotDue(now time.Duration, first, every uint64, age time.Duration) bool {
	old := now-s.snapshotSeen >= age && s.Config.Revision() > 0 && !s.Config.Seeking()
	return old || s.Config.SnapshotDue(first, every)
}

func (s *State) configEvent(now time.Duration, ev configEvent) {
	snapshotAt := s.Config.SnapshotAt()
	inForce, latest := s.Config.InForce(), s.Config.Revision()
	source := FromLog
	switch ev := ev.(type) {
	case ConfigRecord:
		o := s.Config.Apply(ev.Offset, ev.Data)
		if o.Restored {
			source = FromSnapshot
		}
		if !o.Ignored && !o.Restored {
			s.effects = append(s.effects, ConfigJudged{Outcome: o})
		}
	case ConfigTruncated:
		s.Config.Truncated(ev.First)
	case ConfigFetched:
		source = FromPeer + ConfigSource(ev.Peer)
		if _, err := s.Config.Restore(ev.Data); err != nil {
			s.effects = append(s.effects, ConfigFetchFailed{Peer: ev.Peer, Err: err})
		}
	}
	if s.Config.SnapshotAt() != snapshotAt {
		s.snapshotSeen = now
	}
	s.configChanged(now, inForce, latest, source)
}

// configChanged puts a new revision into effect, or reports that it cannot be applied.
func (s *State) configChanged(now time.Duration, inForce, latest uint64, source ConfigSource) {
	if s.Config.InForce() > inForce {
		s.source = source
		current := s.Config.Current()
		s.effects = append(s.effects, ConfigInForce{Revision: s.Config.InForce(), Source: source, Config: current})
		s.dispatch(now, dispatch.PolicyChanged{Policy: dispatchPolicy(current)})
		s.member(now, member.ConfigChanged{Revision: s.Config.InForce()})
	}
	if s.Config.Revision() > latest && s.Config.InForce() < s.Config.Revision() {
		s.effects = append(s.effects, ConfigNotApplied{
			Latest: s.Config.Revision(), InForce: s.Config.InForce(), Reason: s.Config.Problem(),
		})
	}
}
