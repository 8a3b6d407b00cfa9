package config

import "fmt"

// Outcome is the result of applying a record to a Fold.
type Outcome struct {
	ID       string  `json:"id,omitempty"`
	Accepted bool    `json:"accepted"`
	Revision uint64  `json:"revision"` // number of the record, or the latest one if it was rejected
	Base     uint64  `json:"base"`
	Reason   string  `json:"reason,omitempty"` // why it was rejected, or accepted but not applied
	Winner   *Winner `json:"winner,omitempty"` // publication of the latest revision, if the record was rejected
	// Ignored means that the record had no effect: it was applied before, lies after a gap,
	// repeats an identity or is not a publication.
	Ignored bool `json:"-"`
	// Restored means that the record was a snapshot and the fold took over its state.
	Restored bool `json:"-"`
}

// Winner is the accepted publication that a rejected one conflicts with.
type Winner struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
}

// maxOutcomes limits the outcomes remembered. A repeated append follows the first within
// seconds, and the platform sustains several hundred appends a second.
const maxOutcomes = 1024

// outcomes holds the outcomes of the last publications. It is part of snapshots, because a
// publication that repeats an identity is ignored, and all hosts must ignore the same ones.
// For the same reason it depends on nothing but the log.
type outcomes struct {
	byID map[string]Outcome
	ids  []string // keys of byID, oldest first
}

func newOutcomes() outcomes { return outcomes{byID: make(map[string]Outcome)} }

func (o *outcomes) add(out Outcome) {
	o.byID[out.ID] = out
	o.ids = append(o.ids, out.ID)
	if len(o.ids) > maxOutcomes {
		delete(o.byID, o.ids[0])
		o.ids = append(o.ids[:0:0], o.ids[1:]...)
	}
}

// conflictReason explains why a record was rejected and what its publisher can do.
func conflictReason(base uint64, current uint64, w *Winner) string {
	switch {
	case current == 0:
		return fmt.Sprintf("it is based on revision %d, but none has been published yet; publish it with base 0", base)
	case base > current:
		return fmt.Sprintf("it is based on revision %d, but the current one is %d; publish it again based on %d", base, current, current)
	case w == nil:
		return fmt.Sprintf("it is based on revision %d, but revision %d was current; %s", base, current, rebaseHint(current))
	}
	return fmt.Sprintf("it is based on revision %d, but %s has published revision %d (%s); %s",
		base, w.Author, w.Revision, w.Reason, rebaseHint(current))
}

func rebaseHint(current uint64) string {
	return fmt.Sprintf("compare with revision %d, merge the changes and publish again based on the current revision", current)
}
