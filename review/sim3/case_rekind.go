package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Minions of the larger kind hold two tasks of the case, those of the smaller one hold one.
var (
	largerKind  = kind{"b", 96000, 131072}
	smallerKind = kind{"a", 64000, 131072}
)

const (
	taskCPU      = 40000
	taskMS       = 60
	roundTime    = 1150 * time.Millisecond // between two jobs of a zone
	idleAfter    = 520 * time.Millisecond  // after the begin of a round its tasks have ended
	restartTime  = 500 * time.Millisecond  // from the crash of a minion until its next process serves
	restarts     = 24
	roundsToRest = 2
)

func init() {
	prepare["rekind"] = func(dir string, rec *recorder) (*deployment, error) {
		return newDeployment(dir, rec, []string{"ernakulam", "malabar", "tvm-south"}, 1, 4, largerKind, 1500)
	}
	cases["rekind"] = rekind
}

// rekind crashes idle minions, one at a time. Each starts again at its address, as a machine of the smaller kind, and a
// while later as one of the larger kind again.
func rekind(d *deployment, trouble bool) error {
	client := newClient()
	var wg sync.WaitGroup
	next := 0
	for round := range restarts * roundsToRest {
		begin := time.Now()
		for i, h := range d.hosts {
			wg.Add(1)
			go func() {
				defer wg.Done()
				name := fmt.Sprintf("%08x%08x", round+1, i+1)
				d.rec.line("send job=%s host=%s", name, h.name)
				a := submit(context.Background(), client, h, name, newJob(8, taskCPU, 64, taskMS), 1500*time.Millisecond)
				d.rec.line("answer job=%s status=%d took=%v err=%v", name, a.status, a.took, a.err)
			}()
		}
		if round >= roundsToRest && round%roundsToRest == 0 && trouble {
			m := d.minions[next/2%len(d.minions)]
			k := smallerKind
			if next%2 == 1 {
				k = largerKind
			}
			next++
			time.Sleep(idleAfter)
			d.rec.line("minion %s crashes", m.id)
			m.crash()
			time.Sleep(restartTime)
			if err := m.boot(k); err != nil {
				return err
			}
			d.rec.line("minion %s has started again as kind %s with %d thousandths of a core", m.id, k.Name, k.CPU)
		}
		time.Sleep(time.Until(begin.Add(roundTime)))
	}
	wg.Wait()
	return nil
}
