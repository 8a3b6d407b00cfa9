// Package testcert creates certificates and their keys for tests at run time.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/settings"
)

// Authority is a certificate authority for one test. Its certificates are valid for an hour.
type Authority struct {
	Cert *x509.Certificate

	t   testing.TB
	dir string
	key *ecdsa.PrivateKey
}

// New creates an authority. Its files are in a temporary directory of the test.
func New(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := a.sign(template, template, &a.key.PublicKey)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.Cert = cert
	a.writePEM("ca.pem", "CERTIFICATE", der)
	return a
}

// Issue writes a certificate for 127.0.0.1 and extraIPs that is valid for servers and clients. Issuing
// the same name again replaces the files.
func (a *Authority) Issue(name string, serial int64, extraIPs ...net.IP) settings.KeyPair {
	a.t.Helper()
	return a.issue(name, &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		IPAddresses: append([]net.IP{net.IPv4(127, 0, 0, 1)}, extraIPs...),
	})
}

// IssueClient writes a certificate with a common name, a DNS name and a URI. Each of them may be empty or
// nil.
func (a *Authority) IssueClient(file, commonName, dns string, uri *url.URL) settings.KeyPair {
	a.t.Helper()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: commonName}}
	if dns != "" {
		template.DNSNames = []string{dns}
	}
	if uri != nil {
		template.URIs = []*url.URL{uri}
	}
	return a.issue(file, template)
}

// issue writes a certificate that is valid for servers and clients, and its key.
func (a *Authority) issue(name string, template *x509.Certificate) settings.KeyPair {
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key := a.newKey()
	der := a.sign(template, a.Cert, &key.PublicKey)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return settings.KeyPair{
		Cert:     a.writePEM(name+".pem", "CERTIFICATE", der),
		Key:      a.writePEM(name+".key", "EC PRIVATE KEY", keyDER),
		ClientCA: filepath.Join(a.dir, "ca.pem"),
	}
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *Authority) sign(template, parent *x509.Certificate, key *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *Authority) writePEM(name, blockType string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}
