package place

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick gives the cost of one choice against the number of endpoints of a group.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 400, 1600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := NewSet(Options{Zone: "z", Seed: 1})
			list := make([]Endpoint, n)
			for i := range list {
				list[i] = Endpoint{ID: EndpointID(fmt.Sprintf("e%05d", i)), Identity: "1", Zone: "z", Group: "g", Slots: 8}
			}
			s.Update(list)
			task := Task{Kind: "k", Group: "g", Run: 100 * time.Millisecond}
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				s.BeginRound()
				ep, choice := s.Pick(now, task, "")
				if choice == Start {
					s.Started(ep.ID)
					s.Ended(now+100*time.Millisecond, ep.ID, Sample{Kind: "k", Run: task.Run, Service: 100 * time.Millisecond, Load: 3})
				}
				now += time.Millisecond
			}
		})
	}
}
