package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against an explanation that misses lines about the request or names the wrong cause. The input
// is the log of several hosts, the argument is the identity of a request or job.
func TestExplain(t *testing.T) {
	datadriven.RunTest(t, "testdata/explain", func(t *testing.T, d *datadriven.TestData) string {
		var id string
		d.ScanArgs(t, "id", &id)
		var out, errOut bytes.Buffer
		code := Main([]string{"explain", id}, Env{In: strings.NewReader(d.Input), Out: &out, Err: &errOut})
		if code != ExitOK {
			return errOut.String()
		}
		return out.String()
	})
}
