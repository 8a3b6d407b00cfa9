package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/internal/testcert"
	"sesameledge.dev/sesameledge/internal/testlog"
	"sesameledge.dev/sesameledge/settings"
)

// talkPlain sends plain text to a TLS listener and returns when the connection ends.
func talkPlain(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against failed handshakes that no log line or counter shows, that show under
// another part's name, or that flood the log.
func TestHandshakeErrorsAreLoggedAndCounted(t *testing.T) {
	const tries = 12
	out, at := new(testlog.Buffer), freeAddresses(t, 4)
	pair := testcert.New(t).Issue("server", 2)
	s := settings.Defaults()
	s.Host, s.Zone = "host", "zone"
	s.Listen = settings.Listen{Callers: at[0], Peers: at[1], Operators: at[2]}
	s.Platform.URL = "http://" + at[3]
	s.TLS = settings.TLS{Callers: pair, Peers: pair, Operators: pair}
	s.Log.Level = "debug"
	d, err := New(&s, out)
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.shutdown)
	for range tries {
		for _, address := range at[:3] {
			talkPlain(t, address)
		}
	}
	want := fmt.Sprintf(`{"callers":%d,"peers":%d,"operators":%d}`, tries, tries, tries)
	got := func() string { return d.metrics.Get("tls_handshake_errors").String() }
	for end := time.Now().Add(5 * time.Second); got() != want && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if !json.Valid([]byte(got())) || got() != want {
		t.Errorf("counted %s, want %s", got(), want)
	}
	lines := out.String()
	for _, part := range []string{"callers", "peer", "operators"} {
		if n := strings.Count(lines, "part="+part+" msg=\"TLS handshake failed\" remote=127.0.0.1:"); n != 1 {
			t.Errorf("part %s: %d lines, want 1 of %d errors", part, n, tries)
		}
	}
	about := 0
	for line := range strings.Lines(lines) {
		if strings.Contains(line, "handshake") {
			about++
		}
	}
	if about != 3 {
		t.Errorf("%d lines about handshakes, want 3:\n%s", about, lines)
	}
}

// Guards against a limit that hides how many lines it held back, or never ends.
func TestLineLimit(t *testing.T) {
	var l lineLimit
	start := time.Now()
	for _, c := range []struct {
		after time.Duration
		held  int
		ok    bool
	}{
		{0, 0, true}, {time.Millisecond, 0, false}, {listenerLogEvery - 1, 0, false},
		{listenerLogEvery, 2, true}, {2 * listenerLogEvery, 0, true},
	} {
		if held, ok := l.pass(start.Add(c.after)); held != c.held || ok != c.ok {
			t.Errorf("after %v: %d, %v, want %d, %v", c.after, held, ok, c.held, c.ok)
		}
	}
}
