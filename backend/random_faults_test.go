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

// Sizes of a randomized run.
const (
	randomTasks       = 1500
	randomMinions     = 4
	randomCallers     = 16
	randomMaxAttempts = 3
)

// newUnreliableMinion returns a minion that at random answers, answers twice, refuses, delays its answer or
// its 100-continue, or closes or resets the connection.
func newUnreliableMinion(t *testing.T) *fakeMinion {
	m := newFakeMinion(t, func(x *exchange) bool {
		if rand.IntN(10) == 0 {
			return x.refuseAsBusy()
		}
		x.recordStart()
		switch rand.IntN(30) {
		case 0:
			return false
		case 1:
			return connEnds["crashed"](x)
		case 2:
			time.Sleep(80 * time.Millisecond)
		case 3:
			x.sendAnswer(200, payload, nil)
		case 4:
			x.sendAnswer(200, payload, nil)
			return false
		}
		return x.sendAnswer(200, payload, nil)
	})
	m.onHeader = func(x *exchange) bool {
		if x.Header.Get("Expect") != "" && rand.IntN(4) == 0 {
			time.Sleep(40 * time.Millisecond)
		}
		return rand.IntN(20) > 0
	}
	return m
}

// runRandomTasks sends tasks to unreliable minions, each at most randomMaxAttempts times and again only
// after "not started". It returns the number of starts and the last outcome of each task.
func runRandomTasks(t *testing.T, f faults) ([]int, []dispatch.AttemptEnded) {
	// The minions send surplus answers on purpose, and net/http logs each of them.
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	var minions []*fakeMinion
	for range randomMinions {
		minions = append(minions, newUnreliableMinion(t))
	}
	c := newClient(t, Options{ExpectContinueAfterIdle: time.Millisecond, ContinueTimeout: 20 * time.Millisecond, faults: f})
	ended := make([]dispatch.AttemptEnded, randomTasks)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range randomCallers {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < randomTasks; i = int(next.Add(1)) - 1 {
				for attempt := 1; attempt <= randomMaxAttempts && (attempt == 1 || ended[i].Outcome == dispatch.AttemptNotStarted); attempt++ {
					m := minions[rand.IntN(randomMinions)]
					ended[i] = c.Run(context.Background(), newStartAttempt(m, i, attempt, 60*time.Millisecond))
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
			starts[i] += m.startCount(i)
		}
	}
	return starts, ended
}

// TestRandomFaults guards against any combination of faults and connection reuse that starts a task twice,
// reports "not started" for a started task, or "completed" for a task that never started.
func TestRandomFaults(t *testing.T) {
	starts, ended := runRandomTasks(t, faults{})
	for i, n := range starts {
		wrong := n > 1 ||
			ended[i].Outcome == dispatch.AttemptNotStarted && n != 0 ||
			ended[i].Outcome == dispatch.AttemptCompleted && n != 1
		if wrong {
			t.Errorf("task %d started %d times, reported %s/%s", i, n, outcomeNames[ended[i].Outcome], ended[i].Reason)
		}
	}
}

// TestRandomFaultsDetectMissingSafeguards checks that the randomized run detects a resend, and a body that
// is sent although the minion has not asked for it.
func TestRandomFaultsDetectMissingSafeguards(t *testing.T) {
	for name, f := range map[string]faults{"resend": {resend: true}, "untrackedBody": {untrackedBody: true}} {
		t.Run(name, func(t *testing.T) {
			starts, _ := runRandomTasks(t, f)
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
