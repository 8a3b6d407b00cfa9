// Package place chooses the endpoint for a task of a minion group from what one host knows: its
// own outstanding tasks, and the load and service times that replies report. It learns the
// speed, load and health of endpoints, and predicts run times for admission.
//
// Package dispatch calls it, sends the tasks and reports how attempts end. Package fit places
// tasks on workers by their resources. Package place is a plain state machine: callers pass in
// the time and the seed of random numbers, and it does no I/O.
package place

import (
	"math/rand/v2"
	"sort"
	"time"
)

// EndpointID identifies an endpoint in the platform's list.
type EndpointID string

// Endpoint is a minion or a worker as the membership state machine describes it.
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

// fits reports whether a task of this size fits on an empty endpoint. An endpoint of unknown
// size counts as large enough.
func (t Size) fits(endpoint Size) bool {
	if endpoint == (Size{}) {
		return true
	}
	return t.Cores <= endpoint.Cores && t.MemoryMB <= endpoint.MemoryMB && t.Accelerators <= endpoint.Accelerators
}

// Task is what placement knows about a task.
type Task struct {
	Kind            string
	Group           string
	DeclaredRunTime time.Duration // declared run time, which may be wrong; 0 if unknown
	Job             string        // identity of the task's job
	Index           int           // of the task in its job
	Size            Size          // declared size
	// JobTasks is the number of tasks of the job.
	JobTasks int
	// JobStarted is the number of attempts started for the job so far. Their work is lost if
	// the job fails.
	JobStarted int
	// PreferLocal is set once an endpoint of another availability zone refused the task.
	PreferLocal bool
	// ExpectedJobEnd is when the task's job is expected to end because of its other tasks, on the same
	// clock as the now that Pick gets; 0 if unknown.
	ExpectedJobEnd time.Duration
}

// Sample is the outcome of an ended attempt, as far as it concerns the endpoint.
type Sample struct {
	Kind    string
	Failed  bool // the task ran and failed, or its outcome is unknown
	Refused bool // the endpoint certainly did not run the task
	// Cancelled means that the job ended before the attempt did; the answer says nothing about
	// the endpoint's speed or health.
	Cancelled       bool
	DeclaredRunTime time.Duration // declared run time; 0 if unknown
	ServiceTime     time.Duration // time from start to answer
	Load            int           // running plus queued tasks that the answer reported; -1 if unknown
	// Blameless means that the task was ended from outside; the end says nothing about the
	// endpoint.
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
	opts           Options
	policy         Policy
	rng            *rand.Rand
	endpoints      map[EndpointID]*endpointState
	groups         map[string][]*endpointState
	lastRoundRobin map[string]EndpointID // by group, for RoundRobin
	kinds          map[string]*runTimeModel
	means          map[string]*groupMeans
	ejections      map[string]time.Duration // time of the last ejection, by group
	hosts          int                      // live entry hosts, this one included
	zones          map[string]zoneSplit     // by group
	round          uint64
	heldEndpoints  []*endpointState // one entry for each task that this round holds back
	lastCost       time.Duration    // cost of the task that Pick placed last
}

// endpointState is an endpoint and what this host knows about it.
type endpointState struct {
	Endpoint
	outstanding   int
	lastJob       string // job of the task placed there last
	heldTasks     int    // tasks that this round holds back for the endpoint
	others        othersLoad
	speed         endpointSpeed
	health        health
	roundEstimate roundEstimate
}

// NewSet returns an empty Set.
func NewSet(opts Options) *Set {
	s := &Set{
		opts:           opts,
		rng:            rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		endpoints:      make(map[EndpointID]*endpointState),
		groups:         make(map[string][]*endpointState),
		lastRoundRobin: make(map[string]EndpointID),
		kinds:          make(map[string]*runTimeModel),
		means:          make(map[string]*groupMeans),
		ejections:      make(map[string]time.Duration),
		round:          1, // 0 marks a roundEstimate that is not set yet
	}
	s.SetPolicy(Policy{})
	return s
}

