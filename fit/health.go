package fit

import (
	"time"

	"sesameledge.dev/sesameledge/place"
)

const (
	// failuresToExclude is how many jobs in a row have to lose a task on a worker to exclude it.
	// Each lost job costs a caller its answer, so the number is small; it is above 1 because one
	// failure may be the job's own fault.
	failuresToExclude = 3
	// minExclusion is the length of the first exclusion. It doubles, up to maxExclusion, with each
	// further one.
	minExclusion = 5 * time.Second
	maxExclusion = 5 * time.Minute
	// maxExcludedShare is the largest share of a group's workers that is excluded at a time, with
	// at least one worker.
	maxExcludedShare = 0.25
	// groupFailureThreshold is the share of failed attempts in the group above which failures are
	// attributed to the jobs and not to the workers.
	groupFailureThreshold = 0.5
	// failureRateWeight is the weight of one attempt in the failure rate of a group.
	failureRateWeight = 1.0 / 50
	// maxRecoveryLimit is the limit of own tasks beyond which a returning worker has no limit any
	// more.
	maxRecoveryLimit = 64
)

// health is the failure detection of one worker: whether it is excluded, and how many tasks it may
// have while it returns.
type health struct {
	consecutiveFailures int    // of different jobs
	lastFailedJob       string // the last job counted in consecutiveFailures
	excludedUntil       time.Duration
	exclusionLength     time.Duration // of the last exclusion; 0 after a full return
	ownTaskLimit        int           // while it returns; 0 means no limit
}

func (h *health) excluded(now time.Duration) bool { return now < h.excludedUntil }

// accepts reports whether the worker takes one more task beside its ownTasks open ones.
func (h *health) accepts(now time.Duration, ownTasks int) bool {
	return !h.excluded(now) && (h.ownTaskLimit == 0 || ownTasks < h.ownTaskLimit)
}

// recordHealth updates the health of the worker with the end of an attempt.
func (s *Set) recordHealth(w *worker, job string, sample place.Sample) {
	g := s.groupFor(w.Group)
	h := &w.health
	switch {
	case sample.Refused:
		w.pausedUntil = s.now + refusalPause
	case sample.Failed && sample.Cancelled:
	case sample.Failed:
		g.failureRate += failureRateWeight * (1 - g.failureRate)
		if job == h.lastFailedJob {
			return
		}
		h.lastFailedJob = job
		h.consecutiveFailures++
		if h.consecutiveFailures >= failuresToExclude || h.ownTaskLimit > 0 {
			s.excludeForAWhile(g, h)
		}
	case !sample.Blameless:
		g.failureRate -= failureRateWeight * g.failureRate
		h.recordSuccess()
	}
}

// recordSuccess records a completed task. It doubles the limit of a returning worker.
func (h *health) recordSuccess() {
	h.consecutiveFailures, h.lastFailedJob = 0, ""
	if h.ownTaskLimit == 0 {
		return
	}
	h.ownTaskLimit *= 2
	if h.ownTaskLimit > maxRecoveryLimit {
		h.ownTaskLimit, h.exclusionLength = 0, 0
	}
}

// excludeForAWhile keeps new tasks off a worker for a limited time, unless too many workers are
// excluded already or the whole group fails.
func (s *Set) excludeForAWhile(g *group, h *health) {
	excludedCount := 0
	for _, w := range g.workers {
		if w.health.excluded(s.now) {
			excludedCount++
		}
	}
	maxCount := max(int(maxExcludedShare*float64(len(g.workers))), 1)
	if excludedCount >= maxCount || len(g.workers) < 2 || g.failureRate > groupFailureThreshold {
		return
	}
	h.exclusionLength = min(max(2*h.exclusionLength, minExclusion), maxExclusion)
	h.excludedUntil = s.now + h.exclusionLength
	h.ownTaskLimit = 1
	h.consecutiveFailures = 0
}
