package entry

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sesameledge.dev/sesameledge/fleet"
)

// TestSettings guards against invalid settings that are accepted, and against problems that are
// reported one at a time.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		s, err := ParseSettings("settings.yaml", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%+v\n", *s)
	})
}

// stalledWriter is a log output whose writes block until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write([]byte) (int, error) {
	<-s.release
	return 0, errors.New("closed")
}

// TestLogNeverBlocks guards against log calls that wait for a stalled output, which would delay
// the event loop, and against a buffer that grows without bound in the meantime.
func TestLogNeverBlocks(t *testing.T) {
	l := newLogWriter(1 << 20)
	out := stalledWriter{release: make(chan struct{})}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		l.run(out, stop)
		close(ended)
	}()
	line := []byte(strings.Repeat("x", 99) + "\n")
	begin := time.Now()
	for range 200000 {
		_, _ = l.Write(line)
	}
	if took := time.Since(begin); took > 5*time.Second {
		t.Errorf("200,000 lines took %v", took)
	}
	if l.pending.Len() > maxPendingBytes {
		t.Errorf("%d bytes are buffered", l.pending.Len())
	}
	if l.droppedLines() == 0 {
		t.Error("no line was dropped")
	}
	close(stop)
	close(out.release)
	<-ended
}

// TestLogRate guards against a log whose volume grows with the load, and against lines that are
// dropped without being counted.
func TestLogRate(t *testing.T) {
	l := newLogWriter(10)
	for range 50 {
		_, _ = l.Write([]byte("line\n"))
	}
	var out bytes.Buffer
	l.flush(&out)
	if got := strings.Count(out.String(), "line\n"); got != 10 {
		t.Errorf("%d lines were written, want 10", got)
	}
	if !strings.Contains(out.String(), `msg="lines left out" count=40`) {
		t.Errorf("the dropped lines are not counted: %q", out.String())
	}
}

// TestRoutes guards against a route that takes precedence over one with a longer prefix, and
// against a comparison of host names that includes the port or the case.
func TestRoutes(t *testing.T) {
	r := newRouteTable(&fleet.Config{Routes: []fleet.Route{
		{Name: "short", Host: "a.example", Prefix: "/p/"},
		{Name: "long", Host: "a.example", Prefix: "/p/q/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/p/1", "short"}, {"A.Example:80", "/p/q/1", "long"}, {"b.example", "/p/1", ""}, {"a.example", "/x", ""},
	} {
		if got, _ := r.find(c.host, c.path); got.Name != c.want {
			t.Errorf("%s%s: %q, want %q", c.host, c.path, got.Name, c.want)
		}
	}
}
