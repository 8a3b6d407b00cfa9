package main

import (
	"container/heap"
	"context"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// slotSpeeds holds the relative speed of every slot of every minion; at speed 1 a task takes its
// nominal run time.
type slotSpeeds []float64

// fetchSlotSpeeds reads the speeds of the slots from the minions.
func fetchSlotSpeeds(ctx context.Context, bed *testbed.Deployment) (slotSpeeds, error) {
	views, err := bed.MinionViews(ctx)
	if err != nil {
		return nil, err
	}
	var out slotSpeeds
	for _, v := range views {
		for range v.Host.Slots {
			out = append(out, v.Speed)
		}
	}
	return out, nil
}

// minMakespan returns the shortest time in which idle slots of these speeds can run n equal tasks:
// each task goes to the slot that finishes it first. run is the run time of a task at speed 1.
func (s slotSpeeds) minMakespan(n int, run time.Duration) time.Duration {
	h := make(finishHeap, len(s))
	for i, speed := range s {
		taskTime := time.Duration(float64(run) / speed)
		h[i] = slot{finish: taskTime, taskTime: taskTime}
	}
	heap.Init(&h)
	var end time.Duration
	for range n {
		end = h[0].finish
		h[0].finish += h[0].taskTime
		heap.Fix(&h, 0)
	}
	return end
}

// slot is a slot of a minion in the computation of minMakespan.
type slot struct {
	finish   time.Duration // when the slot would finish one more task
	taskTime time.Duration // run time of one task on this slot
}

// finishHeap is a heap of slots in which the slot with the earliest finish comes first.
type finishHeap []slot

func (h finishHeap) Len() int           { return len(h) }
func (h finishHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h finishHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *finishHeap) Push(x any)        { *h = append(*h, x.(slot)) }
func (h *finishHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
