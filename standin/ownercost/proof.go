package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/backend"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	proofMinions = 8
	// lowRate is the jobs a second at each host. Spread evenly over 8 minions it
	// would leave a connection idle for 2 s on average.
	lowRate = 4
	// silenceInterval is the time after which all open connections go silent again.
	silenceInterval = 4 * time.Second
	proofOff        = -time.Second
)

// proofAfter holds the idle time after which each host asks for the proof.
var proofAfter = []time.Duration{250 * time.Millisecond, time.Second, 10 * time.Second, proofOff}

// proofConfig has a deadline that leaves time for a second try after a failed proof.
const proofConfig = `schema: 1
teams: {team: {weight: 1}}
kinds: {short: {group: owner, idempotent: false, default_deadline: 1500ms}}
groups: {owner: {endpoints: minion}}
`

// proofRow holds the figures of one host.
type proofRow struct {
	After    string         `json:"prove_idle_after"`
	Jobs     int            `json:"jobs"`
	Lost     int            `json:"jobs_lost"` // not complete
	Answers  map[string]int `json:"answers"`
	Messages float64        `json:"task_messages_per_job"` // requests to minions
	Proofs   float64        `json:"proofs_per_job"`        // a request held back until 100-continue
	Dials    float64        `json:"dials_per_job"`
	P50      float64        `json:"response_ms_p50"` // of completed jobs
	P99      float64        `json:"response_ms_p99"`
}

// measureProof runs one host for each idle time on the same minions, so that the same
// faults reach all of them.
func measureProof(ctx context.Context, a args, r *report) error {
	dir, err := os.MkdirTemp("", "sesameledge-ownercost-")
	if err != nil {
		return err
	}
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: a.Bin, Dir: dir, Zones: []string{"local"}, Hosts: len(proofAfter), Minions: proofMinions,
		Group: "owner", Spread: -1, Seed: a.Seed, Config: proofConfig,
		AdjustSettings: func(n int, s *settings.Settings) { s.Backend.ProveIdleAfter = proofAfter[n] },
	})
	if err != nil {
		return errors.Wrapf(err, "starting the deployment (logs in %s)", dir)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer bed.Stop()
	stats := submitAtLowRate(ctx, a, bed)
	for n, t := range stats {
		row, err := newProofRow(ctx, bed.Hosts[n], proofAfter[n], t)
		if err != nil {
			return err
		}
		r.Proof = append(r.Proof, row)
	}
	starts, err := bed.Starts(ctx)
	if err == nil {
		r.DoubleStart += starts.Totals.DoubleStarts
	}
	return err
}

// submitAtLowRate submits jobs of one task to every host while connections go silent.
func submitAtLowRate(ctx context.Context, a args, bed *testbed.Deployment) []*jobStats {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go silenceConnections(ctx, bed)
	var wg sync.WaitGroup
	stats := make([]*jobStats, len(bed.Hosts))
	for n, h := range bed.Hosts {
		stats[n] = newJobStats()
		cl := client.New(client.Options{Hosts: []string{h.CallersURL()}})
		// The same arrivals at each host, so that only the setting differs.
		rng := rand.New(rand.NewPCG(a.Seed, 2))
		wg.Add(1)
		go func() {
			defer wg.Done()
			openLoop(ctx, rng, lowRate, a.Proof, stats[n], func() (*api.Reply, error) {
				return cl.Run(ctx, newJob(1))
			})
		}()
	}
	wg.Wait()
	return stats
}

// silenceConnections makes all connections to minions go silent at intervals.
func silenceConnections(ctx context.Context, bed *testbed.Deployment) {
	req := minionsim.FaultRequest{Minion: "*", Fault: minionsim.FaultSilent}
	for pause.For(ctx, silenceInterval) {
		status, err := testbed.PostJSON(ctx, bed.MinionAdmin+"/admin/faults", req, nil)
		if ctx.Err() == nil && (err != nil || status != http.StatusNoContent) {
			panic(errors.Newf("the minions refused the fault: status %d, %v", status, err))
		}
	}
}

// hostVars is the part of a daemon's metrics that is read here.
type hostVars struct {
	Sesameledge struct {
		Backend backend.Counters `json:"backend"`
	} `json:"sesameledge"`
}

func newProofRow(ctx context.Context, h *testbed.Host, after time.Duration, t *jobStats) (proofRow, error) {
	var v hostVars
	if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/debug/vars", &v); err != nil {
		return proofRow{}, err
	}
	row := proofRow{After: after.String(), Jobs: t.jobs, Answers: t.answers}
	if after < 0 {
		row.After = "off"
	}
	jobs := float64(max(t.jobs, 1))
	row.Lost = t.jobs - t.answers[string(api.Complete)]
	row.Messages = float64(v.Sesameledge.Backend.TaskMessages) / jobs
	row.Proofs = float64(v.Sesameledge.Backend.ContinueWaits) / jobs
	row.Dials = float64(v.Sesameledge.Backend.Dials) / jobs
	row.P50, row.P99 = t.quantileMS(50), t.quantileMS(99)
	return row, nil
}
