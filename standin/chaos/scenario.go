package main

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// Time limits of the deployment's tickets. They are short so that tickets expire during a run.
const (
	ticketWindow   = 2 * time.Second
	maxDeadline    = 2 * time.Second
	ticketLifetime = ticketWindow + maxDeadline
	// maxOutcomeDelay limits how long after the end of its ticket's lifetime a caller gets the final
	// outcome. It covers the wait of a last request, one host that does not answer, and the pauses
	// between requests.
	maxOutcomeDelay = 8 * time.Second
)

const chaosConfig = `schema: 1
teams:
  association: {weight: 1}
kinds:
  award: {group: demo, idempotent: false, default_deadline: 2s}
groups:
  demo: {endpoints: minion}
`

// scenario injects one kind of fault into a deployment under load.
type scenario struct {
	name           string
	window         time.Duration // of the tickets; 0 means ticketWindow
	injectFaults   func(ctx context.Context, s *scenarioRun) error
	check          func(r *Report)
	adjustSettings func(s *settings.Settings) // changes the settings of each host; may be nil
}

// scenarioRun is the state of one run: the deployment, its load and the random source.
type scenarioRun struct {
	bed    *testbed.Deployment
	load   *load
	random *rand.Rand
	extra  []outcome // outcomes of the scenario's own jobs
}

var scenarios = []scenario{
	{name: "kill", injectFaults: killHost, check: checkLostJobs},
	{name: "replace", injectFaults: replaceHost, check: checkLostJobs},
	{name: "pause", injectFaults: pauseHost},
	// A drain takes about 5 s. The answer that the host hands over must still be valid after it.
	{name: "drain", window: 15 * time.Second, injectFaults: drainHost, check: checkNoInterruption},
	{name: "cancel", injectFaults: cancelWave},
	{name: "gone", injectFaults: disconnectCallers, check: checkNoFailures},
	{name: "outage", injectFaults: platformOutage, check: checkNoFailures},
	{name: "minions", injectFaults: injectMinionFaults},
}

// run runs one scenario on a new deployment.
func (s *scenario) run(ctx context.Context, bin, dir string, seed uint64) (*Report, error) {
	bed, err := s.deploy(ctx, bin, dir, seed)
	if err != nil {
		return nil, errors.Wrap(err, "starting the deployment")
	}
	defer bed.Stop()
	st := &scenarioRun{bed: bed, load: startLoad(ctx, bed, seed), random: rand.New(rand.NewPCG(seed, 1<<32))}
	time.Sleep(time.Second)
	faultErr := s.injectFaults(ctx, st)
	time.Sleep(time.Second)
	outcomes := append(st.load.stopAndWait(), st.extra...)
	if faultErr != nil {
		return nil, faultErr
	}
	r := &Report{Scenario: s.name, Seed: seed, CutOff: st.load.meter.cutOff.Load()}
	if err := r.check(ctx, bed, outcomes); err != nil {
		return nil, err
	}
	r.RepliesPerJob = float64(st.load.meter.replies.Load()) / float64(max(r.Jobs, 1))
	r.checkLimits()
	if s.check != nil {
		s.check(r)
	}
	return r, nil
}

const (
	startTries   = 4
	startTimeout = 15 * time.Second
)

