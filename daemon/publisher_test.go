package daemon

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/internal/testcert"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/settings"
)

// publishFixture is a daemon that verifies client certificates on the operators' listener, with a log
// that only accepts appends and counts them.
type publishFixture struct {
	daemon  *Daemon
	ca      *testcert.Authority
	appends atomic.Uint64
}

func newPublishFixture(t *testing.T, publishers, tokens []string) *publishFixture {
	t.Helper()
	p := &publishFixture{ca: testcert.New(t)}
	log := httptest.NewServer(http.HandlerFunc(p.serveLog))
	t.Cleanup(log.Close)
	addresses := freeAddresses(t, 3)
	s := settings.Defaults()
	s.Host, s.Zone = "host", "zone"
	s.Listen = settings.Listen{Callers: addresses[0], Peers: addresses[1], Operators: addresses[2]}
	s.Platform.URL = log.URL
	s.TLS.Operators = p.ca.Issue("server", 2)
	s.Operators = settings.Operators{Publishers: publishers, PublishTokens: tokens}
	d, err := New(&s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	p.daemon = d
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.shutdown)
	return p
}

// serveLog accepts appends to the config stream and sends each record to the daemon.
func (p *publishFixture) serveLog(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/v1/streams/config/records" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, _ := io.ReadAll(r.Body)
	offset := p.appends.Add(1) - 1
	p.daemon.loop.send(core.ConfigRecord{Offset: offset, Data: data})
	writeJSON(w, http.StatusOK, logapi.AppendReply{Offset: offset})
}

// publish sends a record with a client certificate and returns the status and error code.
func (p *publishFixture) publish(t *testing.T, pair settings.KeyPair, id, token string) (int, api.Code) {
	t.Helper()
	cert, err := tls.LoadX509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(p.ca.Cert)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{cert}}}
	defer transport.CloseIdleConnections()
	rec := config.Record{Schema: 1, ID: id, Base: p.daemon.latestRevision(), Author: "somebody else", Text: "schema: 1\nteams: {a: {weight: 1}}\n"}
	body, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "https://"+p.daemon.settings.Listen.Operators+"/v1/config", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var refusal api.Error
	if err := json.NewDecoder(resp.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, refusal.Code
}

// author returns the author of the latest revision.
func (p *publishFixture) author() (author string) {
	p.daemon.loop.query(func(_ time.Duration, s *core.State) {
		if h := s.Config.History(); len(h) > 0 {
			author = h[len(h)-1].Author
		}
	})
	return author
}

// Guards against publications by holders of certificates of the CA that are not listed as publishers,
// and against a recorded author other than the verified name.
func TestPublisherNames(t *testing.T) {
	const uri = "spiffe://example.org/operator"
	parsed, err := url.Parse(uri)
	if err != nil {
		t.Fatal(err)
	}
	p := newPublishFixture(t, []string{"anna", "ops.example.org", uri}, nil)
	for _, c := range []struct {
		file   string
		pair   settings.KeyPair
		author string // empty if refused
	}{
		{"common", p.ca.IssueClient("common", "anna", "", nil), "anna"},
		{"dns", p.ca.IssueClient("dns", "x", "ops.example.org", nil), "ops.example.org"},
		{"uri", p.ca.IssueClient("uri", "", "", parsed), uri},
		{"other", p.ca.IssueClient("other", "bob", "example.org", nil), ""},
		{"case", p.ca.IssueClient("case", "Anna", "sub.ops.example.org", nil), ""},
		{"none", p.ca.IssueClient("none", "", "", nil), ""},
	} {
		appendsBefore := p.appends.Load()
		status, code := p.publish(t, c.pair, c.file, "")
		if c.author == "" {
			if status != http.StatusForbidden || code != api.CodePublisher || p.appends.Load() != appendsBefore {
				t.Errorf("%s: status %d, code %q, %d appends", c.file, status, code, p.appends.Load()-appendsBefore)
			}
			continue
		}
		if status != http.StatusOK || p.author() != c.author {
			t.Errorf("%s: status %d, author %q, want %q", c.file, status, p.author(), c.author)
		}
	}
}

// Guards against a check of publishers that replaces the check of tokens, or the reverse.
func TestPublishNeedsListedNameAndToken(t *testing.T) {
	const token = "0123456789abcdef"
	p := newPublishFixture(t, []string{"anna"}, []string{token})
	anna, bob := p.ca.IssueClient("anna", "anna", "", nil), p.ca.IssueClient("bob", "bob", "", nil)
	if status, code := p.publish(t, anna, "a", "wrong"); status != http.StatusUnauthorized || code != api.CodeUnauthorized {
		t.Errorf("a listed name without the token: status %d, code %q", status, code)
	}
	if status, code := p.publish(t, bob, "b", token); status != http.StatusForbidden || code != api.CodePublisher {
		t.Errorf("another name with the token: status %d, code %q", status, code)
	}
	if status, _ := p.publish(t, anna, "c", token); status != http.StatusOK || p.author() != "anna" {
		t.Errorf("both: status %d, author %q", status, p.author())
	}
}
