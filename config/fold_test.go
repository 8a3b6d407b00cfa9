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

// TestFold guards against changes of what a fold accepts, reports and keeps. Commands:
//
//	record fold=F offset=N id=ID base=N [schema=N] [author=A] [reason=R]   (text in the input)
//	raw fold=F offset=N               applies the input as a record
//	truncated fold=F first=N
//	snapshot from=F to=G [offset=N]   restores G, or applies the snapshot as a record at N
//	state fold=F
func TestFold(t *testing.T) {
	folds := make(map[string]*Fold)
	fold := func(d *datadriven.TestData, key string) *Fold {
		name := stringArg(d, key)
		if folds[name] == nil {
			folds[name] = NewFold()
		}
		return folds[name]
	}
	datadriven.RunTest(t, "testdata/fold", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "record":
			return formatOutcome(fold(d, "fold").Apply(uintArg(d, "offset"), encodeRecord(d)))
		case "raw":
			return formatOutcome(fold(d, "fold").Apply(uintArg(d, "offset"), []byte(d.Input)))
		case "truncated":
			fold(d, "fold").HandleTruncation(uintArg(d, "first"))
			return formatState(fold(d, "fold"))
		case "snapshot":
			data, err := fold(d, "from").Snapshot()
			if err != nil {
				return err.Error()
			}
			if d.HasArg("offset") {
				return formatOutcome(fold(d, "to").Apply(uintArg(d, "offset"), data))
			}
			ahead, err := fold(d, "to").Restore(data)
			return fmt.Sprintf("ahead=%v err=%v\n%s", ahead, err, formatState(fold(d, "to")))
		case "state":
			return formatState(fold(d, "fold"))
		}
		return "unknown command"
	})
}

// stringArg returns the first value of a command's argument, or "".
func stringArg(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return a.Vals[0]
		}
	}
	return ""
}

// uintArg returns a command's argument as a number, or 0.
func uintArg(d *datadriven.TestData, key string) uint64 {
	n, _ := strconv.ParseUint(stringArg(d, key), 10, 64)
	return n
}

// encodeRecord returns the publication that a record command describes.
func encodeRecord(d *datadriven.TestData) []byte {
	r := Record{Schema: max(int(uintArg(d, "schema")), 1), ID: stringArg(d, "id"), Base: uintArg(d, "base"),
		Author: stringArg(d, "author"), Reason: "because", Text: d.Input + "\n"}
	data, _ := json.Marshal(&r)
	return data
}

func formatOutcome(o Outcome) string {
	return fmt.Sprintf("accepted=%v revision=%d ignored=%v restored=%v: %s", o.Accepted, o.Revision, o.Ignored, o.Restored, o.Reason)
}

func formatState(f *Fold) string {
	return fmt.Sprintf("next=%d seeking=%v latest=%d in_force=%d problem=%q", f.Next(), f.Seeking(), f.Revision(), f.InForce(), f.Problem())
}

// TestParseReportsFindings guards against missing findings and findings without their line and
// column.
func TestParseReportsFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, d *datadriven.TestData) string {
		var list finding.List
		Parse("f.yaml", []byte(d.Input), &list)
		if list.Empty() {
			return "ok"
		}
		return list.Err().Error()
	})
}

// TestMemoryAndSnapshotAreBounded guards against memory that grows with the number of
// revisions. It also guards against snapshots that are larger than the platform accepts
// (1 MiB) when records have the largest size.
func TestMemoryAndSnapshotAreBounded(t *testing.T) {
	f := NewFold()
	padding := strings.Repeat("#", 180<<10)
	for i := range 3 * maxHistoryEntries {
		text, schema := validText, 1
		if i%64 == 0 || i == 3*maxHistoryEntries-1 {
			text, schema = padding, 2
		}
		if i == 3*maxHistoryEntries-2 {
			text += padding
		}
		data, _ := json.Marshal(&Record{Schema: schema, ID: fmt.Sprintf("publication-%020d", i), Base: uint64(i), Text: text})
		if o := f.Apply(uint64(i), data); !o.Accepted {
			t.Fatal(o)
		}
	}
	if n := len(f.History()); n != maxHistoryEntries {
		t.Errorf("%d revisions in the history", n)
	}
	if f.history.dataBytes > maxHistoryBytes+MaxRecordBytes || len(f.outcomes.ids) > maxOutcomes || len(f.outcomes.byID) > maxOutcomes {
		t.Errorf("%d bytes of history, %d outcomes", f.history.dataBytes, len(f.outcomes.ids))
	}
	data, err := f.Snapshot()
	if err != nil || len(data) > 1<<20 {
		t.Fatalf("snapshot of %d bytes, %v", len(data), err)
	}
	t.Logf("largest snapshot %d bytes", len(data))
	g := NewFold()
	if ok, err := g.Restore(data); !ok || err != nil || g.InForce() != f.InForce() || g.Revision() != f.Revision() {
		t.Fatalf("restored %v %v: %s", ok, err, formatState(g))
	}
	again, _ := g.Snapshot()
	h := NewFold()
	if ok, err := h.Restore(again); !ok || err != nil || string(h.candidates[0].Data) != string(f.candidates[0].Data) {
		t.Fatal("a record of a newer schema did not survive two snapshots unchanged")
	}
}
