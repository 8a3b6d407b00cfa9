package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
)

// httpClient returns an HTTP client that uses the --ca, --cert and --key options.
func (a *Args) httpClient() (*http.Client, error) {
	if a.CA == "" && a.Cert == "" && a.Key == "" {
		return http.DefaultClient, nil
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.CA != "" {
		caPEM, err := os.ReadFile(a.CA)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "--ca: %v", err)
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(caPEM) {
			return nil, exitErrorf(ExitUsage, "--ca: %s holds no certificate", a.CA)
		}
	}
	if (a.Cert == "") != (a.Key == "") {
		return nil, exitErrorf(ExitUsage, "--cert and --key belong together")
	}
	if a.Cert != "" {
		cert, err := tls.LoadX509KeyPair(a.Cert, a.Key)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "--cert: %v", err)
		}
		tlsConfig.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, ForceAttemptHTTP2: true}}, nil
}

// httpClientKey is the context key of the HTTP client.
type httpClientKey struct{}

// withHTTPClient returns a context with which sendRequest uses the given HTTP client.
func withHTTPClient(ctx context.Context, c *http.Client) context.Context {
	return context.WithValue(ctx, httpClientKey{}, c)
}

// httpClientFrom returns the HTTP client of the context, or the default client.
func httpClientFrom(ctx context.Context) *http.Client {
	if c, ok := ctx.Value(httpClientKey{}).(*http.Client); ok {
		return c
	}
	return http.DefaultClient
}
