package rapidtest

import (
	"flag"
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// probe takes the result of a rapid check that is expected to fail.
type probe struct {
	rapid.TB
	failed  bool
	message string
}

func (p *probe) Helper()             {}
func (p *probe) Logf(string, ...any) {}
func (p *probe) Log(...any)          {}
func (p *probe) Failed() bool        { return p.failed }
func (p *probe) Fail()               { p.failed = true }

func (p *probe) Errorf(format string, args ...any) {
	p.failed = true
	if p.message == "" {
		p.message = fmt.Sprintf(format, args...)
	}
}

func (p *probe) Fatalf(format string, args ...any) {
	p.Errorf(format, args...)
	p.FailNow()
}

func (p *probe) FailNow() {
	p.failed = true
	runtime.Goexit()
}

// RequireCaught fails the test if the check passes, because then the oracle has not noticed
// that a mechanism is off.
func RequireCaught(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	p := &probe{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(p, check)
	}()
	<-done
	if !p.failed {
		t.Fatal("the oracle did not notice that the mechanism is off")
	}
	t.Log(p.message)
}

// ExpectFailures sets rapid up for checks that should fail soon, for the rest of the test.
func ExpectFailures(t *testing.T) {
	setFlag(t, "rapid.shrinktime", "0s")
	setFlag(t, "rapid.checks", "30000") // the rarest failure takes a few thousand
}

func setFlag(t *testing.T, name, value string) {
	old := flag.Lookup(name).Value.String()
	_ = flag.Set(name, value)
	t.Cleanup(func() { _ = flag.Set(name, old) })
}
