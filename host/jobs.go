package host

import (
	"cmp"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// placeWait is how long a job may wait for a cell to take it, while command changes.
	placeWait = 400 * time.Millisecond
	// answerGrace is how long after the caller's time limit its own host gives an answer if
	// the host that runs the job has not.
	answerGrace = 50 * time.Millisecond
	// retryMin and retrySpread bound the time after which a refused caller should return.
	retryMin    = 1 * time.Second
	retrySpread = 2 * time.Second
)

// job is a job of one of this host's callers.
type job struct {
	seq     uint64
	spec    fleet.JobSpec
	route   fleet.Route
	arrived time.Duration
	until   time.Duration
	host    uint64 // process that it was handed to; 0: none yet
	cell    fleet.Cell
	refused map[fleet.Cell]bool // cells that have refused it
	reason  string              // of the newest refusal
}

func (s *State) arrive(now time.Duration, e Arrived) {
	s.stats.Arrived++
	j := &job{seq: e.Seq, spec: e.Spec, route: e.Route, arrived: now, until: now + e.Left, refused: make(map[fleet.Cell]bool)}
	s.jobs[e.Seq] = j
	s.assign(now, j)
}

// assign hands a job to the host that commands the best cell for it. It waits a little for
// one while command changes hands, and refuses the job if all have refused.
func (s *State) assign(now time.Duration, j *job) {
	c, ok := s.chooseCell(now, j)
	if !ok {
		if len(j.refused) > 0 || now-j.arrived >= placeWait {
			s.answer(now, j, sched.Refused, cmp.Or(j.reason, "no host commands workers of the service"))
		}
		return
	}
	j.host, j.cell = c.host, c.name
	c.assign(j)
	if c.peer == nil {
		s.submitLocal(now, j)
		return
	}
	s.passJob(now, j, c)
}

// passJob hands a job to the host that commands a cell.
func (s *State) passJob(now time.Duration, j *job, c *cell) {
	submit := &meshpb.Message{Kind: &meshpb.Message_Submit{Submit: s.submission(now, j)}}
	if !c.peer.session.Send(submit) {
		s.refusedBy(now, j, "the host that commands the cell takes no messages")
		return
	}
	s.stats.PassedOn++
	s.note("jobs", j.spec.RequestID, "job passed on", "job", j.spec.ID, "cell", c.name, "to", c.peer.info.GetName(), "wait", c.wait, "age", now-c.peer.statusAt)
}

func (s *State) submitLocal(now time.Duration, j *job) {
	s.sched.Step(now, sched.Submit{Job: sched.Job{
		Key:  sched.JobKey{Host: s.opts.Self.ID, Seq: j.seq},
		Cell: j.cell,
		Spec: j.spec, Route: j.route,
		Age: now - j.arrived, Left: j.until - now,
	}})
}

func (s *State) submission(now time.Duration, j *job) *meshpb.Submit {
	return &meshpb.Submit{
		Seq: j.seq, Cell: string(j.cell), JobId: j.spec.ID, RequestId: j.spec.RequestID, Payload: j.spec.Payload,
		Tasks: int32(j.spec.Tasks), Cpu: j.spec.Need.CPU, Memory: j.spec.Need.Memory, Gpu: j.spec.Need.GPU,
		EstimateNs: int64(j.spec.Estimate), Rack: j.spec.Rack, Label: j.spec.Label, MaxPerWorker: int32(j.spec.MaxPerWorker),
		AgeNs: int64(now - j.arrived), LeftNs: int64(j.until - now), Measured: int64(now),
		Route: &meshpb.Route{
			Name: j.route.Name, Service: j.route.Service, Priority: int32(j.route.Priority),
			MaxAttempts: int32(j.route.MaxAttempts), SlackFactor: j.route.SlackFactor, TargetNs: int64(j.route.Target),
		},
	}
}

// submitted takes a job of another host's caller, unless the message was under way for so long
// that its host may have answered the caller for want of contact.
func (s *State) submitted(now time.Duration, p *peer, f *meshpb.Frame, m *meshpb.Submit) {
	waited := time.Duration(f.GetSent() - m.GetMeasured())
	if silent := now - time.Duration(f.GetEcho()); waited+silent > contactTime {
		s.note("jobs", m.GetRequestId(), "stale job refused", "job", m.GetJobId(), "from", p.info.GetName(), "waited", waited, "silent", silent)
		s.finished(now, sched.Finish{Key: sched.JobKey{Host: p.info.GetId(), Seq: m.GetSeq()}, Outcome: sched.Refused, Reason: "the job arrived late"})
		return
	}
	r := m.GetRoute()
	s.sched.Step(now, sched.Submit{Job: sched.Job{
		Key:  sched.JobKey{Host: p.info.GetId(), Seq: m.GetSeq()},
		Cell: fleet.Cell(m.GetCell()),
		Spec: fleet.JobSpec{
			ID: m.GetJobId(), RequestID: m.GetRequestId(), Payload: m.GetPayload(), Tasks: int(m.GetTasks()),
			Need:     fleet.Resources{CPU: m.GetCpu(), Memory: m.GetMemory(), GPU: m.GetGpu()},
			Estimate: time.Duration(m.GetEstimateNs()), Rack: m.GetRack(), Label: m.GetLabel(),
			MaxPerWorker: int(m.GetMaxPerWorker()), Ephemeral: true,
		},
		Route: fleet.Route{
			Name: r.GetName(), Service: r.GetService(), Priority: int(r.GetPriority()),
			MaxAttempts: int(r.GetMaxAttempts()), SlackFactor: r.GetSlackFactor(), Target: time.Duration(r.GetTargetNs()),
		},
		Age: time.Duration(m.GetAgeNs()) + waited, Left: time.Duration(m.GetLeftNs()) - waited,
	}})
}

