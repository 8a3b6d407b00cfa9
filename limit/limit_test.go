package limit

import (
	"testing"
	"time"
)

func newTwoTeamLimiter() *Limiter {
	l := New()
	l.SetPolicy(Policy{Teams: map[string]Team{"a": {Weight: 2, MaxTasks: 70}, "b": {Weight: 1}}})
	l.SetHosts(7)
	l.SetCapacity("g", 70)
	return l
}

// Guards against quotas that each host grants in full, and against decisions that do not follow
// from the work rate.
func TestAdmit(t *testing.T) {
	l := newTwoTeamLimiter()
	base := Job{Team: "a", Group: "g", Tasks: 2, Work: time.Second, IdealResponseTime: 100 * time.Millisecond, Deadline: 3 * time.Second}
	for _, c := range []struct {
		name   string
		change func(*Job)
		want   Cause
	}{
		{"idle", func(*Job) {}, 0},
		{"quota of this host used up", func(j *Job) { j.OpenTasks = 9 }, Quota},
		{"work ahead for 2 s", func(j *Job) { j.WorkAhead = 20 * time.Second }, 0},
		{"work ahead for 4 s", func(j *Job) { j.WorkAhead = 40 * time.Second }, TooLate},
		{"longer than its deadline even when idle", func(j *Job) { j.IdealResponseTime = 4 * time.Second }, TooLate},
		{"the team's own queue is full", func(j *Job) { j.WorkAhead, j.TeamWorkAhead = 20*time.Second, 20*time.Second }, Overload},
	} {
		j := base
		c.change(&j)
		refusal, refused := l.Admit(0, j)
		if refused != (c.want != 0) || refusal.Cause != c.want {
			t.Errorf("%s: cause %d (%s), want %d", c.name, refusal.Cause, refusal.Message, c.want)
		}
	}
}

// Guards against a team that floods the host and keeps all slots, and against putting a team last
// that has no competition.
func TestOverShareNeedsCompetition(t *testing.T) {
	l := newTwoTeamLimiter()
	l.RecordStart(time.Second, "b", "g", 10*time.Second)
	l.AddWaitingWork("b", time.Second)
	if l.ExceedsFairShare(time.Second, "b") {
		t.Error("a team without competition is over its share")
	}
	l.AddWaitingWork("a", time.Second)
	if !l.ExceedsFairShare(time.Second, "b") || l.ExceedsFairShare(time.Second, "a") {
		t.Error("the team that got every slot is not over its share, or the one that waits is")
	}
	l.AddWaitingWork("a", -time.Second)
	if l.ExceedsFairShare(time.Second, "b") {
		t.Error("a team is over its share after the competition ended")
	}
}

// Guards against retries of refused tasks that multiply messages without bound.
func TestRetriesStayWithinBudget(t *testing.T) {
	l := New()
	retries := 0
	for range 10_000 {
		l.RecordFirstAttempt()
		for l.TakeRetryToken() {
			retries++
		}
	}
	if limit := maxRetryTokens + 10_000*DefaultRetryShare; float64(retries) > limit+1 {
		t.Errorf("%d retries for 10000 first attempts, want at most %.0f", retries, limit)
	}
}
