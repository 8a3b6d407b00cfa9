// Package member holds the membership view of an entry host. It combines the peers named
// in the settings, the platform's lagging host list, gossip between entry hosts, and the
// outcomes of calls into one view of the entry hosts. It also combines the platform's
// list of endpoints with leaving marks into the list of endpoints that may get work. The
// view is used for routing only: a wrong entry may waste a message but never starts a
// task a second time.
//
// The package is a pure state machine: State.Apply takes an event and returns effects. It does no
// I/O and reads no clock. The daemon sends the messages and feeds in the events, package
// peer encodes the messages, and package dispatch uses the list of endpoints.
//
// In each interval a host calls one member of its availability zone and one contact in
// another zone. A failed call makes a member of the same zone suspect; a suspect that
// does not answer within SuspectTimeout is gone. Only the member itself raises the
// heartbeat of its record, and a higher heartbeat refutes older suspicions. A failed call
// to another zone never makes a member suspect, because a partition would then empty the
// view of that zone.
//
// Changes spread as rumors. Each rumor is sent a number of times that grows with the
// logarithm of the number of members. Each message also carries a small random part of
// the view, which makes up for lost rumors. The size limit of a message does not depend
// on the number of members.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
	"sesameledge.dev/sesameledge/ticket"
)

// Default values of Options.
const (
	DefaultInterval       = time.Second
	DefaultSuspectTimeout = 3 * time.Second
	DefaultContacts       = 2
)

const (
	// nameConflictTimeout is how long a process at another address must hold this host's
	// name before this process concludes that it has been replaced. A crashed process
	// whose heartbeat is higher, because the clock has gone back since, is gone from the
	// views long before this time has passed.
	nameConflictTimeout = 30 * time.Second
	// goneRetention is how long the view remembers a gone member that neither the settings
	// nor the platform's list names, so that late messages do not bring it back.
	goneRetention = 10 * time.Minute
	// maxReplacedPerHost limits the replaced incarnations remembered for each host.
	maxReplacedPerHost = 8
	// maxMembers limits the number of other hosts in the view.
	maxMembers = 4096
)

// Status is the state of a member in the view.
type Status uint8

// The statuses of a member. A suspect member is still used for routing.
const (
	Unknown Status = iota // named by the settings or the platform, but never heard from
	Live
	Leaving // drains and takes no new work
	Suspect // a call to it failed; it may still answer
	Gone
)

var statusNames = [...]string{"unknown", "live", "leaving", "suspect", "gone"}

// String returns the name of the status that operators see.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// Record describes an entry host. A record with an empty Host is compact: its receiver
// knows the member already and identifies it by the incarnation.
type Record struct {
	Host           string
	Zone           string
	Address        string // peer address, IP:port
	Incarnation    ticket.Incarnation
	Status         Status
	Heartbeat      uint64 // raised only by the member itself
	ConfigRevision uint64
	ConfigSchema   uint32 // highest configuration schema version that the member applies
}

// compact returns the record without the fields that the receiver knows already.
func (r Record) compact() Record {
	r.Host, r.Zone, r.Address, r.ConfigSchema = "", "", "", 0
	return r
}

// Options configures a State. Zero durations and counts take the defaults.
type Options struct {
	Host        string
	Zone        string
	Address     string // peer address of this host, IP:port
	Incarnation ticket.Incarnation
	// FirstHeartbeat is the heartbeat of the first record. If it is the wall clock in
	// milliseconds, a new process starts above the process that it replaces. If the clock
	// has gone back, one more exchange of messages corrects the heartbeat.
	FirstHeartbeat  uint64
	ConfigSchema    uint32
	Seed            uint64        // of the random choices
	Interval        time.Duration // between rounds of calls
	SuspectTimeout  time.Duration // time in which a suspect must answer
	ContactsPerZone int           // hosts called in each other availability zone
	Peers           []Peer        // entry hosts named by the settings
}

// Peer is an entry host that the settings name.
type Peer struct{ Host, Zone, Address string }

func (o Options) withDefaults() Options {
	defaults.SetIfZero(&o.Interval, DefaultInterval)
	defaults.SetIfZero(&o.SuspectTimeout, DefaultSuspectTimeout)
	defaults.SetIfZero(&o.ContactsPerZone, DefaultContacts)
	return o
}

// peer is the entry of another host in the view.
type peer struct {
	Record
	configured      bool          // named by settings
	listed          *ListedHost   // entry in the platform's last list, or nil
	lastHeard       time.Duration // time of the last message from the member itself; negative if none
	statusChangedAt time.Duration
	lastFailed      time.Duration // last failed call since the last successful one; negative if none
	suspectDeadline time.Duration // when the member is gone if it is still suspect
	sendsLeft       int           // how often the rumor about the member is still to be sent
	sendWhole       bool          // the rumor carries the whole record
	replaced        []replacedIncarnation
	introducedTo    ticket.Incarnation // process of the peer that was sent the whole record of this host
}

