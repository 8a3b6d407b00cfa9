package host

import (
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// maxLossesPerMessage bounds the reports of lost workers in one message.
const maxLossesPerMessage = 16

// forwardLosses passes the reports of lost workers on to a peer, so that a task is assessed by the crashes under
// all commanders. Each host passes on its own reports; those of lost hosts come from the commanders.
func (s *State) forwardLosses(now time.Duration, p *peer) {
	ledger := s.sched.Crashes()
	commands := s.CellCount() > 0
	reports := ledger.Since(now, p.forwardedLosses, func(host uint64) bool { return commands && !s.isLive(host) })
	for chunk := range slices.Chunk(reports, maxLossesPerMessage) {
		m := &meshpb.LostWorkers{}
		for _, r := range chunk {
			m.Reports = append(m.Reports, encodeLoss(r))
		}
		if !s.sendMessage(p, &meshpb.Message{Kind: &meshpb.Message_LostWorkers{LostWorkers: m}}) {
			return
		}
	}
	p.forwardedLosses = ledger.Changes()
}

// isLive reports whether a process is in contact with this host.
func (s *State) isLive(id uint64) bool {
	p := s.peersByID[id]
	return id == s.opts.Self.ID || p != nil && p.live
}

// handleLostWorkers adds the reports of a peer to those that the scheduler knows.
func (s *State) handleLostWorkers(now time.Duration, p *peer, m *meshpb.LostWorkers) {
	for _, l := range m.GetReports() {
		r, err := decodeLoss(l)
		if err != nil {
			s.log("mesh", "", "report of a lost worker ignored", "from", p.info.GetName(), "err", err)
			continue
		}
		s.sched.MergeLoss(now, r)
	}
}

// encodeLoss returns the message for a report. A job whose name is not text is known to this host alone.
func encodeLoss(r crash.Report) *meshpb.LostWorker {
	m := &meshpb.LostWorker{
		Host: r.ID.Host, Seq: r.ID.Seq, Worker: r.Process.Worker, Addr: r.Process.Addr, Start: r.Process.Start,
		Evidence: int32(r.Evidence), AgeNs: int64(r.Age), Uncertain: r.Uncertain,
	}
	jobs := make(map[crash.Job]*meshpb.LostJob)
	for _, t := range r.Tasks {
		name := t.Job
		if !utf8.ValidString(name.ID + name.Kind.Host + name.Kind.Prefix) {
			continue
		}
		if jobs[name] == nil {
			jobs[name] = &meshpb.LostJob{Host: name.Kind.Host, Prefix: name.Kind.Prefix, JobId: name.ID}
			m.Jobs = append(m.Jobs, jobs[name])
		}
		jobs[name].Tasks = append(jobs[name].Tasks, int32(t.Index))
	}
	return m
}

// decodeLoss returns the report in a message, or an error if no sound host sends it.
func decodeLoss(m *meshpb.LostWorker) (crash.Report, error) {
	r := crash.Report{
		ID:      crash.ReportID{Host: m.GetHost(), Seq: m.GetSeq()},
		Process: crash.Process{Worker: m.GetWorker(), Addr: m.GetAddr(), Start: m.GetStart()}, Evidence: crash.Evidence(m.GetEvidence()),
		Age: time.Duration(m.GetAgeNs()), Uncertain: m.GetUncertain(),
	}
	if r.Age < 0 || r.Evidence < crash.Silent || r.Evidence > crash.Withdrawn {
		return r, errors.Newf("it has the age %v and the evidence %d", r.Age, m.GetEvidence())
	}
	if len(r.Process.Worker)+len(r.Process.Addr) > 2*fleet.MaxNameBytes {
		return r, errors.New("the name of the worker is too long")
	}
	for _, j := range m.GetJobs() {
		if len(j.GetJobId())+len(j.GetHost())+len(j.GetPrefix()) > maxJobNameBytes {
			return r, errors.New("the name of a job is too long")
		}
		name := crash.Job{Kind: crash.Kind{Host: j.GetHost(), Prefix: j.GetPrefix()}, ID: j.GetJobId()}
		for _, index := range j.GetTasks() {
			if index < 0 || index >= fleet.MaxTasks || len(r.Tasks) >= crash.MaxTasks {
				return r, errors.New("a task is out of bounds")
			}
			r.Tasks = append(r.Tasks, crash.Task{Job: name, Index: int(index)})
		}
	}
	return r, nil
}
