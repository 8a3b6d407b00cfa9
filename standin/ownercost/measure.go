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
	wayHosts   = 3
	wayMinions = 24 // 192 slots: 9,600 tasks of 20 ms a second, so that no load queues
	taskMS     = 20
)

const wayConfig = `schema: 1
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

// loadRow holds the figures of one way under one load.
type loadRow struct {
	load
	Way         way            `json:"way"`
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

// bench is one deployment with a caller for each way.
type bench struct {
	bed     *testbed.Bed
	callers map[way]*caller
	sent    map[way]*atomic.Int64
	rng     *rand.Rand
}

func measureWays(ctx context.Context, a args, r *report) error {
	dir, err := os.MkdirTemp("", "sesameledge-ownercost-")
	if err != nil {
		return err
	}
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: a.Bin, Dir: dir, Zones: []string{"local"}, Hosts: wayHosts, Minions: wayMinions,
		Group: "owner", Spread: -1, Seed: a.Seed, Config: wayConfig,
	})
	if err != nil {
		return errors.Wrapf(err, "starting the deployment (logs in %s)", dir)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer bed.Stop()
	b := newBench(bed, a.Seed)
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

func newBench(bed *testbed.Bed, seed uint64) *bench {
	b := &bench{bed: bed, callers: make(map[way]*caller), sent: make(map[way]*atomic.Int64), rng: rand.New(rand.NewPCG(seed, 1))}
	for _, w := range ways {
		b.callers[w], b.sent[w] = newCaller(w, bed), new(atomic.Int64)
	}
	return b
}

// cell collects what one way did under one load.
type cell struct {
	tally *tally
	used  reading
	took  time.Duration
}

// measureLoad gives each way its turns under one load.
func (b *bench) measureLoad(ctx context.Context, l load, a args) ([]loadRow, error) {
	cells := make(map[way]*cell)
	for _, w := range ways {
		cells[w] = &cell{tally: newTally()}
	}
	for round := range a.Rounds {
		for i := range ways {
			// Another way begins in each round.
			w := ways[(i+round)%len(ways)]
			if err := b.slice(ctx, w, l, a.Slice, cells[w]); err != nil {
				return nil, err
			}
		}
	}
	rows := make([]loadRow, 0, len(ways))
	for _, w := range ways {
		rows = append(rows, newLoadRow(w, l, cells[w], cells[wayNone]))
	}
	return rows, nil
}

// slice runs one way for a while and adds its figures to the cell.
func (b *bench) slice(ctx context.Context, w way, l load, period time.Duration, into *cell) error {
	c := b.callers[w]
	before, err := read(ctx, b.bed, c, true)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := c.prepare(ctx); err != nil {
		return err
	}
	openLoop(ctx, b.rng, l.Rate, period, into.tally, b.submitter(ctx, w, newJob(l.Tasks)))
	into.took += time.Since(began)
	after, err := read(ctx, b.bed, c, true)
	if err != nil {
		return err
	}
	into.used.add(before, after)
	return ctx.Err()
}

func newLoadRow(w way, l load, c, unprotected *cell) loadRow {
	jobs := float64(max(c.tally.jobs, 1))
	row := loadRow{load: l, Way: w, Jobs: c.tally.jobs, Answers: c.tally.answers}
	row.P50, row.P99 = c.tally.quantileMS(50), c.tally.quantileMS(99)
	row.P50Over = ratio(row.P50, unprotected.tally.quantileMS(50))
	row.P99Over = ratio(row.P99, unprotected.tally.quantileMS(99))
	row.CallerHost = float64(c.used.Callers) / jobs
	row.HostHost = float64(c.used.Peers) / jobs
	row.HostMinions = float64(c.used.Minions) / jobs
	row.Appends = float64(c.used.Appends) / jobs
	rest := ratio(float64(unprotected.used.Platform), unprotected.took.Seconds())
	row.PlatformBytes = (float64(c.used.Platform) - rest*c.took.Seconds()) / jobs
	return row
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
