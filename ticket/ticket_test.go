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

// TestParseRoundTrip guards against a ticket that loses a field when it is rendered and parsed.
func TestParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawTicket(t)
		got, err := Parse(want.ID())
		if err != nil || got != want {
			t.Fatalf("got %+v, %v; want %+v", got, err, want)
		}
	})
}

// TestParseRejectsDamagedTicket guards against a truncated or mistyped ticket that is accepted as the
// ticket of another job.
func TestParseRejectsDamagedTicket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := string(drawTicket(t).ID())
		position := rapid.IntRange(0, len(id)-1).Draw(t, "at")
		replacement := rapid.SampledFrom([]byte("0123456789abcdef.-")).Draw(t, "with")
		changed := id[:position] + string(replacement) + id[position+1:]
		if changed != id {
			if _, err := Parse(ID(changed)); err == nil {
				t.Fatalf("%q was accepted in place of %q", changed, id)
			}
		}
		if _, err := Parse(ID(id[:position])); err == nil {
			t.Fatalf("the truncated ticket %q was accepted", id[:position])
		}
	})
}
