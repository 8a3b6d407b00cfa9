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

// sendPlainText sends plain text to a TLS listener and returns when the connection has ended.
func sendPlainText(t *testing.T, address string) {
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

// Guards against failed handshakes that are neither logged nor counted, that are logged under the name
// of another part, or that flood the log.
func TestHandshakeErrorsAreLoggedAndCounted(t *testing.T) {
	const attempts = 12
	out, addresses := new(testlog.Buffer), freeAddresses(t, 4)
	pair := testcert.New(t).Issue("server", 2)
	s := settings.Defaults()
	s.Host, s.Zone = "host", "zone"
	s.Listen = settings.Listen{Callers: addresses[0], Peers: addresses[1], Operators: addresses[2]}
	s.Platform.URL = "http://" + addresses[3]
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
	for range attempts {
		for _, address := range addresses[:3] {
			sendPlainText(t, address)
		}
	}
	want := fmt.Sprintf(`{"callers":%d,"peers":%d,"operators":%d}`, attempts, attempts, attempts)
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
			t.Errorf("part %s: %d lines, want 1 of %d errors", part, n, attempts)
		}
	}
	handshakeLines := 0
	for line := range strings.Lines(lines) {
		if strings.Contains(line, "handshake") {
			handshakeLines++
		}
	}
	if handshakeLines != 3 {
		t.Errorf("%d lines about handshakes, want 3:\n%s", handshakeLines, lines)
	}
}

// Guards against a limiter that does not report how many lines it suppressed, or that suppresses lines
// for ever.
func TestLineLimiter(t *testing.T) {
	var l lineLimiter
	start := time.Now()
	for _, c := range []struct {
		after      time.Duration
		suppressed int
		ok         bool
	}{
		{0, 0, true}, {time.Millisecond, 0, false}, {listenerLogInterval - 1, 0, false},
		{listenerLogInterval, 2, true}, {2 * listenerLogInterval, 0, true},
	} {
		if suppressed, ok := l.allow(start.Add(c.after)); suppressed != c.suppressed || ok != c.ok {
			t.Errorf("after %v: %d, %v, want %d, %v", c.after, suppressed, ok, c.suppressed, c.ok)
		}
	}
}
