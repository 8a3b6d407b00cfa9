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

// fault is one kind of fault. begin starts it; it lasts until the function that begin returns has run.
type fault struct {
	name  string
	begin func(ctx context.Context, p *pairRun) (end func() error, err error)
	// affectsHosts means that the fault acts on hosts. It can then be paired with itself, and jobs
	// may be lost with their owner.
	affectsHosts bool
	// lossless means that no job may fail or be refused because of the fault.
	lossless     bool
	window       time.Duration // of the tickets; 0 means ticketWindow
	needsProxies bool          // route the hosts' connections through proxies
}

var faults = []fault{
	{name: "kill", begin: beginKill, affectsHosts: true},
	{name: "replace", begin: beginReplace, affectsHosts: true},
	{name: "pause", begin: beginPause, affectsHosts: true},
	// A drain takes about 5 s. The answer that the host hands over must still be valid after it.
	{name: "drain", begin: beginDrain, affectsHosts: true, lossless: true, window: 8 * time.Second},
	{name: "unreachable", begin: beginUnreachable, affectsHosts: true, needsProxies: true},
	{name: "cancel", begin: beginCancel},
	{name: "resubmit", begin: beginResubmit, lossless: true},
	{name: "outage", begin: beginOutage, lossless: true},
	{name: "append", begin: beginLostAppends, lossless: true},
	{name: "minions", begin: beginMinionFaults},
	{name: "crash", begin: beginCrash},
}

func noop() error { return nil }

func beginKill(_ context.Context, p *pairRun) (func() error, error) {
	p.kill(p.chooseTarget())
	return noop, nil
}

// beginReplace kills a host. The end function starts a new process on its addresses.
func beginReplace(_ context.Context, p *pairRun) (func() error, error) {
	h := p.chooseTarget()
	p.kill(h)
	return func() error { return p.restart(h) }, nil
}

func beginPause(_ context.Context, p *pairRun) (func() error, error) {
	h := p.chooseTarget()
	p.signal(h, syscall.SIGSTOP)
	return func() error { p.signal(h, syscall.SIGCONT); return nil }, nil
}

func beginUnreachable(_ context.Context, p *pairRun) (func() error, error) {
	h := p.chooseTarget()
	silent := p.random.IntN(2) == 0
	p.note("silent=%t", silent)
	return func() error { return p.links.setCut(h, false, false) }, p.links.setCut(h, true, silent)
}

// beginDrain drains one host or several hosts of a zone. Each host holds the answer of a job that nobody
// has fetched. The end function waits until the processes have ended and asks for the answers.
func beginDrain(ctx context.Context, p *pairRun) (func() error, error) {
	hosts := p.chooseTargetsInZone()
	var done []<-chan struct{}
	var jobs []*ticketedJob
	for _, h := range hosts {
		if job := p.submitUnfetched(ctx, h); job != nil {
			jobs = append(jobs, job)
		}
		done = append(done, p.done(h))
	}
	time.Sleep(300 * time.Millisecond) // until the jobs have ended
	for _, h := range hosts {
		p.drain(ctx, h)
	}
	return func() error { return p.endDrain(ctx, done, jobs) }, nil
}

// drain asks a host to drain. If the request fails, another fault may have paused the host. drain then
// sends SIGTERM, which the host handles once it resumes.
func (p *pairRun) drain(ctx context.Context, h *testbed.Host) {
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := testbed.PostJSON(short, h.OperatorsURL()+"/v1/drain", struct{}{}, nil); err != nil {
		p.signal(h, syscall.SIGTERM)
	}
}

func (p *pairRun) endDrain(ctx context.Context, done []<-chan struct{}, jobs []*ticketedJob) error {
	for _, d := range done {
		select {
		case <-d:
		case <-ctx.Done():
			return fmt.Errorf("a drained host did not end: %w", ctx.Err())
		}
	}
	for _, j := range jobs {
		p.fetchAnswer(ctx, j)
	}
	return nil
}

func beginCancel(ctx context.Context, p *pairRun) (func() error, error) {
	return p.startWaves(ctx, "cancel", resubmitAndCancel), nil
}

func beginResubmit(ctx context.Context, p *pairRun) (func() error, error) {
	return p.startWaves(ctx, "resubmit", disconnectAndResubmit), nil
}

// beginOutage makes the platform unavailable or unresponsive.
func beginOutage(ctx context.Context, p *pairRun) (func() error, error) {
	kinds := []platformsim.Outage{platformsim.OutageUnavailable, platformsim.OutageHang}
	kind, off := kinds[p.random.IntN(len(kinds))], platformsim.OutageOff
	p.note("outage=%s", kind)
	set := func(o *platformsim.Outage) error {
		return p.post(ctx, p.bed.PlatformURL+"/admin/faults", platformsim.FaultsRequest{Outage: o})
	}
	return func() error { return set(&off) }, set(&kind)
}

// beginLostAppends makes the log lose the replies to half of the appends. Meanwhile it submits jobs with
// idempotency keys, each through two hosts.
func beginLostAppends(ctx context.Context, p *pairRun) (func() error, error) {
	share, none := 0.5, 0.0
	set := func(share *float64) error {
		return p.post(ctx, p.bed.PlatformURL+"/admin/faults", platformsim.FaultsRequest{Service: platformsim.ServiceLog, LostAnswer: share})
	}
	if err := set(&share); err != nil {
		return noop, err
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

// beginMinionFaults gives each minion of the first half a random fault.
func beginMinionFaults(ctx context.Context, p *pairRun) (func() error, error) {
	views, err := p.bed.MinionViews(ctx)
	if err != nil {
		return noop, err
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

// beginCrash crashes half of the minions together with their tasks. The end function restarts them.
func beginCrash(ctx context.Context, p *pairRun) (func() error, error) {
	views, err := p.bed.MinionViews(ctx)
	if err != nil {
		return noop, err
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
