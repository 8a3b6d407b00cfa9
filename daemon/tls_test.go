package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/internal/testcert"
	"sesameledge.dev/sesameledge/internal/testlog"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/settings"
)

// source opens a key source whose log lines go to the returned buffer.
func source(t *testing.T, pair settings.KeyPair) (*keySource, *testlog.Buffer) {
	t.Helper()
	out := new(testlog.Buffer)
	s, err := newKeySource(pair, log.NewLogfmtLogger(out))
	if err != nil {
		t.Fatal(err)
	}
	return s, out
}

// listen serves HTTPS with a key source and returns the address.
func listen(t *testing.T, keys *keySource) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: nil}
	go func() { _ = serveHTTP(server, l, keys) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// serial connects with a client certificate, or none, and returns the serial number of
// the server's certificate.
func serial(address string, a *testcert.Authority, client *settings.KeyPair) (int64, error) {
	config := &tls.Config{RootCAs: x509.NewCertPool()}
	config.RootCAs.AddCert(a.Cert)
	if client != nil {
		cert, err := tls.LoadX509KeyPair(client.Cert, client.Key)
		if err != nil {
			return 0, err
		}
		config.Certificates = []tls.Certificate{cert}
	}
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: 5 * time.Second}).Get("https://" + address)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a side that serves clients without a certificate of its CA.
func TestClientCertificateRequired(t *testing.T) {
	a, stranger := testcert.New(t), testcert.New(t)
	keys, _ := source(t, a.Issue("server", 2))
	address := listen(t, keys)
	good, bad := a.Issue("client", 3), stranger.Issue("client", 3)
	if _, err := serial(address, a, nil); err == nil {
		t.Error("a client without a certificate was served")
	}
	if _, err := serial(address, a, &bad); err == nil {
		t.Error("a client with a certificate of another CA was served")
	}
	if n, err := serial(address, a, &good); err != nil || n != 2 {
		t.Errorf("certificate %d, %v", n, err)
	}
}

// Guards against certificates that need a restart, and against a broken file that stops
// the side from serving.
func TestCertificateReload(t *testing.T) {
	a := testcert.New(t)
	pair := a.Issue("server", 2)
	keys, out := source(t, pair)
	address := listen(t, keys)
	client := a.Issue("client", 3)
	change := func(age time.Duration) { // also where file times are coarse
		at := time.Now().Add(age)
		if err := os.Chtimes(pair.Cert, at, at); err != nil {
			t.Fatal(err)
		}
		time.Sleep(reloadEvery + 50*time.Millisecond)
	}
	a.Issue("server", 4)
	change(time.Minute)
	if n, err := serial(address, a, &client); err != nil || n != 4 {
		t.Errorf("after the change: certificate %d, %v", n, err)
	}
	if err := os.WriteFile(pair.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	change(2 * time.Minute)
	if n, err := serial(address, a, &client); err != nil || n != 4 {
		t.Errorf("with a broken file: certificate %d, %v", n, err)
	}
	if !strings.Contains(out.String(), "the old one stays in use") {
		t.Errorf("no log line about the broken file: %s", out)
	}
}

// gossipEcho answers gossip with the message it got.
type gossipEcho struct{ peerpb.UnimplementedPeerServer }

func (gossipEcho) Gossip(_ context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return m, nil
}

// Guards against entry hosts that talk to a peer without a certificate of their CA.
func TestPeersAuthenticateEachOther(t *testing.T) {
	a, stranger := testcert.New(t), testcert.New(t)
	failures := &listenerErrors{log: log.NewNopLogger()}
	serverKeys, _ := source(t, a.Issue("server", 2))
	server := peer.NewServer(newPeerCredentials(serverKeys, failures), new(peer.Traffic))
	peerpb.RegisterPeerServer(server, gossipEcho{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	call := func(keys *keySource) error {
		c := peer.NewClient(newPeerCredentials(keys, failures), new(peer.Traffic), "")
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := c.Gossip(ctx, l.Addr().String(), &member.Message{})
		return err
	}
	good, _ := source(t, a.Issue("peer", 3))
	if err := call(good); err != nil {
		t.Errorf("a peer of the same CA: %v", err)
	}
	bad, _ := source(t, stranger.Issue("peer", 3))
	for name, keys := range map[string]*keySource{"plain TCP": nil, "another CA": bad} {
		if call(keys) == nil {
			t.Errorf("%s: the call succeeded", name)
		}
	}
}
