package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func open(t *testing.T, l *Ledger, now time.Duration, sender string) ID {
	t.Helper()
	id, _, ok := l.Open(now, sender)
	if !ok {
		t.Fatal("a connection was refused")
	}
	return id
}

// TestSlowestIsDropped guards against a crowd that stalls and keeps ordinary callers out: the requests
// that stand still go first, then idle connections, then slow senders, and running requests never.
func TestSlowestIsDropped(t *testing.T) {
	l := NewLedger(Limits{Connections: 4, Bytes: 1000})
	ids := map[string]ID{}
	for _, name := range []string{"running", "slow", "idle", "stalled"} {
		ids[name] = open(t, l, 0, "a")
		l.Receive(0, ids[name], 10)
	}
	l.Enter(0, ids["running"], Running)
	l.Enter(0, ids["idle"], Idle)
	l.Receive(2*second, ids["slow"], 10)
	for _, want := range []string{"stalled", "idle", "slow"} {
		now := 2*second + minAge/2
		if want == "slow" {
			now += minAge
		}
		id, drop, ok := l.Open(now, "b")
		if !ok || len(drop) != 1 || drop[0] != ids[want] {
			t.Fatalf("%v is dropped, want the %s one (%d)", drop, want, ids[want])
		}
		l.Close(drop[0])
		l.Enter(now, id, Running)
	}
	if _, drop, ok := l.Open(10*second, "b"); ok {
		t.Errorf("a connection is admitted although all requests run; dropped: %v", drop)
	}
}

// TestMemoryIsFreedForFaster guards against a request that is refused while stalled ones hold the
// memory, and against memory that is given away before it is free.
func TestMemoryIsFreedForFaster(t *testing.T) {
	l := NewLedger(Limits{Connections: 10, Bytes: 1000})
	stalled, fast := open(t, l, 0, "a"), open(t, l, second, "a")
	l.Receive(0, stalled, 900)
	if _, ok := l.Grow(0, stalled, 900); !ok {
		t.Fatal("memory is refused although it is free")
	}
	l.Receive(second, fast, 100)
	drop, ok := l.Grow(second, fast, 200)
	if ok || len(drop) != 1 || drop[0] != stalled {
		t.Fatalf("reserved %v, dropped %v", ok, drop)
	}
	if drop, ok := l.Grow(second, fast, 200); ok || len(drop) != 0 {
		t.Fatalf("before the memory is free: reserved %v, dropped %v", ok, drop)
	}
	l.Close(stalled)
	if _, ok := l.Grow(second, fast, 200); !ok {
		t.Error("memory is refused after the stalled request was closed")
	}
}

// TestSenderShare guards against one sender that takes all connections from the others, and against a
// share that binds where one address stands for all callers.
func TestSenderShare(t *testing.T) {
	l := NewLedger(Limits{Connections: 16, Bytes: 1000})
	for range 16 {
		l.Enter(0, open(t, l, 0, "only"), Running)
	}
	l = NewLedger(Limits{Connections: 16, Bytes: 1000})
	for range 2 {
		l.Enter(0, open(t, l, 0, "other"), Running)
	}
	for range 12 {
		l.Enter(0, open(t, l, 0, "many"), Running)
	}
	if _, _, ok := l.Open(0, "many"); ok {
		t.Error("the sender with most connections gets another one")
	}
	open(t, l, 0, "other")
}

// TestTimeLimits guards against requests that never end, and against senders inside the limits that are
// closed: one that sends at the minimum rate, and one that waits for its answer.
func TestTimeLimits(t *testing.T) {
	l := NewLedger(Limits{
		Connections: 10, Bytes: 1000, HeaderTimeout: 3 * second, IdleTimeout: 60 * second, AnswerTimeout: 15 * second,
		MinRate: 100, RateWindow: 10 * second,
	})
	silent, header, slow, steady, running, unread := open(t, l, 0, "a"), open(t, l, 0, "a"), open(t, l, 0, "a"), open(t, l, 0, "a"), open(t, l, 0, "a"), open(t, l, 0, "a")
	for _, id := range []ID{header, slow, steady, running, unread} {
		l.Receive(0, id, 1)
	}
	l.Enter(0, slow, Body)
	l.Enter(0, steady, Body)
	l.Enter(0, running, Running)
	l.Enter(0, unread, Answered)
	closed := map[ID]time.Duration{}
	for now := second; now <= 100*second; now += second {
		l.Receive(now, header, 1)
		l.Receive(now, slow, 90)
		l.Receive(now, steady, 100)
		for _, id := range l.Expire(now) {
			closed[id] = now
			l.Close(id)
		}
	}
	want := map[ID]time.Duration{silent: 3 * second, header: 3 * second, slow: 10 * second, unread: 15 * second}
	if fmt.Sprint(closed) != fmt.Sprint(want) {
		t.Errorf("closed %v, want %v", closed, want)
	}
}

// TestAccount guards against memory or connections that are never given back, and against reservations
// beyond the limits, over any order of events.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: 5, Bytes: 100, HeaderTimeout: second, IdleTimeout: second, AnswerTimeout: second, MinRate: 10, RateWindow: second}
		l := NewLedger(limits)
		held := map[ID]int64{}
		var now time.Duration
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			var drop []ID
			id := ID(rapid.IntRange(0, 12).Draw(t, "id"))
			n := int64(rapid.IntRange(0, 60).Draw(t, "n"))
			_, known := held[id]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				var admitted bool
				if id, drop, admitted = l.Open(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "sender")); admitted {
					held[id] = 0
				}
			case 1:
				l.Receive(now, id, int(n))
			case 2:
				var ok bool
				if drop, ok = l.Grow(now, id, n); ok {
					held[id] += n
				}
			case 3:
				if l.Release(id, n); known {
					held[id] -= min(n, held[id])
				}
			case 4:
				l.Enter(now, id, Phase(rapid.IntRange(0, int(Idle)).Draw(t, "phase")))
			case 5:
				drop = l.Expire(now)
			case 6:
				l.Close(id)
				delete(held, id)
			}
			for _, id := range drop {
				if _, ok := held[id]; !ok {
					t.Fatalf("connection %d is dropped twice", id)
				}
				l.Close(id)
				delete(held, id)
			}
			var sum int64
			for _, n := range held {
				sum += n
			}
			if s := l.Stats(); s.Bytes != sum || s.Bytes > limits.Bytes || s.Connections != len(held) || s.Connections > limits.Connections || l.leaving != 0 || l.closing != 0 {
				t.Fatalf("%+v with %d leaving and %d closing; %d connections hold %d", s, l.leaving, l.closing, len(held), sum)
			}
		}
	})
}
