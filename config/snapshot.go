package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// typeSnapshot is the record type of a snapshot. A publication has none.
const typeSnapshot = "snapshot"

// snapshotFormat is the version of the snapshot's encoding that this build reads.
const snapshotFormat = 1

// snapshot is the state of a fold up to an offset, as a record of the config stream and
// in messages between hosts.
type snapshot struct {
	Type      string        `json:"type"`
	Format    int           `json:"format"`
	Next      uint64        `json:"next"` // first offset that it does not cover
	Latest    uint64        `json:"latest"`
	Revisions []Revision    `json:"revisions"` // newest first, bytes unchanged
	Outcomes  []seenOutcome `json:"outcomes"`  // oldest first
	History   []Summary     `json:"history"`   // oldest first
}

// seenOutcome is an Outcome without the sentence, which follows from the rest.
type seenOutcome struct {
	ID       string `json:"i"`
	Accepted bool   `json:"a,omitempty"`
	Revision uint64 `json:"r"`
	Base     uint64 `json:"b"`
}

// Snapshot returns the encoded state. It fails if there is no revision yet, or while the
// fold is looking for a snapshot itself.
func (f *Fold) Snapshot() ([]byte, error) {
	if f.latest == 0 {
		return nil, errors.New("there is no revision yet")
	}
	s := snapshot{Type: typeSnapshot, Format: snapshotFormat, Next: f.next, Latest: f.latest, Revisions: f.snapshotRevisions()}
	for _, id := range f.outcomes.order {
		o := f.outcomes.byID[id]
		s.Outcomes = append(s.Outcomes, seenOutcome{ID: o.ID, Accepted: o.Accepted, Revision: o.Revision, Base: o.Base})
	}
	s.History = f.history.summaries()
	s.History = s.History[max(len(s.History)-snapshotHistory, 0):]
	return json.Marshal(&s)
}

// snapshotRevisions returns the frontier and the revision in force.
func (f *Fold) snapshotRevisions() []Revision {
	out := append([]Revision(nil), f.frontier...)
	for _, r := range out {
		if r.Number == f.applied.Number {
			return out
		}
	}
	if f.applied.Number > 0 {
		out = append(out, f.applied)
	}
	return out
}

func decodeSnapshot(data []byte) (*snapshot, error) {
	s := new(snapshot)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decoding a snapshot")
	}
	if s.Type != typeSnapshot || s.Format != snapshotFormat {
		return nil, errors.Newf("a snapshot of format %d cannot be read, only %d", s.Format, snapshotFormat)
	}
	if len(s.Revisions) == 0 || s.Revisions[0].Number != s.Latest {
		return nil, errors.New("a snapshot lacks its latest revision")
	}
	return s, nil
}

// Restore takes over a snapshot of a peer and reports whether it was ahead. A fold never
// goes back: a snapshot that covers no more of the log than the fold has no effect.
func (f *Fold) Restore(data []byte) (bool, error) {
	s, err := decodeSnapshot(data)
	if err != nil {
		return false, err
	}
	if s.Next <= f.next && !f.test.acceptOlder {
		return false, nil
	}
	if s.Latest < f.latest && !f.test.acceptOlder {
		return false, errors.Newf("a snapshot up to offset %d has revision %d, but %d was accepted before", s.Next, s.Latest, f.latest)
	}
	f.load(s)
	f.seeking = f.seeking && s.Next < f.seekFrom
	return true, nil
}

// seek looks at a record while records before it are missing. A snapshot counts if the
// records that follow its state are all kept.
func (f *Fold) seek(offset uint64, data []byte) Outcome {
	f.scan = offset + 1
	env, err := decodeEnvelope(data)
	if err != nil || env.Type != typeSnapshot {
		return f.ignored("it precedes the first usable snapshot")
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return f.ignored(err.Error())
	}
	if s.Next < f.seekFrom || s.Next <= f.next || s.Latest < f.latest {
		return f.ignored("the snapshot is too old")
	}
	if f.test.skipRecords {
		s.Next = offset + 1
	}
	f.load(s)
	f.snapshotAt = max(f.snapshotAt, s.Next)
	f.seeking = false
	return Outcome{Revision: f.latest, Restored: true}
}

// noteSnapshot remembers how far the snapshots in the log reach.
func (f *Fold) noteSnapshot(data []byte) {
	if s, err := decodeSnapshot(data); err == nil && s.Next <= f.next {
		f.snapshotAt = max(f.snapshotAt, s.Next)
	}
}

func (f *Fold) load(s *snapshot) {
	f.next, f.latest, f.frontier = s.Next, s.Latest, s.frontier()
	f.outcomes = newOutcomes()
	f.loadHistory(s)
	for _, o := range s.Outcomes {
		out := Outcome{ID: o.ID, Accepted: o.Accepted, Revision: o.Revision, Base: o.Base}
		if !o.Accepted {
			out.Winner = f.winner(o.Revision)
			out.Reason = conflict(o.Base, o.Revision, out.Winner)
		}
		f.outcomes.add(out)
	}
	for i := len(s.Revisions) - 1; i >= 0; i-- {
		f.apply(s.Revisions[i])
	}
}

// frontier returns the revisions of the snapshot that keep falling in schema version.
func (s *snapshot) frontier() []Revision {
	var out []Revision
	for _, r := range s.Revisions {
		env, err := decodeEnvelope(r.Data)
		if err != nil || len(out) == maxFrontier || (len(out) > 0 && env.Schema >= out[len(out)-1].schema) {
			continue
		}
		r.schema = env.Schema
		out = append(out, r)
	}
	return out
}

// loadHistory adds the snapshot's revisions to those that the fold holds already.
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

// SnapshotAt returns the offset after which the newest snapshot in the log continues.
func (f *Fold) SnapshotAt() uint64 { return f.snapshotAt }

// SnapshotDue reports whether a host should append a snapshot. first is the oldest offset
// that the log keeps. It is due when the number of records since the newest snapshot has
// reached every, or when truncation has begun and that snapshot lies in the older half of
// the records kept. A fold that is looking for a snapshot has none to offer.
func (f *Fold) SnapshotDue(first, every uint64) bool {
	if f.seeking || f.latest == 0 || f.next <= f.snapshotAt {
		return false
	}
	if f.next-f.snapshotAt >= every {
		return true
	}
	if first == 0 || f.next <= first {
		return false
	}
	return f.snapshotAt < first || f.snapshotAt-first < (f.next-first)/2
}
