package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// afterStartup is a time at which every host has listened long enough to take a cell.
const afterStartup = time.Minute

func newState(self Host) *State { return New(0, self) }

// TestStrongestHostTakesCell guards against a cell commanded by a host that is too small for it.
func TestStrongestHostTakesCell(t *testing.T) {
	small := Host{Name: "small", Zone: "z", ID: 1, Weight: 144}
	large := Host{Name: "large", Zone: "z", ID: 2, Weight: 800}
	if d, ok := newState(small).Decide(afterStartup, "z", []Host{large}); ok {
		t.Errorf("the small host decides %+v", d)
	}
	if d, ok := newState(large).Decide(afterStartup, "z", []Host{small}); !ok || d.Kind != TakeCell {
		t.Errorf("the large host decides %+v, %v", d, ok)
	}
}

// TestHandOverToStrongerHost guards against a cell that stays with a small host after a large one
// has returned.
func TestHandOverToStrongerHost(t *testing.T) {
	s := newState(Host{Name: "small", Zone: "z", ID: 1, Weight: 144})
	large := Host{Name: "large", Zone: "z", ID: 2, Weight: 800}
	s.RecordTake(0, "z", 5)
	if d, ok := s.Decide(afterStartup, "z", []Host{large}); ok {
		t.Errorf("handed over before the large host was heard for minHandOverAge: %+v", d)
	}
	large.Age = 10 * time.Second
	d, ok := s.Decide(afterStartup, "z", []Host{large})
	if !ok || d.Kind != HandOver {
		t.Errorf("got %+v, %v", d, ok)
	}
	equal := Host{Name: "equal", Zone: "z", ID: 3, Weight: 150, Age: time.Minute}
	if d, ok := s.Decide(afterStartup, "z", []Host{equal}); ok {
		t.Errorf("handed over to a host of similar size: %+v", d)
	}
}

// TestHostReturningFromPartitionGivesUp guards against a host that returns from a network partition
// and takes the cell away from the host that the workers obey.
func TestHostReturningFromPartitionGivesUp(t *testing.T) {
	s := newState(Host{Name: "a", Zone: "z", ID: 1})
	s.RecordTake(0, "z", 9)
	other := Host{Name: "b", Zone: "z", ID: 2, Claims: []Claim{{Cell: "z", Fence: 5, CommandedCount: 16}}}
	if d, ok := s.Decide(afterStartup, "z", []Host{other}); !ok || d.Kind != GiveUp {
		t.Errorf("got %+v, %v", d, ok)
	}
}

// TestIsolatedHostDoesNotRetake guards against a host that is cut off from the others and
// repeatedly takes its workers back from a host that is not.
func TestIsolatedHostDoesNotRetake(t *testing.T) {
	s := newState(Host{Name: "a", Zone: "z", ID: 1})
	s.RecordTake(0, "z", 9)
	s.RecordLoss(afterStartup, "z")
	if d, ok := s.Decide(afterStartup+retakeDelay+1, "z", nil); ok {
		t.Errorf("took the cell back while alone: %+v", d)
	}
	b := Host{Name: "b", Zone: "y", ID: 2}
	if d, ok := s.Decide(afterStartup+retakeDelay+1, "z", []Host{b}); !ok || d.Kind != TakeCell {
		t.Errorf("got %+v, %v", d, ok)
	}
}

// TestIsolatedHostWaitsForLargerOne guards against a host that hears no other one, because it is
// cut off or short of processor time, and takes the cell away from a larger one.
func TestIsolatedHostWaitsForLargerOne(t *testing.T) {
	s := newState(Host{Name: "small", Zone: "z", ID: 1, Weight: 144})
	large := Host{Name: "large", Zone: "z", ID: 2, Weight: 800}
	s.Decide(afterStartup, "z", []Host{large})
	if d, ok := s.Decide(afterStartup+time.Second, "z", nil); ok {
		t.Errorf("took the cell after a second of silence: %+v", d)
	}
	if _, ok := s.Decide(afterStartup+isolatedTakeDelay+time.Second, "z", nil); !ok {
		t.Error("never takes the cell of a zone that is cut off without its commander")
	}
	s.RecordKnownHost("z", 800)
	if d, ok := s.Decide(afterStartup+isolatedTakeDelay+time.Second, "z", nil); ok {
		t.Errorf("took the cell of a much larger host after seconds of silence: %+v", d)
	}
	if _, ok := newState(Host{Name: "only", Zone: "z", ID: 1}).Decide(afterStartup, "z", nil); !ok {
		t.Error("the only host of a deployment does not take the cell")
	}
}

// TestSmallHostWaitsForLarge guards against a small host that takes a cell after all processes have
// restarted, shortly before the larger host is heard.
func TestSmallHostWaitsForLarge(t *testing.T) {
	s := newState(Host{Name: "small", Zone: "z", ID: 1, Weight: 144})
	s.RecordKnownHost("z", 800)
	other := Host{Name: "other", Zone: "z", ID: 2, Weight: 100}
	if d, ok := s.Decide(listenTime, "z", []Host{other}); ok {
		t.Errorf("took the cell at once: %+v", d)
	}
	if _, ok := s.Decide(largerHostListenTime, "z", []Host{other}); !ok {
		t.Error("never takes the cell")
	}
}

