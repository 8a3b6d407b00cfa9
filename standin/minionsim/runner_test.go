package minionsim

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a runner whose starts tests cannot rely on: more running tasks than slots,
// a start of a cancelled task, or a slot that stays free while tasks wait.
func TestRunnerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, maxQueue = 2, 3
		cancelled := make(map[TaskID]bool)
		r := newRunner(slots, maxQueue, func(id TaskID) {
			if cancelled[id] {
				t.Fatalf("cancelled task %v started", id)
			}
		})
		var runs []*receivedTask
		drawID := func(t *rapid.T) TaskID {
			return TaskID{Ticket: "t", Index: rapid.IntRange(0, 9).Draw(t, "index")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				next := newReceivedTask(drawID(t), time.Time{})
				r.submit(time.Now(), next)
				runs = append(runs, next)
			},
			"cancel": func(t *rapid.T) {
				id := drawID(t)
				cancelled[id] = true
				r.cancel(id)
			},
			"finish": func(t *rapid.T) {
				if len(runs) == 0 {
					t.Skip("no runs")
				}
				n := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				r.finish(time.Now(), runs[n])
			},
			"": func(t *rapid.T) {
				running, queued := r.load()
				if running > slots || queued > maxQueue {
					t.Fatalf("running %d, queued %d", running, queued)
				}
				if running < slots && queued > 0 {
					t.Fatalf("%d tasks wait while %d of %d slots are used", queued, running, slots)
				}
			},
		})
	})
}
