package main

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/standin/minionsim"
)

// summary is the measured result of one policy in one scenario.
type summary struct {
	Deployment  string               `json:"deployment"`
	Scenario    string               `json:"scenario"`
	Policy      string               `json:"policy"`
	Seed        uint64               `json:"seed"`
	Hosts       int                  `json:"hosts"`
	Minions     int                  `json:"minions"`
	LengthS     float64              `json:"length_s"`
	LoadAverage string               `json:"load_average"` // before and after the run
	All         quantiles            `json:"response_over_ideal"`
	Kinds       map[string]quantiles `json:"by_kind"`
	Histogram   string               `json:"histogram,omitempty"` // compressed HDR, thousandths
	Jobs        int                  `json:"jobs"`                // after the warm-up, without cancelled ones
	Outcomes    map[string]int       `json:"outcomes"`
	OnTime      float64              `json:"on_time"`     // share of Jobs
	Goodput     float64              `json:"goodput"`     // work of jobs on time over capacity
	Utilisation float64              `json:"utilisation"` // slot time of complete jobs over all slot time
	Fairness    float64              `json:"fairness"`
	OwnZone     float64              `json:"own_zone"` // share of the tasks of complete jobs that ran in the zone of their host; 0 for the reference
	Teams       []teamShare          `json:"teams"`
	ZoneDelayMS float64              `json:"zone_delay_ms"`   // one way
	ClientMS    float64              `json:"client_delay_ms"` // one way
	Broken      int                  `json:"broken_answers"`
	Messages    messages             `json:"messages"`

	curve []float64 // quantiles for the plot
}

// messages counts the messages of a whole run.
type messages struct {
	minionsim.Totals
	Forwarded uint64  `json:"forwarded"`
	Useful    int     `json:"useful"`   // tasks of complete jobs
	PerTask   float64 `json:"per_task"` // messages per useful task
	Wasted    float64 `json:"wasted"`   // share of the messages that led to no result
}

func (m *messages) total() int {
	return m.TaskMessages + m.CancelMessage + m.OtherMessages + m.ConnsRefused + int(m.Forwarded)
}

// observation holds the schedule, the deployment and the raw results of a run.
type observation struct {
	dep       *deployment
	schedule  []arrival
	results   []jobResult
	net       network
	minions   map[string]referenceMinion // by identifier
	fleet     []referenceMinion
	hostZones []string // by host
	ideals    []time.Duration
	slots     int
	length    time.Duration
	warmUp    time.Duration
	messages  messages
}

func (o *observation) capacity() float64 {
	sum := 0.0
	for _, m := range o.fleet {
		sum += m.speed
	}
	return sum * float64(o.slots)
}

// summarise evaluates a run. Jobs of the warm-up count for messages only.
func (o *observation) summarise() *summary {
	s := &summary{Kinds: make(map[string]quantiles), Outcomes: make(map[string]int)}
	all := newRatioHistogram()
	byKind := make([]*ratioHistogram, len(o.dep.kinds))
	for i := range byKind {
		byKind[i] = newRatioHistogram()
	}
	onTime := 0
	for i := range o.results {
		a, r := &o.schedule[i], &o.results[i]
		if r.broken {
			s.Broken++
		}
		if a.at < o.warmUp || r.cancelled {
			continue
		}
		s.Jobs++
		s.Outcomes[outcomeName(r)]++
		if r.outcome == api.Complete {
			all.record(r.response, o.ideals[i])
			byKind[a.kind].record(r.response, o.ideals[i])
		}
		if o.onTime(i) {
			onTime++
		}
	}
	s.All, s.Histogram, s.curve = all.summary(), all.encoded(), quantileCurve(all)
	for i, k := range o.dep.kinds {
		s.Kinds[k.name] = byKind[i].summary()
	}
	s.OnTime = float64(onTime) / float64(max(s.Jobs, 1))
	o.computeThroughput(s)
	s.OwnZone = o.ownZone()
	s.ZoneDelayMS, s.ClientMS = 1000*o.net.zone.Seconds(), 1000*o.net.client.Seconds()
	o.countMessages(s)
	return s
}

func outcomeName(r *jobResult) string {
	switch {
	case r.outcome == "":
		return "no answer"
	case r.code == "":
		return string(r.outcome)
	}
	return string(r.outcome) + "/" + string(r.code)
}

// onTime reports whether the caller had the whole answer within the job's deadline.
func (o *observation) onTime(i int) bool {
	r := &o.results[i]
	limit := o.dep.kinds[o.schedule[i].kind].deadline + 2*o.net.client
	return r.outcome == api.Complete && !r.broken && r.response <= limit
}

// computeThroughput evaluates the work of jobs that ended between the warm-up and the end of
// the arrivals.
func (o *observation) computeThroughput(s *summary) {
	teams := make([]teamShare, len(o.dep.teams))
	work, busy := 0.0, 0.0
	for i := range o.results {
		a, r := &o.schedule[i], &o.results[i]
		if a.at >= o.warmUp {
			teams[a.team].Demand += a.workSeconds()
			if r.outcome != api.Complete {
				teams[a.team].addOutcome(outcomeName(r))
			}
		}
		end := a.at + r.response
		if !o.onTime(i) || end < o.warmUp || end > o.length {
			continue
		}
		work += a.workSeconds()
		teams[a.team].Got += a.workSeconds()
		for t, ms := range a.runsMS {
			if speed := o.minions[r.minions[t]].speed; speed > 0 { // 0 for the reference
				busy += ms / 1000 / speed
			}
		}
	}
	window := (o.length - o.warmUp).Seconds()
	s.Goodput = work / (o.capacity() * window)
	s.Utilisation = busy / (float64(o.slots*len(o.fleet)) * window)
	o.compareTeamShares(s, teams)
}

// compareTeamShares compares what the teams got with their fair shares.
func (o *observation) compareTeamShares(s *summary, teams []teamShare) {
	n := len(teams)
	got, demand, weight := make([]float64, n), make([]float64, n), make([]float64, n)
	total := 0.0
	for i, t := range o.dep.teams {
		teams[i].Team, teams[i].Weight = t.name, t.weight
		got[i], demand[i], weight[i] = teams[i].Got, teams[i].Demand, t.weight
		total += got[i]
	}
	for i, fair := range maxMinShares(total, demand, weight) {
		teams[i].Fair = fair
	}
	s.Teams = teams
	s.Fairness = fairness(got, demand, weight)
}

// ownZone is the share of the tasks of complete jobs that ran in the zone of their host.
func (o *observation) ownZone() float64 {
	own, all := 0, 0
	for i := range o.results {
		for _, id := range o.results[i].minions {
			all++
			if o.minions[id].zone == o.hostZones[o.schedule[i].host] {
				own++
			}
		}
	}
	return float64(own) / float64(max(all, 1))
}

func (o *observation) countMessages(s *summary) {
	s.Messages = o.messages
	m := &s.Messages
	for i := range o.results {
		if o.results[i].outcome == api.Complete && !o.results[i].broken {
			m.Useful += len(o.schedule[i].runsMS)
		}
	}
	total := m.total()
	m.PerTask = float64(total) / float64(max(m.Useful, 1))
	m.Wasted = 1 - float64(m.Useful)/float64(max(total, 1))
}
