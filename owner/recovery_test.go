package owner

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// TestNewProcessTakesCellsSooner guards against cells that stay without a commander after a loss of all
// hosts for as long as a new process listens, and against a process that takes cells before it can have
// heard of a live commander.
func TestNewProcessTakesCellsSooner(t *testing.T) {
	other := Host{Name: "b", Zone: "z", ID: 2, Weight: 400}
	for _, c := range []struct {
		all, restarts bool
		earliest      time.Duration
	}{{false, false, listenTime}, {false, true, restartListenTime}, {true, false, minListenTime}, {true, true, minListenTime}} {
		s := newState(Host{Name: "a", Zone: "z", ID: 1, Weight: 800})
		s.RecordZoneHeard(c.all, c.restarts)
		if d, ok := s.Decide(c.earliest-1, "z", []Host{other}); ok {
			t.Errorf("%+v: decided %+v too early", c, d)
		}
		if d, ok := s.Decide(c.earliest, "z", []Host{other}); !ok || d.Kind != TakeCell {
			t.Errorf("%+v: got %+v, %v, want the cell taken", c, d, ok)
		}
	}
	small := newState(Host{Name: "a", Zone: "z", ID: 1, Weight: 192})
	small.RecordZoneHeard(false, true)
	if d, ok := small.Decide(listenTime, "z", []Host{other}); ok {
		t.Errorf("a small host does not wait for a larger one: %+v", d)
	}
}

// TestHandOverOfOneCell guards against two equal hosts that hand all cells of a zone back and forth: each
// has two cells and the other none, so that the other one looks twice as strong for both.
func TestHandOverOfOneCell(t *testing.T) {
	s := newState(Host{Name: "a", Zone: "z", ID: 1, Weight: 800})
	other := Host{Name: "b", Zone: "z", ID: 2, Weight: 800, Age: time.Minute}
	cells := []fleet.Cell{fleet.NewCell("z", 0, 2), fleet.NewCell("z", 1, 2)}
	for _, c := range cells {
		s.RecordTake(0, c, 5)
	}
	if d, ok := s.Decide(afterStartup, cells[0], []Host{other}); !ok || d.Kind != HandOver {
		t.Fatalf("got %+v, %v, want one cell handed over", d, ok)
	}
	s.StartHandOver(cells[0])
	if d, ok := s.Decide(afterStartup, cells[1], []Host{other}); ok {
		t.Errorf("the second cell: %+v, want it kept", d)
	}
}
