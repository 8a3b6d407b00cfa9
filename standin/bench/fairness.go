package main

import "math"

// fairness divides the work that each team got by its share in a weighted max-min fair split of
// the same total. It returns the lowest ratio of all teams: 1 is fair, 0 means that a team
// got nothing.
func fairness(got, demand, weight []float64) float64 {
	total := 0.0
	for _, g := range got {
		total += g
	}
	fair := maxMinShares(total, demand, weight)
	worst := 1.0
	for i := range got {
		if fair[i] > 0 {
			worst = math.Min(worst, got[i]/fair[i])
		}
	}
	return worst
}

// maxMinShares splits total by weight. No team gets more than its demand; the rest of its share
// is split among the other teams.
func maxMinShares(total float64, demand, weight []float64) []float64 {
	share := make([]float64, len(demand))
	done := make([]bool, len(demand))
	for {
		sum := 0.0
		for i := range weight {
			if !done[i] {
				sum += weight[i]
			}
		}
		if sum == 0 {
			return share
		}
		level, limited := total/sum, false
		for i := range demand {
			if !done[i] && demand[i] <= level*weight[i] {
				share[i], done[i], limited = demand[i], true, true
				total -= demand[i]
			}
		}
		if limited {
			continue
		}
		for i := range demand {
			if !done[i] {
				share[i] = level * weight[i]
			}
		}
		return share
	}
}
