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

// openKeySource returns a key source and the buffer that receives its log lines.
func openKeySource(t *testing.T, pair settings.KeyPair) (*keySource, *testlog.Buffer) {
	t.Helper()
	out := new(testlog.Buffer)
	s, err := newKeySource(pair, log.NewLogfmtLogger(out))
	if err != nil {
		t.Fatal(err)
	}
	return s, out
}

// serveHTTPSForTest serves HTTPS with a key source and returns its address.
func serveHTTPSForTest(t *testing.T, keys *keySource) string {
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

// serverSerial connects with a client certificate, or with none if client is nil, and returns the
// serial number of the server's certificate.
func serverSerial(address string, a *testcert.Authority, client *settings.KeyPair) (int64, error) {
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

// Guards against a listener that serves clients without a certificate of its CA.
func TestClientCertificateRequired(t *testing.T) {
	a, otherCA := testcert.New(t), testcert.New(t)
	keys, _ := openKeySource(t, a.Issue("server", 2))
	address := serveHTTPSForTest(t, keys)
	good, bad := a.Issue("client", 3), otherCA.Issue("client", 3)
	if _, err := serverSerial(address, a, nil); err == nil {
		t.Error("a client without a certificate was served")
	}
	if _, err := serverSerial(address, a, &bad); err == nil {
		t.Error("a client with a certificate of another CA was served")
	}
	if n, err := serverSerial(address, a, &good); err != nil || n != 2 {
		t.Errorf("certificate %d, %v", n, err)
	}
}

// Guards against new certificates that take effect only after a restart, and against an invalid file
// that stops the listener from serving.
func TestCertificateReload(t *testing.T) {
	a := testcert.New(t)
	pair := a.Issue("server", 2)
	keys, out := openKeySource(t, pair)
	address := serveHTTPSForTest(t, keys)
	client := a.Issue("client", 3)
	touchAndWait := func(age time.Duration) { // sets the time explicitly, since file times may be coarse
		at := time.Now().Add(age)
		if err := os.Chtimes(pair.Cert, at, at); err != nil {
			t.Fatal(err)
		}
		time.Sleep(reloadCheckInterval + 50*time.Millisecond)
	}
	a.Issue("server", 4)
	touchAndWait(time.Minute)
	if n, err := serverSerial(address, a, &client); err != nil || n != 4 {
		t.Errorf("after the change: certificate %d, %v", n, err)
	}
	if err := os.WriteFile(pair.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	touchAndWait(2 * time.Minute)
	if n, err := serverSerial(address, a, &client); err != nil || n != 4 {
		t.Errorf("with a broken file: certificate %d, %v", n, err)
	}
	if !strings.Contains(out.String(), "the old one stays in use") {
		t.Errorf("no log line about the broken file: %s", out)
	}
}

// gossipEcho replies to a gossip message with the same message.
type gossipEcho struct{ peerpb.UnimplementedPeerServer }

func (gossipEcho) Gossip(_ context.Context, m *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	return m, nil
}

// Guards against entry hosts that talk to a peer without a certificate of their CA.
func TestPeersAuthenticateEachOther(t *testing.T) {
	a, otherCA := testcert.New(t), testcert.New(t)
	failures := &listenerErrorLog{log: log.NewNopLogger()}
	serverKeys, _ := openKeySource(t, a.Issue("server", 2))
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
	good, _ := openKeySource(t, a.Issue("peer", 3))
	if err := call(good); err != nil {
		t.Errorf("a peer of the same CA: %v", err)
	}
	bad, _ := openKeySource(t, otherCA.Issue("peer", 3))
	for name, keys := range map[string]*keySource{"plain TCP": nil, "another CA": bad} {
		if call(keys) == nil {
			t.Errorf("%s: the call succeeded", name)
		}
	}
}
