package main

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is one job of the schedule.
type arrival struct {
	at         time.Duration // since the start of the run
	team       int
	kind       int
	host       int
	runsMS     []float64     // at speed 1
	declaredMS []int64       // declared run times
	cancelAt   time.Duration // since the start of the run; 0 for never
}

// workSeconds returns the time that the job takes on one slot of speed 1, in seconds.
func (a *arrival) workSeconds() float64 {
	sum := 0.0
	for _, ms := range a.runsMS {
		sum += ms
	}
	return sum / 1000
}

// jobSampler draws jobs from a seeded source.
type jobSampler struct {
	rng   *rand.Rand
	dep   *deployment
	sc    *scenario
	hosts int
}

// newSchedule draws the arrivals of a run. The same arguments give the same schedule.
// Capacity is the sum of the speeds of all slots.
func newSchedule(dep *deployment, sc *scenario, hosts int, capacity float64, length time.Duration, seed uint64) []arrival {
	g := &jobSampler{rng: rand.New(rand.NewPCG(seed, 0x5e5a)), dep: dep, sc: sc, hosts: hosts}
	rate := sc.load * capacity / g.meanWork()
	var out []arrival
	for at := time.Duration(0); ; {
		at += g.drawGap(at, rate)
		if at >= length {
			return out
		}
		a := g.drawJob()
		a.at = at
		a.cancelAt = g.drawCancelAt(at)
		out = append(out, a)
	}
}

// meanWork estimates the mean work of a job, in seconds, by sampling. It uses a separate random
// source, so that the schedule does not depend on the number of samples.
func (g *jobSampler) meanWork() float64 {
	const samples = 20_000
	probe := &jobSampler{rng: rand.New(rand.NewPCG(1, 2)), dep: g.dep, sc: g.sc, hosts: g.hosts}
	sum := 0.0
	for range samples {
		a := probe.drawJob()
		sum += a.workSeconds()
	}
	return sum / samples
}

// drawGap draws the time to the next arrival of a Poisson process. The rate is higher during
// bursts and lower between them, so that the mean rate stays the same.
func (g *jobSampler) drawGap(at time.Duration, rate float64) time.Duration {
	if g.sc.burstFactor > 0 {
		share := burstLength.Seconds() / burstPeriod.Seconds()
		if at%burstPeriod < burstLength {
			rate *= g.sc.burstFactor
		} else {
			rate *= (1 - share*g.sc.burstFactor) / (1 - share)
		}
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *jobSampler) drawJob() arrival {
	a := arrival{team: g.drawTeam(), kind: g.drawKind(), host: g.rng.IntN(g.hosts)}
	k := &g.dep.kinds[a.kind]
	n := int(math.Round(logUniform(g.rng, float64(k.minTasks), float64(k.maxTasks))))
	for range n {
		ms := g.drawRunMS(k)
		a.runsMS = append(a.runsMS, ms)
		declared := ms * math.Exp(g.rng.NormFloat64()*g.sc.declaredSigma)
		a.declaredMS = append(a.declaredMS, max(int64(math.Round(declared)), 1))
	}
	return a
}

func (g *jobSampler) drawRunMS(k *jobKind) float64 {
	ms := k.medianMS * math.Exp(g.rng.NormFloat64()*k.sigma)
	ms = min(max(ms, k.minMS), k.maxMS)
	if g.sc.tailExponent > 0 {
		// A Pareto factor, bounded so that single tasks stay below the deadlines.
		ms = min(ms*math.Pow(g.rng.Float64(), -1/g.sc.tailExponent)/2, 2*k.maxMS)
	}
	return ms
}

func (g *jobSampler) drawKind() int {
	shares := make([]float64, len(g.dep.kinds))
	for i, k := range g.dep.kinds {
		shares[i] = k.share
	}
	return pickShare(g.rng, shares)
}

func (g *jobSampler) drawTeam() int {
	last := len(g.dep.teams) - 1
	shares := make([]float64, len(g.dep.teams))
	for i, t := range g.dep.teams {
		shares[i] = t.share
		if g.sc.greedyShare > 0 && i != last {
			shares[i] *= (1 - g.sc.greedyShare) / (1 - g.dep.teams[last].share)
		}
	}
	if g.sc.greedyShare > 0 {
		shares[last] = g.sc.greedyShare
	}
	return pickShare(g.rng, shares)
}

// drawCancelAt draws whether the next cancellation wave includes the job, and returns the time of
// that wave or 0.
func (g *jobSampler) drawCancelAt(at time.Duration) time.Duration {
	if g.sc.cancelShare == 0 || g.rng.Float64() >= g.sc.cancelShare {
		return 0
	}
	return (at/wavePeriod + 1) * wavePeriod
}

func logUniform(rng *rand.Rand, low, high float64) float64 {
	return low * math.Exp(rng.Float64()*math.Log(high/low))
}

func pickShare(rng *rand.Rand, shares []float64) int {
	cumulative := make([]float64, len(shares))
	sum := 0.0
	for i, s := range shares {
		sum += s
		cumulative[i] = sum
	}
	return min(sort.SearchFloat64s(cumulative, rng.Float64()*sum), len(shares)-1)
}
