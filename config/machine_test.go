package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/internal/rapidtest"
)

const goodText = "schema: 1\nteams: {a: {weight: 1}}\n"

// draw returns a number in [0, n).
type draw func(n int) int

// machine runs several folds over one log and compares them with an oracle that keeps
// the whole log and judges it with a loop.
type machine struct {
	draw    draw
	log     [][]byte // from offset 0, also what the log has truncated
	first   int
	sentIDs int
	seen    map[string]bool
	ids     []string    // identities of the accepted revisions
	oracle  []revisions // by number of records read
	sent    [][]byte    // publications whose answer may have been lost
	saved   [][]byte    // old snapshots, also those of hosts that are gone
	hosts   []*hostModel
	cut     []bool // hosts without the platform
	newFold func() *Fold
}

type revisions struct{ revision, applied uint64 }

type hostModel struct {
	fold *Fold
	revisions
}

func newMachine(d draw, s testSwitches) *machine {
	m := &machine{draw: d, seen: make(map[string]bool), oracle: make([]revisions, 1)}
	m.newFold = func() *Fold {
		f := NewFold()
		f.test = s
		return f
	}
	for range 4 {
		m.hosts = append(m.hosts, &hostModel{fold: m.newFold()})
	}
	m.cut = make([]bool, len(m.hosts))
	return m
}

// append adds a record to the log and has the oracle judge it: a publication that the log
// holds for the first time is accepted if its base is the number of revisions so far.
func (m *machine) append(data []byte) {
	m.log = append(m.log, data)
	before := m.oracle[len(m.oracle)-1]
	var r struct {
		Record
		Type string `json:"type"`
	}
	if json.Unmarshal(data, &r) == nil && r.Type == "" && !m.seen[r.ID] {
		m.seen[r.ID] = true
		if int(r.Base) == len(m.ids) {
			m.ids = append(m.ids, r.ID)
			before.revision++
			if r.Schema == 1 && r.Text == goodText {
				before.applied = before.revision
			}
		}
	}
	m.oracle = append(m.oracle, before)
}

func (m *machine) step() error {
	n := m.draw(len(m.hosts))
	h := m.hosts[n]
	switch m.draw(14) {
	case 0, 1:
		m.publish(h.fold.Revision())
	case 2:
		m.publish(uint64(m.draw(len(m.log) + 2)))
	case 3: // the answer was lost and the publisher sends the record again
		if len(m.sent) > 0 {
			m.append(m.sent[m.draw(len(m.sent))])
		}
	case 4, 5, 6, 7:
		m.read(n, 1+m.draw(6))
	case 8:
		if err := m.snapshot(h, m.draw(4) == 0); err != nil {
			return err
		}
	case 9:
		m.truncate()
	case 10:
		m.hosts[n] = &hostModel{fold: m.newFold()}
	case 11:
		m.cut[n] = !m.cut[n]
	case 12:
		if err := m.pull(h, m.hosts[m.draw(len(m.hosts))]); err != nil {
			return err
		}
	case 13:
		if len(m.saved) > 0 {
			if _, err := h.fold.Restore(m.saved[m.draw(len(m.saved))]); err != nil {
				return err
			}
		}
	}
	return m.check()
}

func (m *machine) publish(base uint64) {
	m.sentIDs++
	r := Record{Schema: 1, ID: fmt.Sprintf("id-%d", m.sentIDs), Base: base, Author: "a", Reason: "r", Text: goodText}
	switch m.draw(6) {
	case 0:
		r.Schema, r.Text = 2, "schema: 2\nfuture: true\n"
	case 1:
		r.Text = "schema: 1\nteems: {}\n"
	}
	data, _ := json.Marshal(&r)
	m.sent = append(m.sent, data)
	if m.draw(8) > 0 { // otherwise the append had no effect, and may be sent again
		m.append(data)
	}
}

func (m *machine) read(n, count int) {
	f := m.hosts[n].fold
	if m.cut[n] {
		return
	}
	if int(f.Next()) < m.first {
		f.Truncated(uint64(m.first))
	}
	from := int(f.Next())
	for o := from; o < min(from+count, len(m.log)); o++ {
		f.Apply(uint64(o), m.log[o])
	}
}

func (m *machine) snapshot(h *hostModel, force bool) error {
	if h.fold.Seeking() || h.fold.Revision() == 0 || !force && !h.fold.SnapshotDue(uint64(m.first), 8) {
		return nil
	}
	data, err := h.fold.Snapshot()
	if err != nil {
		return err
	}
	m.append(data)
	m.saved = append(m.saved, data)
	return nil
}

// truncate drops old records as long as a snapshot remains from which a new host can
// go on.
func (m *machine) truncate() {
	first := m.first + m.draw(12)
	for o := len(m.log) - 1; o >= first; o-- {
		if s, err := decodeSnapshot(m.log[o]); err == nil && int(s.Next) >= first {
			m.first = first
			return
		}
	}
}

func (m *machine) pull(h, peer *hostModel) error {
	if peer.fold.Revision() <= h.fold.Revision() {
		return nil
	}
	data, err := peer.fold.Snapshot()
	if err != nil {
		return err
	}
	_, err = h.fold.Restore(data)
	return err
}

func (m *machine) check() error {
	for i, h := range m.hosts {
		if err := m.checkHost(h); err != nil {
			return errors.Wrapf(err, "host %d", i)
		}
	}
	return nil
}

func (m *machine) checkHost(h *hostModel) error {
	f := h.fold
	want, got := m.oracle[f.next], revisions{f.Revision(), f.InForce()}
	switch {
	case got.revision < h.revision || got.applied < h.applied:
		return errors.Newf("went back from %+v to %+v", h.revisions, got)
	case got != want:
		return errors.Newf("at offset %d: %+v, the oracle has %+v", f.next, got, want)
	}
	for _, s := range f.History() {
		if m.ids[s.Number-1] != s.ID {
			return errors.Newf("revision %d is %s, the oracle has %s", s.Number, s.ID, m.ids[s.Number-1])
		}
	}
	h.revisions = got
	return nil
}

// run takes some steps, then heals everything and checks that each host catches up.
func (m *machine) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	for n := range m.hosts {
		m.cut[n] = false
		for range 4 {
			m.read(n, len(m.log)+1)
		}
		if f := m.hosts[n].fold; int(f.next) != len(m.log) {
			return errors.Newf("host %d stays at offset %d of %d", n, f.next, len(m.log))
		}
	}
	return m.check()
}

// Guards against folds that disagree: a revision accepted on one host only, accepted
// twice, lost or reverted, whatever the host's starting point and history of faults.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "d") }
		if err := newMachine(d, testSwitches{}).run(60); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a machine that would not notice a broken mechanism.
func TestMachineCatchesFaults(t *testing.T) {
	for name, s := range map[string]testSwitches{
		"base":     {ignoreBase: true},
		"identity": {ignoreIdentity: true},
		"ahead":    {acceptOlder: true},
		"gap":      {skipRecords: true},
		"text":     {judgeText: true},
	} {
		rapidtest.RequireCaughtIn(t, name, 40, 1, func(draw func(int) int) error { return newMachine(draw, s).run(150) })
	}
}
