package ticket

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawTicket(t *rapid.T) Ticket {
	return Ticket{
		Host:        rapid.StringMatching(`[a-z0-9-]{1,63}`).Draw(t, "host"),
		Incarnation: Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		Window:      time.Duration(rapid.Int64Range(0, 86_400_000).Draw(t, "window")) * time.Millisecond,
		MaxDeadline: time.Duration(rapid.Int64Range(0, 86_400_000).Draw(t, "deadline")) * time.Millisecond,
		Seq:         rapid.Uint64().Draw(t, "seq"),
	}
}

// TestRoundTrip guards against a ticket that loses a field on its way to another host.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawTicket(t)
		got, err := Parse(want.ID())
		if err != nil || got != want {
			t.Fatalf("got %+v, %v; want %+v", got, err, want)
		}
	})
}

// TestDamaged guards against a truncated or mistyped ticket that is taken for another job.
func TestDamaged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := string(drawTicket(t).ID())
		at := rapid.IntRange(0, len(id)-1).Draw(t, "at")
		with := rapid.SampledFrom([]byte("0123456789abcdef.-")).Draw(t, "with")
		changed := id[:at] + string(with) + id[at+1:]
		if changed != id {
			if _, err := Parse(ID(changed)); err == nil {
				t.Fatalf("%q was accepted in place of %q", changed, id)
			}
		}
		if _, err := Parse(ID(id[:at])); err == nil {
			t.Fatalf("the truncated ticket %q was accepted", id[:at])
		}
	})
}
