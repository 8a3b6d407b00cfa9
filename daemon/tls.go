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

// reloadCheckInterval is the shortest time between checks whether the TLS files have changed.
const reloadCheckInterval = time.Second

// keyMaterial is the certificate and CA of one listener, read at the same time.
type keyMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool // nil if clients need no certificate
}

// keySource holds the key material of one listener and reloads it when a file has changed. If the new
// files are invalid, the old material stays in use. It is safe for concurrent use.
type keySource struct {
	pair settings.KeyPair
	log  log.Logger

	mu        sync.Mutex
	current   keyMaterial
	modTime   time.Time // newest modification time at the last load, whether it succeeded or failed
	lastCheck time.Time
}

// newKeySource reads the key material. It returns nil for a listener without a certificate.
func newKeySource(pair settings.KeyPair, logger log.Logger) (*keySource, error) {
	if !pair.Enabled() {
		return nil, nil
	}
	material, err := loadKeys(pair)
	if err != nil {
		return nil, err
	}
	return &keySource{pair: pair, log: logger, current: material, modTime: newestModTime(pair), lastCheck: time.Now()}, nil
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

// newestModTime returns the newest modification time of those files that exist.
func newestModTime(pair settings.KeyPair) time.Time {
	var newest time.Time
	for _, path := range []string{pair.Cert, pair.Key, pair.ClientCA} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// currentKeys returns the material in use, after a reload if the files have changed.
func (k *keySource) currentKeys() keyMaterial {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.lastCheck) < reloadCheckInterval {
		return k.current
	}
	k.lastCheck = time.Now()
	changed := newestModTime(k.pair)
	if changed.Equal(k.modTime) {
		return k.current
	}
	k.modTime = changed
	material, err := loadKeys(k.pair)
	if err != nil {
		level.Error(k.log).Log("msg", "changed certificate cannot be used; the old one stays in use", "cert", k.pair.Cert, "err", err)
		return k.current
	}
	k.current = material
	level.Info(k.log).Log("msg", "certificate reloaded", "cert", k.pair.Cert)
	return material
}

// serverConfig returns a server configuration that uses the current key material for each handshake.
func (k *keySource) serverConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys := k.currentKeys()
			c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{keys.cert}}
			if keys.ca != nil {
				c.ClientCAs, c.ClientAuth = keys.ca, tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// peerCredentials are the gRPC credentials between entry hosts. A host uses the same certificate as
// client and as server, and verifies its peers against the client CA.
type peerCredentials struct {
	credentials.TransportCredentials // for the server side
	source                           *keySource
	errorLog                         *listenerErrorLog
}

// newPeerCredentials returns nil, which means plain TCP, if there is no key source.
func newPeerCredentials(source *keySource, errorLog *listenerErrorLog) credentials.TransportCredentials {
	if source == nil {
		return nil
	}
	return &peerCredentials{TransportCredentials: credentials.NewTLS(source.serverConfig("h2")), source: source, errorLog: errorLog}
}

// ServerHandshake implements credentials.TransportCredentials. It logs failed handshakes, which gRPC
// does not.
func (p *peerCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := p.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		p.errorLog.recordConnHandshakeFailure(conn, err)
	}
	return secured, info, err
}

// ClientHandshake implements credentials.TransportCredentials with the current key material.
func (p *peerCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	keys := p.source.currentKeys()
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: keys.ca, Certificates: []tls.Certificate{keys.cert}}
	return credentials.NewTLS(config).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (p *peerCredentials) Clone() credentials.TransportCredentials {
	return &peerCredentials{TransportCredentials: p.TransportCredentials.Clone(), source: p.source, errorLog: p.errorLog}
}

// serveHTTP serves on a listener, with TLS unless the key source is nil.
func serveHTTP(server *http.Server, l net.Listener, source *keySource) error {
	if source == nil {
		return server.Serve(l)
	}
	server.TLSConfig = source.serverConfig("h2", "http/1.1")
	return server.ServeTLS(l, "", "")
}

// tlsKeySources holds the key sources of the three listeners; nil means plain TCP.
type tlsKeySources struct{ callers, peers, operators *keySource }

func newTLSKeySources(s settings.TLS, logger log.Logger) (tlsKeySources, error) {
	var out tlsKeySources
	var err error
	for _, side := range []struct {
		target **keySource
		pair   settings.KeyPair
	}{{&out.callers, s.Callers}, {&out.peers, s.Peers}, {&out.operators, s.Operators}} {
		if *side.target, err = newKeySource(side.pair, logger); err != nil {
			return tlsKeySources{}, err
		}
	}
	return out, nil
}
