package forward

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// Guards against callers that fill a host's memory with tickets of other hosts, and against stored
// answers that displace each other.
func TestMemoryIsBounded(t *testing.T) {
	s := New()
	for i := range maxSeen + 10 {
		tk := ticket.Ticket{Host: "h", Incarnation: ticket.Incarnation(i), Window: time.Second, MaxDeadline: time.Second, Seq: 1}
		w := dispatch.WaiterID(i + 1)
		s.Apply(0, Request{ID: tk.ID(), Ticket: tk, Operation: Await, Waiter: w})
		s.Apply(0, OwnerReplaced{Waiter: w, CurrentIncarnation: 1 << 40})
		s.Apply(0, AnswerSearched{Waiter: w})
	}
	if len(s.firstSeen) > maxSeen || len(s.goneOwners) > maxGoneOwners || len(s.pendingRequests) != 0 {
		t.Errorf("%d tickets, %d incarnations, %d requests kept", len(s.firstSeen), len(s.goneOwners), len(s.pendingRequests))
	}
	if !s.StoreAnswer(0, dispatch.Answer{ID: "a", RemainingLifetime: time.Second}, MaxStoredBytes) {
		t.Error("the first answer was refused")
	}
	if s.StoreAnswer(0, dispatch.Answer{ID: "b", RemainingLifetime: time.Second}, 1) {
		t.Error("an answer was stored beyond the limit")
	}
	s.Apply(time.Second, Tick{})
	if len(s.storedAnswers.answers) != 0 || s.storedAnswers.bytes != 0 {
		t.Errorf("%d answers, %d bytes kept after their time", len(s.storedAnswers.answers), s.storedAnswers.bytes)
	}
}