// replacedIncarnation is an earlier incarnation of a host, with its last address.
type replacedIncarnation struct {
	incarnation ticket.Incarnation
	address     string
}

// disabledMechanisms turns mechanisms off, so that tests can show that their oracle
// detects a missing mechanism.
type disabledMechanisms struct {
	replacedMemory bool // replaced incarnations are not remembered
	refutation     bool // suspicions are not refuted
	suspicion      bool // failed calls are ignored
	reconnection   bool // gone members are not called again
	randomSubset   bool // messages carry rumors but no random part of the view
	markRumors     bool // leaving marks are not sent to peers
	sizeLimit      bool // the size of messages is not limited
}

// State is the state machine's state. It is not safe for concurrent use.
type State struct {
	opts               Options
	rng                *rand.Rand
	self               Record
	selfSendsLeft      int           // how often the whole record of this host is still to be sent
	nameConfirmed      bool          // a peer has answered and named no other process under this host's name
	nameConflictSince  time.Duration // first record of another process under this host's name; negative if none
	selfReplaced       bool          // another process has taken this host's name
	peers              map[string]*peer
	names              []string // keys of peers, sorted, for deterministic iteration
	suspectCount       int
	liveOrSuspectCount int
	hostByIncarnation  map[ticket.Incarnation]string
	missing            []ticket.Incarnation // incarnations whose whole record this host asks for
	lastEvent          time.Duration        // time of the last call of Apply
	resumedAt          time.Duration        // end of the last pause of this process; negative if none
	nextRound          time.Duration
	rounds             uint64
	lastRequestRound   uint64              // round of the last call that asked for a whole record
	callQueue          []string            // members of this host's zone still to be called, in random order
	contacts           map[string][]string // by availability zone
	contactIndex       int                 // of the contact called last
	lastAhead          aheadReport
	endpoints          endpointView
	counters           Counters
	effects            []Effect
	disabled           disabledMechanisms
}

// Counters counts events of the state machine since the process started.
type Counters struct {
	Rounds               uint64 `json:"rounds"`
	Suspicions           uint64 `json:"suspicions"`
	Refutations          uint64 `json:"refutations"`
	Replacements         uint64 `json:"replacements"`
	OutdatedIncarnations uint64 `json:"outdated_incarnations"` // records of replaced incarnations ignored
	Gone                 uint64 `json:"gone"`
	EndpointMarks        uint64 `json:"endpoint_marks"`
	OversizedRecords     uint64 `json:"oversized_records"` // records too large for a message
}

// New returns the state of a process that has just started.
func New(opts Options) *State {
	opts = opts.withDefaults()
	s := &State{
		opts: opts,
		rng:  rand.New(rand.NewPCG(opts.Seed, opts.Seed^0xd1b54a32d192ed03)),
		self: Record{
			Host: opts.Host, Zone: opts.Zone, Address: opts.Address, Incarnation: opts.Incarnation,
			Status: Live, Heartbeat: max(opts.FirstHeartbeat, 1), ConfigSchema: opts.ConfigSchema,
		},
		peers:             make(map[string]*peer),
		hostByIncarnation: make(map[ticket.Incarnation]string),
		contacts:          make(map[string][]string),
		resumedAt:         -time.Hour,
		nameConflictSince: -1,
		endpoints:         newEndpointView(),
	}
	for _, p := range opts.Peers {
		if e := s.getOrAdd(p.Host); e != nil {
			e.Zone, e.Address, e.configured = p.Zone, p.Address, true
		}
	}
	s.selfSendsLeft = s.rumorSends()
	return s
}

// getOrAdd returns the entry of another host and adds it if the view has none. It returns
// nil for this host, for an empty name, and for a new host when the view is full.
func (s *State) getOrAdd(host string) *peer {
	if host == "" || host == s.opts.Host {
		return nil
	}
	if p, ok := s.peers[host]; ok {
		return p
	}
	if len(s.peers) >= maxMembers {
		return nil
	}
	p := &peer{Record: Record{Host: host}, lastHeard: -1, lastFailed: -1}
	s.peers[host] = p
	at := sort.SearchStrings(s.names, host)
	s.names = append(s.names, "")
	copy(s.names[at+1:], s.names[at:])
	s.names[at] = host
	return p
}

// removeStaleMembers removes members that have been gone or unknown for goneRetention and
// that neither the settings nor the platform's list names.
func (s *State) removeStaleMembers(now time.Duration) {
	kept := s.names[:0]
	for _, name := range s.names {
		p := s.peers[name]
		stale := p.Status == Gone || p.Status == Unknown
		if stale && !p.configured && p.listed == nil && now-p.statusChangedAt > goneRetention {
			delete(s.peers, name)
			delete(s.hostByIncarnation, p.Incarnation)
			continue
		}
		kept = append(kept, name)
	}
	s.names = kept
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters { return s.counters }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }
