package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// recordTypeSnapshot is the record type of a snapshot. A publication has an empty type.
const recordTypeSnapshot = "snapshot"

// snapshotFormat is the version of the snapshot encoding that this build reads and writes.
const snapshotFormat = 1

// snapshot is the state of a fold up to an offset. It is a record of the config stream, and
// hosts send it to each other.
type snapshot struct {
	Type      string            `json:"type"`
	Format    int               `json:"format"`
	Next      uint64            `json:"next"` // first offset that the snapshot does not cover
	Latest    uint64            `json:"latest"`
	Revisions []Revision        `json:"revisions"` // newest first, records unchanged
	Outcomes  []snapshotOutcome `json:"outcomes"`  // oldest first
	History   []Summary         `json:"history"`   // oldest first
}

// snapshotOutcome is an Outcome without its reason and winner, which follow from the rest.
type snapshotOutcome struct {
	ID       string `json:"i"`
	Accepted bool   `json:"a,omitempty"`
	Revision uint64 `json:"r"`
	Base     uint64 `json:"b"`
}

// Snapshot returns the encoded state. It returns an error if there is no revision yet.
func (f *Fold) Snapshot() ([]byte, error) {
	if f.latest == 0 {
		return nil, errors.New("there is no revision yet")
	}
	s := snapshot{Type: recordTypeSnapshot, Format: snapshotFormat, Next: f.next, Latest: f.latest, Revisions: f.snapshotRevisions()}
	for _, id := range f.outcomes.ids {
		o := f.outcomes.byID[id]
		s.Outcomes = append(s.Outcomes, snapshotOutcome{ID: o.ID, Accepted: o.Accepted, Revision: o.Revision, Base: o.Base})
	}
	s.History = f.history.summaries()
	s.History = s.History[max(len(s.History)-maxSnapshotHistory, 0):]
	return json.Marshal(&s)
}

// snapshotRevisions returns the candidates and the revision in force.
func (f *Fold) snapshotRevisions() []Revision {
	out := append([]Revision(nil), f.candidates...)
	for _, r := range out {
		if r.Number == f.inForce.Number {
			return out
		}
	}
	if f.inForce.Number > 0 {
		out = append(out, f.inForce)
	}
	return out
}

func decodeSnapshot(data []byte) (*snapshot, error) {
	s := new(snapshot)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decoding a snapshot")
	}
	if s.Type != recordTypeSnapshot || s.Format != snapshotFormat {
		return nil, errors.Newf("a snapshot of format %d cannot be read, only %d", s.Format, snapshotFormat)
	}
	if len(s.Revisions) == 0 || s.Revisions[0].Number != s.Latest {
		return nil, errors.New("a snapshot lacks its latest revision")
	}
	return s, nil
}

// Restore takes over the state of a peer's snapshot if that covers more of the log than this
// fold, and reports whether it did; otherwise the snapshot has no effect. It returns an error if
// the snapshot cannot be decoded or covers more of the log with an older revision.
func (f *Fold) Restore(data []byte) (bool, error) {
	s, err := decodeSnapshot(data)
	if err != nil {
		return false, err
	}
	if s.Next <= f.next && !f.faults.restoreOlder {
		return false, nil
	}
	if s.Latest < f.latest && !f.faults.restoreOlder {
		return false, errors.Newf("a snapshot up to offset %d has revision %d, but %d was accepted before", s.Next, s.Latest, f.latest)
	}
	f.loadSnapshot(s)
	f.seeking = f.seeking && s.Next < f.seekFirstKept
	return true, nil
}

// seekSnapshot examines a record while records before it are missing. It takes over the state
// of a snapshot if the log keeps all records that the snapshot does not cover.
func (f *Fold) seekSnapshot(offset uint64, data []byte) Outcome {
	f.seekNext = offset + 1
	env, err := decodeEnvelope(data)
	if err != nil || env.Type != recordTypeSnapshot {
		return f.ignoredOutcome("it precedes the first usable snapshot")
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return f.ignoredOutcome(err.Error())
	}
	if s.Next < f.seekFirstKept || s.Next <= f.next || s.Latest < f.latest {
		return f.ignoredOutcome("the snapshot is too old")
	}
	if f.faults.skipUncoveredRecords {
		s.Next = offset + 1
	}
	f.loadSnapshot(s)
	f.snapshotNext = max(f.snapshotNext, s.Next)
	f.seeking = false
	return Outcome{Revision: f.latest, Restored: true}
}

// advanceSnapshotNext updates snapshotNext from a snapshot in the log.
func (f *Fold) advanceSnapshotNext(data []byte) {
	if s, err := decodeSnapshot(data); err == nil && s.Next <= f.next {
		f.snapshotNext = max(f.snapshotNext, s.Next)
	}
}

// loadSnapshot replaces the state by that of a snapshot.
func (f *Fold) loadSnapshot(s *snapshot) {
	f.next, f.latest, f.candidates = s.Next, s.Latest, s.candidates()
	f.outcomes = newOutcomes()
	f.loadHistory(s)
	for _, o := range s.Outcomes {
		out := Outcome{ID: o.ID, Accepted: o.Accepted, Revision: o.Revision, Base: o.Base}
		if !o.Accepted {
			out.Winner = f.winnerOf(o.Revision)
			out.Reason = conflictReason(o.Base, o.Revision, out.Winner)
		}
		f.outcomes.add(out)
	}
	for i := len(s.Revisions) - 1; i >= 0; i-- {
		f.applyIfPossible(s.Revisions[i])
	}
}

// candidates returns the revisions of the snapshot, newest first, each with a lower schema
// version than the one before it.
func (s *snapshot) candidates() []Revision {
	var out []Revision
	for _, r := range s.Revisions {
		env, err := decodeEnvelope(r.Data)
		if err != nil || len(out) == maxCandidates || (len(out) > 0 && env.Schema >= out[len(out)-1].schema) {
			continue
		}
		r.schema = env.Schema
		out = append(out, r)
	}
	return out
}

// loadHistory adds the revisions of the snapshot that are newer than those in the history.
func (f *Fold) loadHistory(s *snapshot) {
	data := make(map[uint64][]byte, len(s.Revisions))
	for _, r := range s.Revisions {
		data[r.Number] = r.Data
	}
	newest := uint64(0)
	if n := len(f.history.entries); n > 0 {
		newest = f.history.entries[n-1].summary.Number
	}
	for _, sum := range s.History {
		if sum.Number > newest {
			f.history.add(sum, data[sum.Number])
		}
	}
}

// SnapshotNext returns the first offset that the newest snapshot in the log does not cover.
func (f *Fold) SnapshotNext() uint64 { return f.snapshotNext }

// SnapshotDue reports whether a host should append a snapshot. first is the oldest offset
// that the log keeps. A snapshot is due when the newest one in the log does not cover the last
// interval records or more, or when truncation has begun and the newest one ends in the older
// half of the records kept. It is never due while the fold itself is looking for a snapshot.
func (f *Fold) SnapshotDue(first, interval uint64) bool {
	if f.seeking || f.latest == 0 || f.next <= f.snapshotNext {
		return false
	}
	if f.next-f.snapshotNext >= interval {
		return true
	}
	if first == 0 || f.next <= first {
		return false
	}
	return f.snapshotNext < first || f.snapshotNext-first < (f.next-first)/2
}
