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
	// maxCancelWait is how long a cancellation waits for the commanders that may run the job. It covers the
	// loss of one commander and is well below the 4 s after which a caller misses the answer.
	maxCancelWait = 2 * time.Second
	// lostCommanderTime is how long a lost commander counts as one that may still start tasks. Its workers
	// have been taken by the next commander by then.
	lostCommanderTime = 2 * time.Second
)

// CancelRequested reports that a caller cancels a job by its ID. It leads to exactly one CancelAnswer.
type CancelRequested struct {
	Seq       uint64 // chosen by the caller of Step; differs from those of jobs
	Job       string
	Route     fleet.Route
	RequestID string
	Remaining time.Duration // until the caller stops waiting; 0: not known
}

func (CancelRequested) hostEvent() {}

// CancelResult is the result of a cancellation.
type CancelResult int

// The results of a cancellation. With the first two, no host starts another task of the job from a
// submission that was sent before the cancellation.
const (
	CancelDone     CancelResult = iota + 1 // the job was in progress; its tasks are being stopped
	CancelNotFound                         // no such job was in progress
	CancelUnknown                          // hosts that may have the job were not reached
)

var cancelResultNames = [...]string{"none", "done", "not_found", "unknown"}

// String implements fmt.Stringer.
func (r CancelResult) String() string { return cancelResultNames[r] }

// CancelAnswer gives a caller the result of its cancellation.
type CancelAnswer struct {
	Seq    uint64
	Result CancelResult
	Reason string
}

// cancellation is a caller's cancellation without an answer.
type cancellation struct {
	seq       uint64
	job       *cancelledJob
	requestID string
	arrived   time.Duration
	deadline  time.Duration
	confirmed map[uint64]bool // processes that start no more tasks of the job
}

// wasCancelled reports whether a job was cancelled, and notes that it has been submitted.
func (s *State) wasCancelled(now time.Duration, id string, route fleet.Route) bool {
	name := newJobName(id, route)
	if s.cancels.find(now, name) == nil {
		return false
	}
	for _, j := range s.cancels.byID[id] {
		j.found = j.found || j.name.matches(name)
	}
	return true
}

// handleCancelRequested cancels a job here and asks the commanders to do the same. settleCancellations
// answers the caller.
func (s *State) handleCancelRequested(now time.Duration, e CancelRequested) {
	c := &cancellation{seq: e.Seq, requestID: e.RequestID, arrived: now, deadline: now + maxCancelWait, confirmed: make(map[uint64]bool)}
	if e.Remaining > 0 {
		c.deadline = now + min(e.Remaining*9/10, maxCancelWait) // the answer has to arrive in time
	}
	name := newJobName(e.Job, e.Route)
	if c.job = s.cancels.remember(now, name, 0); c.job == nil {
		c.job = &cancelledJob{name: name}
		s.answerCancellation(now, c, CancelUnknown, "too many jobs are being cancelled")
		return
	}
	s.cancels.pending = append(s.cancels.pending, c)
	s.stopCancelled(now, c.job)
	for _, p := range s.sortedPeers {
		if s.cancels.told[p.info.GetId()] && !s.sendMessage(p, cancelMessage(c.seq, name)) {
			delete(s.cancels.told, p.info.GetId()) // it is told again when it takes messages
		}
	}
}

func cancelMessage(seq uint64, name jobName) *meshpb.Message {
	return &meshpb.Message{Kind: &meshpb.Message_CancelJob{CancelJob: &meshpb.CancelJob{Seq: seq, JobId: name.id, Host: name.host, Prefix: name.prefix}}}
}

