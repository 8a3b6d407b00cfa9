package place

import "time"

const (
	// failureRateAttempts is the number of attempts over which the failure rate of an endpoint is
	// averaged.
	failureRateAttempts = 8
	// ejectRateExcess is by how much an endpoint's failure rate has to exceed that of the group's
	// other endpoints for it to be ejected. An endpoint that fails fast looks idle and would
	// attract every task.
	ejectRateExcess = 0.3
	// A failure in less than fastFailureShare of the expected run time counts fastFailureWeight
	// times. One such failure is enough to eject, because an endpoint that fails fast fails a job
	// of every host with each task that it gets.
	fastFailureShare  = 0.25
	fastFailureWeight = 3
	// minEjection is the length of the first ejection. It doubles, up to maxEjection, if the
	// endpoint fails again within maxEjection of its return.
	minEjection = 5 * time.Second
	maxEjection = time.Minute
	// maxProbeJobTasks bounds the size of the jobs that probe an endpoint after its ejection,
	// since one failed task fails the whole job. If no probe has succeeded within
	// probeSizeLimitPeriod of the end of the ejection, jobs of any size may probe.
	maxProbeJobTasks     = 4
	probeSizeLimitPeriod = 5 * time.Second
	// confirmationPeriod is how long after an ejection the other endpoints of the group have to
	// complete a task before a job may risk more than its first tasks there. Endpoints often start
	// to fail together, and one of seven hosts hears from a slow endpoint only every few seconds.
	confirmationPeriod = 5 * time.Second
	// DefaultMaxEjected is the default of Policy.MaxEjected.
	DefaultMaxEjected = 0.3
	// refusalPause is the pause after a refusal. It doubles, up to maxRefusalPause, with each
	// further refusal in a row.
	refusalPause    = 20 * time.Millisecond
	maxRefusalPause = time.Second
)

// health is the failure detection of one endpoint: whether it is ejected or paused, and how many
// tasks it may have while it returns.
type health struct {
	failureRate         float64 // decayed share of failed attempts
	ejectedUntil        time.Duration
	ejectionLength      time.Duration
	probing             bool // returned from an ejection or still ejected; no success since
	outstandingLimit    int  // while it returns; 0 means no limit
	consecutiveRefusals int
	pausedUntil         time.Duration
	lastSuccess         time.Duration // when a task last completed
}

// recordSuccess records a completed task. It doubles the limit of a returning endpoint.
func (h *health) recordSuccess(now time.Duration) {
	h.lastSuccess = now
	h.failureRate -= h.failureRate / failureRateAttempts
	h.consecutiveRefusals = 0
	h.probing = false
	if h.outstandingLimit > 0 {
		h.outstandingLimit *= 2
	}
	if h.outstandingLimit > maxRecoveryLimit {
		h.outstandingLimit = 0
	}
}

// maxRecoveryLimit is the limit of outstanding tasks beyond which a returning endpoint has no
// limit any more.
const maxRecoveryLimit = 64

// recordFailure records a failed task. fast tells whether it failed in much less than the expected
// run time.
func (h *health) recordFailure(fast bool) {
	weight := 1.0
	if fast {
		weight = fastFailureWeight
	}
	h.failureRate += (1 - h.failureRate) * weight / failureRateAttempts
}

// mayProbe reports whether a job of this many tasks may use the endpoint. It is always true unless
// the endpoint has had no success since its last ejection.
func (h *health) mayProbe(now time.Duration, jobTasks int) bool {
	return !h.probing || jobTasks <= maxProbeJobTasks || now > h.ejectedUntil+probeSizeLimitPeriod
}

// recordRefusal pauses the endpoint: it is busy, leaving, or gone. After the pause it gets one
// task at a time, so that a further refusal costs one message only.
func (h *health) recordRefusal(now time.Duration) {
	h.outstandingLimit = 1
	h.pausedUntil = now + min(refusalPause<<min(h.consecutiveRefusals, 10), maxRefusalPause)
	h.consecutiveRefusals++
}

// eject excludes the endpoint from new tasks for a while. After that, it gets one task at a time.
func (h *health) eject(now time.Duration) {
	if h.ejectionLength > 0 && now < h.ejectedUntil+maxEjection {
		h.ejectionLength = min(2*h.ejectionLength, maxEjection)
	} else {
		h.ejectionLength = minEjection
	}
	h.ejectedUntil = now + h.ejectionLength
	h.outstandingLimit = 1
	h.probing = true
	// A rate just below the threshold, so that the next failure ejects again.
	h.failureRate = ejectRateExcess - 1.0/failureRateAttempts/2
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

func (h *health) paused(now time.Duration) bool { return now < h.pausedUntil }

// needsConfirmation reports whether a task should not use the endpoint yet: another endpoint of
// the group was ejected, this one has completed nothing since, and the job has more to lose than
// its first few tasks.
func (s *Set) needsConfirmation(now time.Duration, st *endpointState, task Task) bool {
	ejectedAt, ejected := s.ejections[st.Group]
	if !ejected || now >= ejectedAt+confirmationPeriod || st.health.lastSuccess >= ejectedAt {
		return false
	}
	return task.JobStarted >= maxProbeJobTasks
}

// ejectIfFailing ejects the endpoint if it fails far more often than the rest of its group and the
// ejected share of the group stays within its bound.
func (s *Set) ejectIfFailing(now time.Duration, st *endpointState) {
	members := s.groups[st.Group]
	if st.health.failureRate < ejectRateExcess || st.health.ejected(now) {
		return
	}
	ejectedCount, peers, peerFailureRates := 0, 0, 0.0
	for _, peer := range members {
		switch {
		case peer.health.ejected(now):
			ejectedCount++
		case peer != st:
			peers++
			peerFailureRates += peer.health.failureRate
		}
	}
	if peers == 0 || st.health.failureRate < ejectRateExcess+peerFailureRates/float64(peers) {
		return
	}
	if float64(ejectedCount+1) <= s.policy.MaxEjected*float64(len(members)) {
		st.health.eject(now)
		s.ejections[st.Group] = now
	}
}
