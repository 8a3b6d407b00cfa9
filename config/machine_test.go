package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/internal/rapidtest"
)

const validText = "schema: 1\nteams: {a: {weight: 1}}\n"

// drawFunc returns a number in [0, n).
type drawFunc func(n int) int

// machine runs several folds over one log. It compares them with an oracle, which never
// truncates the log and decides about each record when it is appended.
type machine struct {
	draw             drawFunc
	log              [][]byte // records from offset 0, including those truncated
	firstKept        int      // oldest offset that is not truncated
	publicationCount int
	seenIDs          map[string]bool
	acceptedIDs      []string    // identities of the accepted revisions, in order
	expected         []revisions // state after each number of records read
	publications     [][]byte    // all publications; the answer to any of them may have been lost
	oldSnapshots     [][]byte    // all snapshots appended, also by hosts that were restarted
	hosts            []*hostModel
	disconnected     []bool // hosts that cannot reach the platform
	newFold          func() *Fold
}

// revisions holds the numbers of the latest revision and of the one in force.
type revisions struct{ latest, inForce uint64 }

// hostModel is a simulated host.
type hostModel struct {
	fold      *Fold
	revisions // at the last check
}

func newMachine(draw drawFunc, faults injectedFaults) *machine {
	m := &machine{draw: draw, seenIDs: make(map[string]bool), expected: make([]revisions, 1)}
	m.newFold = func() *Fold {
		f := NewFold()
		f.faults = faults
		return f
	}
	for range 4 {
		m.hosts = append(m.hosts, &hostModel{fold: m.newFold()})
	}
	m.disconnected = make([]bool, len(m.hosts))
	return m
}

// append adds a record to the log and has the oracle decide about it: a publication with a new
// identity is accepted if its base is the number of revisions accepted so far.
func (m *machine) append(data []byte) {
	m.log = append(m.log, data)
	next := m.expected[len(m.expected)-1]
	var r struct {
		Record
		Type string `json:"type"`
	}
	if json.Unmarshal(data, &r) == nil && r.Type == "" && !m.seenIDs[r.ID] {
		m.seenIDs[r.ID] = true
		if int(r.Base) == len(m.acceptedIDs) {
			m.acceptedIDs = append(m.acceptedIDs, r.ID)
			next.latest++
			if r.Schema == 1 && r.Text == validText {
				next.inForce = next.latest
			}
		}
	}
	m.expected = append(m.expected, next)
}

// step plays one random event and checks all hosts.
func (m *machine) step() error {
	n := m.draw(len(m.hosts))
	h := m.hosts[n]
	switch m.draw(14) {
	case 0, 1:
		m.publish(h.fold.Revision())
	case 2:
		m.publish(uint64(m.draw(len(m.log) + 2)))
	case 3: // the answer was lost and the publisher appends the record again
		if len(m.publications) > 0 {
			m.append(m.publications[m.draw(len(m.publications))])
		}
	case 4, 5, 6, 7:
		m.read(n, 1+m.draw(6))
	case 8:
		if err := m.appendSnapshot(h, m.draw(4) == 0); err != nil {
			return err
		}
	case 9:
		m.truncate()
	case 10:
		m.hosts[n] = &hostModel{fold: m.newFold()}
	case 11:
		m.disconnected[n] = !m.disconnected[n]
	case 12:
		if err := m.restoreFromPeer(h, m.hosts[m.draw(len(m.hosts))]); err != nil {
			return err
		}
	case 13:
		if len(m.oldSnapshots) > 0 {
			if _, err := h.fold.Restore(m.oldSnapshots[m.draw(len(m.oldSnapshots))]); err != nil {
				return err
			}
		}
	}
	return m.check()
}

