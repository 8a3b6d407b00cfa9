package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
)

// httpClient returns the client for the --ca, --cert and --key options.
func (a *Args) httpClient() (*http.Client, error) {
	if a.CA == "" && a.Cert == "" && a.Key == "" {
		return http.DefaultClient, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.CA != "" {
		text, err := os.ReadFile(a.CA)
		if err != nil {
			return nil, exitWith(ExitUsage, "--ca: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, exitWith(ExitUsage, "--ca: %s holds no certificate", a.CA)
		}
	}
	if (a.Cert == "") != (a.Key == "") {
		return nil, exitWith(ExitUsage, "--cert and --key belong together")
	}
	if a.Cert != "" {
		cert, err := tls.LoadX509KeyPair(a.Cert, a.Key)
		if err != nil {
			return nil, exitWith(ExitUsage, "--cert: %v", err)
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}, nil
}

type httpClientKey struct{}

// withHTTPClient makes call use a client.
func withHTTPClient(ctx context.Context, c *http.Client) context.Context {
	return context.WithValue(ctx, httpClientKey{}, c)
}

func httpClientOf(ctx context.Context) *http.Client {
	if c, ok := ctx.Value(httpClientKey{}).(*http.Client); ok {
		return c
	}
	return http.DefaultClient
}
