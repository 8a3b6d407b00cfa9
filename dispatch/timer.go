package dispatch

import (
	"container/heap"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

type timerKind uint8

const (
	timerDeadline timerKind = iota + 1
	timerExpiry
)

type timer struct {
	dueAt time.Duration
	kind  timerKind
	id    ticket.ID
}

// timerHeap is a min-heap of timers by due time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (s *State) setTimer(dueAt time.Duration, kind timerKind, id ticket.ID) {
	heap.Push(&s.timers, timer{dueAt: dueAt, kind: kind, id: id})
}

// mintResolution is the minimum distance of recorded mint times. A ticket may count as minted up to
// this much earlier than it was, which only shortens its window and lifetime.
const mintResolution = 100 * time.Millisecond

// maxMintEntries bounds the mint log to the entries of one day. Tickets without an entry count as
// expired.
const maxMintEntries = int(24 * time.Hour / mintResolution)

// mintLog records when the tickets of this incarnation were minted.
type mintLog struct {
	entries    []mintEntry // by ascending sequence number
	highestSeq uint64      // of all minted tickets
}

// mintEntry holds the mint time of tickets from firstSeq on, up to the next entry.
type mintEntry struct {
	firstSeq uint64
	at       time.Duration
}

func (m *mintLog) record(now time.Duration, firstSeq, lastSeq uint64) {
	m.highestSeq = lastSeq
	if n := len(m.entries); n > 0 && now-m.entries[n-1].at < mintResolution {
		return
	}
	m.entries = append(m.entries, mintEntry{firstSeq: firstSeq, at: now})
	if len(m.entries) > maxMintEntries {
		m.entries = append(m.entries[:0], m.entries[len(m.entries)/2:]...)
	}
}

// mintedAt returns when the ticket with this sequence number was minted, or false if no
// entry covers it any more.
func (m *mintLog) mintedAt(seq uint64) (time.Duration, bool) {
	i := sort.Search(len(m.entries), func(i int) bool { return m.entries[i].firstSeq > seq })
	if i == 0 {
		return 0, false
	}
	return m.entries[i-1].at, true
}
