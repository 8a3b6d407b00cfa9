package host

import (
	"time"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// Applying returns the index of the event that Step is applying or was applying when it panicked, or -1 if
// it was doing something else.
func (s *State) Applying() int { return s.applying }

// Successor returns the state to go on with after a panic in Step, as of a new process with the given
// identity. What the event left behind in s may be half of a change, so nothing that gives a permission
// is kept: no cells, jobs, runs, leases or contacts. Other hosts and workers see what they see when a process is
// killed and starts again. What was read is kept: the configuration, the entries of workers, the addresses
// of hosts and the highest fencing token.
func (s *State) Successor(id uint64, now time.Duration) *State {
	if next := s.successor(id, now, true); next != nil {
		return next
	}
	return s.successor(id, now, false)
}

// RecordFailure reports that the former state of this process has failed on an event. The job that the event
// brought, if any, is given up as soon as it has failed two hosts: its caller sends it again after the first one,
// and it would end the state of one commander after the other.
func (s *State) RecordFailure(now time.Duration, ev Event) {
	var tasks []crash.Task
	for _, j := range jobsIn(ev) {
		tasks = append(tasks, crash.Task{Job: j})
	}
	if len(tasks) == 0 {
		return
	}
	s.sched.Crashes().Record(now, crash.Process{Addr: s.opts.Self.Addr}, crash.Replaced, tasks)
	s.log("jobs", "", "host failed on jobs", "jobs", len(tasks), "first", fleet.Printable(tasks[0].Job.ID, maxLogBytes))
}

// jobsIn returns the jobs that an event brings.
func jobsIn(ev Event) []crash.Job {
	var jobs []crash.Job
	switch e := ev.(type) {
	case JobArrived:
		jobs = append(jobs, crash.JobOf(e.Route, e.Spec.ID))
	case FrameReceived:
		for _, m := range e.Frame.GetMessages() {
			if submit := m.GetSubmit(); submit != nil {
				r := submit.GetRoute()
				jobs = append(jobs, crash.Job{Kind: crash.Kind{Host: r.GetHost(), Prefix: r.GetPrefix()}, ID: submit.GetJobId()})
			}
		}
	}
	return jobs
}

// successor returns a new state, with the entries of workers if asked for. It returns nil if they cannot
// be applied.
func (s *State) successor(id uint64, now time.Duration, withEntries bool) (next *State) {
	defer func() {
		if withEntries && recover() != nil {
			next = nil
		}
	}()
	opts := s.opts
	opts.UnixMillis += (now - opts.Started).Milliseconds()
	opts.Self.ID, opts.Seed, opts.Started = id, id, now
	n := New(opts)
	n.stats = s.stats
	n.stats.Aborted += int64(len(s.jobs))
	n.maxFence = s.maxFence
	n.config, n.configRecord, n.configAdoptedAt = s.config, s.configRecord, now
	n.configServer, n.configInvalid, n.offeredConfig = s.configServer, s.configInvalid, s.offeredConfig
	n.lag, n.messageBytes = s.lag, s.messageBytes
	n.priorities = s.priorities
	n.storeReachable, n.signs = s.storeReachable, s.signs
	n.evacuations = s.evacuations // known positions; what the failed event held comes from other hosts
	n.restrictStarts(now)
	for _, p := range s.sortedPeers {
		n.addPeer(&meshpb.Host{Addr: p.info.GetAddr(), Zone: p.zone(), Weight: p.info.GetWeight()})
		n.peers[p.info.GetAddr()].lastSign = p.lastSign
	}
	if withEntries {
		for _, e := range s.sortedEntries() {
			if e.removedAt == 0 {
				n.applyWorkerRecord(now, WorkerRecord{ID: e.info.ID, Record: e.record, Offset: e.offset})
			}
		}
	}
	if s.draining {
		n.draining = true
		n.owner.StartDrain()
	}
	return n
}
