package place

import "time"

const (
	// failureMemory is how many attempts the failure rate of an endpoint covers.
	failureMemory = 8
	// ejectRate is the failure rate beyond that of the group at which an endpoint is
	// ejected. An endpoint that fails fast looks idle and would attract every task.
	ejectRate = 0.3
	// A failure in less than fastFailure of the expected run time counts fastFailureWeight
	// times. One such failure ejects, because an endpoint that fails fast fails a job of
	// every host with each task that it gets.
	fastFailure       = 0.25
	fastFailureWeight = 3
	// ejectFor is the first time out; it doubles up to maxEjectFor on relapse.
	ejectFor    = 5 * time.Second
	maxEjectFor = time.Minute
	// probeTasks bounds the size of the jobs that try an ejected endpoint again, since a
	// failure fails the whole job. After probePatience any job may.
	probeTasks    = 4
	probePatience = 5 * time.Second
	// confirmPatience is how long after an ejection the other endpoints of the group are
	// to prove themselves. Endpoints often start to fail together, and a host that is
	// one of seven hears from a slow endpoint every few seconds only.
	confirmPatience = 5 * time.Second
	// DefaultMaxEjected bounds the ejected share of a group's endpoints.
	DefaultMaxEjected = 0.3
	// refusalPause is the pause after a refusal; it doubles up to maxRefusalPause while
	// refusals go on.
	refusalPause    = 20 * time.Millisecond
	maxRefusalPause = time.Second
)

// health decides whether an endpoint is ejected and how it returns.
type health struct {
	rate         float64 // decayed share of failed attempts
	ejectedUntil time.Duration
	lastEject    time.Duration
	probing      bool // no success since the last ejection
	allowed      int  // outstanding tasks while it returns; 0 means no limit
	refusals     int  // in a row
	pausedUntil  time.Duration
	succeededAt  time.Duration // time of the last completed task
}

// succeeded widens the return of an endpoint.
func (h *health) succeeded(now time.Duration) {
	h.succeededAt = now
	h.rate -= h.rate / failureMemory
	h.refusals = 0
	h.probing = false
	if h.allowed > 0 {
		h.allowed *= 2
	}
	if h.allowed > maxReturning {
		h.allowed = 0
	}
}

// maxReturning ends the gradual return of an ejected endpoint.
const maxReturning = 64

func (h *health) failed(fast bool) {
	weight := 1.0
	if fast {
		weight = fastFailureWeight
	}
	h.rate += (1 - h.rate) * weight / failureMemory
}

// mayProbe reports whether a job of this many tasks may try an endpoint that failed.
func (h *health) mayProbe(now time.Duration, tasks int) bool {
	return !h.probing || tasks <= probeTasks || now > h.ejectedUntil+probePatience
}

// refused pauses the endpoint: it is busy, leaving, or gone. Afterwards one task at a time
// tries it, so that a refusal is not learned at the cost of several messages.
func (h *health) refused(now time.Duration) {
	h.allowed = 1
	h.pausedUntil = now + min(refusalPause<<min(h.refusals, 10), maxRefusalPause)
	h.refusals++
}

// eject takes the endpoint out. It returns with one task at a time.
func (h *health) eject(now time.Duration) {
	if h.lastEject > 0 && now < h.ejectedUntil+maxEjectFor {
		h.lastEject = min(2*h.lastEject, maxEjectFor)
	} else {
		h.lastEject = ejectFor
	}
	h.ejectedUntil = now + h.lastEject
	h.allowed = 1
	h.probing = true
	// The next failure ejects again.
	h.rate = ejectRate - 1.0/failureMemory/2
}

func (h *health) out(now time.Duration) bool { return now < h.ejectedUntil }

func (h *health) paused(now time.Duration) bool { return now < h.pausedUntil }

// unconfirmed reports whether a task should not try the endpoint yet: another endpoint of
// the group was ejected, this one has completed nothing since, and the job has more to
// lose than its first few tasks.
func (s *Set) unconfirmed(now time.Duration, st *state, task Task) bool {
	at, ejected := s.ejections[st.Group]
	if !ejected || now >= at+confirmPatience || st.health.succeededAt >= at {
		return false
	}
	return task.JobStarted >= probeTasks
}

// considerEjecting ejects the endpoint if it fails far more often than its group and the
// ejected share stays within its bound.
func (s *Set) considerEjecting(now time.Duration, st *state) {
	g := s.groups[st.Group]
	if st.health.rate < ejectRate || st.health.out(now) {
		return
	}
	out, rest, sum := 0, 0, 0.0
	for _, other := range g {
		switch {
		case other.health.out(now):
			out++
		case other != st:
			rest++
			sum += other.health.rate
		}
	}
	if rest == 0 || st.health.rate < ejectRate+sum/float64(rest) {
		return
	}
	if float64(out+1) <= s.policy.MaxEjected*float64(len(g)) {
		st.health.eject(now)
		s.ejections[st.Group] = now
	}
}
