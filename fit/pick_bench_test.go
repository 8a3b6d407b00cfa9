package fit

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/place"
)

// BenchmarkPick measures one choice of a worker by the number of workers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 800, 16000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := New(Options{Zone: "z", Seed: 1})
			list := make([]place.Endpoint, n)
			for i := range list {
				list[i] = place.Endpoint{
					ID: place.EndpointID(fmt.Sprintf("w%05d", i)), Identity: "1", Zone: "z", Group: "g", Worker: true,
					Capacity: place.Size{Cores: 64, MemoryMB: 131072, Accelerators: 1}, Rack: fmt.Sprintf("r%04d", i/8),
				}
			}
			s.Update(list)
			now := time.Second
			index := 0
			b.ReportAllocs()
			for b.Loop() {
				task := place.Task{Kind: "k", Group: "g", Job: "j", Index: index, Size: place.Size{Cores: 1, MemoryMB: 512}}
				ep, choice := s.Pick(now, task, "")
				if choice == place.Start {
					s.Started(ep.ID, task)
					s.Ended(now, ep.ID, task, place.Sample{Kind: "k", ServiceTime: time.Second})
				}
				now += time.Millisecond
				index++
			}
		})
	}
}