// stopCancelled ends the submissions of a cancelled job that this host has: those of its own callers,
// those that wait for a confirmation, and those in the scheduler.
func (s *State) stopCancelled(now time.Duration, c *cancelledJob) {
	var own []*job
	for _, j := range s.jobs {
		if newJobName(j.spec.ID, j.route).matches(c.name) {
			own = append(own, j)
		}
	}
	slices.SortFunc(own, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	for _, j := range own {
		c.found = true
		s.cancelJob(now, j)
		s.answerJob(now, j, sched.Cancelled, reasonCancelled)
	}
	for _, p := range s.sortedPeers {
		p.unconfirmed = slices.DeleteFunc(p.unconfirmed, func(u unconfirmedJob) bool {
			if !newJobName(u.job.Spec.ID, u.job.Route).matches(c.name) {
				return false
			}
			c.found = true
			s.handleJobFinished(now, sched.JobFinished{Key: u.job.Key, Outcome: sched.Cancelled, Reason: reasonCancelled})
			return true
		})
	}
	n := s.sched.CancelJobs(now, c.name.id, reasonCancelled, func(r fleet.Route) bool { return newJobName(c.name.id, r).matches(c.name) })
	c.found = c.found || n > 0
}

// reasonCancelled is the reason that the callers of a cancelled job get.
const reasonCancelled = "the job was cancelled"

// handleCancelJob cancels a job for another host.
func (s *State) handleCancelJob(now time.Duration, p *peer, m *meshpb.CancelJob) {
	if len(m.GetJobId())+len(m.GetHost())+len(m.GetPrefix()) > maxJobNameBytes {
		s.log("jobs", "", "cancellation ignored: the name of the job is too long", "from", p.info.GetName())
		return
	}
	name := jobName{id: m.GetJobId(), host: m.GetHost(), prefix: m.GetPrefix()}
	c := s.cancels.find(now, name)
	if c == nil || m.GetSeq() != 0 {
		c = s.cancels.remember(now, name, p.info.GetId())
	}
	if c == nil {
		s.log("jobs", "", "cancellation not confirmed: too many are remembered", "job", m.GetJobId(), "from", p.info.GetName())
		return
	}
	s.stopCancelled(now, c)
	s.log("jobs", "", "job cancelled for another host", "job", c.name.id, "from", p.info.GetName(), "found", c.found)
	p.session.Send(&meshpb.Message{Kind: &meshpb.Message_CancelJobReply{CancelJobReply: &meshpb.CancelJobReply{Seq: m.GetSeq(), Found: c.found}}})
}

// handleCancelJobReply records that a process starts no more tasks of a cancelled job.
func (s *State) handleCancelJobReply(p *peer, m *meshpb.CancelJobReply) {
	for _, c := range s.cancels.pending {
		if c.seq == m.GetSeq() {
			c.confirmed[p.info.GetId()] = true
			c.job.found = c.job.found || m.GetFound()
		}
	}
}

// settleCancellations tells commanders of which the host has just heard about the cancelled jobs, and
// answers the cancellations that all commanders have confirmed or whose time is over.
func (s *State) settleCancellations(now time.Duration) {
	s.cancels.expire(now)
	if len(s.cancels.expiring) == 0 && len(s.cancels.pending) == 0 {
		return
	}
	s.tellCommanders()
	if len(s.cancels.pending) == 0 {
		return
	}
	obstacle := s.cancelObstacle(now)
	s.cancels.pending = slices.DeleteFunc(s.cancels.pending, func(c *cancellation) bool {
		missing := obstacle
		if missing == "" {
			missing = s.unconfirmedCommander(c)
		}
		switch {
		case missing == "" && c.job.found:
			s.answerCancellation(now, c, CancelDone, "")
		case missing == "":
			s.answerCancellation(now, c, CancelNotFound, "")
		case now >= c.deadline:
			s.answerCancellation(now, c, CancelUnknown, missing)
		default:
			return false
		}
		return true
	})
}

// unconfirmedCommander names a live commander that has not confirmed a cancellation, or returns an empty
// string.
func (s *State) unconfirmedCommander(c *cancellation) string {
	for _, p := range s.sortedPeers {
		if p.live && p.commands() && !c.confirmed[p.info.GetId()] {
			return "host " + p.info.GetName() + " has not confirmed"
		}
	}
	return ""
}

// cancelObstacle returns why this host does not know all hosts that may start tasks, or an empty string: a
// zone with hosts that is not lost has a cell without a commander, or a commander was lost a short time ago.
func (s *State) cancelObstacle(now time.Duration) string {
	zones := make(map[string]bool)
	claimed := make(map[string]map[fleet.Cell]bool)
	claim := func(cell fleet.Cell) {
		if claimed[cell.Zone()] == nil {
			claimed[cell.Zone()] = make(map[fleet.Cell]bool)
		}
		claimed[cell.Zone()][cell] = true
	}
	for _, p := range s.sortedPeers {
		zones[p.zone()] = true
		if !p.live && p.commands() && now-p.session.LastContact() < lostCommanderTime {
			return "host " + p.info.GetName() + " is lost"
		}
		if !p.live || p.status.GetDraining() {
			continue
		}
		for _, c := range p.status.GetCells() {
			if !c.GetReleasing() {
				claim(fleet.Cell(c.GetName()))
			}
		}
	}
	zones[s.opts.Self.Zone] = true
	for _, c := range s.owner.Claims() {
		if !c.Releasing && !s.draining {
			claim(c.Cell)
		}
	}
	for _, zone := range s.opts.Zones {
		// A peer whose zone is not known yet may belong to any.
		if !zones[zone] && !zones[""] || completeDivision(claimed[zone]) {
			continue
		}
		if why := s.goesOn(now, zone); why != "" {
			return "zone " + zone + " has no commander that is known here, and may go on: " + why
		}
	}
	return ""
}

// completeDivision reports whether cells contain all parts of a division of their zone.
func completeDivision(cells map[fleet.Cell]bool) bool {
	parts := make(map[int]int)
	for c := range cells {
		parts[c.Parts()]++
		if parts[c.Parts()] == c.Parts() {
			return true
		}
	}
	return false
}

// answerCancellation answers the caller of a cancellation.
func (s *State) answerCancellation(now time.Duration, c *cancellation, r CancelResult, reason string) {
	switch r {
	case CancelDone:
		s.stats.CancelsDone++
	case CancelNotFound:
		s.stats.CancelsNotFound++
	case CancelUnknown:
		s.stats.CancelsUnknown++
	}
	s.log("jobs", c.requestID, "cancellation answered", "job", c.job.name.id, "result", r, "reason", reason, "found", c.job.found, "took", now-c.arrived)
	s.emit(CancelAnswer{Seq: c.seq, Result: r, Reason: reason})
}
