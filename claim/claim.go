// Package claim decides which host owns an idempotency key. It replays the claims stream of the
// platform's log. A claim binds a caller's key to a ticket; the first valid claim for a key in
// log order owns it, and the host of that ticket runs the job.
//
// Each claim names an epoch, an offset of the stream that the caller obtained beforehand.
// Replay is deterministic: all hosts that have read the stream from an epoch on, or from before
// it, decide alike about every claim with that epoch.
//
// The package does no I/O. The daemon reads and appends the records of the stream; package core
// starts the job of an owned key and answers the callers.
package claim

import (
	"crypto/sha256"
	"encoding/json"

	"sesameledge.dev/sesameledge/ticket"
)

// Window is the number of offsets after its epoch within which a claim is valid. It is part of
// the protocol: hosts with different windows would disagree about the owner. It must be less
// than the number of records that the log retains.
const Window = 100_000

// Schema is the schema version of records that this build writes and reads.
const Schema = 1

// MaxKeyBytes limits the length of a caller's key.
const MaxKeyBytes = 200

// defaultMaxClaims limits the owned keys that a Fold remembers. At about 250 bytes each they take 25
// MB. Beyond that it forgets the oldest and treats the epochs up to them as not read.
const defaultMaxClaims = 100_000

// Claim binds a team's idempotency key to a ticket.
type Claim struct {
	Team   string    `json:"team"`
	Key    string    `json:"key"`
	Epoch  uint64    `json:"epoch"` // offset of the claims stream that the caller obtained beforehand
	Ticket ticket.ID `json:"ticket"`
	Digest uint64    `json:"digest"` // of the job; distinguishes a resubmission from a reused key
}

// Record is a record of the claims stream. It holds the claims of one group commit.
type Record struct {
	Schema int     `json:"schema"`
	Claims []Claim `json:"claims"`
}

// Owner describes the claim that owns a key, and the offset of its record.
type Owner struct {
	Offset uint64
	Ticket ticket.ID
	Digest uint64
}

// Verdict is the result of a claim in a record.
type Verdict struct {
	Claim Claim
	// Expired means that the claim's offset is not within the window after its epoch. The
	// claim is valid on no host.
	Expired bool
	// Incomplete means that this host has not read, or no longer remembers, all records since the
	// epoch. It does not know who owns the key and must not start the job.
	Incomplete bool
	Owner      Owner // owner of the key, unless Expired or Incomplete
}

// Owns reports whether the claim owns its key.
func (v *Verdict) Owns() bool {
	return !v.Expired && !v.Incomplete && v.Owner.Ticket == v.Claim.Ticket
}

// Status is what a Fold knows about a key at an epoch.
type Status int

// The statuses of a key.
const (
	// Free means that the Fold has read no valid claim for the key.
	Free Status = iota + 1
	// Owned means that a claim owns the key.
	Owned
	// Expired means that a claim with the epoch would no longer be valid.
	Expired
	// Incomplete means that the Fold began to read after the epoch or has forgotten claims since
	// the epoch.
	Incomplete
)

// Fold replays the claims stream and knows the owners of keys. It is not safe for concurrent
// use.
type Fold struct {
	started        bool   // Start was called
	rememberedFrom uint64 // offset from which on all valid claims are remembered
	next           uint64 // offset of the next record to apply
	window         uint64
	maxClaims      int
	owners         map[keyHash]Owner
	byOffset       []ownedKey // keys of owners, lowest offset first

	faults injectedFaults
}

// injectedFaults each turn off one mechanism, to show that the tests detect its absence.
type injectedFaults struct {
	lastWins        bool // the last claim for a key owns it, not the first
	unlimitedWindow bool // claims never expire
	decideUnread    bool // decides about epochs that the Fold has not read from
}

// keyHash identifies a key of a team.
type keyHash [16]byte

// ownedKey is a key and the offset of the claim that owns it.
type ownedKey struct {
	offset uint64
	key    keyHash
}

// Options configures a Fold. Zero fields take the defaults; only tests set others.
type Options struct {
	Window    uint64 // number of offsets; must be the same on every host
	MaxClaims int
}

