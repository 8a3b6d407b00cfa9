package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/settings"
)

// freeAddresses returns n loopback addresses that were free when it was called.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		out[i] = l.Addr().String()
	}
	return out
}

// startPair starts two daemons that know each other and cannot reach a platform. The older one applies
// schema versions up to 1, the newer one up to 2.
func startPair(t *testing.T) (older, newer *Daemon) {
	t.Helper()
	addresses := freeAddresses(t, 7)
	pair := make([]*Daemon, 2)
	for i := range pair {
		s := settings.Defaults()
		s.Host, s.Zone = fmt.Sprintf("host-%d", i+1), "zone"
		s.Listen = settings.Listen{Callers: addresses[3*i], Peers: addresses[3*i+1], Operators: addresses[3*i+2]}
		s.Peers = []settings.Peer{{Host: fmt.Sprintf("host-%d", 2-i), Zone: "zone", Address: addresses[4-3*i]}}
		s.Platform.URL = "http://" + addresses[6]
		d, err := newWithConfigSchema(i+1, &s, io.Discard)
		if err == nil {
			err = d.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.shutdown)
		pair[i] = d
	}
	return pair[0], pair[1]
}

// sendConfigRecord sends a daemon the next record of the config stream, as if it came from the log.
func sendConfigRecord(t *testing.T, d *Daemon, schema int) {
	t.Helper()
	base := d.latestRevision()
	rec := config.Record{Schema: schema, ID: fmt.Sprintf("id-%d", base), Base: base,
		Text: fmt.Sprintf("schema: %d\nteams: {a: {weight: 1}}\n", schema)}
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d.loop.send(core.ConfigRecord{Offset: base, Data: data})
}

// hostRevisions returns the revisions of each host, as one text, that a daemon reports to operators.
func hostRevisions(t *testing.T, d *Daemon) map[string]string {
	t.Helper()
	resp, err := http.Get("http://" + d.settings.Listen.Operators + "/v1/hosts?latest")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var hosts []HostView
	if err := json.NewDecoder(resp.Body).Decode(&hosts); err != nil {
		t.Fatal(err)
	}
	out := make(map[string]string)
	for _, h := range hosts {
		out[h.Host] = fmt.Sprintf("reads %d, in force %d, latest %d of schema %d", h.ConfigSchema, h.ConfigRevision, h.ConfigLatest, h.ConfigLatestSchema)
	}
	return out
}

// Guards against a rolling upgrade in which operators cannot see that a host of the older release
// stays behind because it has accepted, but cannot apply, a newer schema version.
func TestHostsShowLatestRevisionOfOlderRelease(t *testing.T) {
	older, newer := startPair(t)
	sendConfigRecord(t, newer, 1)
	sendConfigRecord(t, newer, 2)
	want := map[string]string{
		"host-1": "reads 1, in force 1, latest 2 of schema 2",
		"host-2": "reads 2, in force 2, latest 2 of schema 2",
	}
	for _, daemon := range []*Daemon{older, newer} {
		var got map[string]string
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if got = hostRevisions(t, daemon); fmt.Sprint(got) == fmt.Sprint(want) {
				break
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s shows %v, want %v", daemon.settings.Host, got, want)
		}
	}
}
