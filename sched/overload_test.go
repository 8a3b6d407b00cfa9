package sched

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/internal/workermodel"
)

// demand is a kind of job that callers of the replayed load send.
type demand struct {
	route        fleet.Route
	perSecond    float64
	duration     time.Duration // mean, of a task on a worker of speed 1
	width        float64       // mean number of tasks
	worth        float64       // of a job of mean work
	burst        float64       // factor of perSecond during the overload
	offered      int
	inTime, late int
	refused      int
	lateRefusals int // refusals later than lateRefusal
	worthOffered float64
	worthGained  float64
}

func (d *demand) inTimeShare() float64 { return float64(d.inTime) / float64(max(1, d.offered)) }

// share counts what of a number of things.
type share struct{ in, of int }

func (s share) share() float64 { return float64(s.in) / float64(max(1, s.of)) }

const (
	// largeTask is the CPU, in thousandths of a core, from which on a task is large for a worker of 64 cores.
	largeTask = 40000
	// lateRefusal is the time after which a refusal leaves its caller little time to go elsewhere.
	lateRefusal = 50 * time.Millisecond
)

// replay drives a scheduler with the jobs of one cell, without a network: workers answer after half a
// round trip, their tasks end after the durations drawn for them.
type replay struct {
	t              *testing.T
	s              *State
	rng            *rand.Rand
	now            time.Duration
	events         eventQueue
	models         map[string]*workermodel.Worker
	speeds         map[string]float64
	openHold       map[string]HoldWorker
	jobs           map[string]*replayedJob // by ID
	demands        []*demand
	seq            uint64
	from, to       time.Duration // arrivals that count
	largeInTime    share         // of the jobs with tasks of largeTask or more
	busy, capacity float64
}

type replayedJob struct {
	demand    *demand
	arrived   time.Duration
	objective time.Duration
	durations []time.Duration
	worth     float64
	work      float64
	cpu       float64
}

type simEvent struct {
	at time.Duration
	n  uint64
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	replayHalfTrip = 500 * time.Microsecond
	replayStart    = time.Minute
	replayTick     = 25 * time.Millisecond
)

func newReplay(t *testing.T, seed uint64, workers int, demands []*demand) *replay {
	r := &replay{
		t: t, s: New(0), rng: rand.New(rand.NewPCG(seed, 1)), now: replayStart - settleTime,
		models: make(map[string]*workermodel.Worker), speeds: make(map[string]float64),
		openHold: make(map[string]HoldWorker), jobs: make(map[string]*replayedJob), demands: demands,
	}
	var list []fleet.Worker
	for i := range workers {
		capacity := fleet.Resources{CPU: 64000, Memory: 1 << 18}
		if i%3 == 2 {
			capacity.CPU = 96000
		}
		id := fmt.Sprintf("w%03d", i)
		r.models[id] = workermodel.New(id, capacity, 1)
		r.speeds[id] = []float64{0.6, 1, 1.6}[r.rng.IntN(3)]
		list = append(list, fleet.Worker{ID: id, Service: "s", Zone: "z", Capacity: capacity, Rack: fmt.Sprintf("r%d", i/20)})
	}
	r.step(UpdateWorkers{Workers: list})
	for _, w := range list {
		r.step(TakeWorker{Worker: w.ID, Cell: "z", Fence: 1})
	}
	r.play(replayStart)
	r.now = replayStart
	r.tick()
	return r
}

// play carries out the events before a time.
func (r *replay) play(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at < until {
		e := heap.Pop(&r.events).(simEvent)
		r.now = e.at
		e.do()
	}
}

func (r *replay) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, simEvent{at: r.now + d, n: r.seq, do: do})
}

func (r *replay) step(ev Event) {
	stepSeen(r.s, r.now, ev, 0)
	r.s.Place(r.now)
	for _, e := range r.s.Ready() {
		r.carryOut(e)
	}
}

func (r *replay) tick() {
	r.step(Tick{})
	r.after(replayTick, r.tick)
}

func (r *replay) carryOut(e Effect) {
	switch e := e.(type) {
	case StartRun:
		r.after(replayHalfTrip, func() { r.start(e) })
	case StopRun:
		r.after(replayHalfTrip, func() {
			reply := r.models[e.Worker.ID].Stop(r.now, e.Order)
			r.after(replayHalfTrip, func() {
				r.step(StopReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: e.Decided, Fence: e.Order.Fence, Reply: reply})
			})
		})
	case HoldWorker:
		r.after(replayHalfTrip, func() { r.hold(e) })
	case JobFinished:
		r.finished(e)
	}
}

