package main

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/minionsim"
)

// scenario describes the load and the faults of a run.
type scenario struct {
	name          string
	load          float64 // work of the jobs as a share of the capacity
	burstFactor   float64 // rate during a burst relative to the mean; 0 for no bursts
	tailExponent  float64 // exponent of a Pareto factor on run times; 0 for none
	declaredSigma float64 // standard deviation of ln(declared / actual run time)
	speedSigma    float64 // standard deviation of ln(speed) of the minions
	greedyShare   float64 // share of the jobs of the last team; 0 for its normal share
	cancelShare   float64 // share of the jobs cancelled in each wave
	faults        []faultStep
}

// faultStep acts on the deployment at a fraction of the run.
type faultStep struct {
	at      float64
	action  faultAction
	share   float64 // of the minions
	request minionsim.FaultRequest
}

// faultAction is what a faultStep does.
type faultAction int

const (
	actFault    faultAction = iota + 1 // switch a fault of minions
	actLeave                           // minions leave and refuse tasks
	actCrash                           // minions die
	actRestart                         // minions die and start again
	actPause                           // the platform stops answering
	actContinue                        // the platform answers again
)

const (
	defaultDeclaredSigma = 0.2
	defaultSpeedSigma    = 0.6
	// burstPeriod and burstLength set how often bursts come and how long they last.
	burstPeriod = 5 * time.Second
	burstLength = 500 * time.Millisecond
	// wavePeriod is the time between cancellation waves.
	wavePeriod = 5 * time.Second
	// stragglerDelayMS, in milliseconds, is added to the answer of a straggling task.
	stragglerDelayMS = 1000
)

var scenarios = []scenario{
	{name: "steady", load: 0.7},
	{name: "bursts", load: 0.6, burstFactor: 4},
	{name: "overload2", load: 2},
	{name: "overload10", load: 10},
	{name: "greedy", load: 2, greedyShare: 0.7},
	{name: "tail", load: 0.7, tailExponent: 1.5},
	{name: "declared", load: 0.7, declaredSigma: 1.5},
	{name: "speeds", load: 0.7, speedSigma: 1.0},
	{name: "failfast", load: 0.6, faults: []faultStep{
		{at: 0.3, action: actFault, share: 0.06, request: minionsim.FaultRequest{Fault: minionsim.FaultFailFast}},
		{at: 0.8, action: actFault, share: 0.06, request: minionsim.FaultRequest{Fault: minionsim.FaultNone}},
	}},
	{name: "stragglers", load: 0.6, faults: []faultStep{
		{at: 0.1, action: actFault, share: 1, request: minionsim.FaultRequest{Fault: minionsim.FaultLate, Probability: 0.01, DelayMS: stragglerDelayMS}},
	}},
	{name: "leaving", load: 0.6, faults: []faultStep{
		{at: 0.3, action: actLeave, share: 0.1},
		{at: 0.8, action: actRestart, share: 0.1},
	}},
	{name: "dying", load: 0.6, faults: []faultStep{
		{at: 0.3, action: actCrash, share: 0.1},
		{at: 0.6, action: actRestart, share: 0.1},
	}},
	{name: "cancel", load: 0.7, cancelShare: 0.5},
	{name: "outage", load: 0.7, faults: []faultStep{
		{at: 0.2, action: actPause},
		{at: 0.7, action: actContinue},
	}},
}

func scenarioNamed(name string) (scenario, error) {
	i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == name })
	if i < 0 {
		return scenario{}, errors.Newf("there is no scenario %q", name)
	}
	s := scenarios[i]
	if s.declaredSigma == 0 {
		s.declaredSigma = defaultDeclaredSigma
	}
	if s.speedSigma == 0 {
		s.speedSigma = defaultSpeedSigma
	}
	return s, nil
}
