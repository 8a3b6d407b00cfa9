package host

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

// confirmTimeout limits the time from the receipt of a job to its confirmation, which takes a round trip
// between zones. It adds to the time in which the loss of the sender is noticed.
const confirmTimeout = 100 * time.Millisecond

// unconfirmedJob is a job of another host's caller whose submission may have been delayed for so long
// that the other host has counted this one as lost and answered the caller. It waits for a frame that
// the other host has sent after it has heard of this host's receipt; a cancellation would come before
// or with that frame. Hosts of different zones have no other recent contact when they begin to exchange
// jobs.
type unconfirmedJob struct {
	job        sched.Job // Age and Left as of receivedAt
	receivedAt time.Duration
}

// handleSubmit passes a job of another host's caller to the scheduler, at once or when its submission is
// confirmed. Between hosts with frequent heartbeats a delayed submission is refused.
func (s *State) handleSubmit(now time.Duration, p *peer, f *meshpb.Frame, m *meshpb.Submit) {
	if err := submitError(m); err != nil {
		s.log("jobs", m.GetRequestId(), "invalid job refused", "job", m.GetJobId(), "from", p.info.GetName(), "err", err)
		s.handleJobFinished(now, sched.JobFinished{Key: sched.JobKey{Host: p.info.GetId(), Seq: m.GetSeq()}, Outcome: sched.Refused, Reason: "the job is invalid"})
		return
	}
	waited := max(0, time.Duration(f.GetSent()-m.GetMeasured()))
	silent := now - time.Duration(f.GetEcho())
	job := submittedJob(p.info.GetId(), m, waited)
	p.lastJobAt = now
	switch {
	case s.wasCancelled(now, job.Spec.ID, job.Route):
		s.handleJobFinished(now, sched.JobFinished{Key: job.Key, Outcome: sched.Cancelled, Reason: reasonCancelled})
	case waited+silent <= s.opts.Timing.ContactTimeout:
		s.submitRemote(now, p, job)
	case p.frequentHeartbeats || waited > s.opts.Timing.ContactTimeout:
		s.refuseStale(now, job, "waited", waited, "silent", silent)
	default:
		p.unconfirmed = append(p.unconfirmed, unconfirmedJob{job: job, receivedAt: now})
		p.makeFrameDue()
	}
}

// submitRemote passes a job of a peer's caller to the scheduler. The job is wanted as long as the peer is
// known to want it: messages that are missing here may have withdrawn it.
func (s *State) submitRemote(now time.Duration, p *peer, job sched.Job) {
	job.CallersSeen = p.session.CallersSeen()
	s.sched.Step(now, sched.Submit{Job: job})
}

// refuseStale refuses a job whose submission was delayed.
func (s *State) refuseStale(now time.Duration, job sched.Job, fields ...any) {
	s.log("jobs", job.Spec.RequestID, "stale job refused", append([]any{"job", job.Spec.ID}, fields...)...)
	s.handleJobFinished(now, sched.JobFinished{Key: job.Key, Outcome: sched.Refused, Reason: "the job arrived late"})
}

// submittedJob returns the job in a submission that waited at its sender for the frame.
func submittedJob(from uint64, m *meshpb.Submit, waited time.Duration) sched.Job {
	r := m.GetRoute()
	return sched.Job{
		Key:  sched.JobKey{Host: from, Seq: m.GetSeq()},
		Cell: fleet.Cell(m.GetCell()),
		Spec: fleet.JobSpec{
			ID: m.GetJobId(), RequestID: m.GetRequestId(), Payload: m.GetPayload(), Tasks: int(m.GetTasks()),
			Need:     fleet.Resources{CPU: m.GetCpu(), Memory: m.GetMemory(), GPU: m.GetGpu()},
			Estimate: time.Duration(m.GetEstimateNs()), Rack: m.GetRack(), Label: m.GetLabel(),
			MaxPerWorker: int(m.GetMaxPerWorker()), Ephemeral: true,
		},
		Route: fleet.Route{
			Name: r.GetName(), Service: r.GetService(), Priority: int(r.GetPriority()),
			MaxAttempts: int(r.GetMaxAttempts()), SlackFactor: r.GetSlackFactor(), ObjectiveOffset: time.Duration(r.GetTargetNs()),
			Host: r.GetHost(), Prefix: r.GetPrefix(),
		},
		Age: time.Duration(m.GetAgeNs()) + waited, Left: time.Duration(m.GetLeftNs()) - waited,
	}
}

// submitConfirmed passes the unconfirmed jobs of a peer to the scheduler that were received before the
// newest own time stamp that the peer has echoed. Those that have waited for longer than confirmTimeout
// are refused.
func (s *State) submitConfirmed(now time.Duration, p *peer, echo time.Duration) {
	p.unconfirmed = slices.DeleteFunc(p.unconfirmed, func(u unconfirmedJob) bool {
		if now-u.receivedAt > confirmTimeout {
			s.refuseStale(now, u.job, "waited", now-u.receivedAt)
			return true
		}
		if echo < u.receivedAt {
			return false
		}
		u.job.Age += now - u.receivedAt
		u.job.Left -= now - u.receivedAt
		s.submitRemote(now, p, u.job)
		return true
	})
}

// dropUnconfirmed forgets an unconfirmed job that its sender has cancelled.
func (p *peer) dropUnconfirmed(seq uint64) {
	p.unconfirmed = slices.DeleteFunc(p.unconfirmed, func(u unconfirmedJob) bool { return u.job.Key.Seq == seq })
}

// makeFrameDue makes the next Step send a frame to the peer.
func (p *peer) makeFrameDue() { p.lastSentAt = -unreachableHeartbeatInterval }