// finished takes the outcome of a job that ran on the workers of this host.
func (s *State) finished(now time.Duration, e sched.Finish) {
	o := &meshpb.Outcome{Seq: e.Key.Seq, Outcome: int32(e.Outcome), Reason: e.Reason}
	if e.Key.Host == s.opts.Self.ID {
		s.outcome(now, e.Key.Host, o)
		return
	}
	if p := s.byID[e.Key.Host]; p != nil && p.live {
		p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Outcome{Outcome: o}})
	}
}

// outcome takes the outcome of a caller's job from the host that it was handed to.
func (s *State) outcome(now time.Duration, host uint64, o *meshpb.Outcome) {
	j := s.jobs[o.GetSeq()]
	if j == nil || j.host != host {
		return
	}
	result := sched.Outcome(o.GetOutcome())
	if result != sched.Refused {
		s.answer(now, j, result, o.GetReason())
		return
	}
	s.refusedBy(now, j, o.GetReason())
}

// refusedBy hands a job to another cell after its own has refused it.
func (s *State) refusedBy(now time.Duration, j *job, reason string) {
	s.note("jobs", j.spec.RequestID, "job refused by a cell", "job", j.spec.ID, "cell", j.cell, "reason", reason)
	j.refused[j.cell] = true
	j.reason = reason
	j.host = 0
	s.assign(now, j)
}

// answer ends a caller's job.
func (s *State) answer(now time.Duration, j *job, o sched.Outcome, reason string) {
	delete(s.jobs, j.seq)
	a := Answer{Seq: j.seq, Outcome: o, Reason: reason}
	switch o {
	case sched.Completed:
		s.stats.Completed++
	case sched.Failed:
		s.stats.Failed++
	case sched.Refused:
		s.stats.Refused++
		a.Retry = retryMin + time.Duration(s.rng.Int64N(int64(retrySpread)))
	case sched.Aborted:
		s.stats.Aborted++
	}
	s.note("jobs", j.spec.RequestID, "job answered", "job", j.spec.ID, "route", j.route.Name, "outcome", o, "reason", reason, "cell", j.cell, "took", now-j.arrived)
	s.emit(a)
}

// callerGone stops a job that nobody waits for.
func (s *State) callerGone(now time.Duration, seq uint64) {
	j := s.jobs[seq]
	if j == nil {
		return
	}
	delete(s.jobs, seq)
	s.stats.Gone++
	s.note("jobs", j.spec.RequestID, "caller gone", "job", j.spec.ID, "after", now-j.arrived)
	s.withdraw(now, j)
}

// withdraw stops a job where it runs.
func (s *State) withdraw(now time.Duration, j *job) {
	switch p := s.byID[j.host]; {
	case j.host == s.opts.Self.ID:
		s.sched.Step(now, sched.Cancel{Key: sched.JobKey{Host: j.host, Seq: j.seq}})
	case p != nil:
		p.withdraw(j.seq)
		p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Cancel{Cancel: &meshpb.Cancel{Seq: j.seq}}})
	}
}

// withdraw drops the submission of a job that was not acknowledged.
func (p *peer) withdraw(seq uint64) {
	p.session.Withdraw(func(m *meshpb.Message) bool {
		return m.GetSubmit() != nil && m.GetSubmit().GetSeq() == seq
	})
}

// commanderLost answers the jobs that a lost host had.
func (s *State) commanderLost(now time.Duration, id uint64) {
	for _, j := range s.sortedJobs() {
		if j.host == id && id != 0 {
			s.withdraw(now, j)
			s.answer(now, j, sched.Aborted, "the host that ran the job is lost")
		}
	}
}

// retryJobs hands over jobs that wait for a cell and answers those whose time is up.
func (s *State) retryJobs(now time.Duration) {
	for _, j := range s.sortedJobs() {
		switch {
		case j.host == 0:
			s.assign(now, j)
		case now > j.until+answerGrace:
			s.withdraw(now, j)
			s.answer(now, j, sched.Aborted, "the caller's time is up")
		}
	}
}

// sortedJobs returns the callers' jobs in the order of arrival.
func (s *State) sortedJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
