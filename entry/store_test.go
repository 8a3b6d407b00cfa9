package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
)

// TestNewestFenceIsAnnounced guards against a fencing token that is dropped because many wait for the
// store: processes that start later would make lower ones.
func TestNewestFenceIsAnnounced(t *testing.T) {
	const tokens = 200
	proceed := make(chan struct{})
	written := make(chan string, tokens)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-proceed
		body, _ := io.ReadAll(r.Body)
		written <- string(body)
	}))
	defer server.Close()
	h := &Host{
		settings: &Settings{Host: "h", Zone: "z", Cores: 1, CoreShare: 1}, logger: log.NewNopLogger(), recordDue: make(chan struct{}, 1),
		store: platform.NewStoreClient(server.Listener.Addr().String(), http.DefaultTransport),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.announceHost(ctx)
	for fence := range int64(tokens) {
		h.announceFence(host.AnnounceFence{Fence: fence + 1})
	}
	close(proceed)
	for deadline := time.After(5 * time.Second); ; {
		select {
		case body := <-written:
			if strings.Contains(body, `"fence":200`) {
				return
			}
		case <-deadline:
			t.Fatal("the newest token was not written")
		}
	}
}

// TestForeignRecordsAreIgnored guards against records of other writers that reach the state machine, which
// forwards entries to other hosts, and against log lines as long as the records.
func TestForeignRecordsAreIgnored(t *testing.T) {
	l, _ := newTestLoop()
	var out bytes.Buffer
	h := &Host{loop: l, logger: log.NewLogfmtLogger(&out)}
	h.handleWorkerRecords([]platform.Record{{Key: "\xff\xfe0", Value: []byte("{}")}, {Key: strings.Repeat("k", 5000)}, {Key: "i-1", Value: []byte("{}")}}, true, 0)
	if ev := (<-l.events).(host.WorkersRead); len(ev.Records) != 1 || ev.Records[0].ID != "i-1" {
		t.Errorf("the records %+v were taken", ev.Records)
	}
	if n := strings.Count(out.String(), "record ignored"); n != 2 || out.Len() > 1000 {
		t.Errorf("%d lines of %d bytes: %s", n, out.Len(), out.String())
	}
	out.Reset()
	const highest = `{"name":"h","addr":"127.0.0.1:1","fence":FENCE}`
	h.handleHostRecords([]platform.Record{
		{Value: []byte(strings.Replace(highest, "FENCE", "9007199254740991", 1))}, {Value: []byte(strings.Replace(highest, "FENCE", "7", 1))}, {Key: "\xff", Value: []byte("\xff")},
	}, true, 0)
	if ev := (<-l.events).(host.HostsDiscovered); ev.MaxFence != 7 || len(ev.Hosts) != 2 {
		t.Errorf("got %+v, want the token 7", ev)
	}
}

// TestLongLinesAreCut guards against a line that takes the place of all others in the buffer.
func TestLongLinesAreCut(t *testing.T) {
	l := newLogWriter(10)
	_, _ = l.Write([]byte(strings.Repeat("x", 1<<20) + "\n"))
	_, _ = l.Write([]byte("next\n"))
	var out bytes.Buffer
	l.flush(&out)
	if !strings.HasSuffix(out.String(), "...\nnext\n") || out.Len() > 2*maxLineBytes {
		t.Errorf("%d bytes were written", out.Len())
	}
}
