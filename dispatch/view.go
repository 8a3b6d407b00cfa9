package dispatch

import (
	"sort"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// JobView describes one job in a state dump.
type JobView struct {
	Ticket     ticket.ID   `json:"ticket"`
	Team       string      `json:"team"`
	Kind       string      `json:"kind"`
	AgeMS      float64     `json:"age_ms"`
	DeadlineMS float64     `json:"deadline_in_ms"`
	Tasks      int         `json:"tasks"`
	Open       int         `json:"open"`
	InFlight   int         `json:"in_flight"`
	Waiting    int         `json:"waiting"`
	Waiters    int         `json:"waiters"`
	Outcome    api.Outcome `json:"outcome,omitempty"`
	Fetched    bool        `json:"fetched,omitempty"` // the final reply was written to a caller of this host
}

// View describes the dispatcher's state in a state dump.
type View struct {
	Draining  bool                 `json:"draining"`
	OpenTasks int                  `json:"open_tasks"`
	Bytes     int64                `json:"bytes"`
	Refused   int                  `json:"refused_tickets"`
	TeamOpen  map[string]int       `json:"team_open_tasks"`
	Counters  Counters             `json:"counters"`
	Jobs      []JobView            `json:"jobs"`
	Endpoints []place.EndpointView `json:"endpoints"`
}

// View returns a description of the state at the given time since process start.
func (s *State) View(now time.Duration) View {
	v := View{
		Draining:  s.draining,
		OpenTasks: s.openTasks,
		Bytes:     s.heldBytes,
		Refused:   len(s.refusedTickets.tickets),
		TeamOpen:  make(map[string]int, len(s.teamOpenTasks)),
		Counters:  s.counters,
		Endpoints: append(s.endpoints.View(), s.workers.View()...),
	}
	for team, n := range s.teamOpenTasks {
		v.TeamOpen[team] = n
	}
	for _, j := range s.jobs {
		v.Jobs = append(v.Jobs, j.view(now))
	}
	sort.Slice(v.Jobs, func(a, b int) bool { return v.Jobs[a].Ticket < v.Jobs[b].Ticket })
	return v
}

func (j *job) view(now time.Duration) JobView {
	v := JobView{
		Ticket:     j.id,
		Team:       j.team,
		Kind:       j.kindName,
		AgeMS:      milliseconds(now - j.acceptedAt),
		DeadlineMS: milliseconds(j.deadline - now),
		Tasks:      len(j.tasks),
		Open:       j.openTasks,
		InFlight:   j.inFlight,
		Waiting:    len(j.waiting),
		Waiters:    len(j.waiters),
	}
	if j.ended() {
		v.Outcome = j.finalReply.Outcome
		v.Fetched = j.fetchedBy == fetchedByCaller
	}
	return v
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// OpenTasks returns the number of tasks without a result, counted over all open jobs.
func (s *State) OpenTasks() int { return s.openTasks }

// Endpoints returns the number of known endpoints, minions and workers.
func (s *State) Endpoints() int { return s.endpoints.Len() + s.workers.Len() }
