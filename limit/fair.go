package limit

import (
	"slices"
	"time"
)

// shareTolerance is the factor by which a team may exceed its share before other teams go first.
// The margin lets short jobs of a team that is slightly ahead pass long jobs of other teams.
const shareTolerance = 1.25

// AddWaitingWork adds slot time to the work of a team that waits on this host; a negative value removes
// some.
func (l *Limiter) AddWaitingWork(team string, work time.Duration) {
	if l.waitingWork[team] == 0 && work > 0 {
		index, _ := slices.BinarySearch(l.waitingTeams, team)
		l.waitingTeams = slices.Insert(l.waitingTeams, index, team)
	}
	l.waitingWork[team] += work
	if l.waitingWork[team] > 0 {
		return
	}
	delete(l.waitingWork, team)
	if index, ok := slices.BinarySearch(l.waitingTeams, team); ok {
		l.waitingTeams = slices.Delete(l.waitingTeams, index, index+1)
	}
}

// RecordStart records that a task of this much work, in slot time, was started.
func (l *Limiter) RecordStart(now time.Duration, team, group string, work time.Duration) {
	rateFor(l.groupRates, group, groupRateTimeConstant).add(now, work.Seconds())
	rateFor(l.teamUsage, team, teamUsageTimeConstant).add(now, work.Seconds())
}

// ExceedsFairShare reports whether the team recently got more than its weighted share while work of
// another team waits. Teams may use idle shares of others: without competition no team is over its
// share.
func (l *Limiter) ExceedsFairShare(now time.Duration, team string) bool {
	total, competition := l.usageRate(now, team), false
	for _, otherTeam := range l.waitingTeams {
		if otherTeam != team {
			competition = true
			total += l.usageRate(now, otherTeam)
		}
	}
	return competition && l.usageRate(now, team) > shareTolerance*l.fairShare(team)*total
}

// usageRate returns the slots that the team used on average lately.
func (l *Limiter) usageRate(now time.Duration, team string) float64 {
	if r := l.teamUsage[team]; r != nil {
		return r.perSecond(now)
	}
	return 0
}

// fairShare returns the share that a team should get among the teams with waiting work, by weight.
func (l *Limiter) fairShare(team string) float64 {
	teamWeight := l.weight(team)
	totalWeight := teamWeight
	for _, otherTeam := range l.waitingTeams {
		if otherTeam != team {
			totalWeight += l.weight(otherTeam)
		}
	}
	return teamWeight / totalWeight
}

func (l *Limiter) weight(team string) float64 {
	if w := l.policy.Teams[team].Weight; w > 0 {
		return w
	}
	return 1
}
