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
	// pairTimeout bounds the run of one pair.
	pairTimeout = 2 * time.Minute
	// minHold and longHold bound the time for which both faults of a pair last together.
	// The longest is a little longer than a ticket's lifetime.
	minHold  = 300 * time.Millisecond
	longHold = lifetime + time.Second
	// lateJobs bounds the jobs submitted again at the end because they were said not to
	// have run.
	lateJobs = 100
)

// pair is two faults that overlap in time.
type pair struct{ first, second *fault }

func (p pair) name() string { return p.first.name + "+" + p.second.name }

// allPairs returns each pair of different faults, and each fault of hosts with itself.
func allPairs() []pair {
	var out []pair
	for i := range faults {
		for j := i; j < len(faults); j++ {
			if i != j || faults[i].host {
				out = append(out, pair{&faults[i], &faults[j]})
			}
		}
	}
	return out
}

// pairOptions sets how a pair is run.
type pairOptions struct {
	maxHold time.Duration
	window  time.Duration // of the tickets; 0 means what the faults need
	// timed makes the checks that depend on the speed of the machine too.
	timed bool
}

// pairStage is what the faults of a pair act on.
type pairStage struct {
	*stage
	links *links
	keys  *keyedLoad
	// distinct makes both faults act on different hosts: a fault twice on one host is
	// little more than the fault.
	distinct bool

	hosts   sync.Mutex // guards the processes of hosts
	touched []*testbed.Host
	notes   []string
}

func (p *pairStage) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf(format, args...))
}

// target draws the host that a fault acts on: often the one that the other fault acts on.
// At least one host is left alone.
func (p *pairStage) target() *testbed.Host {
	h := p.host()
	if len(p.touched) > 0 && (p.untouched() < 2 || p.random.IntN(2) == 0) {
		h = p.touched[0]
	}
	for p.distinct && p.isTouched(h) && p.untouched() > 1 {
		h = p.host()
	}
	p.touch(h)
	return h
}

func (p *pairStage) touch(h *testbed.Host) {
	p.note("%s", h.Settings.Host)
	if !p.isTouched(h) {
		p.touched = append(p.touched, h)
	}
}

func (p *pairStage) isTouched(h *testbed.Host) bool {
	for _, t := range p.touched {
		if t == h {
			return true
		}
	}
	return false
}

func (p *pairStage) untouched() int { return len(p.bed.Hosts) - len(p.touched) }

// targetsInZone draws a host, and as often as not takes the other hosts of its zone too.
func (p *pairStage) targetsInZone() []*testbed.Host {
	out := []*testbed.Host{p.target()}
	zone := p.random.IntN(2) == 0
	for _, h := range p.bed.Hosts {
		if zone && h != out[0] && h.Settings.Zone == out[0].Settings.Zone && (p.isTouched(h) || p.untouched() > 1) {
			p.touch(h)
			out = append(out, h)
		}
	}
	return out
}

func (p *pairStage) kill(h *testbed.Host) {
	p.hosts.Lock()
	defer p.hosts.Unlock()
	h.Kill()
}

func (p *pairStage) signal(h *testbed.Host, sig syscall.Signal) {
	p.hosts.Lock()
	defer p.hosts.Unlock()
	h.Signal(sig)
}

func (p *pairStage) done(h *testbed.Host) <-chan struct{} {
	p.hosts.Lock()
	defer p.hosts.Unlock()
	return h.Done()
}

// restart starts a new process on a host's addresses, after the old one has ended.
func (p *pairStage) restart(h *testbed.Host) error {
	p.hosts.Lock()
	defer p.hosts.Unlock()
	h.Kill()
	return p.bed.StartHost(h)
}

// disturb runs both faults in a drawn order. They overlap on a machine of any speed,
// because neither ends before both have begun.
func (p *pairStage) disturb(ctx context.Context, pr pair, maxHold time.Duration) error {
	if p.random.IntN(2) == 0 {
		pr.first, pr.second = pr.second, pr.first
	}
	p.note("%s first", pr.first.name)
	lead := time.Duration(p.random.Int64N(int64(time.Second)))
	hold := minHold + time.Duration(p.random.Int64N(int64(maxHold-minHold)))
	endFirst, err := pr.first.begin(ctx, p)
	if err != nil {
		return errors.Wrapf(err, "beginning %s", pr.first.name)
	}
	time.Sleep(lead)
	endSecond, err := pr.second.begin(ctx, p)
	if err != nil {
		return errors.Wrapf(err, "beginning %s", pr.second.name)
	}
	time.Sleep(hold)
	return p.end(pr, endFirst, endSecond)
}

