package limit

import (
	"slices"
	"time"
)

// overShare is how far beyond its share a team may go before others go first. A margin
// lets short jobs of a team that is slightly ahead pass long jobs of others.
const overShare = 1.25

// Waiting adds work of a team to what waits on this host; a negative value removes it.
func (l *Limiter) Waiting(team string, work time.Duration) {
	if l.waiting[team] == 0 && work > 0 {
		at, _ := slices.BinarySearch(l.active, team)
		l.active = slices.Insert(l.active, at, team)
	}
	l.waiting[team] += work
	if l.waiting[team] > 0 {
		return
	}
	delete(l.waiting, team)
	if at, ok := slices.BinarySearch(l.active, team); ok {
		l.active = slices.Delete(l.active, at, at+1)
	}
}

// Started records that a task of this work was started.
func (l *Limiter) Started(now time.Duration, team, group string, work time.Duration) {
	rateOf(l.rates, group, rateMemory).add(now, work.Seconds())
	rateOf(l.usage, team, usageMemory).add(now, work.Seconds())
}

// OverShare reports whether the team got more than its weighted share lately while work
// of another team waits. Idle shares are lent: without competition no team is over.
func (l *Limiter) OverShare(now time.Duration, team string) bool {
	total, competition := l.used(now, team), false
	for _, other := range l.active {
		if other != team {
			competition = true
			total += l.used(now, other)
		}
	}
	return competition && l.used(now, team) > overShare*l.share(team)*total
}

func (l *Limiter) used(now time.Duration, team string) float64 {
	if r := l.usage[team]; r != nil {
		return r.perSecond(now)
	}
	return 0
}

// share is the team's part of the rate among the teams with waiting work.
func (l *Limiter) share(team string) float64 {
	own := l.weight(team)
	sum := own
	for _, other := range l.active {
		if other != team {
			sum += l.weight(other)
		}
	}
	return own / sum
}

func (l *Limiter) weight(team string) float64 {
	if w := l.policy.Teams[team].Weight; w > 0 {
		return w
	}
	return 1
}