func (r *replay) start(e StartRun) {
	w := r.models[e.Worker.ID]
	reply := w.Start(r.now, e.Order, fleet.Resources{})
	r.after(replayHalfTrip, func() {
		r.step(StartReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: e.Decided, Fence: e.Order.Fence, Reply: reply})
	})
	if reply.Verdict != fleet.Accepted {
		return
	}
	j := r.jobs[e.Order.Run.Task.Job]
	took := time.Duration(float64(j.durations[e.Order.Run.Task.Index]) / r.speeds[e.Worker.ID])
	r.after(took, func() {
		if w.IsRunning(e.Order.Run) {
			w.EndRun(e.Order.Run, fleet.EndDone)
			if h, open := r.openHold[e.Worker.ID]; open {
				r.answerHold(h)
			}
		}
	})
}

func (r *replay) hold(h HoldWorker) {
	reply := r.models[h.Worker.ID].Hold(r.now, h.Order)
	if len(reply.Finished) > 0 || h.Order.WaitMillis == 0 {
		r.reply(h, reply)
		return
	}
	r.openHold[h.Worker.ID] = h
	r.after(time.Duration(h.Order.WaitMillis)*time.Millisecond, func() {
		if open, ok := r.openHold[h.Worker.ID]; ok && open.Seq == h.Seq {
			r.answerHold(h)
		}
	})
}

func (r *replay) answerHold(h HoldWorker) {
	delete(r.openHold, h.Worker.ID)
	r.reply(h, r.models[h.Worker.ID].Hold(r.now, fleet.HoldOrder{Fence: h.Order.Fence, AckedNumber: h.Order.AckedNumber}))
}

func (r *replay) reply(h HoldWorker, reply fleet.HoldReply) {
	r.after(replayHalfTrip, func() {
		r.step(HoldReply{Worker: h.Worker.ID, Seq: h.Seq, Sent: h.Decided, Wait: time.Duration(h.Order.WaitMillis) * time.Millisecond, Fence: h.Order.Fence, Reply: reply})
	})
}

// lognormal draws a factor with mean 1.
func (r *replay) lognormal(sigma float64) float64 {
	return math.Exp(sigma*r.rng.NormFloat64() - sigma*sigma/2)
}

func (r *replay) arrive(d *demand) {
	j := &replayedJob{demand: d, arrived: r.now}
	base := float64(d.duration) * min(4, r.lognormal(0.4))
	tasks := int(min(4*d.width, max(1, math.Round(d.width*r.lognormal(0.4)))))
	cpu := min(48000, 32000*r.lognormal(0.2))
	j.cpu = cpu
	longest := time.Duration(0)
	for range tasks {
		took := time.Duration(base * r.lognormal(0.15))
		j.durations = append(j.durations, took)
		longest = max(longest, took)
		j.work += cpu * took.Seconds()
	}
	j.objective = time.Duration(d.route.SlackFactor*float64(longest)) + d.route.ObjectiveOffset
	meanWork := d.width * 32000 * d.duration.Seconds()
	j.worth = d.worth * min(4, 0.3+0.7*j.work/meanWork)
	r.seq++
	id := fmt.Sprintf("j%d", r.seq)
	r.jobs[id] = j
	if r.counts(j) {
		d.offered++
		d.worthOffered += j.worth
	}
	r.step(Submit{Job: Job{
		Key: JobKey{Host: 1, Seq: r.seq}, Cell: "z", Left: 3 * time.Second, Route: d.route,
		Spec: fleet.JobSpec{ID: id, Tasks: tasks, Need: fleet.Resources{CPU: int64(cpu), Memory: 64}, Estimate: time.Duration(base * r.lognormal(0.4))},
	}})
}

func (r *replay) counts(j *replayedJob) bool { return j.arrived >= r.from && j.arrived < r.to }

func (r *replay) finished(e JobFinished) {
	j := r.jobs[fmt.Sprintf("j%d", e.Key.Seq)]
	if !r.counts(j) {
		return
	}
	d, took := j.demand, r.now-j.arrived
	if j.cpu >= largeTask {
		r.largeInTime.of++
		if e.Outcome == Completed && took <= j.objective {
			r.largeInTime.in++
		}
	}
	switch {
	case e.Outcome != Completed:
		d.refused++
		if took > lateRefusal {
			d.lateRefusals++
		}
	case took <= j.objective:
		d.inTime++
		d.worthGained += j.worth
	default:
		d.late++
		if took <= 3*j.objective {
			d.worthGained += 0.2 * j.worth
		}
	}
}

// generate lets jobs of a demand arrive at random until a time, with its burst from from to to.
func (r *replay) generate(d *demand, until time.Duration) {
	rate := d.perSecond
	if r.now >= r.from && r.now < r.to {
		rate *= d.burst
	}
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now < until {
			r.arrive(d)
			r.generate(d, until)
		}
	})
}

