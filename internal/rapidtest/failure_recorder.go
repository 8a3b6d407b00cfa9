package rapidtest

import (
	"flag"
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// failureRecorder records the failure of a rapid check instead of failing the test.
type failureRecorder struct {
	rapid.TB
	failed  bool
	message string
}

func (r *failureRecorder) Helper()             {}
func (r *failureRecorder) Logf(string, ...any) {}
func (r *failureRecorder) Log(...any)          {}
func (r *failureRecorder) Failed() bool        { return r.failed }
func (r *failureRecorder) Fail()               { r.failed = true }

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failed = true
	if r.message == "" {
		r.message = fmt.Sprintf(format, args...)
	}
}

func (r *failureRecorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	r.FailNow()
}

func (r *failureRecorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// RequireCaught runs a rapid check with a mechanism switched off. It fails the test if the check passes,
// because then the check does not detect that the mechanism is off.
func RequireCaught(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	recorder := &failureRecorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(recorder, check)
	}()
	<-done
	if !recorder.failed {
		t.Fatal("the check passed although the mechanism is off")
	}
	t.Log(recorder.message)
}

// ExpectFailures sets the flags of rapid for checks that are expected to fail: no shrinking, and enough
// checks to find rare failures. The old values return at the end of the test.
func ExpectFailures(t *testing.T) {
	setFlag(t, "rapid.shrinktime", "0s")
	setFlag(t, "rapid.checks", "30000") // the rarest failure takes a few thousand checks
}

func setFlag(t *testing.T, name, value string) {
	old := flag.Lookup(name).Value.String()
	_ = flag.Set(name, value)
	t.Cleanup(func() { _ = flag.Set(name, old) })
}
