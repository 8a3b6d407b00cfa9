package config

import "time"

// Revision is an accepted record with its number.
type Revision struct {
	Number uint64 `json:"number"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"` // the bytes of the record, unchanged
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
	// maxHistoryEntries limits the revisions listed. At 38,000 changes a day they span 13
	// minutes; the log retains the rest.
	maxHistoryEntries = 512
	// maxHistoryBytes limits the records kept for rollback and comparison.
	maxHistoryBytes = 4 << 20
	// maxSnapshotHistory limits the summaries in a snapshot, whose size is limited.
	maxSnapshotHistory = 32
)

// historyEntry is a revision in the history.
type historyEntry struct {
	summary Summary
	data    []byte // record; nil after it was dropped to save memory
}

// history keeps the last accepted revisions, oldest first. Whether a record is accepted does
// not depend on it.
type history struct {
	entries       []historyEntry
	dataBytes     int // total size of the records kept
	firstWithData int // index of the first entry with its record
}

func (h *history) add(s Summary, data []byte) {
	h.entries = append(h.entries, historyEntry{summary: s, data: data})
	h.dataBytes += len(data)
	for h.dataBytes > maxHistoryBytes && h.firstWithData < len(h.entries)-1 {
		h.dataBytes -= len(h.entries[h.firstWithData].data)
		h.entries[h.firstWithData].data = nil
		h.firstWithData++
	}
	if len(h.entries) > maxHistoryEntries {
		h.dataBytes -= len(h.entries[0].data)
		h.entries = append(h.entries[:0:0], h.entries[1:]...)
		h.firstWithData = max(h.firstWithData-1, 0)
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
