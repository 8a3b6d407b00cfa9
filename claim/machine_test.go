package claim

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/internal/rapidtest"
	"sesameledge.dev/sesameledge/ticket"
)

const testWindowOffsets = 12

// drawFunc returns a number in [0, n).
type drawFunc func(n int) int

// machine runs several folds over one log. It compares them with an oracle, which sees every
// claim when it is appended: the first claim for a key within the window after its epoch owns it.
type machine struct {
	draw           drawFunc
	log            [][]byte
	claimsByOffset [][]Claim
	firstKept      int
	epochs         []uint64 // epoch of each key; the key is the index
	folds          []*Fold
	owners         map[string]ticket.ID
	newFold        func() *Fold
}

func newMachine(draw drawFunc, faults injectedFaults) *machine {
	m := &machine{draw: draw, owners: make(map[string]ticket.ID)}
	m.newFold = func() *Fold {
		f := NewFold(Options{Window: testWindowOffsets, MaxClaims: 10})
		f.faults = faults
		return f
	}
	for range 3 {
		m.folds = append(m.folds, m.newFold())
	}
	return m
}

// step plays one random event.
func (m *machine) step() error {
	n := m.draw(len(m.folds))
	switch m.draw(8) {
	case 0: // a caller obtains an epoch for a new key
		if next, ok := m.folds[n].Next(); ok {
			m.epochs = append(m.epochs, next)
		}
	case 1, 2:
		m.append()
	case 3, 4, 5:
		return m.read(n, 1+m.draw(6))
	case 6:
		m.firstKept = min(m.firstKept+m.draw(6), len(m.log))
	case 7:
		m.folds[n] = m.newFold()
	}
	return nil
}

// append adds a record with some claims to the log and updates the oracle's owners.
func (m *machine) append() {
	if len(m.epochs) == 0 {
		return
	}
	offset := uint64(len(m.log))
	var group []Claim
	for range 1 + m.draw(3) {
		key := m.draw(len(m.epochs))
		c := Claim{Team: "t", Key: fmt.Sprint(key), Epoch: m.epochs[key], Ticket: ticket.ID(fmt.Sprintf("%d.%d", offset, len(group)))}
		group = append(group, c)
		if _, owned := m.owners[c.Key]; !owned && offset-c.Epoch <= testWindowOffsets {
			m.owners[c.Key] = c.Ticket
		}
	}
	data, _ := json.Marshal(Record{Schema: Schema, Claims: group})
	m.log = append(m.log, data)
	m.claimsByOffset = append(m.claimsByOffset, group)
}

// read has a fold apply up to count records and checks their verdicts.
func (m *machine) read(n, count int) error {
	f := m.folds[n]
	next, started := f.Next()
	if !started || int(next) < m.firstKept {
		f.Start(f.StartOffset(uint64(m.firstKept), uint64(len(m.log))))
		next, _ = f.Next()
	}
	for o := int(next); o < min(int(next)+count, len(m.log)); o++ {
		for _, v := range f.Apply(uint64(o), m.log[o]) {
			if err := m.checkVerdict(uint64(o), v); err != nil {
				return errors.Wrapf(err, "fold %d, claim %+v", n, v)
			}
		}
		if f.KeyCount() > 10+3 {
			return errors.Newf("%d claims remembered", f.KeyCount())
		}
	}
	return nil
}

// checkVerdict compares a verdict with the oracle.
func (m *machine) checkVerdict(offset uint64, v Verdict) error {
	expired := offset-v.Claim.Epoch > testWindowOffsets
	owner := m.owners[v.Claim.Key]
	switch {
	case v.Expired != expired:
		return errors.New("expired differs from the oracle")
	case v.Expired || v.Incomplete:
		return nil
	case v.Owner.Ticket != owner:
		return errors.Newf("the oracle has the owner %s", owner)
	}
	return nil
}

// run plays a number of steps.
func (m *machine) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	return nil
}

// TestOneOwnerPerKey guards against two owners of one key. Folds that started to read,
// forgot claims or let them expire at different offsets must name the same owner or none.
func TestOneOwnerPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "d") }
		if err := newMachine(draw, injectedFaults{}).run(150); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMachineDetectsInjectedFaults guards against a machine that does not detect a missing
// mechanism.
func TestMachineDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"first wins":       {lastWins: true},
		"window":           {unlimitedWindow: true},
		"start of reading": {decideUnread: true},
	} {
		rapidtest.RequireCaughtInRuns(t, name, 100, 2, func(draw func(int) int) error { return newMachine(draw, faults).run(400) })
	}
}

// TestMemoryIsBounded guards against a fold whose memory grows with the log, and against one
// that decides about epochs whose claims it has forgotten.
func TestMemoryIsBounded(t *testing.T) {
	f := NewFold(Options{MaxClaims: 1000})
	f.Start(0)
	for o := range uint64(500) {
		var group []Claim
		for i := range 10 {
			group = append(group, Claim{Team: "t", Key: fmt.Sprint(o, i), Epoch: o, Ticket: "x"})
		}
		data, _ := json.Marshal(Record{Schema: Schema, Claims: group})
		f.Apply(o, data)
	}
	if n := f.KeyCount(); n > 1010 {
		t.Errorf("%d keys remembered", n)
	}
	if _, s := f.Lookup("t", "other", 100); s != Incomplete {
		t.Errorf("status %d of a key whose claims may be forgotten", s)
	}
	if _, s := f.Lookup("t", "other", 499); s != Free {
		t.Errorf("status %d of a new key", s)
	}
}
