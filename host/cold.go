package host

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// coldReportError is by how much the ends of a cold time that two entries of one process report may
	// differ: workers write their entries every second or two, and a read may come that much later.
	coldReportError = 3 * time.Second
	// coldProbeShare is the share of the jobs that are assigned as if cold workers were warm, so that their
	// speed is learned and a wrong estimate of it corrects itself.
	coldProbeShare = 0.05
)

// coldUntil returns when a worker is warm, on this host's clock, as its newest entry reports it. An entry is
// some time old when it is read, so the earliest end that the entries of a process report counts, unless the
// worker has become cold again since.
func coldUntil(now time.Duration, old *workerEntry, offset int64, info fleet.Worker) time.Duration {
	switch {
	case info.ColdLeft <= 0:
		return 0
	case old != nil && old.offset == offset:
		return old.info.ColdUntil // the entry has been read before
	}
	until := now + info.ColdLeft
	if old == nil || old.info.ProcessStart != info.ProcessStart || old.info.ColdUntil <= now || until-old.info.ColdUntil > coldReportError {
		return until
	}
	return min(until, old.info.ColdUntil)
}

// sameColdness reports whether two entries of a worker agree on when it is warm, up to coldReportError.
func sameColdness(now time.Duration, a, b fleet.Worker) bool {
	left := func(w fleet.Worker) time.Duration { return max(0, w.ColdUntil-now) }
	return (left(a) - left(b)).Abs() <= coldReportError/10
}

// slowdown returns how much longer a job is expected to run in a cell because the workers there are cold.
// A few jobs go there all the same.
func (s *State) slowdown(c *cellCandidate, j *job) time.Duration {
	d := c.load.Slowdown(j.spec.Estimate)
	if d > 0 && s.rng.Float64() < coldProbeShare {
		return 0
	}
	return d
}
