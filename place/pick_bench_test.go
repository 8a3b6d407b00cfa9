package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkPick measures one choice of an endpoint by the number of endpoints of the group.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 400, 1600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := NewSet(Options{Zone: "z", Seed: 1})
			list := make([]Endpoint, n)
			for i := range list {
				list[i] = Endpoint{ID: EndpointID(fmt.Sprintf("e%05d", i)), Identity: "1", Zone: "z", Group: "g", Slots: 8}
			}
			s.Update(list)
			task := Task{Kind: "k", Group: "g", DeclaredRunTime: 100 * time.Millisecond}
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				s.BeginRound()
				ep, choice := s.Pick(now, task, "")
				if choice == Start {
					s.Started(ep.ID)
					s.Ended(now+100*time.Millisecond, ep.ID, Sample{Kind: "k", DeclaredRunTime: task.DeclaredRunTime, ServiceTime: 100 * time.Millisecond, Load: 3})
				}
				now += time.Millisecond
			}
		})
	}
}

// BenchmarkEstimate measures the estimates for the admission of one job of 100 tasks, which read
// the speeds of all endpoints of its group.
func BenchmarkEstimate(b *testing.B) {
	for _, n := range []int{50, 400, 1600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := newLearnedSet(n)
			tasks := make([]Task, 100)
			for i := range tasks {
				tasks[i] = Task{Kind: "k0", Group: "g", DeclaredRunTime: 100 * time.Millisecond}
			}
			for b.Loop() {
				s.Estimate(tasks)
				s.Capacity("g")
			}
		})
	}
}

// BenchmarkMemory measures the memory held per endpoint for which three kinds were learned.
func BenchmarkMemory(b *testing.B) {
	const endpoints = 1600
	var kept *Set
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept = newLearnedSet(endpoints)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/endpoints, "B/endpoint")
	runtime.KeepAlive(kept)
}

// newLearnedSet returns a set of n endpoints with full deviation windows of three kinds.
func newLearnedSet(n int) *Set {
	s := NewSet(Options{Zone: "z", Seed: 1})
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(fmt.Sprintf("e%05d", i)), Identity: "1", Zone: "z", Group: "g", Slots: 8}
	}
	s.Update(list)
	for i := range 3 * maxWindowSamples {
		kind := fmt.Sprintf("k%d", i%3)
		for j := range list {
			s.Started(list[j].ID)
			s.Ended(time.Duration(i)*time.Second, list[j].ID, Sample{Kind: kind, ServiceTime: 100 * time.Millisecond, Load: 3})
		}
	}
	return s
}
