package backend

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// Sizes of the randomized run.
const (
	randomTasks   = 1500
	randomMinions = 4
	randomCallers = 16
	randomTries   = 3
)

// unreliable returns a minion that answers, answers twice, refuses, closes, resets,
// stalls and pauses at random.
func unreliable(t *testing.T) *minion {
	m := newMinion(t, func(x *exchange) bool {
		if rand.IntN(10) == 0 {
			return x.refuse()
		}
		x.start()
		switch rand.IntN(30) {
		case 0:
			return false
		case 1:
			return ends["crashed"](x)
		case 2:
			time.Sleep(80 * time.Millisecond)
		case 3:
			x.send(200, payload, nil)
		case 4:
			x.send(200, payload, nil)
			return false
		}
		return x.send(200, payload, nil)
	})
	m.header = func(x *exchange) bool {
		if x.Header.Get("Expect") != "" && rand.IntN(4) == 0 {
			time.Sleep(40 * time.Millisecond)
		}
		return rand.IntN(20) > 0
	}
	return m
}

// randomRun dispatches tasks to unreliable minions, each at most randomTries times and
// again only after "not started". It returns the starts and the last outcome per task.
func randomRun(t *testing.T, f faults) ([]int, []dispatch.AttemptEnded) {
	// net/http logs each surplus answer that the minions send on purpose.
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	var minions []*minion
	for range randomMinions {
		minions = append(minions, unreliable(t))
	}
	c := newClient(t, Options{ProveIdleAfter: time.Millisecond, ProofTimeout: 20 * time.Millisecond, faults: f})
	ended := make([]dispatch.AttemptEnded, randomTasks)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range randomCallers {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < randomTasks; i = int(next.Add(1)) - 1 {
				for try := 1; try <= randomTries && (try == 1 || ended[i].Outcome == dispatch.AttemptNotStarted); try++ {
					m := minions[rand.IntN(randomMinions)]
					ended[i] = c.Run(context.Background(), start(m, i, try, 60*time.Millisecond))
				}
				time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond)
	t.Logf("%+v", c.Counters())
	starts := make([]int, randomTasks)
	for i := range starts {
		for _, m := range minions {
			starts[i] += m.started(i)
		}
	}
	return starts, ended
}

// Guards against any combination of faults and reuse that starts a task twice, reports
// "not started" for a started one, or "completed" for one that never started.
func TestRandomFaults(t *testing.T) {
	starts, ended := randomRun(t, faults{})
	for i, n := range starts {
		wrong := n > 1 ||
			ended[i].Outcome == dispatch.AttemptNotStarted && n != 0 ||
			ended[i].Outcome == dispatch.AttemptCompleted && n != 1
		if wrong {
			t.Errorf("task %d started %d times, reported %s/%s", i, n, outcomeNames[ended[i].Outcome], ended[i].Reason)
		}
	}
}

// Guards against a randomized run that detects neither a resend nor a body sent
// unasked.
func TestRandomFaultsDetectsFaults(t *testing.T) {
	for name, f := range map[string]faults{"resend": {resend: true}, "openGate": {openGate: true}} {
		t.Run(name, func(t *testing.T) {
			starts, _ := randomRun(t, f)
			twice := 0
			for _, n := range starts {
				if n > 1 {
					twice++
				}
			}
			t.Logf("%d tasks started twice", twice)
			if twice == 0 {
				t.Fatal("no task started twice with the safety mechanism off")
			}
		})
	}
}