// NewFold returns a Fold that has not begun to read the stream.
func NewFold(opts Options) *Fold {
	f := &Fold{window: opts.Window, maxClaims: opts.MaxClaims, owners: make(map[keyHash]Owner)}
	if f.window == 0 {
		f.window = Window
	}
	if f.maxClaims == 0 {
		f.maxClaims = defaultMaxClaims
	}
	return f
}

// StartOffset returns the offset at which to start reading a log that keeps the offsets from first
// up to but not including next. It is a whole window before next, or first if the log keeps
// less. If the log keeps a whole window, a new host is not blind for any valid epoch.
func (f *Fold) StartOffset(first, next uint64) uint64 {
	if next-first > f.window {
		return next - f.window
	}
	return first
}

// Start begins to read at an offset. It is called again after the log has dropped records that
// the Fold has not read. The Fold forgets all owners and is blind for epochs before offset.
func (f *Fold) Start(offset uint64) {
	f.started, f.rememberedFrom, f.next = true, offset, offset
	clear(f.owners)
	f.byOffset = nil
}

// Next returns the offset of the next record to apply. It reports false before Start.
func (f *Fold) Next() (uint64, bool) { return f.next, f.started }

// KeyCount returns the number of keys whose owner is remembered.
func (f *Fold) KeyCount() int { return len(f.owners) }

// Apply applies the record at an offset and returns a verdict for each of its claims. It ignores
// any record but the one at Next, and a record that it cannot decode.
func (f *Fold) Apply(offset uint64, data []byte) []Verdict {
	if !f.started || offset != f.next {
		return nil
	}
	f.next = offset + 1
	f.forgetOld()
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Schema != Schema {
		return nil
	}
	out := make([]Verdict, len(r.Claims))
	for i, c := range r.Claims {
		out[i] = f.decide(offset, c)
	}
	return out
}

// decide returns the verdict for a claim and makes it the owner of its key if it is the first.
func (f *Fold) decide(offset uint64, c Claim) Verdict {
	v := Verdict{Claim: c}
	if c.Epoch > offset || (offset-c.Epoch > f.window && !f.faults.unlimitedWindow) {
		v.Expired = true
		return v
	}
	key := hashKey(c.Team, c.Key)
	owner, owned := f.owners[key]
	if !owned || f.faults.lastWins {
		owner = Owner{Offset: offset, Ticket: c.Ticket, Digest: c.Digest}
		f.owners[key] = owner
		f.byOffset = append(f.byOffset, ownedKey{offset: offset, key: key})
	}
	v.Owner = owner
	v.Incomplete = c.Epoch < f.rememberedFrom && !f.faults.decideUnread
	return v
}

// forgetOld forgets the owners that are so old that no valid claim with the same epoch can
// follow, and the oldest ones beyond maxClaims.
func (f *Fold) forgetOld() {
	for len(f.byOffset) > 0 && !f.faults.unlimitedWindow && f.next-f.byOffset[0].offset > f.window+1 {
		f.forgetOldest()
	}
	for len(f.byOffset) > f.maxClaims {
		f.rememberedFrom = max(f.rememberedFrom, f.byOffset[0].offset+1)
		f.forgetOldest()
	}
}

// forgetOldest forgets the owner with the lowest offset.
func (f *Fold) forgetOldest() {
	delete(f.owners, f.byOffset[0].key)
	f.byOffset = f.byOffset[1:]
}

// Lookup returns the status of a key at an epoch, and the key's owner if the status is Owned.
func (f *Fold) Lookup(team, key string, epoch uint64) (Owner, Status) {
	owner, owned := f.owners[hashKey(team, key)]
	switch {
	case epoch < f.next && f.next-epoch > f.window && !f.faults.unlimitedWindow:
		return Owner{}, Expired
	case epoch < f.rememberedFrom && !f.faults.decideUnread:
		return Owner{}, Incomplete
	case owned:
		return owner, Owned
	}
	return Owner{}, Free
}

func hashKey(team, key string) keyHash {
	h := sha256.New()
	// The zero byte separates team and key. A team's name contains no zero byte.
	h.Write([]byte(team + "\x00" + key))
	return keyHash(h.Sum(nil)[:len(keyHash{})])
}
