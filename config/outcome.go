package config

import "fmt"

// Outcome says what the fold did with a record.
type Outcome struct {
	ID       string  `json:"id,omitempty"`
	Accepted bool    `json:"accepted"`
	Revision uint64  `json:"revision"` // number that the record got, or the current one if it was rejected
	Base     uint64  `json:"base"`
	Reason   string  `json:"reason,omitempty"` // why it was rejected, or accepted but not applied
	Winner   *Winner `json:"winner,omitempty"` // who published the current revision, if the record was rejected
	// Ignored means that the fold took no notice of the record: it was applied before,
	// lies beyond a gap, repeats an identity or is no publication.
	Ignored bool `json:"-"`
	// Restored means that the record was a snapshot that the fold took over.
	Restored bool `json:"-"`
}

// Winner is the publication that took the place of a rejected one.
type Winner struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
}

// maxOutcomes bounds the outcomes that are remembered. A repeated append follows the first
// within seconds, and the platform sustains several hundred appends a second.
const maxOutcomes = 1024

// outcomes remembers what became of the last publications. It depends on the log alone
// and is part of snapshots, because a repeated identity is ignored.
type outcomes struct {
	byID  map[string]Outcome
	order []string // oldest first
}

func newOutcomes() outcomes { return outcomes{byID: make(map[string]Outcome)} }

func (o *outcomes) add(out Outcome) {
	o.byID[out.ID] = out
	o.order = append(o.order, out.ID)
	if len(o.order) > maxOutcomes {
		delete(o.byID, o.order[0])
		o.order = append(o.order[:0:0], o.order[1:]...)
	}
}

// conflict explains a rejection and how to go on.
func conflict(base uint64, current uint64, w *Winner) string {
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
