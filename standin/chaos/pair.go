package main

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	// pairTimeout limits the run of one pair.
	pairTimeout = 2 * time.Minute
	// minOverlap and defaultMaxOverlap limit how long both faults of a pair overlap. The maximum is a little
	// longer than a ticket's lifetime.
	minOverlap        = 300 * time.Millisecond
	defaultMaxOverlap = ticketLifetime + time.Second
	// maxResubmittedJobs limits the jobs that are submitted again at the end because a host had said that
	// they did not run.
	maxResubmittedJobs = 100
)

// pair is two faults that overlap in time.
type pair struct{ first, second *fault }

func (p pair) name() string { return p.first.name + "+" + p.second.name }

// allPairs returns each pair of different faults, and each fault that acts on hosts paired with itself.
func allPairs() []pair {
	var out []pair
	for i := range faults {
		for j := i; j < len(faults); j++ {
			if i != j || faults[i].affectsHosts {
				out = append(out, pair{&faults[i], &faults[j]})
			}
		}
	}
	return out
}

// pairOptions sets how a pair is run.
type pairOptions struct {
	maxOverlap time.Duration
	window     time.Duration // of the tickets; 0 means the window that the faults need
	// checkTimes enables the checks that depend on the speed of the machine.
	checkTimes bool
}

// pairRun is the state of the run of one pair.
type pairRun struct {
	*scenarioRun
	links *links
	keys  *keyedLoad
	// distinctHosts makes the two faults act on different hosts. The same fault twice on one host tests
	// little more than the fault alone.
	distinctHosts bool

	processMu sync.Mutex // guards the host processes
	affected  []*testbed.Host
	notes     []string
}

func (p *pairRun) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf(format, args...))
}

// chooseTarget draws the host that a fault acts on. It often chooses the host that the other fault acts on.
// At least one host stays unaffected.
func (p *pairRun) chooseTarget() *testbed.Host {
	h := p.randomHost()
	if len(p.affected) > 0 && (p.unaffectedCount() < 2 || p.random.IntN(2) == 0) {
		h = p.affected[0]
	}
	for p.distinctHosts && p.isAffected(h) && p.unaffectedCount() > 1 {
		h = p.randomHost()
	}
	p.markAffected(h)
	return h
}

func (p *pairRun) markAffected(h *testbed.Host) {
	p.note("%s", h.Settings.Host)
	if !p.isAffected(h) {
		p.affected = append(p.affected, h)
	}
}

func (p *pairRun) isAffected(h *testbed.Host) bool {
	for _, t := range p.affected {
		if t == h {
			return true
		}
	}
	return false
}

func (p *pairRun) unaffectedCount() int { return len(p.bed.Hosts) - len(p.affected) }

// chooseTargetsInZone draws a host and, with probability 1/2, adds the other hosts of its zone as long as
// one host stays unaffected.
func (p *pairRun) chooseTargetsInZone() []*testbed.Host {
	out := []*testbed.Host{p.chooseTarget()}
	wholeZone := p.random.IntN(2) == 0
	for _, h := range p.bed.Hosts {
		if wholeZone && h != out[0] && h.Settings.Zone == out[0].Settings.Zone && (p.isAffected(h) || p.unaffectedCount() > 1) {
			p.markAffected(h)
			out = append(out, h)
		}
	}
	return out
}

func (p *pairRun) kill(h *testbed.Host) {
	p.processMu.Lock()
	defer p.processMu.Unlock()
	h.Kill()
}

func (p *pairRun) signal(h *testbed.Host, sig syscall.Signal) {
	p.processMu.Lock()
	defer p.processMu.Unlock()
	h.Signal(sig)
}

func (p *pairRun) done(h *testbed.Host) <-chan struct{} {
	p.processMu.Lock()
	defer p.processMu.Unlock()
	return h.Done()
}

// restart kills a host and starts a new process on its addresses.
func (p *pairRun) restart(h *testbed.Host) error {
	p.processMu.Lock()
	defer p.processMu.Unlock()
	h.Kill()
	return p.bed.StartHost(h)
}

// injectFaults runs both faults in random order. They overlap whatever the speed of the machine, because
// neither ends before both have begun.
func (p *pairRun) injectFaults(ctx context.Context, pr pair, maxOverlap time.Duration) error {
	if p.random.IntN(2) == 0 {
		pr.first, pr.second = pr.second, pr.first
	}
	p.note("%s first", pr.first.name)
	delay := time.Duration(p.random.Int64N(int64(time.Second)))
	overlap := minOverlap + time.Duration(p.random.Int64N(int64(maxOverlap-minOverlap)))
	endFirst, err := pr.first.begin(ctx, p)
	if err != nil {
		return errors.Wrapf(err, "beginning %s", pr.first.name)
	}
	time.Sleep(delay)
	endSecond, err := pr.second.begin(ctx, p)
	if err != nil {
		return errors.Wrapf(err, "beginning %s", pr.second.name)
	}
	time.Sleep(overlap)
	return p.endFaults(pr, endFirst, endSecond)
}

// endFaults ends both faults concurrently, because the end of one may have to wait for the end of the other.
// It returns the first error.
func (p *pairRun) endFaults(pr pair, ends ...func() error) error {
	results := make(chan error, len(ends))
	for _, end := range ends {
		go func() { results <- end() }()
	}
	var first error
	for range ends {
		if err := <-results; first == nil {
			first = err
		}
	}
	return errors.Wrapf(first, "ending %s", pr.name())
}

