package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	wakeRounds    = 10
	wakeJobs      = 50                      // of each round, all at the host that is frozen
	wakeLeaving   = 20                      // of them: their clients leave early and send the job again
	wakeTaskMS    = 900                     // as survey-quote of the site
	wakeDeadline  = 4 * time.Second         // X-Deadline-Ms
	freezeAfter   = 40 * time.Millisecond   // from the requests of a round until the host is frozen
	leaveAfter    = 60 * time.Millisecond   // from its request until a client leaves
	resendAfter   = 1300 * time.Millisecond // resendMs of the bounds
	shortFreeze   = 1450 * time.Millisecond // in the first round
	freezeStep    = 50 * time.Millisecond   // longer in each round
	restOfHosts   = 2500 * time.Millisecond // between two rounds
	patientClient = 6 * time.Second
)

func init() {
	prepare["wake"] = func(dir string, rec *recorder) (*deployment, error) {
		return newDeployment(dir, rec, []string{"ernakulam", "malabar", "tvm-south"}, 1, 16, kind{"a", 64000, 131072}, 1500)
	}
	cases["wake"] = wake
}

// wake freezes a host while tasks of its callers run, for longer than their leases last. Some callers leave meanwhile and
// send their jobs again to the other hosts.
func wake(d *deployment, trouble bool) error {
	client := newClient()
	frozen := d.hosts[0]
	for round := range wakeRounds {
		var wg sync.WaitGroup
		for i := range wakeJobs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("%08x%08x", round+1, i+1)
				j := newJob(4, 1000, 64, wakeTaskMS)
				waits := patientClient
				if i < wakeLeaving {
					waits = leaveAfter
				}
				d.rec.line("send job=%s host=%s", id, frozen.name)
				a := submitAndWait(context.Background(), client, frozen, id, j, wakeDeadline, waits)
				d.rec.line("answer job=%s status=%d after=%v err=%v", id, a.status, a.took, a.err)
				if a.err == nil && a.status != 502 && a.status != 504 {
					return
				}
				time.Sleep(resendAfter)
				other := d.hosts[1+i%(len(d.hosts)-1)]
				d.rec.line("send job=%s host=%s again", id, other.name)
				a = submitAndWait(context.Background(), client, other, id, j, wakeDeadline, patientClient)
				d.rec.line("answer job=%s status=%d after=%v err=%v", id, a.status, a.took, a.err)
			}()
		}
		time.Sleep(freezeAfter)
		if trouble {
			t := shortFreeze + time.Duration(round)*freezeStep
			d.rec.line("%s is stopped", frozen.name)
			frozen.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(t)
			frozen.cmd.Process.Signal(syscall.SIGCONT)
			d.rec.line("%s goes on after %v", frozen.name, t)
		}
		wg.Wait()
		time.Sleep(restOfHosts)
	}
	return nil
}
