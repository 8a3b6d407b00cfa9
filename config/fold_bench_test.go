package config

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkFold measures the size of a record and the time to apply it, with 110 teams and 40
// kinds.
func BenchmarkFold(b *testing.B) {
	var text strings.Builder
	text.WriteString("schema: 1\nteams:\n")
	for i := range 110 {
		fmt.Fprintf(&text, "  team-%03d: {weight: %d, max_tasks: 6000}\n", i, 1+i%4)
	}
	text.WriteString("kinds:\n")
	for i := range 40 {
		fmt.Fprintf(&text, "  kind-%02d: {group: g, idempotent: true, default_deadline: 5s, max_tasks: 1800}\n", i)
	}
	text.WriteString("groups: {g: {endpoints: minion}}\n")
	f := NewFold()
	var recordBytes int
	offset := uint64(0)
	for b.Loop() {
		rec := Record{Schema: 1, ID: fmt.Sprint(offset), Base: f.Revision(), Author: "operator", Reason: "quota", Text: text.String()}
		data, err := rec.Encode()
		if err != nil {
			b.Fatal(err)
		}
		recordBytes = len(data)
		if o := f.Apply(offset, data); !o.Accepted {
			b.Fatalf("not accepted: %s", o.Reason)
		}
		offset++
	}
	b.ReportMetric(float64(recordBytes), "B/record")
}