// publish makes a publication with the given base, which this build may be unable to apply.
func (m *machine) publish(base uint64) {
	m.publicationCount++
	r := Record{Schema: 1, ID: fmt.Sprintf("id-%d", m.publicationCount), Base: base, Author: "a", Reason: "r", Text: validText}
	switch m.draw(6) {
	case 0:
		r.Schema, r.Text = 2, "schema: 2\nfuture: true\n"
	case 1:
		r.Text = "schema: 1\nteems: {}\n"
	}
	data, _ := json.Marshal(&r)
	m.publications = append(m.publications, data)
	if m.draw(8) > 0 { // otherwise the append had no effect; it may be repeated later
		m.append(data)
	}
}

// read has a host apply up to count records if it can reach the platform.
func (m *machine) read(n, count int) {
	f := m.hosts[n].fold
	if m.disconnected[n] {
		return
	}
	if int(f.Next()) < m.firstKept {
		f.HandleTruncation(uint64(m.firstKept))
	}
	from := int(f.Next())
	for o := from; o < min(from+count, len(m.log)); o++ {
		f.Apply(uint64(o), m.log[o])
	}
}

// appendSnapshot has a host append a snapshot if one is due or force is set.
func (m *machine) appendSnapshot(h *hostModel, force bool) error {
	if h.fold.Seeking() || h.fold.Revision() == 0 || !force && !h.fold.SnapshotDue(uint64(m.firstKept), 8) {
		return nil
	}
	data, err := h.fold.Snapshot()
	if err != nil {
		return err
	}
	m.append(data)
	m.oldSnapshots = append(m.oldSnapshots, data)
	return nil
}

// truncate removes old records if a snapshot remains from which a new host can continue.
func (m *machine) truncate() {
	first := m.firstKept + m.draw(12)
	for o := len(m.log) - 1; o >= first; o-- {
		if s, err := decodeSnapshot(m.log[o]); err == nil && int(s.Next) >= first {
			m.firstKept = first
			return
		}
	}
}

// restoreFromPeer restores a host from the snapshot of a peer that is ahead.
func (m *machine) restoreFromPeer(h, peer *hostModel) error {
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

// checkHost compares a host's state and history with the oracle.
func (m *machine) checkHost(h *hostModel) error {
	f := h.fold
	want, got := m.expected[f.next], revisions{f.Revision(), f.InForce()}
	switch {
	case got.latest < h.latest || got.inForce < h.inForce:
		return errors.Newf("went back from %+v to %+v", h.revisions, got)
	case got != want:
		return errors.Newf("at offset %d: %+v, the oracle has %+v", f.next, got, want)
	}
	for _, s := range f.History() {
		if m.acceptedIDs[s.Number-1] != s.ID {
			return errors.Newf("revision %d is %s, the oracle has %s", s.Number, s.ID, m.acceptedIDs[s.Number-1])
		}
	}
	h.revisions = got
	return nil
}

// run plays some steps, then lets every host reach the platform and checks that each one
// catches up.
func (m *machine) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	for n := range m.hosts {
		m.disconnected[n] = false
		for range 4 {
			m.read(n, len(m.log)+1)
		}
		if f := m.hosts[n].fold; int(f.next) != len(m.log) {
			return errors.Newf("host %d stays at offset %d of %d", n, f.next, len(m.log))
		}
	}
	return m.check()
}

// TestFoldsAgree guards against folds that disagree: a revision that is accepted on only one
// host, accepted twice, lost or reverted. It covers any starting offset and sequence of faults.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "d") }
		if err := newMachine(draw, injectedFaults{}).run(60); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMachineDetectsInjectedFaults guards against a machine that does not detect a missing
// mechanism.
func TestMachineDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"base":     {ignoreBase: true},
		"identity": {ignoreID: true},
		"ahead":    {restoreOlder: true},
		"gap":      {skipUncoveredRecords: true},
		"text":     {rejectUnapplicable: true},
	} {
		rapidtest.RequireCaughtInRuns(t, name, 40, 1, func(draw func(int) int) error { return newMachine(draw, faults).run(150) })
	}
}
