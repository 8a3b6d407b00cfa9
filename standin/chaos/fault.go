package main

import (
	"cmp"
	"context"
	"fmt"
	"syscall"
	"time"

	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// fault begins a disturbance that lasts until the returned function has run.
type fault struct {
	name  string
	begin func(ctx context.Context, p *pairStage) (end func() error, err error)
	// host means that the fault acts on hosts, so that it can be paired with itself and
	// jobs may be lost with their owner.
	host bool
	// lossless means that no job may fail or be refused because of the fault.
	lossless bool
	window   time.Duration // of the tickets; 0 means window
	links    bool          // needs proxies on the links of hosts
}

var faults = []fault{
	{name: "kill", begin: beginKill, host: true},
	{name: "replace", begin: beginReplace, host: true},
	{name: "pause", begin: beginPause, host: true},
	// A drain takes about 5 s; the answer handed over has to outlast it.
	{name: "drain", begin: beginDrain, host: true, lossless: true, window: 8 * time.Second},
	{name: "unreachable", begin: beginUnreachable, host: true, links: true},
	{name: "cancel", begin: beginCancel},
	{name: "resubmit", begin: beginResubmit, lossless: true},
	{name: "outage", begin: beginOutage, lossless: true},
	{name: "append", begin: beginLostAppends, lossless: true},
	{name: "minions", begin: beginMinionFaults},
	{name: "crash", begin: beginCrash},
}

func nothing() error { return nil }

func beginKill(_ context.Context, p *pairStage) (func() error, error) {
	p.kill(p.target())
	return nothing, nil
}

// beginReplace kills a host; the end starts a new process on its addresses.
func beginReplace(_ context.Context, p *pairStage) (func() error, error) {
	h := p.target()
	p.kill(h)
	return func() error { return p.restart(h) }, nil
}

func beginPause(_ context.Context, p *pairStage) (func() error, error) {
	h := p.target()
	p.signal(h, syscall.SIGSTOP)
	return func() error { p.signal(h, syscall.SIGCONT); return nil }, nil
}

func beginUnreachable(_ context.Context, p *pairStage) (func() error, error) {
	h := p.target()
	silent := p.random.IntN(2) == 0
	p.note("silent=%t", silent)
	return func() error { return p.links.cut(h, false, false) }, p.links.cut(h, true, silent)
}

// beginDrain drains a host or the hosts of a zone, each with the answer of a job that
// nobody has fetched. The end waits for their processes and asks for the answers.
func beginDrain(ctx context.Context, p *pairStage) (func() error, error) {
	hosts := p.targetsInZone()
	var done []<-chan struct{}
	var jobs []*heldJob
	for _, h := range hosts {
		if job := p.submitUnfetched(ctx, h); job != nil {
			jobs = append(jobs, job)
		}
		done = append(done, p.done(h))
	}
	time.Sleep(300 * time.Millisecond) // the jobs end
	for _, h := range hosts {
		p.drain(ctx, h)
	}
	return func() error { return p.endDrain(ctx, done, jobs) }, nil
}

// drain asks a host to drain. Another fault may have stopped it; SIGTERM reaches it after
// a pause all the same.
func (p *pairStage) drain(ctx context.Context, h *testbed.Host) {
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := testbed.PostJSON(short, h.OperatorsURL()+"/v1/drain", struct{}{}, nil); err != nil {
		p.signal(h, syscall.SIGTERM)
	}
}

func (p *pairStage) endDrain(ctx context.Context, done []<-chan struct{}, jobs []*heldJob) error {
	for _, d := range done {
		select {
		case <-d:
		case <-ctx.Done():
			return fmt.Errorf("a drained host did not end: %w", ctx.Err())
		}
	}
	for _, j := range jobs {
		p.fetch(ctx, j)
	}
	return nil
}

func beginCancel(ctx context.Context, p *pairStage) (func() error, error) {
	return p.waves(ctx, "cancel", cancelResubmitted), nil
}

func beginResubmit(ctx context.Context, p *pairStage) (func() error, error) {
	return p.waves(ctx, "resubmit", loseAndResubmit), nil
}

// beginOutage makes the platform unavailable or silent.
func beginOutage(ctx context.Context, p *pairStage) (func() error, error) {
	kinds := []platformsim.Outage{platformsim.OutageUnavailable, platformsim.OutageHang}
	kind, off := kinds[p.random.IntN(len(kinds))], platformsim.OutageOff
	p.note("outage=%s", kind)
	set := func(o *platformsim.Outage) error {
		return p.post(ctx, p.bed.PlatformURL+"/admin/faults", platformsim.FaultsRequest{Outage: o})
	}
	return func() error { return set(&off) }, set(&kind)
}

// beginLostAppends makes appends to the log lose their answers while jobs with idempotency
// keys are submitted, each through two hosts.
func beginLostAppends(ctx context.Context, p *pairStage) (func() error, error) {
	share, none := 0.5, 0.0
	set := func(share *float64) error {
		return p.post(ctx, p.bed.PlatformURL+"/admin/faults", platformsim.FaultsRequest{Service: platformsim.ServiceLog, LostAnswer: share})
	}
	if err := set(&share); err != nil {
		return nothing, err
	}
	wait := p.keys.start(ctx)
	return func() error {
		err := set(&none)
		wait()
		return err
	}, nil
}

var minionFaultKinds = []minionsim.Fault{minionsim.FaultFailFast, minionsim.FaultCrash, minionsim.FaultBusy, minionsim.FaultSilent,
	minionsim.FaultLate, minionsim.FaultTruncated, minionsim.FaultCutShort, minionsim.FaultCrossed}

// beginMinionFaults gives each of half of the minions a fault.
func beginMinionFaults(ctx context.Context, p *pairStage) (func() error, error) {
	views, err := p.bed.MinionViews(ctx)
	if err != nil {
		return nothing, err
	}
	set := func(kind minionsim.Fault) error {
		var first error
		for _, v := range views[:len(views)/2] {
			draw := cmp.Or(kind, minionFaultKinds[p.random.IntN(len(minionFaultKinds))])
			req := minionsim.FaultRequest{Minion: v.Host.ID, Fault: draw, Probability: 0.5, DelayMS: 300}
			first = cmp.Or(first, p.post(ctx, p.bed.MinionAdmin+"/admin/faults", req))
		}
		return first
	}
	return func() error { return set(minionsim.FaultNone) }, set("")
}

// beginCrash ends half of the minions with their tasks; the end starts them again.
func beginCrash(ctx context.Context, p *pairStage) (func() error, error) {
	views, err := p.bed.MinionViews(ctx)
	if err != nil {
		return nothing, err
	}
	act := func(action string) error {
		var first error
		for _, v := range views[len(views)/2:] {
			first = cmp.Or(first, p.post(ctx, p.bed.MinionAdmin+"/admin/"+action, minionsim.MinionRequest{Minion: v.Host.ID}))
		}
		return first
	}
	return func() error { return act("restart") }, act("crash")
}
