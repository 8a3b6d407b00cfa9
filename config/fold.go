package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/finding"
)

// Fold replays the config stream and decides which revision is the latest and which
// configuration is in force. Its state depends on the log alone: folds that start at different
// offsets agree on every revision after their start. Whether a record is accepted depends only
// on its envelope (its base and identity) and never on its text, because builds that know
// different schema versions would decide differently about a text. A Fold is not safe for
// concurrent use.
type Fold struct {
	newestSchema int    // newest schema version that this build can apply
	next         uint64 // offset of the next record to apply
	seeking      bool   // records from next to seekFirstKept are lost; a snapshot is needed
	// seekFirstKept is the oldest offset that the log kept when the search for a snapshot
	// began. seekNext is the offset of the next record to examine in that search.
	seekFirstKept, seekNext uint64

	latest uint64 // number of the last accepted revision; 0 means none
	// candidates holds, newest first, the latest revision and the last earlier ones whose
	// schema version is lower than that of all later revisions. An older build finds in it
	// the last revision whose schema version it knows. maxCandidates limits their number.
	candidates []Revision
	inForce    Revision // last revision that this build could apply
	current    *Config  // configuration of inForce, or nil
	problem    string   // why the latest revision is not in force; empty if it is
	outcomes   outcomes
	history    history
	// snapshotNext is the first offset that the newest snapshot in the log does not cover.
	snapshotNext uint64

	faults injectedFaults
}

// injectedFaults each turn off one mechanism, to show that the tests detect its absence.
type injectedFaults struct {
	ignoreBase           bool // accepts a record with any base
	ignoreID             bool // decides again about a repeated identity
	restoreOlder         bool // takes over a snapshot that is older than the state
	skipUncoveredRecords bool // continues after a snapshot's record, not after what it covers
	rejectUnapplicable   bool // rejects a record whose text this build cannot apply
}

// NewFold returns a Fold at revision 0, without a configuration. It applies schema versions
// up to Schema.
func NewFold() *Fold { return NewFoldForSchema(Schema) }

// NewFoldForSchema returns a Fold that applies schema versions up to newestSchema, for tests
// that run builds of different versions side by side.
func NewFoldForSchema(newestSchema int) *Fold {
	return &Fold{newestSchema: newestSchema, outcomes: newOutcomes()}
}

// Next returns the offset of the next record to read.
func (f *Fold) Next() uint64 {
	if f.seeking {
		return f.seekNext
	}
	return f.next
}

// Seeking reports whether the fold is looking for a snapshot because the log no longer keeps
// records that it has not applied.
func (f *Fold) Seeking() bool { return f.seeking }

// Revision returns the number of the latest accepted revision, on which the next
// publication must be based; 0 means none.
func (f *Fold) Revision() uint64 { return f.latest }

// SchemaOf returns the schema version of an accepted revision. It reports false if the fold
// does not know the revision or no longer lists it in the history.
func (f *Fold) SchemaOf(number uint64) (int, bool) {
	for _, r := range f.candidates {
		if r.Number == number {
			return r.schema, true
		}
	}
	e, ok := f.history.find(number)
	return e.summary.Schema, ok
}

// InForce returns the number of the revision that Current holds. It is lower than Revision
// while the latest revision cannot be applied by this build.
func (f *Fold) InForce() uint64 { return f.inForce.Number }

// Current returns the configuration in force, or nil if there is none.
func (f *Fold) Current() *Config { return f.current }

// Problem returns why the latest revision is not in force, or "" if it is.
func (f *Fold) Problem() string { return f.problem }

// History returns the last accepted revisions, oldest first, without their texts.
func (f *Fold) History() []Summary { return f.history.summaries() }

// Text returns the configuration text of a revision. It returns an error if the revision does
// not exist or the fold no longer has its record.
func (f *Fold) Text(number uint64) (string, error) {
	data, ok := f.revisionData(number)
	if !ok {
		return "", errors.Newf("revision %d is not held by this host (latest is %d)", number, f.latest)
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return "", errors.Wrapf(err, "decoding revision %d", number)
	}
	return r.Text, nil
}

// revisionData returns the record of a revision and whether the fold has it.
func (f *Fold) revisionData(number uint64) ([]byte, bool) {
	if number == f.inForce.Number && number > 0 {
		return f.inForce.Data, true
	}
	for _, r := range f.candidates {
		if r.Number == number {
			return r.Data, true
		}
	}
	e, ok := f.history.find(number)
	return e.data, ok && e.data != nil
}

// OutcomeOf returns the outcome of the publication with this identity and whether the fold
// remembers it.
func (f *Fold) OutcomeOf(id string) (Outcome, bool) {
	o, ok := f.outcomes.byID[id]
	return o, ok
}

