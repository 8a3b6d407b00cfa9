package config

import (
	"encoding/json"
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/finding"
)

// Record is one record of the config stream, encoded as JSON.
type Record struct {
	Schema int       `json:"schema"`
	ID     string    `json:"id"`   // identity of the publication
	Base   uint64    `json:"base"` // revision that the change is based on
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"` // publisher's clock; shown to people, never compared
	Text   string    `json:"text"` // the whole configuration in YAML
}

// Encode returns the record's JSON.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Revision is an accepted record with its number.
type Revision struct {
	Number uint64 `json:"number"`
	Offset uint64 `json:"offset"`
	Record Record `json:"record"`
}

// Outcome says what the fold did with a record.
type Outcome struct {
	ID       string
	Accepted bool
	Revision uint64 // number that the record got, or the current one if it was rejected
	Reason   string // why it was rejected
}

// Fold decides which configuration is in force. It is not safe for concurrent use.
type Fold struct {
	next     uint64 // offset of the next record to apply
	current  *Config
	history  []Revision
	outcomes map[string]Outcome
}

// NewFold returns a Fold at revision 0, which holds no configuration.
func NewFold() *Fold {
	return &Fold{outcomes: make(map[string]Outcome)}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() uint64 { return f.next }

// Revision returns the number of the revision in force; 0 means none.
func (f *Fold) Revision() uint64 {
	if len(f.history) == 0 {
		return 0
	}
	return f.history[len(f.history)-1].Number
}

// Current returns the configuration in force, or nil.
func (f *Fold) Current() *Config { return f.current }

// History returns the accepted revisions, oldest first.
func (f *Fold) History() []Revision { return f.history }

// OutcomeOf returns what became of the publication with this identity.
func (f *Fold) OutcomeOf(id string) (Outcome, bool) {
	o, ok := f.outcomes[id]
	return o, ok
}

// Apply applies the record at an offset. Records before Next have been applied already
// and are ignored.
func (f *Fold) Apply(offset uint64, data []byte) Outcome {
	if offset < f.next {
		return Outcome{Revision: f.Revision(), Reason: "applied before"}
	}
	f.next = offset + 1
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Outcome{Revision: f.Revision(), Reason: "not a configuration record"}
	}
	o := f.decide(offset, &r)
	f.outcomes[r.ID] = o
	return o
}

func (f *Fold) decide(offset uint64, r *Record) Outcome {
	rejected := Outcome{ID: r.ID, Revision: f.Revision()}
	if earlier, ok := f.outcomes[r.ID]; ok {
		return earlier
	}
	if r.Base != f.Revision() {
		rejected.Reason = f.conflict(r.Base)
		return rejected
	}
	var list finding.List
	cfg := Parse("", []byte(r.Text), &list)
	if err := list.Err(); err != nil {
		rejected.Reason = err.Error()
		return rejected
	}
	number := r.Base + 1
	f.current = cfg
	f.history = append(f.history, Revision{Number: number, Offset: offset, Record: *r})
	return Outcome{ID: r.ID, Accepted: true, Revision: number}
}

func (f *Fold) conflict(base uint64) string {
	if len(f.history) == 0 {
		return fmt.Sprintf("it is based on revision %d, but none is in force", base)
	}
	last := f.history[len(f.history)-1]
	return fmt.Sprintf("it is based on revision %d, but %s has published revision %d (%s); rebase on that and publish again",
		base, last.Record.Author, last.Number, last.Record.Reason)
}
