// Package place chooses the endpoint for a task from what one host knows: its own
// outstanding tasks, and the load and service times that replies carry. It is a plain
// state machine; time and random numbers come in from outside.
package place

import (
	"math/rand/v2"
	"sort"
	"time"
)

// EndpointID names an endpoint in the platform's list.
type EndpointID string

// Endpoint is a minion or a worker as the membership reducer describes it.
type Endpoint struct {
	ID       EndpointID `json:"id"`
	Address  string     `json:"address"`  // IP:port
	Identity string     `json:"identity"` // differs for a new process on the same address
	Zone     string     `json:"zone"`
	Group    string     `json:"group"` // back-end group
	Slots    int        `json:"slots"` // tasks that a minion runs at a time
	Leaving  bool       `json:"leaving"`
	Worker   bool       `json:"worker,omitempty"`  // false for a minion
	Capacity Size       `json:"capacity,omitzero"` // zero if unknown
	Rack     string     `json:"rack,omitempty"`    // of a worker
}

// Size is the size of an endpoint or the declared size of a task.
type Size struct {
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"` // mebibytes
	Accelerators int     `json:"accelerators,omitempty"`
}

// fits reports whether a task of this size fits an empty endpoint. An endpoint of
// unknown size counts as large enough.
func (t Size) fits(endpoint Size) bool {
	if endpoint == (Size{}) {
		return true
	}
	return t.Cores <= endpoint.Cores && t.MemoryMB <= endpoint.MemoryMB && t.Accelerators <= endpoint.Accelerators
}

// Task is what placement knows about a task.
type Task struct {
	Kind  string
	Group string
	Run   time.Duration // declared run time; a hint
	Job   string        // identity of the task's job
	Index int           // of the task in its job
	Size  Size          // declared size
	// JobTasks is the number of tasks of the job.
	JobTasks int
	// JobStarted is the number of attempts made for the job so far. They are lost if the
	// job fails.
	JobStarted int
	// PreferLocal is set once an endpoint of another availability zone refused the task.
	PreferLocal bool
	// Ends is when the task's job is expected to end because of its other tasks, on the
	// clock of now; 0 if unknown.
	Ends time.Duration
}

// Sample is what one ended attempt says about its endpoint.
type Sample struct {
	Kind    string
	Failed  bool // the task ran and failed, or its outcome is unknown
	Refused bool // the endpoint proved that it did not run the task
	// Cancelled means that the job had ended before; the answer says nothing about the
	// endpoint's speed or health.
	Cancelled bool
	Run       time.Duration // declared run time; 0 if unknown
	Service   time.Duration // time from start to answer
	Load      int           // running plus queued tasks that the answer reported; -1 if unknown
	// Blameless says that the task was ended from outside; the end tells nothing about
	// the endpoint.
	Blameless bool
}

// Options configures a Set.
type Options struct {
	Zone string // availability zone of this host
	Seed uint64
}

// Set holds the endpoints and what was learned about them. It is not safe for
// concurrent use.
type Set struct {
	opts       Options
	policy     Policy
	rng        *rand.Rand
	endpoints  map[EndpointID]*state
	groups     map[string][]*state
	lastInTurn map[string]EndpointID // by group, for RoundRobin
	kinds      map[string]*kindModel
	means      map[string]*groupMeans
	ejections  map[string]time.Duration // time of the last ejection, by group
	hosts      int                      // live entry hosts
	zones      map[string]zoneSplit     // by group
	round      uint64
	held       []*state      // endpoints for which this round holds a task back
	lastCost   time.Duration // of the task placed last
}

type state struct {
	Endpoint
	outstanding int
	lastJob     string // job of the task that was placed there last
	held        int    // tasks that this round holds back for it
	others      othersLoad
	speeds      speeds
	health      health
	quote       quote
}

// NewSet returns an empty Set.
func NewSet(opts Options) *Set {
	s := &Set{
		opts:       opts,
		rng:        rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		endpoints:  make(map[EndpointID]*state),
		groups:     make(map[string][]*state),
		lastInTurn: make(map[string]EndpointID),
		kinds:      make(map[string]*kindModel),
		means:      make(map[string]*groupMeans),
		ejections:  make(map[string]time.Duration),
		round:      1, // 0 marks a quote of no round
	}
	s.SetPolicy(Policy{})
	return s
}

