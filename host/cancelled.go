package host

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// DefaultCancelMemory is how long a cancelled job is remembered if the options do not say. Its request may arrive
	// again seconds after it was answered, and those that were sent before the cancellation may be delayed by
	// paused hosts and partitions.
	DefaultCancelMemory = 2 * time.Minute
	// minCancelMemory is the time after which a cancelled job is forgotten early where there is no room for others.
	minCancelMemory = 10 * time.Second
	// maxRememberedCancels bounds the remembered jobs of all hosts, maxOwnCancels those that were cancelled
	// through this host. A new commander is told of the latter at once, so they have to fit into a session.
	maxRememberedCancels = 16384
	maxOwnCancels        = 2048
	// maxJobNameBytes bounds the strings of a cancellation from another host.
	maxJobNameBytes = 4096
)

// jobName identifies a job as its caller does. A name without a host is that of a job from a host of an
// earlier version, and names the job with the ID on any route.
type jobName struct{ id, host, prefix string }

func newJobName(id string, r fleet.Route) jobName {
	return jobName{id: id, host: r.Host, prefix: r.Prefix}
}

// matches reports whether two names may be those of one job.
func (n jobName) matches(o jobName) bool {
	return n.id == o.id && (n.host == "" || o.host == "" || n.host == o.host && n.prefix == o.prefix)
}

// cancelledJob is a job that was cancelled.
type cancelledJob struct {
	name  jobName
	since time.Duration
	found bool // it was in progress, or has been submitted since
	// from is the process that this host has heard of the cancellation from; 0: it was cancelled through this host.
	// That process tells new commanders of it, and this host does once that one is lost.
	from uint64
}

// own reports whether the job was cancelled through this host.
func (j *cancelledJob) own() bool { return j.from == 0 }

// cancellations holds the cancelled jobs that the host remembers.
type cancellations struct {
	memory   time.Duration // for which each is remembered
	byID     map[string][]*cancelledJob
	expiring []*cancelledJob // in the order in which they are forgotten
	own      int             // remembered jobs that were cancelled through this host
	pending  []*cancellation
	told     map[uint64]bool // commanders that have been sent the own jobs
}

func newCancellations(memory time.Duration) *cancellations {
	return &cancellations{memory: memory, byID: make(map[string][]*cancelledJob), told: make(map[uint64]bool)}
}

// find returns the remembered cancellation of a job, or nil.
func (c *cancellations) find(now time.Duration, name jobName) *cancelledJob {
	for _, j := range c.byID[name.id] {
		if now-j.since < c.memory && j.name.matches(name) {
			return j
		}
	}
	return nil
}

// remember remembers a cancelled job that this host has heard of from a process, 0 for this one. It returns nil if too
// many are remembered that are younger than minCancelMemory.
func (c *cancellations) remember(now time.Duration, name jobName, from uint64) *cancelledJob {
	c.expire(now)
	if !c.makeRoom(now, from == 0) {
		return nil
	}
	j := &cancelledJob{name: name, since: now, from: from}
	if old := c.find(now, name); old != nil {
		j.found = old.found
	}
	if j.own() {
		c.own++
	}
	c.byID[name.id] = append(c.byID[name.id], j)
	c.expiring = append(c.expiring, j)
	return j
}

// makeRoom reports whether there is room for another job, cancelled through this host or not. It forgets the oldest one
// for it if that is old enough.
func (c *cancellations) makeRoom(now time.Duration, own bool) bool {
	lacksOwn := own && c.own >= maxOwnCancels
	if len(c.expiring) < maxRememberedCancels && !lacksOwn {
		return true
	}
	oldest := slices.IndexFunc(c.expiring, func(j *cancelledJob) bool { return !lacksOwn || j.own() })
	if now-c.expiring[oldest].since < minCancelMemory {
		return false
	}
	c.forget(oldest)
	return true
}

// expire forgets the cancelled jobs whose time is over.
func (c *cancellations) expire(now time.Duration) {
	for len(c.expiring) > 0 && now-c.expiring[0].since >= c.memory {
		c.forget(0)
	}
}

// forget forgets the cancelled job at an index of expiring.
func (c *cancellations) forget(index int) {
	j := c.expiring[index]
	if index == 0 {
		c.expiring = c.expiring[1:] // the usual case; many may expire at once
	} else {
		c.expiring = slices.Delete(c.expiring, index, index+1)
	}
	if j.own() {
		c.own--
	}
	rest := slices.DeleteFunc(c.byID[j.name.id], func(o *cancelledJob) bool { return o == j })
	c.byID[j.name.id] = rest
	if len(rest) == 0 {
		delete(c.byID, j.name.id)
	}
}

// toTell returns the jobs of which this host tells new commanders: those that were cancelled through it, and the newest
// of those that it has heard of from processes that are lost, at most maxOwnCancels in all.
func (c *cancellations) toTell(live func(process uint64) bool) []*cancelledJob {
	var jobs []*cancelledJob
	room := maxOwnCancels - c.own
	for _, j := range slices.Backward(c.expiring) {
		switch {
		case j.own():
			jobs = append(jobs, j)
		case room > 0 && !live(j.from):
			room--
			jobs = append(jobs, j)
		}
	}
	slices.Reverse(jobs)
	return jobs
}
