package main

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	outageTasks = 10
	outageRate  = 10 // jobs a second
	outageSlice = 2 * time.Second
	// outageWaitMS is how long a caller waits for an answer during an outage.
	outageWaitMS = 1000
	// outageSettle lets the hosts notice the outage; they read the host list every second.
	outageSettle = 3 * time.Second
)

// outageRow holds the figures of one ownership mode while the platform was down.
type outageRow struct {
	Mode    ownershipMode  `json:"way"`
	Jobs    int            `json:"jobs"`
	Answers map[string]int `json:"answers"`
	Starts  uint64         `json:"task_starts"`
	P50     float64        `json:"response_ms_p50"`
	P99     float64        `json:"response_ms_p99"`
}

// measureOutage submits jobs in each ownership mode while every service of the platform answers 503.
func (b *comparison) measureOutage(ctx context.Context) ([]outageRow, error) {
	if err := b.setOutage(ctx, platformsim.OutageUnavailable); err != nil {
		return nil, err
	}
	pause.For(ctx, outageSettle)
	var rows []outageRow
	for _, w := range ownershipModes {
		row, err := b.outageSlice(ctx, w)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, b.setOutage(ctx, platformsim.OutageOff)
}

func (b *comparison) setOutage(ctx context.Context, outage platformsim.Outage) error {
	req := platformsim.FaultsRequest{Outage: &outage}
	status, err := testbed.PostJSON(ctx, b.bed.PlatformURL+"/admin/faults", req, nil)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("the platform refused the fault with status %d", status)
	}
	return err
}

func (b *comparison) outageSlice(ctx context.Context, w ownershipMode) (outageRow, error) {
	c, t := b.callers[w], newJobStats()
	before, err := readCounters(ctx, b.bed, c, false)
	if err != nil {
		return outageRow{}, err
	}
	if err := c.prepare(ctx); err != nil {
		return outageRow{}, err
	}
	job := newJob(outageTasks)
	wait := int64(outageWaitMS)
	job.WaitMS = &wait
	openLoop(ctx, b.rng, outageRate, outageSlice, t, b.submitter(ctx, w, job))
	after, err := readCounters(ctx, b.bed, c, false)
	row := outageRow{Mode: w, Jobs: t.jobs, Answers: t.answers, Starts: after.Starts - before.Starts}
	row.P50, row.P99 = t.quantileMS(50), t.quantileMS(99)
	return row, err
}

// submitter returns a function that submits the next job of an ownership mode.
func (b *comparison) submitter(ctx context.Context, w ownershipMode, job api.Job) func() (*api.Reply, error) {
	return func() (*api.Reply, error) {
		n := int(b.sent[w].Add(1))
		return b.callers[w].submit(ctx, n, job)
	}
}