// end ends both faults at the same time: the end of one may have to wait for the other's.
func (p *pairStage) end(pr pair, ends ...func() error) error {
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
	if pr.first.links || pr.second.links {
		s.adjust = func(set *settings.Settings) { links.adjust(set) }
	}
	bed, err := s.deploy(ctx, bin, dir, seed)
	if err == nil {
		err = links.err
	}
	if err != nil {
		return nil, errors.Wrap(err, "starting the deployment")
	}
	defer bed.Stop()
	p := &pairStage{links: links, stage: &stage{bed: bed, load: startLoad(ctx, bed, seed), random: rand.New(rand.NewPCG(seed, pr.stream()))}}
	p.distinct = pr.first == pr.second
	p.keys = newKeyedLoad(bed, p.load.meter, p.random.Uint64())
	time.Sleep(500 * time.Millisecond)
	return pr.measure(ctx, p, seed, opts)
}

// stream makes each pair draw other numbers from the same seed.
func (pr pair) stream() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(pr.name()))
	return h.Sum64()
}

func (pr pair) measure(ctx context.Context, p *pairStage, seed uint64, opts pairOptions) (*Report, error) {
	endStall := watchStall()
	err := p.disturb(ctx, pr, opts.maxHold)
	recovered := p.awaitComplete(ctx)
	outcomes := p.load.end()
	stall := endStall()
	if err != nil {
		return nil, err
	}
	r := &Report{Scenario: pr.name(), Seed: seed, CutOff: p.load.meter.cutOff.Load(), Notes: strings.Join(p.notes, " "), Stall: stall}
	if !recovered {
		r.find("no job was complete after the faults")
	}
	if err := p.checkPair(ctx, r, outcomes); err != nil {
		return nil, err
	}
	pr.bound(p, r, opts.timed)
	return r, nil
}

// awaitComplete submits jobs until one is complete.
func (p *pairStage) awaitComplete(ctx context.Context) bool {
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

// checkPair makes all checks of one fault and holds every reply against the starts, again
// after jobs that were said not to have run were submitted once more.
func (p *pairStage) checkPair(ctx context.Context, r *Report, outcomes []outcome) error {
	p.submitLate(ctx)
	time.Sleep(maxDeadline)
	if err := r.check(ctx, p.bed, outcomes); err != nil {
		return err
	}
	starts, err := p.bed.Starts(ctx)
	if err != nil {
		return errors.Wrap(err, "counting starts")
	}
	r.NotRun = p.load.meter.wire.check(r, starts)
	r.Keys, err = p.keys.check(ctx, r, starts)
	r.RepliesPer = float64(p.load.meter.replies.Load()) / float64(max(r.Jobs, 1))
	return err
}

// submitLate submits jobs again, through every host, of which something was said not to
// have run. The starts are counted after it.
func (p *pairStage) submitLate(ctx context.Context) {
	var group sync.WaitGroup
	noWait := int64(0)
	for _, job := range p.load.meter.wire.notRunJobs(lateJobs) {
		job.WaitMS = &noWait
		group.Go(func() {
			for n := range p.bed.Hosts {
				// What matters is whether a task starts, not the reply.
				_, _ = newClient(p.bed, p.load.meter, n).Submit(ctx, job)
			}
		})
	}
	group.Wait()
}

// bound checks what the faults of the pair allow.
func (pr pair) bound(p *pairStage, r *Report, timed bool) {
	if r.NoOutcome > 0 {
		r.find("%d jobs without a final outcome", r.NoOutcome)
	}
	if !timed {
		return
	}
	if limit := len(p.touched) * (callers + waveJobs); r.Lost > limit && !pr.has("pause") && !pr.has("unreachable") {
		r.find("%d jobs lost, more than the %d open at %d hosts", r.Lost, limit, len(p.touched))
	}
	if !pr.first.host && !pr.second.host && r.Lost > 0 {
		r.find("%d jobs lost with their owner, but no host was disturbed", r.Lost)
	}
	limit := cmp.Or(pr.first.window, pr.second.window, window) + maxDeadline + finalBound
	if r.Slowest > limit {
		r.find("an outcome took %v, limit %v", r.Slowest, limit)
	}
	if pr.first.lossless && pr.second.lossless {
		losesNothing(r)
	}
	if r.CutOff > 0 && pr.onlyDrains() {
		r.find("%d requests cut off", r.CutOff)
	}
}

// onlyDrains reports whether a drain is the only thing that the pair does to hosts.
func (pr pair) onlyDrains() bool {
	drains := func(f *fault) bool { return f.name == "drain" }
	return drains(pr.first) && (drains(pr.second) || !pr.second.host) || drains(pr.second) && !pr.first.host
}

func (pr pair) has(name string) bool { return pr.first.name == name || pr.second.name == name }
