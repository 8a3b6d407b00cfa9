package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/grpc/credentials"

	"sesameledge.dev/sesameledge/settings"
)

// reloadEvery is the least time between checks whether key files have changed.
const reloadEvery = time.Second

// keyMaterial is one side's certificate and CA as read at one time.
type keyMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool // nil if clients need no certificate
}

// keySource holds the key material of one side and reads it again when a file has
// changed. Broken files leave the old material in use. It is safe for concurrent use.
type keySource struct {
	pair settings.KeyPair
	log  log.Logger

	mu      sync.Mutex
	current keyMaterial
	changed time.Time // newest modification time of the files in use, or of broken ones
	checked time.Time
}

// newKeySource reads the key material. It returns nil for a side without a certificate.
func newKeySource(pair settings.KeyPair, logger log.Logger) (*keySource, error) {
	if !pair.Enabled() {
		return nil, nil
	}
	material, err := loadKeys(pair)
	if err != nil {
		return nil, err
	}
	return &keySource{pair: pair, log: logger, current: material, changed: newestChange(pair), checked: time.Now()}, nil
}

func loadKeys(pair settings.KeyPair) (keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return keyMaterial{}, errors.Wrapf(err, "reading certificate %s", pair.Cert)
	}
	m := keyMaterial{cert: cert}
	if pair.ClientCA == "" {
		return m, nil
	}
	text, err := os.ReadFile(pair.ClientCA)
	if err != nil {
		return keyMaterial{}, errors.Wrap(err, "reading the client CA")
	}
	m.ca = x509.NewCertPool()
	if !m.ca.AppendCertsFromPEM(text) {
		return keyMaterial{}, errors.Newf("%s holds no certificate", pair.ClientCA)
	}
	return m, nil
}

// newestChange returns the newest modification time of the files that exist.
func newestChange(pair settings.KeyPair) time.Time {
	var newest time.Time
	for _, path := range []string{pair.Cert, pair.Key, pair.ClientCA} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// keys returns the material in use, after a reload if one is due.
func (k *keySource) keys() keyMaterial {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) < reloadEvery {
		return k.current
	}
	k.checked = time.Now()
	changed := newestChange(k.pair)
	if changed.Equal(k.changed) {
		return k.current
	}
	k.changed = changed
	material, err := loadKeys(k.pair)
	if err != nil {
		level.Error(k.log).Log("msg", "changed certificate cannot be used; the old one stays in use", "cert", k.pair.Cert, "err", err)
		return k.current
	}
	k.current = material
	level.Info(k.log).Log("msg", "certificate reloaded", "cert", k.pair.Cert)
	return material
}

// serverConfig reads the key material for each handshake.
func (k *keySource) serverConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys := k.keys()
			c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{keys.cert}}
			if keys.ca != nil {
				c.ClientCAs, c.ClientAuth = keys.ca, tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// peerCredentials are the credentials between entry hosts. A host shows the same
// certificate as client and as server, and checks its peers against the client CA.
type peerCredentials struct {
	credentials.TransportCredentials // server side
	source                           *keySource
	errors                           *listenerErrors
}

// newPeerCredentials returns nil for plain TCP.
func newPeerCredentials(source *keySource, errs *listenerErrors) credentials.TransportCredentials {
	if source == nil {
		return nil
	}
	return &peerCredentials{TransportCredentials: credentials.NewTLS(source.serverConfig("h2")), source: source, errors: errs}
}

// ServerHandshake implements credentials.TransportCredentials. gRPC does not log its errors.
func (p *peerCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := p.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		p.errors.handshakeError(conn, err)
	}
	return secured, info, err
}

// ClientHandshake implements credentials.TransportCredentials with the present keys.
func (p *peerCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	keys := p.source.keys()
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: keys.ca, Certificates: []tls.Certificate{keys.cert}}
	return credentials.NewTLS(config).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (p *peerCredentials) Clone() credentials.TransportCredentials {
	return &peerCredentials{TransportCredentials: p.TransportCredentials.Clone(), source: p.source, errors: p.errors}
}

// serveHTTP serves on a listener, with TLS if the side has a certificate.
func serveHTTP(server *http.Server, l net.Listener, source *keySource) error {
	if source == nil {
		return server.Serve(l)
	}
	server.TLSConfig = source.serverConfig("h2", "http/1.1")
	return server.ServeTLS(l, "", "")
}

// sides holds the key sources of the three listeners; nil means plain TCP.
type sides struct{ callers, peers, operators *keySource }

func newSides(s settings.TLS, logger log.Logger) (sides, error) {
	var out sides
	var err error
	for _, side := range []struct {
		into **keySource
		pair settings.KeyPair
	}{{&out.callers, s.Callers}, {&out.peers, s.Peers}, {&out.operators, s.Operators}} {
		if *side.into, err = newKeySource(side.pair, logger); err != nil {
			return sides{}, err
		}
	}
	return out, nil
}
