package main

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is one job of the schedule.
type arrival struct {
	at       time.Duration // since the start of the run
	team     int
	kind     int
	host     int
	runsMS   []float64     // at speed 1
	declared []int64       // declared run times, milliseconds
	cancelAt time.Duration // since the start of the run; 0 for never
}

// work returns the time that the job takes on one slot of speed 1, in seconds.
func (a *arrival) work() float64 {
	sum := 0.0
	for _, ms := range a.runsMS {
		sum += ms
	}
	return sum / 1000
}

// generator draws jobs from a seeded source.
type generator struct {
	rng   *rand.Rand
	dep   *deployment
	sc    *scenario
	hosts int
}

// newSchedule draws the arrivals of a run. The same arguments give the same schedule.
// Capacity is the sum of the speeds of all slots.
func newSchedule(dep *deployment, sc *scenario, hosts int, capacity float64, length time.Duration, seed uint64) []arrival {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 0x5e5a)), dep: dep, sc: sc, hosts: hosts}
	rate := sc.load * capacity / g.meanWork()
	var out []arrival
	for at := time.Duration(0); ; {
		at += g.gap(at, rate)
		if at >= length {
			return out
		}
		a := g.job()
		a.at = at
		a.cancelAt = g.cancelAt(at)
		out = append(out, a)
	}
}

// meanWork estimates the work of a job by sampling, with a source of its own so that the
// schedule does not depend on the number of samples.
func (g *generator) meanWork() float64 {
	const samples = 20_000
	probe := &generator{rng: rand.New(rand.NewPCG(1, 2)), dep: g.dep, sc: g.sc, hosts: g.hosts}
	sum := 0.0
	for range samples {
		a := probe.job()
		sum += a.work()
	}
	return sum / samples
}

// gap draws the time to the next arrival of a Poisson process whose rate follows the
// bursts and keeps the mean.
func (g *generator) gap(at time.Duration, rate float64) time.Duration {
	if g.sc.burst > 0 {
		share := burstLength.Seconds() / burstPeriod.Seconds()
		if at%burstPeriod < burstLength {
			rate *= g.sc.burst
		} else {
			rate *= (1 - share*g.sc.burst) / (1 - share)
		}
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) job() arrival {
	a := arrival{team: g.team(), kind: g.kind(), host: g.rng.IntN(g.hosts)}
	k := &g.dep.kinds[a.kind]
	n := int(math.Round(logUniform(g.rng, float64(k.minTasks), float64(k.maxTasks))))
	for range n {
		ms := g.run(k)
		a.runsMS = append(a.runsMS, ms)
		declared := ms * math.Exp(g.rng.NormFloat64()*g.sc.declaredSigma)
		a.declared = append(a.declared, max(int64(math.Round(declared)), 1))
	}
	return a
}

func (g *generator) run(k *jobKind) float64 {
	ms := k.medianMS * math.Exp(g.rng.NormFloat64()*k.sigma)
	ms = min(max(ms, k.minMS), k.maxMS)
	if g.sc.tail > 0 {
		// A Pareto factor, bounded so that single tasks stay below the deadlines.
		ms = min(ms*math.Pow(g.rng.Float64(), -1/g.sc.tail)/2, 2*k.maxMS)
	}
	return ms
}

func (g *generator) kind() int {
	shares := make([]float64, len(g.dep.kinds))
	for i, k := range g.dep.kinds {
		shares[i] = k.share
	}
	return pickShare(g.rng, shares)
}

func (g *generator) team() int {
	last := len(g.dep.teams) - 1
	shares := make([]float64, len(g.dep.teams))
	for i, t := range g.dep.teams {
		shares[i] = t.share
		if g.sc.greedy > 0 && i != last {
			shares[i] *= (1 - g.sc.greedy) / (1 - g.dep.teams[last].share)
		}
	}
	if g.sc.greedy > 0 {
		shares[last] = g.sc.greedy
	}
	return pickShare(g.rng, shares)
}

// cancelAt draws whether the next cancellation wave takes the job.
func (g *generator) cancelAt(at time.Duration) time.Duration {
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