func (r *replay) run(lead, burst, tail time.Duration) {
	r.from, r.to = replayStart+lead, replayStart+lead+burst
	until := r.to + tail
	for _, d := range r.demands {
		r.generate(d, until)
	}
	for len(r.events) > 0 && r.now < until+2*time.Second {
		e := heap.Pop(&r.events).(simEvent)
		if e.at >= r.from+time.Second && e.at < r.to {
			for _, w := range r.s.sortedWorkers {
				r.busy += float64(w.used.CPU) * (e.at - r.now).Seconds()
				r.capacity += float64(w.info.Capacity.CPU) * (e.at - r.now).Seconds()
			}
		}
		r.now = e.at
		e.do()
	}
}

// worth returns the worth gained as a share of that offered, over all demands.
func (r *replay) worth() float64 {
	gained, offered := 0.0, 0.0
	for _, d := range r.demands {
		gained += d.worthGained
		offered += d.worthOffered
	}
	return gained / offered
}

func unevenDemands(burst float64) []*demand {
	route := func(name string, priority int) fleet.Route {
		return fleet.Route{Name: name, Service: "s", Priority: priority, MaxAttempts: 2, SlackFactor: 1.6, ObjectiveOffset: 60 * time.Millisecond}
	}
	return []*demand{
		{route: route("short", 0), perSecond: 51.5, duration: 60 * time.Millisecond, width: 8, worth: 0.00485, burst: burst},
		{route: route("long", 2), perSecond: 9.4, duration: 900 * time.Millisecond, width: 4, worth: 0.0267, burst: burst},
		{route: route("plain", 1), perSecond: 150, duration: 200 * time.Millisecond, width: 2, worth: 0.00167, burst: burst},
	}
}

// playOverload replays a burst of a factor with or without looking ahead.
func playOverload(t *testing.T, burst float64, lookAhead bool) *replay {
	r := newReplay(t, 1, 88, unevenDemands(burst))
	r.s.SetPolicy(Policy{LookAhead: lookAhead})
	r.run(3*time.Second, 5*time.Second, time.Second)
	t.Logf("burst %v, look ahead %v: worth %.3f, busy %.3f, large jobs in time %.3f", burst, lookAhead, r.worth(), r.busy/r.capacity, r.largeInTime.share())
	for _, d := range r.demands {
		t.Logf("  %-6s offered %5d in time %.3f late %.3f refused %.3f (late refusals %.3f) worth %.3f", d.route.Name, d.offered,
			d.inTimeShare(), float64(d.late)/float64(d.offered), float64(d.refused)/float64(d.offered),
			float64(d.lateRefusals)/float64(max(1, d.refused)), d.worthGained/d.worthOffered)
	}
	return r
}

// TestLookAheadUnderOverload guards against an overload in which accepted jobs are answered late, urgent
// jobs pay like all others, and large tasks find no room. The same load without looking ahead is the
// baseline.
func TestLookAheadUnderOverload(t *testing.T) {
	before, after := playOverload(t, 3, false), playOverload(t, 3, true)
	if after.worth() < before.worth()+0.02 {
		t.Errorf("worth %.3f, without looking ahead %.3f", after.worth(), before.worth())
	}
	urgent, least := after.demands[0], 1.0
	accepted, late := 0, 0
	for _, d := range after.demands {
		accepted += d.inTime + d.late
		late += d.late
		least = min(least, d.inTimeShare())
	}
	if share := urgent.inTimeShare(); share < 0.9 {
		t.Errorf("%.3f of the most urgent jobs are in time, though they need a third of the room", share)
	}
	if least < 0.3 {
		t.Errorf("a queue is starved: %.3f of its jobs are in time", least)
	}
	if share := float64(late) / float64(accepted); share > 0.02 {
		t.Errorf("%.3f of the accepted jobs are late", share)
	}
	if share := float64(urgent.lateRefusals) / float64(max(1, urgent.refused)); share > 0.1 {
		t.Errorf("%.3f of the refusals of urgent jobs come later than %v", share, lateRefusal)
	}
	all := share{in: 0, of: 0}
	for _, d := range after.demands {
		all.in += d.inTime
		all.of += d.offered
	}
	if after.largeInTime.share() < 0.6*all.share() {
		t.Errorf("%.3f of the jobs with large tasks are in time, of all %.3f", after.largeInTime.share(), all.share())
	}
}

// TestLookAheadInCalm guards against looking ahead at the cost of load that there is room for.
func TestLookAheadInCalm(t *testing.T) {
	before, after := playOverload(t, 1, false), playOverload(t, 1, true)
	if after.worth() < before.worth()-0.005 {
		t.Errorf("worth %.3f, without looking ahead %.3f", after.worth(), before.worth())
	}
}
