package config

import "time"

// Revision is an accepted record with its number.
type Revision struct {
	Number uint64 `json:"number"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"` // the record's bytes, unchanged
	schema int
}

// Summary describes a revision without its text.
type Summary struct {
	Number uint64    `json:"number"`
	Offset uint64    `json:"offset"`
	ID     string    `json:"id"`
	Schema int       `json:"schema"`
	Base   uint64    `json:"base"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"`
}

const (
	// maxHistory bounds the revisions listed; at 38,000 changes a day it is 13 minutes,
	// and the log retains the rest.
	maxHistory = 512
	// maxHistoryBytes bounds the texts kept for rollback and comparison.
	maxHistoryBytes = 4 << 20
	// snapshotHistory bounds the summaries in a snapshot, whose size is limited.
	snapshotHistory = 32
)

type historyEntry struct {
	summary Summary
	data    []byte // nil once dropped
}

// history keeps the last accepted revisions, oldest first. No decision depends on it.
type history struct {
	entries []historyEntry
	bytes   int
	kept    int // index of the first entry with data
}

func (h *history) add(s Summary, data []byte) {
	h.entries = append(h.entries, historyEntry{summary: s, data: data})
	h.bytes += len(data)
	for h.bytes > maxHistoryBytes && h.kept < len(h.entries)-1 {
		h.bytes -= len(h.entries[h.kept].data)
		h.entries[h.kept].data = nil
		h.kept++
	}
	if len(h.entries) > maxHistory {
		h.bytes -= len(h.entries[0].data)
		h.entries = append(h.entries[:0:0], h.entries[1:]...)
		h.kept = max(h.kept-1, 0)
	}
}

func (h *history) find(number uint64) (historyEntry, bool) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].summary.Number == number {
			return h.entries[i], true
		}
	}
	return historyEntry{}, false
}

func (h *history) summaries() []Summary {
	out := make([]Summary, len(h.entries))
	for i := range h.entries {
		out[i] = h.entries[i].summary
	}
	return out
}
