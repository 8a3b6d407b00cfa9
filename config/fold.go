package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/finding"
)

// Fold decides which revision is the latest and which configuration is in force. It is a
// pure function of the log: folds that start at different offsets agree on every revision
// after their start. Acceptance depends on the envelope of a record only (its base and
// identity), never on its text, because builds that know different schema versions would
// judge a text differently. It is not safe for concurrent use.
type Fold struct {
	newest  int    // newest schema version that can be applied
	next    uint64 // offset of the next record to apply
	seeking bool   // records between next and seekFrom are lost; a snapshot is needed
	// seekFrom is the oldest offset that was kept when the search began; scan is the
	// offset of the next record to look at.
	seekFrom, scan uint64

	latest uint64 // number of the last accepted revision; 0 means none
	// frontier holds, newest first, the last revision and each earlier one of a lower
	// schema version than all that follow it. A build of any version finds in it the
	// last revision that it may be able to apply.
	frontier []Revision
	applied  Revision
	current  *Config
	problem  string // why the latest revision is not applied
	outcomes outcomes
	history  history
	// snapshotAt is the offset after which the newest snapshot in the log continues.
	snapshotAt uint64

	test testSwitches
}

// testSwitches turn off one mechanism each, to show that the tests would notice.
type testSwitches struct {
	ignoreBase     bool // accepts a record on any base
	ignoreIdentity bool // judges a repeated identity again
	acceptOlder    bool // takes over a snapshot that is behind
	skipRecords    bool // continues after a snapshot record instead of after its state
	judgeText      bool // rejects a record whose text this build cannot apply
}

// NewFold returns a Fold at revision 0, which holds no configuration. It applies the schema
// versions that this build knows.
func NewFold() *Fold { return NewFoldKnowing(Schema) }

// NewFoldKnowing returns a Fold that applies schema versions up to newest, for tests that
// run builds of different versions side by side.
func NewFoldKnowing(newest int) *Fold { return &Fold{newest: newest, outcomes: newOutcomes()} }

// Next returns the offset of the next record to read.
func (f *Fold) Next() uint64 {
	if f.seeking {
		return f.scan
	}
	return f.next
}

// Seeking reports whether the fold is looking for a snapshot, because records that it has
// not applied are no longer kept.
func (f *Fold) Seeking() bool { return f.seeking }

// Revision returns the number of the latest accepted revision, on which the next
// publication must be based; 0 means none.
func (f *Fold) Revision() uint64 { return f.latest }

// SchemaOf returns the schema version of an accepted revision. It fails if the revision is
// not known or no longer listed in the history.
func (f *Fold) SchemaOf(number uint64) (int, bool) {
	for _, r := range f.frontier {
		if r.Number == number {
			return r.schema, true
		}
	}
	e, ok := f.history.find(number)
	return e.summary.Schema, ok
}

// InForce returns the number of the revision that Current holds. It is lower than Revision
// while the latest revision cannot be applied by this build.
func (f *Fold) InForce() uint64 { return f.applied.Number }

// Current returns the configuration in force, or nil.
func (f *Fold) Current() *Config { return f.current }

// Problem says why the latest revision is not in force; it is empty if it is.
func (f *Fold) Problem() string { return f.problem }

// History returns the last accepted revisions, oldest first, without their texts.
func (f *Fold) History() []Summary { return f.history.summaries() }

// Text returns the configuration text of a revision. It fails if the revision does not
// exist or is no longer held.
func (f *Fold) Text(number uint64) (string, error) {
	data, ok := f.data(number)
	if !ok {
		return "", errors.Newf("revision %d is not held by this host (latest is %d)", number, f.latest)
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return "", errors.Wrapf(err, "decoding revision %d", number)
	}
	return r.Text, nil
}

func (f *Fold) data(number uint64) ([]byte, bool) {
	if number == f.applied.Number && number > 0 {
		return f.applied.Data, true
	}
	for _, r := range f.frontier {
		if r.Number == number {
			return r.Data, true
		}
	}
	e, ok := f.history.find(number)
	return e.data, ok && e.data != nil
}

