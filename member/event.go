package member

import (
	"time"

	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// Event is an input of the reducer.
type Event interface{ isMemberEvent() }

// HostList is the platform's list, which lags behind the actual state.
type HostList struct {
	Entries   []Listed
	Endpoints []place.Endpoint
}

// Listed is an entry host in the platform's list.
type Listed struct {
	Host, Zone, Address string
	Incarnation         ticket.Incarnation // 0 if the list has none
	Leaving             bool
}

// Received is a message that a peer sent. It is answered with Reply.
type Received struct {
	Token   uint64 // drawn by the shell, returned in Reply
	Message Message
}

// Replied is the answer to a Send.
type Replied struct {
	Host    string // host that was called
	Address string // address that was called
	// Incarnation is the one that the Send expected there.
	Incarnation ticket.Incarnation
	Message     Message
}

// CallSucceeded says that a call other than gossip reached a member.
type CallSucceeded struct {
	Host        string
	Incarnation ticket.Incarnation
}

// CallFailed says that a call did not reach a member.
type CallFailed struct {
	Host        string
	Incarnation ticket.Incarnation // incarnation that was expected there; 0 if unknown
}

// EndpointLeaving says that an endpoint refused work because it is leaving. Closed and
// refused connections are no such proof and do not mark an endpoint.
type EndpointLeaving struct {
	Endpoint place.EndpointID
	Identity string
}

// ConfigChanged says which configuration revision is in force on this host.
type ConfigChanged struct{ Revision uint64 }

// Leave says that this host drains.
type Leave struct{}

// Tick lets rounds and timeouts take effect.
type Tick struct{}

func (HostList) isMemberEvent()        {}
func (Received) isMemberEvent()        {}
func (Replied) isMemberEvent()         {}
func (CallSucceeded) isMemberEvent()   {}
func (CallFailed) isMemberEvent()      {}
func (EndpointLeaving) isMemberEvent() {}
func (ConfigChanged) isMemberEvent()   {}
func (Leave) isMemberEvent()           {}
func (Tick) isMemberEvent()            {}

// Effect is an output of the reducer, run by the shell.
type Effect interface{ isMemberEffect() }

// Send asks the shell to call a peer. The shell answers with Replied or CallFailed.
type Send struct {
	Host        string
	Address     string
	Incarnation ticket.Incarnation // expected there; 0 if unknown
	Message     Message
}

// Reply answers a Received.
type Reply struct {
	Token   uint64
	Message Message
}

// EndpointsChanged carries the new list of endpoints for the dispatcher.
type EndpointsChanged struct {
	Endpoints  []place.Endpoint
	EntryHosts int // live entry hosts that share the endpoints
}

// PeerAhead says that a peer has a higher configuration revision than this host.
type PeerAhead struct {
	Host     string
	Address  string
	Revision uint64
}

// StatusChanged says that the status or incarnation of a member changed; for the log.
type StatusChanged struct {
	Record Record
	Before Status
}

// SelfReplaced says that a newer process uses this host's name at another address. This
// process sends no more gossip.
type SelfReplaced struct{ By Record }

func (Send) isMemberEffect()             {}
func (Reply) isMemberEffect()            {}
func (EndpointsChanged) isMemberEffect() {}
func (PeerAhead) isMemberEffect()        {}
func (StatusChanged) isMemberEffect()    {}
func (SelfReplaced) isMemberEffect()     {}

// Apply applies an event at the given time since process start and returns the effects,
// valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	s.noticePause(now)
	switch ev := ev.(type) {
	case HostList:
		s.hostList(now, ev)
	case Received:
		s.received(now, ev)
	case Replied:
		s.repliedBy(now, ev)
	case CallSucceeded:
		s.callSucceeded(now, ev)
	case CallFailed:
		s.callFailed(now, ev)
	case EndpointLeaving:
		s.mark(now, Mark(ev))
	case ConfigChanged:
		s.self.ConfigRevision = max(s.self.ConfigRevision, ev.Revision)
	case Leave:
		s.leave()
	case Tick:
	}
	s.expireSuspects(now)
	s.roundsDue(now)
	s.emitEndpoints(now)
	return s.effects
}

// NextWake returns when the next round or timeout is due.
func (s *State) NextWake() time.Duration {
	at := min(s.next, s.last+pauseGap/2)
	if s.suspects == 0 {
		return at
	}
	for _, name := range s.names {
		if p := s.peers[name]; p.Status == Suspect {
			at = min(at, p.suspectEnd)
		}
	}
	return at
}

func (s *State) leave() {
	if s.self.Status == Leaving {
		return
	}
	s.self.Status = Leaving
	s.self.Heartbeat++
	s.selfSend = s.rumorSends()
}
