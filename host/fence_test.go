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
		s.maxFence = known << 2
		fence := s.newFence(time.Second)
		if fence <= known<<2 {
			t.Fatalf("token %d is not above %d", fence, known<<2)
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

// TestFencesStayInBounds guards against tokens that other hosts refuse, after many losses of cells, on a
// clock that is far ahead, or beside a token of another writer in the store.
func TestFencesStayInBounds(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for name, unixMillis := range map[string]int64{
		"now": 1767225600000, "2029": 1893456000000, "2100": plausibleMillis, "no clock": 0, "clock of 9999": 253402300799000, "broken clock": 1<<63 - 1 - int64(year/time.Millisecond),
	} {
		s := newTestState("h", 1)
		s.opts.UnixMillis = unixMillis
		s.Step(0, HostsDiscovered{MaxFence: fenceLimit - 1})
		s.Step(0, HostsDiscovered{MaxFence: fenceOrder(plausibleMillis) << fenceRandomBits})
		now := time.Duration(0)
		for range 100_000 {
			before := s.maxFence
			s.recordCellLoss(now)
			fence := s.newFence(now)
			if !validFence(fence) || fence <= before && unixMillis <= plausibleMillis {
				t.Fatalf("%s: the token %d follows %d", name, fence, before)
			}
			now += time.Second
		}
	}
}

// TestLossesAreForgotten guards against a host whose tokens grow by hours with each cell that it takes,
// long after its last loss.
func TestLossesAreForgotten(t *testing.T) {
	s := newTestState("h", 1)
	for range 10 {
		s.recordCellLoss(time.Second)
	}
	jumped := s.newFence(2*time.Second) >> fenceRandomBits
	later := time.Second + lossMemory + time.Second
	if growth := s.newFence(later)>>fenceRandomBits - jumped; growth != 1 {
		t.Errorf("the order part has grown by %d, want 1", growth)
	}
}

// TestFenceOrderRises guards against a change of the unit after which new tokens are lower than earlier
// ones.
func TestFenceOrderRises(t *testing.T) {
	last := int64(-1)
	for ms := int64(fenceEpochMillis); ms < plausibleMillis; ms += 24 * 3600 * 1000 {
		order := fenceOrder(ms)
		if order <= last || order-last > 24*3600*1000 {
			t.Fatalf("at %d the order part is %d after %d", ms, order, last)
		}
		last = order
	}
	if at2100 := fenceOrder(plausibleMillis); at2100 > maxFenceOrder*3/4 {
		t.Errorf("the order part of 2100 is %d of %d", at2100, maxFenceOrder)
	}
}
