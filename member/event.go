package member

import (
	"time"

	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// Event is an input of the state machine.
type Event interface{ isMemberEvent() }

// HostList is the platform's list of entry hosts and endpoints. It lags behind their
// actual state.
type HostList struct {
	Entries   []ListedHost
	Endpoints []place.Endpoint
}

// ListedHost describes an entry host in the platform's list.
type ListedHost struct {
	Host, Zone, Address string
	Incarnation         ticket.Incarnation // 0 if the list does not name it
	Leaving             bool
}

// Received is a message from a peer. The state machine answers it with Reply.
type Received struct {
	Token   uint64 // chosen by the caller of Apply; the Reply has the same token
	Message Message
}

// Replied is the answer to a Send.
type Replied struct {
	Host    string // host that was called
	Address string // address that was called
	// Incarnation is the incarnation that the Send expected at the address.
	Incarnation ticket.Incarnation
	Message     Message
}

// CallSucceeded reports that a call other than gossip reached a member.
type CallSucceeded struct {
	Host        string
	Incarnation ticket.Incarnation
}

// CallFailed reports that a call did not reach a member.
type CallFailed struct {
	Host        string
	Incarnation ticket.Incarnation // incarnation that the call expected; 0 if unknown
}

// EndpointLeaving reports that an endpoint refused work because it is leaving. A closed or
// refused connection does not prove that and must not be reported as this event.
type EndpointLeaving struct {
	Endpoint place.EndpointID
	Identity string
}

// ConfigChanged reports the configuration revision in force on this host.
type ConfigChanged struct{ Revision uint64 }

// Leave reports that this host has begun to drain.
type Leave struct{}

// Tick reports that time has passed. Rounds and timeouts that are due take effect.
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

// Effect is an output of the state machine. The caller of Apply carries it out.
type Effect interface{ isMemberEffect() }

// Send asks the caller of Apply to call a peer. The outcome comes back as the event
// Replied or CallFailed.
type Send struct {
	Host        string
	Address     string
	Incarnation ticket.Incarnation // expected at the address; 0 if unknown
	Message     Message
}

// Reply is the answer to a Received.
type Reply struct {
	Token   uint64
	Message Message
}

// EndpointsChanged carries the new list of endpoints and the number of entry hosts for the
// dispatcher.
type EndpointsChanged struct {
	Endpoints  []place.Endpoint
	EntryHosts int // live entry hosts that share the endpoints
}

// PeerConfigAhead reports that a peer has a higher configuration revision than this host.
type PeerConfigAhead struct {
	Host     string
	Address  string
	Revision uint64
}

// StatusChanged reports, for the log, that the status or incarnation of a member changed.
type StatusChanged struct {
	Record Record
	Before Status
}

// SelfReplaced reports that a newer process uses this host's name at another address. This
// process makes no more rounds of gossip calls.
type SelfReplaced struct{ By Record }

func (Send) isMemberEffect()             {}
func (Reply) isMemberEffect()            {}
func (EndpointsChanged) isMemberEffect() {}
func (PeerConfigAhead) isMemberEffect()  {}
func (StatusChanged) isMemberEffect()    {}
func (SelfReplaced) isMemberEffect()     {}

// Apply handles an event. now is the time since the process started. The returned effects
// are valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	s.detectPause(now)
	switch ev := ev.(type) {
	case HostList:
		s.handleHostList(now, ev)
	case Received:
		s.handleReceived(now, ev)
	case Replied:
		s.handleReplied(now, ev)
	case CallSucceeded:
		s.handleCallSucceeded(now, ev)
	case CallFailed:
		s.handleCallFailed(now, ev)
	case EndpointLeaving:
		s.recordMark(now, LeavingMark(ev))
	case ConfigChanged:
		s.self.ConfigRevision = max(s.self.ConfigRevision, ev.Revision)
	case Leave:
		s.handleLeave()
	case Tick:
	}
	s.expireSuspects(now)
	s.runDueRound(now)
	s.emitEndpoints(now)
	return s.effects
}

// NextWake returns the time, since the process started, at which to call Apply again even
// if no event comes: when the next round or timeout is due, and soon enough that a pause
// of the process can be told from a time without events.
func (s *State) NextWake() time.Duration {
	wake := min(s.nextRound, s.lastEvent+pauseThreshold/2)
	if s.suspectCount == 0 {
		return wake
	}
	for _, name := range s.names {
		if p := s.peers[name]; p.Status == Suspect {
			wake = min(wake, p.suspectDeadline)
		}
	}
	return wake
}

func (s *State) handleLeave() {
	if s.self.Status == Leaving {
		return
	}
	s.self.Status = Leaving
	s.self.Heartbeat++
	s.selfSendsLeft = s.rumorSends()
}