// HandleTruncation handles a truncation of the log; first is the oldest offset that the log keeps.
// If first is greater than Next, the fold keeps its configuration and looks for a snapshot.
func (f *Fold) HandleTruncation(first uint64) {
	if first <= f.Next() {
		return
	}
	f.seeking, f.seekFirstKept, f.seekNext = true, first, first
}

// Apply applies the record at an offset. It ignores any record but the one at Next.
func (f *Fold) Apply(offset uint64, data []byte) Outcome {
	if offset != f.Next() {
		return f.ignoredOutcome("it is not the next record")
	}
	if f.seeking {
		return f.seekSnapshot(offset, data)
	}
	f.next = offset + 1
	env, err := decodeEnvelope(data)
	if err != nil {
		return f.ignoredOutcome(err.Error())
	}
	if env.Type == recordTypeSnapshot {
		f.advanceSnapshotNext(data)
		return f.ignoredOutcome("it is a snapshot")
	}
	if earlier, ok := f.outcomes.byID[env.ID]; ok && !f.faults.ignoreID {
		earlier.Ignored = true
		return earlier
	}
	o := f.decide(offset, env, data)
	f.outcomes.add(o)
	return o
}

func (f *Fold) ignoredOutcome(reason string) Outcome {
	return Outcome{Revision: f.latest, Reason: reason, Ignored: true}
}

// decide accepts or rejects a publication whose identity is new.
func (f *Fold) decide(offset uint64, env envelope, data []byte) Outcome {
	if env.Base != f.latest && !f.faults.ignoreBase {
		w := f.winnerOf(f.latest)
		return Outcome{ID: env.ID, Base: env.Base, Revision: f.latest, Winner: w, Reason: conflictReason(env.Base, f.latest, w)}
	}
	if f.faults.rejectUnapplicable {
		if _, err := f.parseApplicable(data); err != nil {
			return Outcome{ID: env.ID, Base: env.Base, Revision: f.latest, Reason: err.Error()}
		}
	}
	f.latest++
	r := Revision{Number: f.latest, Offset: offset, Data: data, schema: env.Schema}
	f.addCandidate(r)
	f.history.add(summarize(r, env), data)
	f.applyIfPossible(r)
	return Outcome{ID: env.ID, Base: env.Base, Accepted: true, Revision: f.latest, Reason: f.problem}
}

// winnerOf returns the publication of a revision, or nil if the history does not list it.
func (f *Fold) winnerOf(number uint64) *Winner {
	e, ok := f.history.find(number)
	if !ok {
		return nil
	}
	return &Winner{Revision: number, Author: e.summary.Author, Reason: e.summary.Reason}
}

func summarize(r Revision, env envelope) Summary {
	var rec Record
	// A record of a newer schema may encode the time differently. An error is ignored,
	// because the time is only shown to people.
	_ = json.Unmarshal(r.Data, &rec)
	return Summary{Number: r.Number, Offset: r.Offset, ID: env.ID, Schema: env.Schema, Base: env.Base,
		Author: env.Author, Reason: env.Reason, Time: rec.Time}
}

// maxCandidates limits the revisions in a snapshot other than the one in force.
const maxCandidates = 2

// addCandidate puts the latest revision first among the candidates and removes those that it
// makes superfluous.
func (f *Fold) addCandidate(r Revision) {
	out := []Revision{r}
	for _, old := range f.candidates {
		if old.schema < r.schema && len(out) < maxCandidates {
			out = append(out, old)
		}
	}
	f.candidates = out
}

// applyIfPossible puts a revision in force if it is newer than the one in force and this build
// can apply all of it. If this build cannot, problem says why.
func (f *Fold) applyIfPossible(r Revision) {
	if r.Number > f.inForce.Number {
		cfg, err := f.parseApplicable(r.Data)
		if err != nil {
			f.problem = err.Error()
			return
		}
		f.inForce, f.current = r, cfg
	}
	if f.inForce.Number == f.latest {
		f.problem = ""
	}
}

// parseApplicable returns the configuration of a record, or an error that says why this build
// cannot apply it.
func (f *Fold) parseApplicable(data []byte) (*Config, error) {
	env, err := decodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	if env.Schema > f.newestSchema {
		return nil, errors.Newf("schema %d is newer than %d, which this build can apply", env.Schema, f.newestSchema)
	}
	r := new(Record)
	if err := decodeStrict(data, r); err != nil {
		return nil, err
	}
	var list finding.List
	cfg := parse(f.newestSchema, "", []byte(r.Text), &list)
	return cfg, list.Err()
}