// run runs the pair on a new deployment.
func (pr pair) run(ctx context.Context, bin, dir string, seed uint64, opts pairOptions) (*Report, error) {
	s := &scenario{name: pr.name(), window: cmp.Or(opts.window, pr.first.window, pr.second.window)}
	links, err := newLinks()
	if err != nil {
		return nil, errors.Wrap(err, "starting the links")
	}
	defer links.stop()
	if pr.first.needsProxies || pr.second.needsProxies {
		s.adjustSettings = func(set *settings.Settings) { links.useProxies(set) }
	}
	bed, err := s.deploy(ctx, bin, dir, seed)
	if err == nil {
		err = links.err
	}
	if err != nil {
		return nil, errors.Wrap(err, "starting the deployment")
	}
	defer bed.Stop()
	p := &pairRun{links: links, scenarioRun: &scenarioRun{bed: bed, load: startLoad(ctx, bed, seed), random: rand.New(rand.NewPCG(seed, pr.randomStream()))}}
	p.distinctHosts = pr.first == pr.second
	p.keys = newKeyedLoad(bed, p.load.meter, p.random.Uint64())
	time.Sleep(500 * time.Millisecond)
	return pr.measure(ctx, p, seed, opts)
}

// randomStream returns the PCG stream of a pair, so that pairs draw different numbers from the same seed.
func (pr pair) randomStream() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(pr.name()))
	return h.Sum64()
}

func (pr pair) measure(ctx context.Context, p *pairRun, seed uint64, opts pairOptions) (*Report, error) {
	endStall := measureStalls()
	err := p.injectFaults(ctx, pr, opts.maxOverlap)
	recovered := p.awaitComplete(ctx)
	outcomes := p.load.stopAndWait()
	stall := endStall()
	if err != nil {
		return nil, err
	}
	r := &Report{Scenario: pr.name(), Seed: seed, CutOff: p.load.meter.cutOff.Load(), Notes: strings.Join(p.notes, " "), Stall: stall}
	if !recovered {
		r.addFinding("no job was complete after the faults")
	}
	if err := p.checkPair(ctx, r, outcomes); err != nil {
		return nil, err
	}
	pr.checkLimits(p, r, opts.checkTimes)
	return r, nil
}

// awaitComplete submits jobs until one is complete.
func (p *pairRun) awaitComplete(ctx context.Context) bool {
	c := newClient(p.bed, p.load.meter, 0)
	for i := 0; ctx.Err() == nil; i++ {
		o := runJob(ctx, c, fmt.Sprintf("recovery %d", i), p.random)
		p.load.add(o)
		if o.reply != nil && o.reply.Outcome == api.Complete {
			return true
		}
	}
	return false
}

// checkPair makes the checks of a scenario and compares every reply with the counted starts. Before that it
// resubmits jobs that hosts said had not run, so that a false statement shows as a start.
func (p *pairRun) checkPair(ctx context.Context, r *Report, outcomes []outcome) error {
	p.resubmitNotRun(ctx)
	time.Sleep(maxDeadline)
	if err := r.check(ctx, p.bed, outcomes); err != nil {
		return err
	}
	starts, err := p.bed.Starts(ctx)
	if err != nil {
		return errors.Wrap(err, "counting starts")
	}
	r.NotRun = p.load.meter.replyLog.check(r, starts)
	r.Keys, err = p.keys.check(ctx, r, starts)
	r.RepliesPerJob = float64(p.load.meter.replies.Load()) / float64(max(r.Jobs, 1))
	return err
}

// resubmitNotRun submits jobs again through every host if a host refused them or said that a task of them
// had not run. The starts are counted afterwards.
func (p *pairRun) resubmitNotRun(ctx context.Context) {
	var group sync.WaitGroup
	noWait := int64(0)
	for _, job := range p.load.meter.replyLog.notRunJobs(maxResubmittedJobs) {
		job.WaitMS = &noWait
		group.Go(func() {
			for n := range p.bed.Hosts {
				// The reply is ignored: only the number of starts matters.
				_, _ = newClient(p.bed, p.load.meter, n).Submit(ctx, job)
			}
		})
	}
	group.Wait()
}

// checkLimits checks the limits that the faults of the pair allow.
func (pr pair) checkLimits(p *pairRun, r *Report, checkTimes bool) {
	if r.NoOutcome > 0 {
		r.addFinding("%d jobs without a final outcome", r.NoOutcome)
	}
	if !checkTimes {
		return
	}
	if limit := len(p.affected) * (callers + jobsPerWave); r.Lost > limit && !pr.has("pause") && !pr.has("unreachable") {
		r.addFinding("%d jobs lost, more than the %d open at %d hosts", r.Lost, limit, len(p.affected))
	}
	if !pr.first.affectsHosts && !pr.second.affectsHosts && r.Lost > 0 {
		r.addFinding("%d jobs lost with their owner, but no host was disturbed", r.Lost)
	}
	limit := cmp.Or(pr.first.window, pr.second.window, ticketWindow) + maxDeadline + maxOutcomeDelay
	if r.Slowest > limit {
		r.addFinding("an outcome took %v, limit %v", r.Slowest, limit)
	}
	if pr.first.lossless && pr.second.lossless {
		checkNoFailures(r)
	}
	if r.CutOff > 0 && pr.onlyDrains() {
		r.addFinding("%d requests cut off", r.CutOff)
	}
}

// onlyDrains reports whether drains are the only faults of the pair that act on hosts.
func (pr pair) onlyDrains() bool {
	drains := func(f *fault) bool { return f.name == "drain" }
	return drains(pr.first) && (drains(pr.second) || !pr.second.affectsHosts) || drains(pr.second) && !pr.first.affectsHosts
}

func (pr pair) has(name string) bool { return pr.first.name == name || pr.second.name == name }
