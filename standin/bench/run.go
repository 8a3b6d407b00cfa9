package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// experiment is one scenario on one deployment.
type experiment struct {
	args args
	dep  deployment
	sc   scenario
}

const (
	// startTimeout bounds one start of a deployment, which takes about 2 s.
	startTimeout = 20 * time.Second
	startTries   = 3
)

// measure starts a new deployment, runs the scenario under one policy and returns the measured
// summary, together with the summary of the omniscient reference for the same arrivals.
func (e *experiment) measure(ctx context.Context, p namedPolicy) (measured, reference *summary, err error) {
	dir, err := os.MkdirTemp("", "sesameledge-bench-")
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err == nil { // after an error the logs are kept
			_ = os.RemoveAll(dir)
		}
	}()
	before := loadAverage()
	bed, err := e.startBed(ctx, dir, p)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "starting the deployment (logs in %s)", dir)
	}
	defer bed.Stop()
	o, err := e.runLoad(ctx, bed)
	if err != nil {
		return nil, nil, err
	}
	measured = o.summarise()
	reference = o.referenceObservation().summarise()
	for _, s := range []*summary{measured, reference} {
		s.Deployment, s.Scenario, s.Seed = e.dep.name, e.sc.name, e.args.Seed
		s.Hosts, s.Minions, s.LengthS = e.args.Hosts, e.args.Minions, e.args.Length.Seconds()
		s.LoadAverage = before + " -> " + loadAverage()
	}
	measured.Policy, reference.Policy = p.label, "reference"
	return measured, reference, nil
}

// startBed starts the deployment. It retries, because another process on the machine
// may bind one of the free ports between the search for it and its use.
func (e *experiment) startBed(ctx context.Context, dir string, p namedPolicy) (bed *testbed.Deployment, err error) {
	for range startTries {
		limited, cancel := context.WithTimeout(ctx, startTimeout)
		bed, err = testbed.Start(limited, testbed.Spec{
			BinDir: e.args.Bin, Dir: dir, Zones: e.dep.zones,
			Hosts: e.args.Hosts, Minions: e.args.Minions, Group: e.dep.group,
			Spread: e.sc.speedSigma, Seed: e.args.Seed, Config: e.dep.config(p.settings),
			MinionArgs: []string{"--zone-delay", e.dep.net.zone.String()},
		})
		cancel()
		if err == nil {
			return bed, nil
		}
	}
	return nil, err
}

// runLoad submits the schedule to a running deployment, injects the faults of the scenario and
// returns the results and message counts.
func (e *experiment) runLoad(ctx context.Context, bed *testbed.Deployment) (*observation, error) {
	views, err := bed.MinionViews(ctx)
	if err != nil {
		return nil, err
	}
	o := &observation{dep: &e.dep, net: e.dep.net, length: e.args.Length, warmUp: e.args.WarmUp}
	o.recordFleet(bed, views)
	if e.args.Load > 0 {
		e.sc.load = e.args.Load
	}
	o.schedule = newSchedule(&e.dep, &e.sc, e.args.Hosts, o.capacity(), e.args.Length, e.args.Seed)
	for i := range o.schedule {
		o.ideals = append(o.ideals, idealResponse(o.net, o.fleet, o.slots, o.schedule[i].runsMS, o.hostZones[o.schedule[i].host]))
	}
	start := time.Now()
	faults := make(chan error, 1)
	go func() { faults <- runFaults(ctx, bed, start, e.args.Length, e.sc.faults) }()
	o.results = newLoadGenerator(&e.dep, &e.sc, o.net, bed).run(ctx, start, o.schedule)
	if err := <-faults; err != nil {
		return nil, errors.Wrap(err, "running the faults")
	}
	if err := checkHosts(bed); err != nil {
		return nil, err
	}
	return o, o.collectMessageCounts(ctx, bed)
}

// recordFleet stores the zones of the hosts, and the zones, speeds and slot count of the minions.
func (o *observation) recordFleet(bed *testbed.Deployment, views []minionsim.MinionView) {
	o.slots = views[0].Host.Slots
	o.minions = make(map[string]referenceMinion)
	for _, v := range views {
		m := referenceMinion{speed: v.Speed, zone: v.Host.Zone}
		o.minions[v.Host.ID] = m
		o.fleet = append(o.fleet, m)
	}
	for _, h := range bed.Hosts {
		o.hostZones = append(o.hostZones, h.Settings.Zone)
	}
}

// checkHosts returns an error if a daemon has exited during the run.
func checkHosts(bed *testbed.Deployment) error {
	for _, h := range bed.Hosts {
		select {
		case <-h.Done():
			return errors.Newf("host %s ended during the run, see its log in %s", h.Settings.Host, bed.Spec.Dir)
		default:
		}
	}
	return nil
}

// collectMessageCounts reads the message counts of the minions and the daemons.
func (o *observation) collectMessageCounts(ctx context.Context, bed *testbed.Deployment) error {
	starts, err := bed.Starts(ctx)
	if err != nil {
		return err
	}
	o.messages.Totals = starts.Totals
	for _, h := range bed.Hosts {
		var st daemon.Status
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &st); err != nil {
			return err
		}
		o.messages.Forwarded += st.Forward.Forwarded
	}
	return nil
}

// loadAverage returns the load average of the machine over one minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	one, _, _ := strings.Cut(string(text), " ")
	return one
}
