package main

import (
	"container/heap"
	"context"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// speeds holds the speed of every slot of every minion.
type speeds []float64

func idealSpeed(ctx context.Context, bed *testbed.Bed) (speeds, error) {
	views, err := bed.MinionViews(ctx)
	if err != nil {
		return nil, err
	}
	var out speeds
	for _, v := range views {
		for range v.Host.Slots {
			out = append(out, v.Speed)
		}
	}
	return out, nil
}

// makespan is the time in which idle slots of these speeds can run n equal tasks at
// best: each task goes to the slot that finishes it first.
func (s speeds) makespan(n int, run time.Duration) time.Duration {
	h := make(finishHeap, len(s))
	for i, speed := range s {
		one := time.Duration(float64(run) / speed)
		h[i] = slot{finish: one, one: one}
	}
	heap.Init(&h)
	var end time.Duration
	for range n {
		end = h[0].finish
		h[0].finish += h[0].one
		heap.Fix(&h, 0)
	}
	return end
}

// slot is a slot with the time at which it would finish one more task.
type slot struct {
	finish time.Duration
	one    time.Duration
}

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
