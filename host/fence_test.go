package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// newTestState returns a host of a zone without workers.
func newTestState(name string, id uint64) *State {
	return New(Options{
		Self:       Self{Name: name, Zone: "z", Addr: "127.0.0.1:1", ID: id, Weight: 400},
		Zones:      []string{"z"},
		Seed:       id,
		UnixMillis: 1767225600000,
		Decode: Decoders{
			Config: func([]byte) (*fleet.Config, error) { return nil, nil },
			Worker: func(id string, _ []byte) (fleet.Worker, error) { return fleet.Worker{ID: id, Zone: "z"}, nil },
		},
	})
}

// TestFencingTokensAreUnique guards against two hosts that know the same highest token and take a
// cell at the same time with equal tokens. A worker would obey both, and each host would count only
// its own tasks against the worker's capacity.
func TestFencingTokensAreUnique(t *testing.T) {
	const known = 1824261241136128 | 1<<10 - 1
	seen := make(map[int64]uint64)
	for id := uint64(1); id <= 50; id++ {
		s := newTestState("h", id)
		s.maxFence = known << 6
		fence := s.newFence(time.Second)
		if fence <= known<<6 {
			t.Fatalf("token %d is not above %d", fence, known<<6)
		}
		if other, ok := seen[fence]; ok {
			t.Fatalf("hosts %d and %d have the same token %d", other, id, fence)
		}
		seen[fence] = id
	}
}

// TestNewTokenIsAboveTokensOfLostProcesses guards against a deployment that cannot command its
// workers after all its processes were lost: the workers have seen tokens that no live process
// knows, and refuse lower ones.
func TestNewTokenIsAboveTokensOfLostProcesses(t *testing.T) {
	s := newTestState("h", 1)
	seen := s.newFence(0) + 1<<40
	s.Step(time.Second, HostsDiscovered{MaxFence: seen})
	announced := int64(0)
	for now := time.Second; now < 2*time.Second; now += 100 * time.Millisecond {
		for _, e := range s.Step(now, Tick{}) {
			if a, ok := e.(AnnounceFence); ok {
				announced = a.Fence
			}
		}
	}
	if announced <= seen {
		t.Fatalf("the token %d was announced for a cell; workers have seen %d", announced, seen)
	}
}
