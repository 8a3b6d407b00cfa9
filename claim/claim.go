// Package claim folds the claims stream of the platform's log. A claim binds a caller's
// idempotency key to a ticket; the first claim for a key in log order owns the job. The
// fold is pure: hosts that have read the stream since before an epoch decide alike about
// every claim with that epoch.
package claim

import (
	"crypto/sha256"
	"encoding/json"

	"sesameledge.dev/sesameledge/ticket"
)

// Window is the number of offsets after its epoch within which a claim counts. It is a
// constant of the protocol: hosts with different windows would disagree about the owner.
// It must be less than the number of records that the log retains.
const Window = 100_000

// Schema is the schema version of the records that this build writes and reads.
const Schema = 1

// MaxKeyBytes bounds a caller's key.
const MaxKeyBytes = 200

// maxClaims bounds the claims remembered; at about 250 bytes each they take 25 MB. Beyond
// it the host forgets the oldest and treats epochs before them as not read.
const maxClaims = 100_000

// Claim binds a key to a ticket.
type Claim struct {
	Team   string    `json:"team"`
	Key    string    `json:"key"`
	Epoch  uint64    `json:"epoch"` // offset of the claims stream that the caller obtained before
	Ticket ticket.ID `json:"ticket"`
	Digest uint64    `json:"digest"` // of the job; tells a resubmission from a reused key
}

// Record is one record of the claims stream. It carries the claims of one group commit.
type Record struct {
	Schema int     `json:"schema"`
	Claims []Claim `json:"claims"`
}

// Owner is the claim that owns a key.
type Owner struct {
	Offset uint64
	Ticket ticket.ID
	Digest uint64
}

// Verdict says what became of a claim of a record.
type Verdict struct {
	Claim Claim
	// Expired means that the claim came outside the window after its epoch. It counts on
	// no host.
	Expired bool
	// Blind means that this host has not read everything since the epoch, so it cannot
	// tell who owns the key and must start nothing.
	Blind bool
	Owner Owner // owner of the key, unless Expired or Blind
}

// Owns reports whether the claim owns its key.
func (v *Verdict) Owns() bool {
	return !v.Expired && !v.Blind && v.Owner.Ticket == v.Claim.Ticket
}

// Status says what a fold knows about a key at an epoch.
type Status int

// The statuses of a key.
const (
	// Free means that the fold has read no claim for the key.
	Free Status = iota + 1
	// Owned means that a claim owns the key.
	Owned
	// Expired means that no claim with the epoch can count any more.
	Expired
	// Blind means that the fold began reading after the epoch or has forgotten records
	// after it.
	Blind
)

// Fold is the state of the claims stream. It is not safe for concurrent use.
type Fold struct {
	started bool
	first   uint64 // offset since which every claim that counts is remembered
	next    uint64 // offset of the next record to apply
	window  uint64
	limit   int
	owners  map[keyHash]Owner
	order   []entry // by offset

	test testSwitches
}

// testSwitches turn off one mechanism each, to show that the tests would notice.
type testSwitches struct {
	lastWins    bool // the last claim owns, not the first
	noWindow    bool // claims count for ever
	ignoreStart bool // decides about epochs before the fold's beginning
}

type keyHash [16]byte

type entry struct {
	offset uint64
	key    keyHash
}

// Options configures a Fold. Zero fields take the defaults; only tests set others.
type Options struct {
	Window    uint64 // offsets; the same on every host
	MaxClaims int
}

// NewFold returns a Fold that has not begun to read.
func NewFold(opts Options) *Fold {
	f := &Fold{window: opts.Window, limit: opts.MaxClaims, owners: make(map[keyHash]Owner)}
	if f.window == 0 {
		f.window = Window
	}
	if f.limit == 0 {
		f.limit = maxClaims
	}
	return f
}

// StartAt returns the offset at which to begin reading a log that keeps first to next:
// a whole window back, as far as the log goes, so that a new host is not blind.
func (f *Fold) StartAt(first, next uint64) uint64 {
	if next-first > f.window {
		return next - f.window
	}
	return first
}

// Start begins reading at an offset, or begins again after the log has dropped records
// that the fold had not read. The fold forgets what it knew and is blind before offset.
func (f *Fold) Start(offset uint64) {
	f.started, f.first, f.next = true, offset, offset
	clear(f.owners)
	f.order = nil
}

// Next returns the offset of the next record, or false before Start.
func (f *Fold) Next() (uint64, bool) { return f.next, f.started }

// Remembered returns the number of keys remembered.
func (f *Fold) Remembered() int { return len(f.owners) }

// Apply applies the record at an offset and returns a verdict for each of its claims. Any
// record but the one at Next is ignored, and so is one that cannot be decoded.
func (f *Fold) Apply(offset uint64, data []byte) []Verdict {
	if !f.started || offset != f.next {
		return nil
	}
	f.next = offset + 1
	f.forget()
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Schema != Schema {
		return nil
	}
	out := make([]Verdict, len(r.Claims))
	for i, c := range r.Claims {
		out[i] = f.judge(offset, c)
	}
	return out
}

func (f *Fold) judge(offset uint64, c Claim) Verdict {
	v := Verdict{Claim: c}
	if c.Epoch > offset || (offset-c.Epoch > f.window && !f.test.noWindow) {
		v.Expired = true
		return v
	}
	key := hash(c.Team, c.Key)
	owner, taken := f.owners[key]
	if !taken || f.test.lastWins {
		owner = Owner{Offset: offset, Ticket: c.Ticket, Digest: c.Digest}
		f.owners[key] = owner
		f.order = append(f.order, entry{offset: offset, key: key})
	}
	v.Owner = owner
	v.Blind = c.Epoch < f.first && !f.test.ignoreStart
	return v
}

// forget drops the claims that no later claim with the same epoch can meet, and the
// oldest beyond the limit.
func (f *Fold) forget() {
	for len(f.order) > 0 && !f.test.noWindow && f.next-f.order[0].offset > f.window+1 {
		f.drop()
	}
	for len(f.order) > f.limit {
		f.first = max(f.first, f.order[0].offset+1)
		f.drop()
	}
}

func (f *Fold) drop() {
	delete(f.owners, f.order[0].key)
	f.order = f.order[1:]
}

// Lookup says what is known about a key at an epoch, and its owner if it is Owned.
func (f *Fold) Lookup(team, key string, epoch uint64) (Owner, Status) {
	owner, taken := f.owners[hash(team, key)]
	switch {
	case epoch < f.next && f.next-epoch > f.window && !f.test.noWindow:
		return Owner{}, Expired
	case epoch < f.first && !f.test.ignoreStart:
		return Owner{}, Blind
	case taken:
		return owner, Owned
	}
	return Owner{}, Free
}

func hash(team, key string) keyHash {
	h := sha256.New()
	// The zero byte separates the two; a team's name holds none.
	h.Write([]byte(team + "\x00" + key))
	return keyHash(h.Sum(nil)[:len(keyHash{})])
}
