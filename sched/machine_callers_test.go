package sched

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/timing"
)

// This file holds the callers of schedMachine, who may leave, and the pauses of its process.

// look cancels the jobs of the callers that have left, and records that the others wait, as the event loop of a host
// does before a batch. A pause of the process may lie between a look and the steps that rest on it.
func (m *schedMachine) look() {
	if m.now < m.blindUntil || m.now-m.lookedAt < lookInterval {
		return
	}
	m.lookedAt = m.now
	for seq := range m.lastJobSeq {
		key := JobKey{Host: 1, Seq: seq + 1}
		if _, left := m.leftAt[key]; left {
			m.s.Step(m.now, Cancel{Key: key})
		}
	}
	m.s.RecordCallersSeen(1, m.now)
}

// lookInterval is the time between two looks at the callers.
const lookInterval = 50 * time.Millisecond

// leave makes the caller of a job leave. It may send the job again to another host DefaultResendAfter later.
func (m *schedMachine) leave(key JobKey) {
	if _, left := m.leftAt[key]; !left {
		m.leftAt[key] = m.now
	}
}

// runOfLostCaller returns a run that goes on when its caller may have sent the job again, or an empty string.
func (m *schedMachine) runOfLostCaller() string {
	for _, w := range m.workers {
		for _, key := range w.Running() {
			for job, left := range m.leftAt {
				if jobName(job) == key.Task.Job && m.now-left >= timing.DefaultResendAfter {
					return fmt.Sprintf("%v runs on %s %v after its caller left", key, w.ID, m.now-left)
				}
			}
		}
	}
	return ""
}

// callerLeaves makes the caller of a drawn job leave.
func (m *schedMachine) callerLeaves(t *rapid.T) {
	if m.lastJobSeq > 0 {
		m.leave(JobKey{Host: 1, Seq: rapid.Uint64Range(1, m.lastJobSeq).Draw(t, "job")})
	}
}

// pause lets time pass in which the process does nothing, and after which it looks at its callers late. All callers
// may leave as the pause begins.
func (m *schedMachine) pause(t *rapid.T) {
	if rapid.Bool().Draw(t, "left") {
		for seq := range m.lastJobSeq {
			m.leave(JobKey{Host: 1, Seq: seq + 1})
		}
	}
	pause := time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond
	m.blindUntil = m.now + pause + time.Duration(rapid.IntRange(0, 200).Draw(t, "blind"))*time.Millisecond
	m.advance(pause)
}
