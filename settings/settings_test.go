package settings

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse guards against invalid settings that are accepted, and against problems that are
// reported one at a time or without their line.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse("file.yaml", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return "ok: " + s.Host + " in " + s.Zone + "\n"
	})
}

// TestExamples guards against example files that the daemon would reject.
func TestExamples(t *testing.T) {
	for _, file := range []string{
		"association/ernakulam-1", "association/malabar-1", "association/tvm-south-1",
		"abzeichenwerk/wien-a-1", "abzeichenwerk/noe-b-1", "abzeichenwerk/bgld-c-1",
	} {
		s, err := Load("../examples/" + file + ".yaml")
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if len(s.Peers) != 6 {
			t.Errorf("%s: %d peers, want 6 of 7 entry hosts", file, len(s.Peers))
		}
	}
}
