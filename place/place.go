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
	Capacity Size       `json:"capacity,omitzero"` // of a worker
	Rack     string     `json:"rack,omitempty"`    // of a worker
}

// Size is an amount of a worker's resources.
type Size struct {
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"` // mebibytes
	Accelerators int     `json:"accelerators,omitempty"`
}

// Task is what placement knows about a task.
type Task struct {
	Kind  string
	Group string
	Run   time.Duration // declared run time; a hint
	Job   string        // identity of the task's job
	Index int           // of the task in its job
	Size  Size          // declared size; matters on workers only
}

// Sample is what one ended attempt says about its endpoint.
type Sample struct {
	Kind    string
	Failed  bool          // the task ran and failed, or its outcome is unknown
	Refused bool          // the endpoint proved that it did not run the task
	Service time.Duration // time from start to answer
	Load    int           // running plus queued tasks that the answer reported; -1 if unknown
	// Blameless says that the end tells nothing about the endpoint.
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
	opts      Options
	rng       *rand.Rand
	endpoints map[EndpointID]*state
	groups    map[string][]*state
}

type state struct {
	Endpoint
	outstanding int
}

// NewSet returns an empty Set.
func NewSet(opts Options) *Set {
	return &Set{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		endpoints: make(map[EndpointID]*state),
		groups:    make(map[string][]*state),
	}
}

// Update replaces the list of endpoints. What was learned about an endpoint is kept
// unless its identity changed.
func (s *Set) Update(list []Endpoint) {
	next := make(map[EndpointID]*state, len(list))
	groups := make(map[string][]*state)
	for _, ep := range list {
		st, ok := s.endpoints[ep.ID]
		if !ok || st.Identity != ep.Identity {
			st = &state{}
		}
		st.Endpoint = ep
		next[ep.ID] = st
		groups[ep.Group] = append(groups[ep.Group], st)
	}
	for _, members := range groups {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
	s.endpoints, s.groups = next, groups
}

// Pick returns the endpoint for a task, or false if none can take it now. It avoids the
// endpoint that refused the task last, unless there is no other.
func (s *Set) Pick(_ time.Duration, task Task, avoid EndpointID) (Endpoint, bool) {
	var local, remote, last []*state
	for _, st := range s.groups[task.Group] {
		switch {
		case st.Leaving || st.outstanding >= st.Slots:
		case st.ID == avoid:
			last = append(last, st)
		case st.Zone == s.opts.Zone:
			local = append(local, st)
		default:
			remote = append(remote, st)
		}
	}
	for _, candidates := range [][]*state{local, remote, last} {
		if len(candidates) > 0 {
			return s.lessLoaded(candidates).Endpoint, true
		}
	}
	return Endpoint{}, false
}

// lessLoaded draws two candidates and returns the one with fewer outstanding tasks.
func (s *Set) lessLoaded(candidates []*state) *state {
	a := candidates[s.rng.IntN(len(candidates))]
	b := candidates[s.rng.IntN(len(candidates))]
	if b.outstanding < a.outstanding {
		return b
	}
	return a
}

// Started records that an attempt was handed to the endpoint.
func (s *Set) Started(id EndpointID) {
	if st, ok := s.endpoints[id]; ok {
		st.outstanding++
	}
}

// Ended records how an attempt on the endpoint ended. Attempts on an endpoint that has
// been replaced since are ignored.
func (s *Set) Ended(_ time.Duration, id EndpointID, _ Sample) {
	if st, ok := s.endpoints[id]; ok && st.outstanding > 0 {
		st.outstanding--
	}
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
	Outstanding int `json:"outstanding"`
}

// View returns the endpoints for a state dump, ordered by identifier.
func (s *Set) View() []EndpointView {
	out := make([]EndpointView, 0, len(s.endpoints))
	for _, st := range s.endpoints {
		out = append(out, EndpointView{Endpoint: st.Endpoint, Outstanding: st.outstanding})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len returns the number of endpoints.
func (s *Set) Len() int { return len(s.endpoints) }
