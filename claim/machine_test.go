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

const testWindow = 12

// draw returns a number in [0, n).
type draw func(n int) int

// machine runs several folds over one log. The oracle judges with the whole log at hand:
// the first claim for a key within the window after its epoch owns it.
type machine struct {
	draw   draw
	log    [][]byte
	claims [][]Claim
	first  int
	keys   []uint64 // epoch of each key
	folds  []*Fold
	owners map[string]ticket.ID
	fresh  func() *Fold
}

func newMachine(d draw, s testSwitches) *machine {
	m := &machine{draw: d, owners: make(map[string]ticket.ID)}
	m.fresh = func() *Fold {
		f := NewFold(Options{Window: testWindow, MaxClaims: 10})
		f.test = s
		return f
	}
	for range 3 {
		m.folds = append(m.folds, m.fresh())
	}
	return m
}

func (m *machine) step() error {
	n := m.draw(len(m.folds))
	switch m.draw(8) {
	case 0: // a caller obtains an epoch for a new key
		if next, ok := m.folds[n].Next(); ok {
			m.keys = append(m.keys, next)
		}
	case 1, 2:
		m.append()
	case 3, 4, 5:
		return m.read(n, 1+m.draw(6))
	case 6:
		m.first = min(m.first+m.draw(6), len(m.log))
	case 7:
		m.folds[n] = m.fresh()
	}
	return nil
}

// append adds a group of claims to the log. Only the oracle's memory is unbounded.
func (m *machine) append() {
	if len(m.keys) == 0 {
		return
	}
	offset := uint64(len(m.log))
	var group []Claim
	for range 1 + m.draw(3) {
		key := m.draw(len(m.keys))
		c := Claim{Team: "t", Key: fmt.Sprint(key), Epoch: m.keys[key], Ticket: ticket.ID(fmt.Sprintf("%d.%d", offset, len(group)))}
		group = append(group, c)
		if _, taken := m.owners[c.Key]; !taken && offset-c.Epoch <= testWindow {
			m.owners[c.Key] = c.Ticket
		}
	}
	data, _ := json.Marshal(Record{Schema: Schema, Claims: group})
	m.log = append(m.log, data)
	m.claims = append(m.claims, group)
}

func (m *machine) read(n, count int) error {
	f := m.folds[n]
	next, started := f.Next()
	if !started || int(next) < m.first {
		f.Start(f.StartAt(uint64(m.first), uint64(len(m.log))))
		next, _ = f.Next()
	}
	for o := int(next); o < min(int(next)+count, len(m.log)); o++ {
		for _, v := range f.Apply(uint64(o), m.log[o]) {
			if err := m.judge(uint64(o), v); err != nil {
				return errors.Wrapf(err, "fold %d, claim %+v", n, v)
			}
		}
		if f.Remembered() > 10+3 {
			return errors.Newf("%d claims remembered", f.Remembered())
		}
	}
	return nil
}

func (m *machine) judge(offset uint64, v Verdict) error {
	expired := offset-v.Claim.Epoch > testWindow
	owner := m.owners[v.Claim.Key]
	switch {
	case v.Expired != expired:
		return errors.New("the window is judged wrongly")
	case v.Expired || v.Blind:
		return nil
	case v.Owner.Ticket != owner:
		return errors.Newf("the oracle has the owner %s", owner)
	}
	return nil
}

func (m *machine) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	return nil
}

// Guards against two owners of one key: folds that began to read, forgot or expired claims
// at different offsets must name the same owner or none.
func TestOneOwnerPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "d") }
		if err := newMachine(d, testSwitches{}).run(150); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a machine that would not notice a broken mechanism.
func TestMachineCatchesFaults(t *testing.T) {
	for name, s := range map[string]testSwitches{
		"first wins":       {lastWins: true},
		"window":           {noWindow: true},
		"start of reading": {ignoreStart: true},
	} {
		rapidtest.RequireCaughtIn(t, name, 100, 2, func(draw func(int) int) error { return newMachine(draw, s).run(400) })
	}
}

// Guards against a fold whose memory grows with the log, or that decides about epochs
// whose claims it has forgotten.
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
	if n := f.Remembered(); n > 1010 {
		t.Errorf("%d keys remembered", n)
	}
	if _, s := f.Lookup("t", "other", 100); s != Blind {
		t.Errorf("status %d of a key whose claims may be forgotten", s)
	}
	if _, s := f.Lookup("t", "other", 499); s != Free {
		t.Errorf("status %d of a new key", s)
	}
}
