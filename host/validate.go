package host

import (
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// fenceLimit is above every fencing token: every JSON decoder is exact below it.
	fenceLimit = 1 << 53
	// maxJobTime limits the durations in a job from another host.
	maxJobTime = fleet.MaxJobTime
	// maxLoadAmount, maxLoadQueue and maxLoadTaskMillis limit the numbers in the load of a cell, so that sums
	// over cells do not overflow.
	maxLoadAmount     = 1 << 50
	maxLoadQueue      = 1 << 60
	maxLoadTaskMillis = 1 << 40
	// maxCellParts limits the number of cells into which a host may announce that a zone is divided.
	maxCellParts = 64
)

// stampSlack is how far the time stamps of frames may be ahead of the clock: those of one step are 1 ns apart.
const stampSlack = time.Microsecond

// frameError returns what is wrong with a frame that no sound host sends, or nil. Such a frame is ignored
// as a whole. An echo from the future would make its sender count as live for as long; a fencing token at
// the limit could not be exceeded.
func (s *State) frameError(now time.Duration, f *meshpb.Frame) error {
	switch {
	case f.GetFrom().GetAddr() == "" || f.GetFrom().GetId() == 0:
		return errors.New("the sender is not named")
	case f.GetTo() == s.opts.Self.ID && (f.GetEcho() < 0 || f.GetEcho() > int64(now+stampSlack)):
		return errors.Newf("it echoes the time %v, which this host has not sent", time.Duration(f.GetEcho()))
	case f.GetSent() < 0:
		return errors.New("its time is negative")
	case f.GetCallersAgeNs() < 0:
		return errors.New("its sender has looked at its callers in the future")
	}
	return statusError(f.GetStatus())
}

// statusError returns what is wrong with a status, or nil.
func statusError(st *meshpb.Status) error {
	if !validFence(st.GetMaxFence()) {
		return errors.Newf("the fencing token %d is out of bounds", st.GetMaxFence())
	}
	if st.GetEvacuationOffset() < 0 {
		return errors.Newf("the position %d of the evacuations is negative", st.GetEvacuationOffset())
	}
	for _, c := range st.GetCells() {
		switch {
		case !validFence(c.GetFence()) || c.GetCommanded() < 0:
			return errors.Newf("the cell %s has a token or a number of workers out of bounds", c.GetName())
		case fleet.Cell(c.GetName()).Parts() > maxCellParts:
			return errors.Newf("the cell %s belongs to a zone of too many cells", c.GetName())
		}
		for _, l := range c.GetLoads() {
			if !validLoad(l) {
				return errors.Newf("the cell %s has a load out of bounds", c.GetName())
			}
		}
	}
	return nil
}

// validLoad reports whether the numbers of a load are within bounds.
func validLoad(l *meshpb.Load) bool {
	within := func(n, limit int64) bool { return n >= 0 && n <= limit }
	return within(l.GetFree(), maxLoadAmount) && within(l.GetCapacity(), maxLoadAmount) && within(l.GetRate(), maxLoadAmount) && within(l.GetCold(), maxLoadAmount) &&
		within(l.GetQueued(), maxLoadQueue) && within(l.GetTaskMs(), maxLoadTaskMillis)
}

func validFence(fence int64) bool { return fence >= 0 && fence < fenceLimit }

// submitError returns what is wrong with a job from another host, or nil.
func submitError(m *meshpb.Submit) error {
	r := m.GetRoute()
	switch {
	case m.GetTasks() < 1 || m.GetTasks() > fleet.MaxTasks:
		return errors.Newf("it has %d tasks", m.GetTasks())
	case !fleet.Resources{CPU: m.GetCpu(), Memory: m.GetMemory(), GPU: m.GetGpu()}.Sane():
		return errors.New("a task needs an amount out of bounds")
	case !validJobTime(m.GetAgeNs()) || !validJobTime(m.GetEstimateNs()) || !validJobTime(r.GetTargetNs()) || m.GetLeftNs() > int64(maxJobTime):
		return errors.New("a duration is out of bounds")
	case !(r.GetSlackFactor() >= 0 && r.GetSlackFactor() <= fleet.MaxSlackFactor):
		return errors.Newf("the slack factor is %v", r.GetSlackFactor())
	}
	return nil
}

func validJobTime(ns int64) bool { return ns >= 0 && ns <= int64(maxJobTime) }
