package fit

import (
	"time"

	"sesameledge.dev/sesameledge/place"
)

const (
	// failuresToExclude is how many jobs in a row have to lose a task on a worker. Each
	// costs a caller its answer, so there are few; one can be the job's own fault.
	failuresToExclude = 3
	// firstExclusion doubles with each exclusion up to maxExclusion.
	firstExclusion = 5 * time.Second
	maxExclusion   = 5 * time.Minute
	// maxExcluded is the largest share of a group's workers that is excluded.
	maxExcluded = 0.25
	// commonFailure is the share of failed attempts in the group above which failures
	// are put down to the jobs and not to the workers.
	commonFailure = 0.5
	failureMemory = 1.0 / 50
	// fullReturn is the number of own tasks at which a returning worker counts as normal.
	fullReturn = 64
)

// health is what attempts say about a worker.
type health struct {
	failures  int    // in a row, of different jobs
	failedJob string // the last one counted
	until     time.Duration
	exclusion time.Duration // length of the last one
	limit     int           // own tasks while it returns; 0 for no limit
}

func (h *health) excluded(now time.Duration) bool { return now < h.until }

// takes reports whether the worker takes a task beside its open ones.
func (h *health) takes(now time.Duration, open int) bool {
	return !h.excluded(now) && (h.limit == 0 || open < h.limit)
}

// learnHealth takes in the end of an attempt.
func (s *Set) learnHealth(w *worker, job string, sample place.Sample) {
	g := s.group(w.Group)
	h := &w.health
	switch {
	case sample.Refused:
		w.pauseUntil = s.now + refusalPause
	case sample.Failed && sample.Cancelled:
	case sample.Failed:
		g.failing += failureMemory * (1 - g.failing)
		if job == h.failedJob {
			return
		}
		h.failedJob = job
		h.failures++
		if h.failures >= failuresToExclude || h.limit > 0 {
			s.exclude(g, h)
		}
	case !sample.Blameless:
		g.failing -= failureMemory * g.failing
		h.succeeded()
	}
}

// succeeded lets a returning worker take more, and ends its return in steps.
func (h *health) succeeded() {
	h.failures, h.failedJob = 0, ""
	if h.limit == 0 {
		return
	}
	h.limit *= 2
	if h.limit > fullReturn {
		h.limit, h.exclusion = 0, 0
	}
}

// exclude keeps starts off a worker for a while, unless too many are excluded already or
// the whole group fails.
func (s *Set) exclude(g *group, h *health) {
	excluded := 0
	for _, w := range g.workers {
		if w.health.excluded(s.now) {
			excluded++
		}
	}
	most := max(int(maxExcluded*float64(len(g.workers))), 1)
	if excluded >= most || len(g.workers) < 2 || g.failing > commonFailure {
		return
	}
	h.exclusion = min(max(2*h.exclusion, firstExclusion), maxExclusion)
	h.until = s.now + h.exclusion
	h.limit = 1
	h.failures = 0
}
