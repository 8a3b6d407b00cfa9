package main

import (
	"context"
	"math"
	"syscall"
	"time"

	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// runFaults applies the fault steps of a scenario at their times and returns the first error.
func runFaults(ctx context.Context, bed *testbed.Deployment, start time.Time, length time.Duration, steps []faultStep) error {
	for i := range steps {
		at := time.Duration(steps[i].at * float64(length))
		if !sleepUntil(ctx, start.Add(at)) {
			return ctx.Err()
		}
		if err := steps[i].apply(ctx, bed); err != nil {
			return err
		}
	}
	return nil
}

func (f *faultStep) apply(ctx context.Context, bed *testbed.Deployment) error {
	switch f.action {
	case actPause:
		bed.Platform.Signal(syscall.SIGSTOP)
		return nil
	case actContinue:
		bed.Platform.Signal(syscall.SIGCONT)
		return nil
	}
	views, err := bed.MinionViews(ctx)
	if err != nil {
		return err
	}
	n := int(math.Ceil(f.share * float64(len(views))))
	for _, v := range views[:n] {
		if err := f.applyToMinion(ctx, bed, v.Host.ID); err != nil {
			return err
		}
	}
	return nil
}

func (f *faultStep) applyToMinion(ctx context.Context, bed *testbed.Deployment, id string) error {
	path, body := "", any(minionsim.MinionRequest{Minion: id, Refuse: f.action == actLeave})
	switch f.action {
	case actFault:
		req := f.request
		req.Minion = id
		path, body = "/admin/faults", req
	case actLeave:
		path = "/admin/leave"
	case actCrash:
		path = "/admin/crash"
	case actRestart:
		path = "/admin/restart"
	}
	_, err := testbed.PostJSON(ctx, bed.MinionAdmin+path, body, nil)
	return err
}