// deploy starts a deployment. It retries because another process may take one of the ports before
// its host listens on it. A retry does not affect the results: nothing has been measured yet.
func (s *scenario) deploy(ctx context.Context, bin, dir string, seed uint64) (bed *testbed.Deployment, err error) {
	spec := testbed.Spec{
		BinDir: bin, Dir: dir, Zones: []string{"ernakulam", "malabar"},
		Hosts: 4, Minions: 6, Group: "demo", Spread: 0.2, Seed: seed, Config: chaosConfig,
		AdjustSettings: func(_ int, set *settings.Settings) {
			set.Tickets.Window, set.Tickets.MaxDeadline = cmp.Or(s.window, ticketWindow), maxDeadline
			set.Drain.Grace = time.Second
			if s.adjustSettings != nil {
				s.adjustSettings(set)
			}
		},
	}
	for range startTries {
		limited, cancel := context.WithTimeout(ctx, startTimeout)
		bed, err = testbed.Start(limited, spec)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return bed, err
}

// checkLimits checks the limits that apply to every scenario.
func (r *Report) checkLimits() {
	if r.NoOutcome > 0 {
		r.addFinding("%d jobs without a final outcome", r.NoOutcome)
	}
	if r.Complete == 0 {
		r.addFinding("no job was complete")
	}
	if r.Slowest > ticketLifetime+maxOutcomeDelay {
		r.addFinding("an outcome took %v, limit %v", r.Slowest, ticketLifetime+maxOutcomeDelay)
	}
}

// checkLostJobs checks that at most as many jobs are lost as callers can have open at the killed host.
func checkLostJobs(r *Report) {
	if r.Lost > callers {
		r.addFinding("%d jobs lost, more than %d callers had open", r.Lost, callers)
	}
}

// checkNoFailures checks that no job failed, and that none was refused except for expected reasons.
func checkNoFailures(r *Report) {
	if n := r.Failed + r.Refused - r.expectedRefusals; n > 0 {
		r.addFinding("%d jobs failed or were refused: %v %v", n, r.Failures, r.Refusals)
	}
}

// checkNoInterruption checks that no job failed and that no connection was lost during a request.
func checkNoInterruption(r *Report) {
	checkNoFailures(r)
	if r.CutOff > 0 {
		r.addFinding("%d requests cut off", r.CutOff)
	}
}

func (s *scenarioRun) randomHost() *testbed.Host { return s.bed.Hosts[s.random.IntN(len(s.bed.Hosts))] }

// killHost kills a host that has open jobs and does not restart it.
func killHost(_ context.Context, s *scenarioRun) error {
	s.randomHost().Kill()
	time.Sleep(ticketLifetime)
	return nil
}

// replaceHost kills a host and starts a new process on its addresses.
func replaceHost(_ context.Context, s *scenarioRun) error {
	h := s.randomHost()
	h.Kill()
	time.Sleep(300 * time.Millisecond)
	err := s.bed.StartHost(h)
	time.Sleep(time.Second)
	return err
}

// pauseHost stops a host with SIGSTOP until all its deadlines and ticket lifetimes have passed.
func pauseHost(_ context.Context, s *scenarioRun) error {
	h := s.randomHost()
	h.Signal(syscall.SIGSTOP)
	time.Sleep(ticketLifetime + time.Second)
	h.Signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	return nil
}

// drainHost drains a host. Then it asks the other hosts for the answer of a job that nobody had
// fetched before the drain.
func drainHost(ctx context.Context, s *scenarioRun) error {
	h := s.randomHost()
	c := newClient(s.bed, s.load.meter, indexOf(s.bed, h))
	tickets, err := c.Tickets(ctx, 1, 0)
	if err != nil {
		return err
	}
	job := randomJob("unfetched", s.random)
	noWait := int64(0)
	job.Ticket, job.WaitMS = tickets.Tickets[0], &noWait
	o := outcome{name: "unfetched", ticket: job.Ticket, tasks: len(job.Tasks), began: time.Now()}
	if _, err := c.Submit(ctx, &job); err != nil {
		return err
	}
	probes := newMeter()
	waitProbes := probe(ctx, h.CallersURL(), probes, s.random.Uint64())
	time.Sleep(300 * time.Millisecond)
	if _, err := testbed.PostJSON(ctx, h.OperatorsURL()+"/v1/drain", struct{}{}, nil); err != nil {
		return err
	}
	select {
	case <-h.Done():
	case <-time.After(15 * time.Second):
		return errors.New("the drained host did not end")
	}
	waitProbes()
	s.load.meter.cutOff.Add(probes.cutOff.Load())
	o.reply, o.err = awaitFinalOutcome(ctx, s, &job)
	o.ended = time.Now()
	s.extra = append(s.extra, o)
	return nil
}

// awaitFinalOutcome asks the hosts in turn, at most four times each, until one knows the outcome. If
// none does, it returns the last reply.
func awaitFinalOutcome(ctx context.Context, s *scenarioRun, job *api.Job) (*api.Reply, error) {
	var last *api.Reply
	for n := range 4 * len(s.bed.Hosts) {
		reply, err := newClient(s.bed, s.load.meter, n).Submit(ctx, job)
		if err != nil {
			return nil, err
		}
		if reply.Outcome != api.Unknown {
			return reply, nil
		}
		last = reply
	}
	return last, nil
}

func indexOf(bed *testbed.Deployment, h *testbed.Host) int {
	for i := range bed.Hosts {
		if bed.Hosts[i] == h {
			return i
		}
	}
	return 0
}

// platformOutage makes the platform unavailable and then unresponsive while callers submit jobs.
func platformOutage(ctx context.Context, s *scenarioRun) error {
	for _, kind := range []platformsim.Outage{platformsim.OutageUnavailable, platformsim.OutageHang, platformsim.OutageOff} {
		if err := s.post(ctx, s.bed.PlatformURL+"/admin/faults", platformsim.FaultsRequest{Outage: &kind}); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	return nil
}

// injectMinionFaults gives half of the minions each kind of fault in turn.
func injectMinionFaults(ctx context.Context, s *scenarioRun) error {
	views, err := s.bed.MinionViews(ctx)
	if err != nil {
		return err
	}
	kinds := []minionsim.Fault{minionsim.FaultFailFast, minionsim.FaultCrash, minionsim.FaultBusy, minionsim.FaultSilent,
		minionsim.FaultLate, minionsim.FaultTruncated, minionsim.FaultCutShort, minionsim.FaultCrossed, minionsim.FaultNone}
	for _, kind := range kinds {
		for i := range len(views) / 2 {
			req := minionsim.FaultRequest{Minion: views[i].Host.ID, Fault: kind, Probability: 0.5, DelayMS: 300}
			if err := s.post(ctx, s.bed.MinionAdmin+"/admin/faults", req); err != nil {
				return err
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

func (s *scenarioRun) post(ctx context.Context, url string, body any) error {
	status, err := testbed.PostJSON(ctx, url, body, nil)
	if err == nil && status >= http.StatusBadRequest {
		err = errors.Newf("%s answered status %d", url, status)
	}
	return err
}
