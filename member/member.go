// Package member is the membership reducer of an entry host. It combines the peers in
// the settings, the platform's lagging host list, gossip, and the outcome of calls into
// one view of the entry hosts, and it combines the platform's list with leaving marks
// into the list of endpoints that may get work. The view is used for routing only: a
// wrong entry may cost a message and never a second start.
//
// Each host calls one member of its availability zone and one contact in another zone
// in each interval. A failed call makes a member of the same zone suspect; a suspect
// that does not answer within SuspectFor is gone. Only the member itself raises the
// heartbeat of its record, which refutes older suspicions. Calls to other zones never
// make a member suspect, because a partition would then empty the view of a zone.
//
// Changes travel as rumors, sent a number of times that grows with the logarithm of the
// number of members. Each message also carries a small random part of the view, so that
// a lost rumor is made up for. The size of a message does not depend on the number of
// members.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
	"sesameledge.dev/sesameledge/ticket"
)

// Defaults of Options.
const (
	DefaultInterval   = time.Second
	DefaultSuspectFor = 3 * time.Second
	DefaultContacts   = 2
)

const (
	// contestedFor is how long a process at another address must hold this host's name
	// before this process takes itself for replaced. A crashed process whose heartbeat
	// was higher, because a clock went back, is gone from the views well before.
	contestedFor = 30 * time.Second
	// keepGone is how long a gone member that no source names is remembered, so that its
	// late messages do not bring it back.
	keepGone = 10 * time.Minute
	// maxRetired bounds the replaced incarnations remembered per host.
	maxRetired = 8
	// maxMembers bounds the view.
	maxMembers = 4096
)

// Status is what the view says about a member.
type Status uint8

// The statuses. A member that is suspect is still used for routing.
const (
	Unknown Status = iota // named by settings or the platform, never heard
	Live
	Leaving
	Suspect
	Gone
)

var statusNames = [...]string{"unknown", "live", "leaving", "suspect", "gone"}

// String returns the status as operators see it.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// Record describes an entry host. A record with an empty Host is compact: it refers to
// a member that the receiver knows by its incarnation.
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
	// FirstHeartbeat is the heartbeat of the first record. The wall clock in milliseconds
	// makes a new process start above the one it replaces; a clock that went back only
	// costs one more exchange.
	FirstHeartbeat uint64
	ConfigSchema   uint32
	Seed           uint64
	Interval       time.Duration // between rounds of calls
	SuspectFor     time.Duration // time for a suspect to answer
	Contacts       int           // contacts in each other availability zone
	Peers          []Peer        // entry hosts named by the settings
}

// Peer is an entry host that the settings name.
type Peer struct{ Host, Zone, Address string }

func (o Options) withDefaults() Options {
	defaults.Set(&o.Interval, DefaultInterval)
	defaults.Set(&o.SuspectFor, DefaultSuspectFor)
	defaults.Set(&o.Contacts, DefaultContacts)
	return o
}

// peer is the view of one other host.
type peer struct {
	Record
	configured bool          // named by settings
	listed     *Listed       // entry in the platform's last list, or nil
	heard      time.Duration // last message of the member itself; negative if none
	changed    time.Duration // last change of status
	failed     time.Duration // last failed call since the last success; negative if none
	suspectEnd time.Duration
	sends      int  // rumor transmissions left
	full       bool // the rumor carries the whole record
	retired    []retired
	greeted    ticket.Incarnation // process that was sent the whole own record
}

// retired is an incarnation that was replaced.
type retired struct {
	incarnation ticket.Incarnation
	address     string
}

// faults switches mechanisms off, so that tests can show that their oracle notices.
type faults struct {
	noRetire    bool // replaced incarnations are forgotten
	noRefute    bool // suspicions are not refuted
	noSuspect   bool // failed calls are ignored
	noRevive    bool // gone members are not called again
	noSubset    bool // messages carry rumors only
	noMarkRumor bool // leaving marks are not passed on
	noBound     bool // messages are not bounded
}

// State is the reducer's state. It is not safe for concurrent use.
type State struct {
	opts     Options
	rng      *rand.Rand
	self     Record
	selfSend int           // rumor transmissions of the own record left
	settled  bool          // a peer has acknowledged this process under its host name
	contest  time.Duration // since when another process holds the host name; negative if none
	replaced bool
	peers    map[string]*peer
	names    []string // keys of peers, sorted, for deterministic iteration
	suspects int      // members that are suspect
	live     int      // members that are live or suspect
	byInc    map[ticket.Incarnation]string
	wanted   []ticket.Incarnation
	last     time.Duration // time of the last event
	resumed  time.Duration // end of the last pause; negative if none
	next     time.Duration // time of the next round
	rounds   uint64
	asked    uint64 // round of the last call for a whole record
	ring     []string
	contacts map[string][]string // by availability zone
	contact  int                 // next contact
	ahead    aheadNotice
	eps      endpointView
	counters Counters
	effects  []Effect
	faults   faults
}

// Counters counts what the reducer did since the process started.
type Counters struct {
	Rounds       uint64 `json:"rounds"`
	Suspicions   uint64 `json:"suspicions"`
	Refutations  uint64 `json:"refutations"`
	Replacements uint64 `json:"replacements"`
	Outdated     uint64 `json:"outdated_incarnations"` // records of replaced incarnations ignored
	Gone         uint64 `json:"gone"`
	Marks        uint64 `json:"endpoint_marks"`
	Oversized    uint64 `json:"oversized_records"` // records too large for a message
}

// New returns the view of a new process.
func New(opts Options) *State {
	opts = opts.withDefaults()
	s := &State{
		opts: opts,
		rng:  rand.New(rand.NewPCG(opts.Seed, opts.Seed^0xd1b54a32d192ed03)),
		self: Record{
			Host: opts.Host, Zone: opts.Zone, Address: opts.Address, Incarnation: opts.Incarnation,
			Status: Live, Heartbeat: max(opts.FirstHeartbeat, 1), ConfigSchema: opts.ConfigSchema,
		},
		peers:    make(map[string]*peer),
		byInc:    make(map[ticket.Incarnation]string),
		contacts: make(map[string][]string),
		resumed:  -time.Hour,
		contest:  -1,
		eps:      newEndpointView(),
	}
	for _, p := range opts.Peers {
		if e := s.ensure(p.Host); e != nil {
			e.Zone, e.Address, e.configured = p.Zone, p.Address, true
		}
	}
	s.selfSend = s.rumorSends()
	return s
}

// ensure returns the entry of another host, adding it if there is room. It returns nil
// for this host, and for a new host when the view is full.
func (s *State) ensure(host string) *peer {
	if host == "" || host == s.opts.Host {
		return nil
	}
	if p, ok := s.peers[host]; ok {
		return p
	}
	if len(s.peers) >= maxMembers {
		return nil
	}
	p := &peer{Record: Record{Host: host}, heard: -1, failed: -1}
	s.peers[host] = p
	at := sort.SearchStrings(s.names, host)
	s.names = append(s.names, "")
	copy(s.names[at+1:], s.names[at:])
	s.names[at] = host
	return p
}

// forget removes members that are gone and that no source names any more.
func (s *State) forget(now time.Duration) {
	kept := s.names[:0]
	for _, name := range s.names {
		p := s.peers[name]
		stale := p.Status == Gone || p.Status == Unknown
		if stale && !p.configured && p.listed == nil && now-p.changed > keepGone {
			delete(s.peers, name)
			delete(s.byInc, p.Incarnation)
			continue
		}
		kept = append(kept, name)
	}
	s.names = kept
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters { return s.counters }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }
