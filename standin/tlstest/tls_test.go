// Package tlstest tests a whole deployment in which hosts use TLS among themselves and with callers. Package
// testbed starts the deployment.
package tlstest

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/internal/testcert"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// configYAML is the dispatcher configuration of the deployment.
const configYAML = `schema: 1
teams: {association: {weight: 1}}
kinds: {price-check: {group: demo, idempotent: true, default_deadline: 10s}}
groups: {demo: {endpoints: minion}}
`

// TestDeploymentWithTLS guards against a client or server side of TLS that works only in its own unit tests. Jobs
// are submitted over TLS to a host that does not own their tickets, so the host forwards them to the owner over
// TLS with client certificates.
func TestDeploymentWithTLS(t *testing.T) {
	binDir := t.TempDir()
	if err := testbed.Build(binDir); err != nil {
		t.Fatal(err)
	}
	authority := testcert.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: binDir, Dir: t.TempDir(), Zones: []string{"ernakulam", "malabar"},
		Hosts: 2, Minions: 2, Group: "demo", Seed: 1, Config: configYAML,
		AdjustSettings: func(n int, s *settings.Settings) {
			ip, _, _ := net.SplitHostPort(s.Listen.Peers)
			keyPair := authority.Issue(s.Host, int64(n+2), net.ParseIP(ip))
			s.TLS.Peers = keyPair
			s.TLS.Callers = settings.KeyPair{Cert: keyPair.Cert, Key: keyPair.Key}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Stop()
	owner, other := newClient(authority, bed.Hosts[0]), newClient(authority, bed.Hosts[1])
	tickets, err := owner.Tickets(ctx, 20, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range tickets.Tickets {
		job := api.Job{Schema: api.Schema, Ticket: id, Team: "association", Kind: "price-check",
			Tasks: []api.Task{{Payload: json.RawMessage(`{"run_ms":5,"echo":"a"}`)}}}
		reply, err := other.Submit(ctx, &job)
		if err != nil || reply.Outcome != api.Complete {
			t.Fatalf("ticket %s through the other host: %+v, %v", id, reply, err)
		}
	}
	var status daemon.Status
	if err := testbed.GetJSON(ctx, bed.Hosts[1].OperatorsURL()+"/v1/status", &status); err != nil {
		t.Fatal(err)
	}
	if status.Forward.Forwarded < 20 {
		t.Errorf("%d requests were forwarded, want 20", status.Forward.Forwarded)
	}
}

// newClient returns a client of the host that trusts only certificates of the given authority.
func newClient(a *testcert.Authority, h *testbed.Host) *client.Client {
	pool := x509.NewCertPool()
	pool.AddCert(a.Cert)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	url := strings.Replace(h.CallersURL(), "http:", "https:", 1)
	return client.New(client.Options{Hosts: []string{url}, HTTP: &http.Client{Transport: transport}})
}