// TestSmallHostListensLonger guards against a small host that takes a cell because it is the first to
// start and has heard nobody. With 110 workers and 146 hosts to serve it got no processor time for
// anything else, and never recovered.
func TestSmallHostListensLonger(t *testing.T) {
	s := newState(Host{Name: "small", Zone: "z", ID: 1, Weight: 144})
	if _, ok := s.Decide(listenTime+time.Millisecond, "z", nil); ok {
		t.Error("the small host takes the cell at once")
	}
	if _, ok := s.Decide(largerHostListenTime+time.Millisecond, "z", nil); !ok {
		t.Error("the small host does not take the cell of a zone without another host")
	}
}

// TestRetriesSoonAfterFailedTake guards against a zone without service for seconds because its
// workers have seen a fencing token that no live host knows.
func TestRetriesSoonAfterFailedTake(t *testing.T) {
	s := newState(Host{Name: "a", Zone: "z", ID: 1})
	b := []Host{{Name: "b", Zone: "y", ID: 2}}
	now := afterStartup
	tries := 0
	for ; now < afterStartup+2*time.Second; now += 50 * time.Millisecond {
		if d, ok := s.Decide(now, "z", b); ok && d.Kind == TakeCell {
			tries++
			s.RecordTake(now, "z", int64(tries))
			s.RecordLoss(now+20*time.Millisecond, "z")
		}
	}
	if tries < 4 || tries > 8 {
		t.Errorf("%d attempts in 2 s", tries)
	}
}

// TestZoneIsDividedBySize guards against a host that commands more workers than it can handle, and
// against a division that changes back and forth whenever a worker joins or leaves.
func TestZoneIsDividedBySize(t *testing.T) {
	claims := func(parts int) []Claim { return []Claim{{Cell: fleet.NewCell("z", 0, parts)}} }
	for _, c := range []struct {
		workers   int
		announced []Claim
		want      int
	}{
		{0, nil, 1}, {100, nil, 1}, {101, nil, 2}, {250, nil, 3}, {1000, nil, 10},
		{101, claims(1), 1}, // kept while workers are replaced by others
		{130, claims(1), 1},
		{131, claims(1), 2}, // too many for one host
		{80, claims(2), 2},  // kept
		{59, claims(2), 1},  // far too few for two
		{250, claims(4), 4}, // kept, though three would do
		{0, claims(3), 3},   // no worker known: whoever announces knows better
		{90, claims(12), 1}, // announced by a host with an old view
		{190, claims(2), 2}, // fits
		{260, claims(2), 2}, // kept
		{261, claims(2), 3}, // too many
		{1000, claims(7), 10},
	} {
		if got := Parts(c.workers, 100, c.announced); got != c.want {
			t.Errorf("%d workers, announced %v: %d cells, want %d", c.workers, c.announced, got, c.want)
		}
	}
}

// TestCellsSpreadOverHosts guards against a host that takes all cells of its zone while others of
// the same size have none.
func TestCellsSpreadOverHosts(t *testing.T) {
	hosts := []Host{{Name: "a", Zone: "z", ID: 1, Weight: 800}, {Name: "b", Zone: "z", ID: 2, Weight: 800}, {Name: "c", Zone: "z", ID: 3, Weight: 144}}
	states := make([]*State, len(hosts))
	for i, h := range hosts {
		states[i] = newState(h)
	}
	for round := range 10 {
		for i, s := range states {
			for part := range 4 {
				cell := fleet.NewCell("z", part, 4)
				others := append(slices.Clone(hosts[:i]), hosts[i+1:]...)
				if d, ok := s.Decide(afterStartup+time.Duration(round)*time.Second, cell, others); ok && d.Kind == TakeCell {
					s.RecordTake(afterStartup, cell, 1)
				}
			}
			hosts[i].Claims = nil
			for _, c := range s.Claims() {
				hosts[i].Claims = append(hosts[i].Claims, *c)
			}
		}
	}
	if a, b, c := len(states[0].Claims()), len(states[1].Claims()), len(states[2].Claims()); a != 2 || b != 2 || c != 0 {
		t.Errorf("hosts of 800, 800 and 144 have %d, %d and %d of 4 cells", a, b, c)
	}
}

// TestCellNames guards against a cell name that another host reads as a different cell.
func TestCellNames(t *testing.T) {
	for _, c := range []struct {
		cell  fleet.Cell
		zone  string
		parts int
	}{
		{fleet.NewCell("north", 0, 1), "north", 1},
		{fleet.NewCell("north", 2, 3), "north", 3},
		{"a:b", "a:b", 1},
		{fleet.NewCell("a:b", 1, 2), "a:b", 2},
	} {
		if c.cell.Zone() != c.zone || c.cell.Parts() != c.parts {
			t.Errorf("%s: zone %q, %d parts", c.cell, c.cell.Zone(), c.cell.Parts())
		}
	}
	seen := make(map[fleet.Cell]int)
	for i := range 300 {
		seen[CellOf("north", fmt.Sprint("worker", i), 3)]++
	}
	for part := range 3 {
		if n := seen[fleet.NewCell("north", part, 3)]; n < 75 || n > 125 {
			t.Errorf("part %d of 3 has %d of 300 workers", part, n)
		}
	}
}