// Update replaces the list of endpoints. What was learned about an endpoint is kept unless its
// identity changed.
func (s *Set) Update(list []Endpoint) {
	next := make(map[EndpointID]*endpointState, len(list))
	groups := make(map[string][]*endpointState)
	for _, ep := range list {
		st, ok := s.endpoints[ep.ID]
		if !ok || st.Identity != ep.Identity {
			st = &endpointState{speed: newEndpointSpeed()}
		}
		st.Endpoint = ep
		st.heldTasks = 0
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
	s.zones = splitByZone(groups, s.opts.Zone)
	s.heldEndpoints = nil
}

// Choice is the decision about a task.
type Choice int

// The choices.
const (
	// Start means that the task goes to the endpoint returned.
	Start Choice = iota + 1
	// Hold means that the task waits: it is expected to end sooner at an endpoint without room
	// than at any endpoint with room, or may not try any yet. Another task may still be placed.
	Hold
	// Full means that no task of the group can be placed now.
	Full
)

// BeginRound starts a round of Pick calls for the waiting tasks, in the order of the queue. A
// task that is held back counts as waiting for its endpoint until the next round begins.
func (s *Set) BeginRound() {
	s.round++
	for _, st := range s.heldEndpoints {
		st.heldTasks = 0
	}
	s.heldEndpoints = s.heldEndpoints[:0]
}

// Pick chooses the endpoint for a task. It avoids the endpoint avoid, which refused the task last,
// unless the others are unavailable or much slower. now is a time on the monotonic clock of the
// caller. The endpoint is valid only with Start.
func (s *Set) Pick(now time.Duration, task Task, avoid EndpointID) (Endpoint, Choice) {
	if s.policy.Placement == Adaptive {
		return s.pickAdaptive(now, task, avoid)
	}
	if ep, ok := s.pickBaseline(task.Group, avoid); ok {
		return ep, Start
	}
	return Endpoint{}, Full
}

// LastCost returns the estimated time until the task that Pick placed last would end, including
// the penalties of its endpoint. It is 0 if the placement does not estimate it.
func (s *Set) LastCost() time.Duration { return s.lastCost }

// SetHosts sets the number of live entry hosts that share the endpoints, this one included.
func (s *Set) SetHosts(n int) { s.hosts = n }

// Started records that an attempt was started at the endpoint.
func (s *Set) Started(id EndpointID) {
	if st, ok := s.endpoints[id]; ok {
		st.outstanding++
	}
}

// Ended records how an attempt at the endpoint ended. It ignores attempts at endpoints that are
// unknown or have no outstanding tasks, which may have been replaced since the start.
func (s *Set) Ended(now time.Duration, id EndpointID, sample Sample) {
	st, ok := s.endpoints[id]
	if !ok || st.outstanding == 0 {
		return
	}
	st.outstanding--
	s.recordSample(now, st, sample)
}

// FitsAnyEndpoint reports whether some endpoint of the group, however busy, is large enough for the task.
// It is true for a group without endpoints, since nothing is known about it.
func (s *Set) FitsAnyEndpoint(task Task) bool {
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
	live := 0
	for _, st := range s.groups[group] {
		if !st.Leaving {
			live++
		}
	}
	return live
}

// EndpointView is one endpoint in a state dump.
type EndpointView struct {
	Endpoint
	Outstanding         int     `json:"outstanding"`
	OthersLoad          float64 `json:"others"`          // moving average of the tasks of other hosts
	Slowness            float64 `json:"slowness"`        // run time relative to the typical speed
	FailureRate         float64 `json:"failure_rate"`    // moving average
	LastEjectionSeconds float64 `json:"last_ejection_s"` // length of the last ejection in seconds; 0 if none
}

// View returns the endpoints for a state dump, ordered by identifier.
func (s *Set) View() []EndpointView {
	out := make([]EndpointView, 0, len(s.endpoints))
	for _, st := range s.endpoints {
		out = append(out, EndpointView{
			Endpoint:            st.Endpoint,
			Outstanding:         st.outstanding,
			OthersLoad:          st.others.mean,
			Slowness:            st.speed.overallSlowness,
			FailureRate:         st.health.failureRate,
			LastEjectionSeconds: st.health.ejectionLength.Seconds(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len returns the number of endpoints.
func (s *Set) Len() int { return len(s.endpoints) }
