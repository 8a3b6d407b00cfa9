package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"sesameledge.dev/sesameledge/finding"
)

// Guards against changes of what a fold accepts, reports and keeps. Commands:
//
//	record fold=F offset=N id=ID base=N [schema=N] [author=A] [reason=R]   (text in the input)
//	raw fold=F offset=N        the input is the record
//	truncated fold=F first=N
//	snapshot from=F to=G [offset=N]   restores G, or applies the record there
//	state fold=F
func TestFold(t *testing.T) {
	folds := make(map[string]*Fold)
	fold := func(d *datadriven.TestData, key string) *Fold {
		name := word(d, key)
		if folds[name] == nil {
			folds[name] = NewFold()
		}
		return folds[name]
	}
	datadriven.RunTest(t, "testdata/fold", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "record":
			return describe(fold(d, "fold").Apply(argument(d, "offset"), recordOf(d)))
		case "raw":
			return describe(fold(d, "fold").Apply(argument(d, "offset"), []byte(d.Input)))
		case "truncated":
			fold(d, "fold").Truncated(argument(d, "first"))
			return state(fold(d, "fold"))
		case "snapshot":
			data, err := fold(d, "from").Snapshot()
			if err != nil {
				return err.Error()
			}
			if d.HasArg("offset") {
				return describe(fold(d, "to").Apply(argument(d, "offset"), data))
			}
			ahead, err := fold(d, "to").Restore(data)
			return fmt.Sprintf("ahead=%v err=%v\n%s", ahead, err, state(fold(d, "to")))
		case "state":
			return state(fold(d, "fold"))
		}
		return "unknown command"
	})
}

func word(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return a.Vals[0]
		}
	}
	return ""
}

func argument(d *datadriven.TestData, key string) uint64 {
	n, _ := strconv.ParseUint(word(d, key), 10, 64)
	return n
}

func recordOf(d *datadriven.TestData) []byte {
	r := Record{Schema: max(int(argument(d, "schema")), 1), ID: word(d, "id"), Base: argument(d, "base"),
		Author: word(d, "author"), Reason: "because", Text: d.Input + "\n"}
	data, _ := json.Marshal(&r)
	return data
}

func describe(o Outcome) string {
	return fmt.Sprintf("accepted=%v revision=%d ignored=%v restored=%v: %s", o.Accepted, o.Revision, o.Ignored, o.Restored, o.Reason)
}

func state(f *Fold) string {
	return fmt.Sprintf("next=%d seeking=%v latest=%d in_force=%d problem=%q", f.Next(), f.Seeking(), f.Revision(), f.InForce(), f.Problem())
}

// Guards against findings that are missing or lack their place.
func TestFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, d *datadriven.TestData) string {
		var list finding.List
		Parse("f.yaml", []byte(d.Input), &list)
		if list.Empty() {
			return "ok"
		}
		return list.Err().Error()
	})
}

// Guards against memory that grows with the number of revisions, and against a snapshot
// that is larger than the platform takes (1 MiB) with records of the largest size.
func TestMemoryAndSnapshotAreBounded(t *testing.T) {
	f := NewFold()
	padding := strings.Repeat("#", 180<<10)
	for i := range 3 * maxHistory {
		text, schema := goodText, 1
		if i%64 == 0 || i == 3*maxHistory-1 {
			text, schema = padding, 2
		}
		if i == 3*maxHistory-2 {
			text += padding
		}
		data, _ := json.Marshal(&Record{Schema: schema, ID: fmt.Sprintf("publication-%020d", i), Base: uint64(i), Text: text})
		if o := f.Apply(uint64(i), data); !o.Accepted {
			t.Fatal(o)
		}
	}
	if n := len(f.History()); n != maxHistory {
		t.Errorf("%d revisions in the history", n)
	}
	if f.history.bytes > maxHistoryBytes+MaxRecordBytes || len(f.outcomes.order) > maxOutcomes || len(f.outcomes.byID) > maxOutcomes {
		t.Errorf("%d bytes of history, %d outcomes", f.history.bytes, len(f.outcomes.order))
	}
	data, err := f.Snapshot()
	if err != nil || len(data) > 1<<20 {
		t.Fatalf("snapshot of %d bytes, %v", len(data), err)
	}
	t.Logf("largest snapshot %d bytes", len(data))
	g := NewFold()
	if ok, err := g.Restore(data); !ok || err != nil || g.InForce() != f.InForce() || g.Revision() != f.Revision() {
		t.Fatalf("restored %v %v: %s", ok, err, state(g))
	}
	again, _ := g.Snapshot()
	h := NewFold()
	if ok, err := h.Restore(again); !ok || err != nil || string(h.frontier[0].Data) != string(f.frontier[0].Data) {
		t.Fatal("a record of a newer schema did not survive two snapshots unchanged")
	}
}
