package main

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// declaredCores is the declared size of every task.
const declaredCores = 1.0

// generator submits jobs at random times and keeps their answers.
type generator struct {
	args    args
	bed     *testbed.Bed
	rng     *rand.Rand
	clients []*client.Client
	warm    *platformsim.TaskTotals // after the warm-up
	end     *platformsim.TaskTotals // at the end of the load

	mu      sync.Mutex
	answers []answer
}

// answer is the end of one job.
type answer struct {
	reply  *api.Reply
	err    error
	beyond time.Duration // response time beyond the longest task's run time
	whole  bool          // every result belongs to its task
}

func newGenerator(a args, bed *testbed.Bed) *generator {
	g := &generator{args: a, bed: bed, rng: rand.New(rand.NewPCG(a.Seed, 2))}
	for _, h := range bed.Hosts {
		g.clients = append(g.clients, client.New(client.Options{Hosts: []string{h.CallersURL()}}))
	}
	return g
}

// factor draws by how much a declared size is off.
func (g *generator) factor() float64 {
	return g.args.Bias * math.Exp((2*g.rng.Float64()-1)*math.Log(g.args.Off))
}

func (g *generator) drawRun() time.Duration {
	span := math.Log(float64(g.args.LongestRun) / float64(g.args.ShortestRun))
	return time.Duration(float64(g.args.ShortestRun) * math.Exp(g.rng.Float64()*span))
}

// jobPause is the mean time between two jobs for the load that is asked for.
func (g *generator) jobPause() time.Duration {
	span := math.Log(float64(g.args.LongestRun) / float64(g.args.ShortestRun))
	meanRun := (g.args.LongestRun - g.args.ShortestRun).Seconds() / span
	meanFactor := g.args.Bias
	if g.args.Off > 1 {
		meanFactor *= (g.args.Off - 1/g.args.Off) / (2 * math.Log(g.args.Off))
	}
	perJob := float64(g.args.Tasks) * meanRun * declaredCores * meanFactor
	rate := g.args.Load * float64(g.args.Workers) * g.args.Cores / perJob
	return time.Duration(float64(time.Second) / rate)
}

func (g *generator) job() (*api.Job, time.Duration) {
	job := &api.Job{Schema: api.Schema, Team: "team", Kind: "estimate"}
	longest := time.Duration(0)
	for i := range g.args.Tasks {
		d := g.drawRun()
		longest = max(longest, d)
		echo, _ := json.Marshal(i)
		payload, _ := json.Marshal(platformsim.TaskPayload{
			RunMS:    float64(d) / float64(time.Millisecond),
			Cores:    declaredCores * g.factor(),
			MemoryMB: int64(float64(g.args.TaskMemoryMB) * g.factor()),
			Echo:     echo,
		})
		job.Tasks = append(job.Tasks, api.Task{Payload: payload, RunMS: d.Milliseconds(), Cores: declaredCores, MemoryMB: g.args.TaskMemoryMB})
	}
	return job, longest
}

// run submits jobs for the set time and returns when all have ended.
func (g *generator) run(ctx context.Context) error {
	var jobs sync.WaitGroup
	gap, next := g.jobPause(), time.Now()
	end := next.Add(g.args.For)
	warm := next.Add(min(warmUp, g.args.For/2))
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		pause.For(ctx, time.Until(next))
		if g.warm == nil && time.Now().After(warm) {
			var err error
			if g.warm, err = totals(ctx, g.bed); err != nil {
				return err
			}
		}
		job, longest := g.job()
		jobs.Go(func() { g.submit(ctx, g.clients[n%len(g.clients)], job, longest) })
		next = next.Add(time.Duration(g.rng.ExpFloat64() * float64(gap)))
	}
	var err error
	if g.end, err = totals(ctx, g.bed); err != nil {
		return err
	}
	jobs.Wait()
	return nil
}

func (g *generator) submit(ctx context.Context, c *client.Client, job *api.Job, longest time.Duration) {
	began := time.Now()
	reply, err := c.Run(ctx, *job)
	a := answer{reply: reply, err: err, beyond: time.Since(began) - longest}
	if err == nil && reply.Outcome == api.Complete {
		a.whole = whole(reply, len(job.Tasks))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers = append(g.answers, a)
}

// whole reports whether each task has the result that its payload asks for.
func whole(reply *api.Reply, tasks int) bool {
	if len(reply.Tasks) != tasks {
		return false
	}
	for i, t := range reply.Tasks {
		want, _ := json.Marshal(i)
		if t.Index != i || string(t.Result) != string(want) {
			return false
		}
	}
	return true
}
