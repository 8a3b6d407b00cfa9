package main

import (
	"context"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	comparisonHosts   = 3
	comparisonMinions = 24 // 192 slots: 9,600 tasks of 20 ms a second, so that no load queues
	taskMS            = 20
)

const comparisonConfig = `schema: 1
teams: {team: {weight: 1}}
kinds: {short: {group: owner, idempotent: false, default_deadline: 10s}}
groups: {owner: {endpoints: minion}}
`

// load is an offered load.
type load struct {
	Tasks int     `json:"tasks_per_job"`
	Rate  float64 `json:"jobs_per_second"`
}

var loads = []load{{1, 20}, {1, 100}, {10, 10}, {10, 50}, {100, 5}, {100, 15}}

// loadRow holds the figures of one ownership mode under one load.
type loadRow struct {
	load
	Mode        ownershipMode  `json:"way"`
	Jobs        int            `json:"jobs"`
	Answers     map[string]int `json:"answers"`
	P50         float64        `json:"response_ms_p50"`
	P99         float64        `json:"response_ms_p99"`
	P50Over     float64        `json:"p50_over_unprotected"`
	P99Over     float64        `json:"p99_over_unprotected"`
	CallerHost  float64        `json:"messages_per_job_caller_host"`
	HostHost    float64        `json:"messages_per_job_host_host"`
	HostMinions float64        `json:"messages_per_job_host_minions"`
	Appends     float64        `json:"appends_per_job"`
	// PlatformBytes is what was exchanged with the platform beyond the traffic of
	// unprotected jobs, which need nothing from it, over the same time.
	PlatformBytes float64 `json:"platform_bytes_per_job"`
}

// comparison holds one deployment with a caller for each ownership mode.
type comparison struct {
	bed     *testbed.Deployment
	callers map[ownershipMode]*caller
	sent    map[ownershipMode]*atomic.Int64
	rng     *rand.Rand
}

func measureModes(ctx context.Context, a args, r *report) error {
	dir, err := os.MkdirTemp("", "sesameledge-ownercost-")
	if err != nil {
		return err
	}
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: a.Bin, Dir: dir, Zones: []string{"local"}, Hosts: comparisonHosts, Minions: comparisonMinions,
		Group: "owner", Spread: -1, Seed: a.Seed, Config: comparisonConfig,
	})
	if err != nil {
		return errors.Wrapf(err, "starting the deployment (logs in %s)", dir)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer bed.Stop()
	b := newComparison(bed, a.Seed)
	for _, l := range loads {
		rows, err := b.measureLoad(ctx, l, a)
		if err != nil {
			return err
		}
		r.Loads = append(r.Loads, rows...)
	}
	if r.Outage, err = b.measureOutage(ctx); err != nil {
		return err
	}
	starts, err := bed.Starts(ctx)
	if err == nil {
		r.DoubleStart += starts.Totals.DoubleStarts
	}
	return err
}

func newComparison(bed *testbed.Deployment, seed uint64) *comparison {
	b := &comparison{bed: bed, callers: make(map[ownershipMode]*caller), sent: make(map[ownershipMode]*atomic.Int64), rng: rand.New(rand.NewPCG(seed, 1))}
	for _, w := range ownershipModes {
		b.callers[w], b.sent[w] = newCaller(w, bed), new(atomic.Int64)
	}
	return b
}

// measurement collects the results of one ownership mode under one load.
type measurement struct {
	stats *jobStats
	used  counters
	took  time.Duration // total time of the slices
}

// measureLoad runs all ownership modes in turn under one load.
func (b *comparison) measureLoad(ctx context.Context, l load, a args) ([]loadRow, error) {
	measurements := make(map[ownershipMode]*measurement)
	for _, w := range ownershipModes {
		measurements[w] = &measurement{stats: newJobStats()}
	}
	for round := range a.Rounds {
		for i := range ownershipModes {
			// Each round begins with another mode.
			w := ownershipModes[(i+round)%len(ownershipModes)]
			if err := b.slice(ctx, w, l, a.Slice, measurements[w]); err != nil {
				return nil, err
			}
		}
	}
	rows := make([]loadRow, 0, len(ownershipModes))
	for _, w := range ownershipModes {
		rows = append(rows, newLoadRow(w, l, measurements[w], measurements[modeUnprotected]))
	}
	return rows, nil
}

// slice runs one mode for the period and adds its figures to the measurement.
func (b *comparison) slice(ctx context.Context, w ownershipMode, l load, period time.Duration, result *measurement) error {
	c := b.callers[w]
	before, err := readCounters(ctx, b.bed, c, true)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := c.prepare(ctx); err != nil {
		return err
	}
	openLoop(ctx, b.rng, l.Rate, period, result.stats, b.submitter(ctx, w, newJob(l.Tasks)))
	result.took += time.Since(began)
	after, err := readCounters(ctx, b.bed, c, true)
	if err != nil {
		return err
	}
	result.used.add(before, after)
	return ctx.Err()
}

func newLoadRow(w ownershipMode, l load, c, unprotected *measurement) loadRow {
	jobs := float64(max(c.stats.jobs, 1))
	row := loadRow{load: l, Mode: w, Jobs: c.stats.jobs, Answers: c.stats.answers}
	row.P50, row.P99 = c.stats.quantileMS(50), c.stats.quantileMS(99)
	row.P50Over = ratio(row.P50, unprotected.stats.quantileMS(50))
	row.P99Over = ratio(row.P99, unprotected.stats.quantileMS(99))
	row.CallerHost = float64(c.used.Callers) / jobs
	row.HostHost = float64(c.used.Peers) / jobs
	row.HostMinions = float64(c.used.Minions) / jobs
	row.Appends = float64(c.used.Appends) / jobs
	unprotectedBytesPerSecond := ratio(float64(unprotected.used.Platform), unprotected.took.Seconds())
	row.PlatformBytes = (float64(c.used.Platform) - unprotectedBytesPerSecond*c.took.Seconds()) / jobs
	return row
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