// Update replaces the list of endpoints. What was learned about an endpoint is kept
// unless its identity changed.
func (s *Set) Update(list []Endpoint) {
	next := make(map[EndpointID]*state, len(list))
	groups := make(map[string][]*state)
	for _, ep := range list {
		st, ok := s.endpoints[ep.ID]
		if !ok || st.Identity != ep.Identity {
			st = &state{speeds: newSpeeds()}
		}
		st.Endpoint = ep
		st.held = 0
		next[ep.ID] = st
		groups[ep.Group] = append(groups[ep.Group], st)
		if s.means[ep.Group] == nil {
			s.means[ep.Group] = new(groupMeans)
		}
	}
	for _, members := range groups {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
	s.endpoints, s.groups = next, groups
	s.zones = splitZones(groups, s.opts.Zone)
	s.held = nil
}

// Choice says what to do with a task.
type Choice int

// The choices.
const (
	// Start means that the task goes to the endpoint returned.
	Start Choice = iota + 1
	// Hold means that waiting for a better endpoint ends the task sooner than any that
	// has room. Another task may still be placed.
	Hold
	// Full means that nothing of the group can be placed now.
	Full
)

// BeginRound starts a round of Pick calls over the waiting tasks in their order. Tasks
// held back in a round count as waiting for their endpoint until the round ends.
func (s *Set) BeginRound() {
	s.round++
	for _, st := range s.held {
		st.held = 0
	}
	s.held = s.held[:0]
}

// Pick chooses the endpoint for a task. It avoids the endpoint that refused the task
// last, unless there is no other.
func (s *Set) Pick(now time.Duration, task Task, avoid EndpointID) (Endpoint, Choice) {
	if s.policy.Placement == Adaptive {
		return s.adaptive(now, task, avoid)
	}
	if ep, ok := s.baseline(task.Group, avoid); ok {
		return ep, Start
	}
	return Endpoint{}, Full
}

// LastCost returns the estimated time until the task that Pick placed last ends; 0 if
// the placement does not estimate it.
func (s *Set) LastCost() time.Duration { return s.lastCost }

// SetHosts sets the number of live entry hosts that share the endpoints.
func (s *Set) SetHosts(n int) { s.hosts = n }

// Started records that an attempt was handed to the endpoint.
func (s *Set) Started(id EndpointID) {
	if st, ok := s.endpoints[id]; ok {
		st.outstanding++
	}
}

// Ended records how an attempt on the endpoint ended. Attempts on an endpoint that has
// been replaced since are ignored.
func (s *Set) Ended(now time.Duration, id EndpointID, sample Sample) {
	st, ok := s.endpoints[id]
	if !ok || st.outstanding == 0 {
		return
	}
	st.outstanding--
	s.learn(now, st, sample)
}

// Fits reports whether some endpoint of the group, however busy, could hold the task. It
// is true for a group without endpoints, of which nothing is known.
func (s *Set) Fits(task Task) bool {
	members := s.groups[task.Group]
	for _, st := range members {
		if task.Size.fits(st.Capacity) {
			return true
		}
	}
	return len(members) == 0
}

// Live returns the number of endpoints of a group that take new work.
func (s *Set) Live(group string) int {
	n := 0
	for _, st := range s.groups[group] {
		if !st.Leaving {
			n++
		}
	}
	return n
}

// EndpointView is one endpoint in a state dump.
type EndpointView struct {
	Endpoint
	Outstanding int     `json:"outstanding"`
	Others      float64 `json:"others"`          // last estimate of other hosts' tasks
	Slowness    float64 `json:"slowness"`        // run time relative to the typical endpoint
	FailureRate float64 `json:"failure_rate"`    // decayed
	LastEject   float64 `json:"last_ejection_s"` // length of the last ejection in seconds; 0 if none
}

// View returns the endpoints for a state dump, ordered by identifier.
func (s *Set) View() []EndpointView {
	out := make([]EndpointView, 0, len(s.endpoints))
	for _, st := range s.endpoints {
		out = append(out, EndpointView{
			Endpoint:    st.Endpoint,
			Outstanding: st.outstanding,
			Others:      st.others.value,
			Slowness:    st.speeds.any,
			FailureRate: st.health.rate,
			LastEject:   st.health.lastEject.Seconds(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len returns the number of endpoints.
func (s *Set) Len() int { return len(s.endpoints) }
