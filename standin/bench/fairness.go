package main

import "math"

// fairness compares what teams got with the weighted max-min fair split of the same
// total, and returns the lowest ratio over the teams: 1 is fair, 0 starves a team.
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

// maxMinShares splits total by weight; no team gets more than its demand, and what a
// team does not need goes to the others.
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
