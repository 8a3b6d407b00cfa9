package command

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a command line that cannot reach operators' addresses over TLS, and against a hosts
// table that does not show a host's state.
func TestHostsOverTLS(t *testing.T) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `[{"host":"wien-a-1","zone":"wien-a","state":"leaving","last_heard_ms":1200,"config_revision":7}]`)
	}))
	srv.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	srv.StartTLS()
	defer srv.Close()
	dir := t.TempDir()
	serverCert := srv.TLS.Certificates[0]
	privateKey, err := x509.MarshalPKCS8PrivateKey(serverCert.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	cert := writePEM(t, dir, "cert.pem", "CERTIFICATE", serverCert.Certificate[0])
	key := writePEM(t, dir, "key.pem", "PRIVATE KEY", privateKey)
	for _, tc := range []struct {
		args []string
		code int
	}{
		{[]string{"--ca", cert, "--cert", cert, "--key", key}, ExitOK},
		{[]string{"--ca", cert}, ExitFailed},
		{[]string{"--cert", cert, "--key", key}, ExitFailed},
		{[]string{"--ca", cert, "--cert", cert}, ExitUsage},
	} {
		var out bytes.Buffer
		code := Main(append(tc.args, "--operator", srv.URL, "hosts"), Env{Out: &out, Err: io.Discard})
		if code != tc.code {
			t.Errorf("%v: exit code %d, want %d", tc.args, code, tc.code)
		}
		if code == ExitOK && !strings.Contains(out.String(), "leaving  1.2s") {
			t.Errorf("table: %s", out.String())
		}
	}
}

func writePEM(t *testing.T, dir, name, blockType string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
