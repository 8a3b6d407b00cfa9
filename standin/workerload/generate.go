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

// declaredTaskCores is the number of cores that every task declares.
const declaredTaskCores = 1.0

// generator submits jobs at random times and collects their results. It spreads them over all hosts in turn.
type generator struct {
	args    args
	bed     *testbed.Deployment
	rng     *rand.Rand
	clients []*client.Client // one for each host
	// warmUpTotals and loadEndTotals are the counts of the platform at the end of the warm-up and when the
	// last job has been submitted.
	warmUpTotals  *platformsim.TaskTotals
	loadEndTotals *platformsim.TaskTotals

	mu      sync.Mutex
	results []jobResult
}

// jobResult is the reply to one job and what was measured of it.
type jobResult struct {
	reply    *api.Reply
	err      error
	overhead time.Duration // response time minus the run time of the longest task
	correct  bool          // the job is complete and each task has its own result
}

func newGenerator(a args, bed *testbed.Deployment) *generator {
	g := &generator{args: a, bed: bed, rng: rand.New(rand.NewPCG(a.Seed, 2))}
	for _, h := range bed.Hosts {
		g.clients = append(g.clients, client.New(client.Options{Hosts: []string{h.CallersURL()}}))
	}
	return g
}

// drawSizeFactor draws the ratio of a task's used size to its declared size. It is log-uniform from Bias/Off to
// Bias*Off.
func (g *generator) drawSizeFactor() float64 {
	return g.args.Bias * math.Exp((2*g.rng.Float64()-1)*math.Log(g.args.Off))
}

// drawRunTime draws the run time of a task. It is log-uniform from ShortestRun to LongestRun.
func (g *generator) drawRunTime() time.Duration {
	logRange := math.Log(float64(g.args.LongestRun) / float64(g.args.ShortestRun))
	return time.Duration(float64(g.args.ShortestRun) * math.Exp(g.rng.Float64()*logRange))
}

// meanJobInterval returns the mean time between two submissions at which the tasks use the share Load of all
// cores.
func (g *generator) meanJobInterval() time.Duration {
	logRange := math.Log(float64(g.args.LongestRun) / float64(g.args.ShortestRun))
	meanRunSeconds := (g.args.LongestRun - g.args.ShortestRun).Seconds() / logRange
	meanFactor := g.args.Bias
	if g.args.Off > 1 {
		meanFactor *= (g.args.Off - 1/g.args.Off) / (2 * math.Log(g.args.Off))
	}
	coreSecondsPerJob := float64(g.args.Tasks) * meanRunSeconds * declaredTaskCores * meanFactor
	jobsPerSecond := g.args.Load * float64(g.args.Workers) * g.args.Cores / coreSecondsPerJob
	return time.Duration(float64(time.Second) / jobsPerSecond)
}

// newJob draws a job and returns it with the run time of its longest task. Each payload makes its task return
// the task's index.
func (g *generator) newJob() (*api.Job, time.Duration) {
	job := &api.Job{Schema: api.Schema, Team: "team", Kind: "estimate"}
	longestRun := time.Duration(0)
	for i := range g.args.Tasks {
		runTime := g.drawRunTime()
		longestRun = max(longestRun, runTime)
		echo, _ := json.Marshal(i)
		payload, _ := json.Marshal(platformsim.TaskPayload{
			RunMS:    float64(runTime) / float64(time.Millisecond),
			Cores:    declaredTaskCores * g.drawSizeFactor(),
			MemoryMB: int64(float64(g.args.TaskMemoryMB) * g.drawSizeFactor()),
			Echo:     echo,
		})
		job.Tasks = append(job.Tasks, api.Task{Payload: payload, RunMS: runTime.Milliseconds(), Cores: declaredTaskCores, MemoryMB: g.args.TaskMemoryMB})
	}
	return job, longestRun
}

// run submits jobs for the duration For, or until ctx ends, and returns when all have ended. It returns an error
// if the counts of the platform can't be read. The times between two jobs are exponentially distributed.
func (g *generator) run(ctx context.Context) error {
	var jobs sync.WaitGroup
	meanInterval, next := g.meanJobInterval(), time.Now()
	loadEnd := next.Add(g.args.For)
	warmUpEnd := next.Add(min(warmUp, g.args.For/2))
	for n := 0; next.Before(loadEnd) && ctx.Err() == nil; n++ {
		pause.For(ctx, time.Until(next))
		if g.warmUpTotals == nil && time.Now().After(warmUpEnd) {
			var err error
			if g.warmUpTotals, err = fetchTotals(ctx, g.bed); err != nil {
				return err
			}
		}
		job, longestRun := g.newJob()
		jobs.Go(func() { g.submit(ctx, g.clients[n%len(g.clients)], job, longestRun) })
		next = next.Add(time.Duration(g.rng.ExpFloat64() * float64(meanInterval)))
	}
	var err error
	if g.loadEndTotals, err = fetchTotals(ctx, g.bed); err != nil {
		return err
	}
	jobs.Wait()
	return nil
}

func (g *generator) submit(ctx context.Context, c *client.Client, job *api.Job, longestRun time.Duration) {
	start := time.Now()
	reply, err := c.Run(ctx, *job)
	result := jobResult{reply: reply, err: err, overhead: time.Since(start) - longestRun}
	if err == nil && reply.Outcome == api.Complete {
		result.correct = resultsCorrect(reply, len(job.Tasks))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, result)
}

// resultsCorrect reports whether the reply has all tasks in order, each with the result that its payload asks for.
func resultsCorrect(reply *api.Reply, taskCount int) bool {
	if len(reply.Tasks) != taskCount {
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