// OutcomeOf returns what became of the publication with this identity.
func (f *Fold) OutcomeOf(id string) (Outcome, bool) {
	o, ok := f.outcomes.byID[id]
	return o, ok
}

// Truncated tells the fold the oldest offset that the log keeps. If that lies after Next,
// the fold keeps its configuration and looks for a snapshot.
func (f *Fold) Truncated(first uint64) {
	if first <= f.Next() {
		return
	}
	f.seeking, f.seekFrom, f.scan = true, first, first
}

// Apply applies the record at an offset. Any record but the one at Next is ignored.
func (f *Fold) Apply(offset uint64, data []byte) Outcome {
	if offset != f.Next() {
		return f.ignored("it is not the next record")
	}
	if f.seeking {
		return f.seek(offset, data)
	}
	f.next = offset + 1
	env, err := decodeEnvelope(data)
	if err != nil {
		return f.ignored(err.Error())
	}
	if env.Type == typeSnapshot {
		f.noteSnapshot(data)
		return f.ignored("it is a snapshot")
	}
	if earlier, ok := f.outcomes.byID[env.ID]; ok && !f.test.ignoreIdentity {
		earlier.Ignored = true
		return earlier
	}
	o := f.judge(offset, env, data)
	f.outcomes.add(o)
	return o
}

func (f *Fold) ignored(reason string) Outcome {
	return Outcome{Revision: f.latest, Reason: reason, Ignored: true}
}

// judge accepts or rejects a publication that is seen for the first time.
func (f *Fold) judge(offset uint64, env envelope, data []byte) Outcome {
	if env.Base != f.latest && !f.test.ignoreBase {
		w := f.winner(f.latest)
		return Outcome{ID: env.ID, Base: env.Base, Revision: f.latest, Winner: w, Reason: conflict(env.Base, f.latest, w)}
	}
	if f.test.judgeText {
		if _, err := f.applicable(data); err != nil {
			return Outcome{ID: env.ID, Base: env.Base, Revision: f.latest, Reason: err.Error()}
		}
	}
	f.latest++
	r := Revision{Number: f.latest, Offset: offset, Data: data, schema: env.Schema}
	f.extendFrontier(r)
	f.history.add(summarize(r, env), data)
	f.apply(r)
	return Outcome{ID: env.ID, Base: env.Base, Accepted: true, Revision: f.latest, Reason: f.problem}
}

func (f *Fold) winner(number uint64) *Winner {
	e, ok := f.history.find(number)
	if !ok {
		return nil
	}
	return &Winner{Revision: number, Author: e.summary.Author, Reason: e.summary.Reason}
}

func summarize(r Revision, env envelope) Summary {
	var rec Record
	// The time is for people only; a record of a newer schema may encode it differently.
	_ = json.Unmarshal(r.Data, &rec)
	return Summary{Number: r.Number, Offset: r.Offset, ID: env.ID, Schema: env.Schema, Base: env.Base,
		Author: env.Author, Reason: env.Reason, Time: rec.Time}
}

// maxFrontier bounds the revisions in a snapshot besides the one in force.
const maxFrontier = 2

func (f *Fold) extendFrontier(r Revision) {
	out := []Revision{r}
	for _, old := range f.frontier {
		if old.schema < r.schema && len(out) < maxFrontier {
			out = append(out, old)
		}
	}
	f.frontier = out
}

// apply puts a revision in force if this build can apply it as a whole.
func (f *Fold) apply(r Revision) {
	if r.Number > f.applied.Number {
		cfg, err := f.applicable(r.Data)
		if err != nil {
			f.problem = err.Error()
			return
		}
		f.applied, f.current = r, cfg
	}
	if f.applied.Number == f.latest {
		f.problem = ""
	}
}

// applicable returns the configuration of a record, or why this build cannot apply it.
func (f *Fold) applicable(data []byte) (*Config, error) {
	env, err := decodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	if env.Schema > f.newest {
		return nil, errors.Newf("schema %d is newer than %d, which this build can apply", env.Schema, f.newest)
	}
	r := new(Record)
	if err := decodeStrict(data, r); err != nil {
		return nil, err
	}
	var list finding.List
	cfg := parse(f.newest, "", []byte(r.Text), &list)
	return cfg, list.Err()
}
