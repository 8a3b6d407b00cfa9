package configproof

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
)

// Guards against a host that cannot find a revision after the log has dropped the
// readStream before it, or that never catches up after a partition during which they were dropped.
func TestHostsStartAndResumeAfterTruncation(t *testing.T) {
	s := newSite(t, 3, platformsim.Config{Retention: 30}, func(s *settings.Settings) {
		s.Platform.SnapshotRecords, s.Platform.SnapshotDelay = 10, 50*time.Millisecond
	})
	s.startHosts(0)
	last := s.publishPastRetention(0)
	s.stopHost(0)
	// No peer is up, so the new host needs the snapshot.
	s.startHosts(2)
	s.awaitInForce(2, last)
	if v := s.configView(2); v.Source != "snapshot" && v.Source != "log" {
		t.Errorf("the new host has its configuration from %q", v.Source)
	}
	s.startHosts(1)
	s.awaitInForce(1, last)
	s.setPlatformCut(1, true)
	last = s.publishPastRetention(2)
	s.stopHost(2)
	s.setPlatformCut(1, false)
	s.awaitInForce(1, last)
}

// publishPastRetention publishes more revisions through a host than the log retains and returns the
// last one.
func (s *site) publishPastRetention(n int) (last uint64) {
	s.t.Helper()
	for range 80 {
		last = s.publishNext(n)
	}
	return last
}

// Guards against a host without configuration because the log has dropped the records and
// nobody has appended a snapshot yet, and against a log that drops the last snapshot by
// its age.
func TestMissingAndExpiringSnapshots(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, platformsim.Config{Retention: 10}, func(s *settings.Settings) {
		s.Platform.SnapshotDelay = time.Hour
		if s.Host == "host-2" {
			s.Platform.SnapshotDelay, s.Platform.SnapshotAge = 10*time.Millisecond, 100*time.Millisecond
		}
	})
	s.startHosts(0)
	var last uint64
	for range 30 {
		last = s.publishNext(0)
	}
	s.startHosts(1)
	if took := s.awaitInForce(1, last); took > maxPropagationDelay {
		t.Errorf("without a snapshot in the log the configuration came after %v", took)
	}
	s.startHosts(2)
	s.awaitInForce(2, last)
	for deadline := time.Now().Add(5 * time.Second); s.configView(0).NextOffset < last+3; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("an old snapshot is not renewed")
		}
	}
}

// Guards against a host that starts during an outage of the log and gets no configuration, or does not
// report that its configuration came from a peer. The log either refuses requests or lets them hang.
func TestHostStartsDuringAnOutage(t *testing.T) {
	s := newSite(t, 3, platformsim.Config{}, nil)
	s.startHosts(0, 1)
	s.publishNext(0)
	s.awaitInForce(1, 1)
	for _, o := range []platformsim.Outage{platformsim.OutageUnavailable, platformsim.OutageHang} {
		s.setLogOutage(o)
		s.startHosts(2)
		took := s.awaitInForce(2, 1)
		v := s.configView(2)
		t.Logf("outage %s: configuration after %v from %q", o, took, v.Source)
		if took > maxPropagationDelay || !strings.HasPrefix(string(v.Source), "peer host-") || v.LogReadable {
			t.Errorf("outage %s: after %v %+v", o, took, v)
		}
		s.setLogOutage(platformsim.OutageOff)
		s.stopHost(2)
	}
}

// Guards against a host that gets a revision late, or never, because it alone cannot
// reach the platform: its connection is cut, or no longer delivers data.
func TestRevisionReachesHostWithoutPlatform(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, platformsim.Config{}, nil)
	s.startHosts(0, 1, 2, 3)
	for n := range 4 {
		s.awaitInForce(n, s.publishIfNone())
	}
	s.setPlatformCut(1, true)
	must(t, s.proxy.SetFault(proxysim.FaultRequest{Route: "platform-2", BlackHole: true}))
	for range 2 {
		revision := s.publishNext(0)
		for n := range 4 {
			if took := s.awaitInForce(n, revision); took > maxPropagationDelay {
				t.Errorf("revision %d is in force on host %d after %v", revision, n, took)
			}
		}
	}
	if v := s.configView(1); !strings.HasPrefix(string(v.Source), "peer ") {
		t.Errorf("the host that is cut off has its configuration from %q", v.Source)
	}
}

// publishIfNone returns the latest revision that host 0 knows, after publishing one if there is none.
func (s *site) publishIfNone() uint64 {
	if n := s.configView(0).LatestRevision; n > 0 {
		return n
	}
	return s.publishNext(0)
}

// Guards against a host that reads in a busy loop when the log answers at once, whatever the answer.
func TestLogReadRateIsBounded(t *testing.T) {
	t.Parallel()
	const period = 1500 * time.Millisecond
	for name, answer := range map[string]struct {
		status int
		body   string
	}{
		"refused":   {http.StatusServiceUnavailable, `{}`},
		"empty":     {http.StatusOK, `{"first":0,"next":0,"records":[]}`},
		"truncated": {http.StatusGone, `{"first":5,"next":9,"records":[]}`},
	} {
		var reads atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/streams/config/") {
				reads.Add(1)
			}
			w.WriteHeader(answer.status)
			_, _ = w.Write([]byte(answer.body))
		}))
		d, err := daemon.New(newSettings(t, 0, server.URL, nil), httptest.NewRecorder())
		must(t, err)
		must(t, d.Start())
		time.Sleep(period)
		d.Drain()
		server.Close()
		if n := reads.Load(); n < 2 || n > 12 {
			t.Errorf("%s: %d reads in %v", name, n, period)
		}
	}
}
