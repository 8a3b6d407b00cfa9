package client

import (
	"testing"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
)

// TestClientWithoutHosts guards against a nil error, and the panic of a caller that then reads the reply,
// where no host is configured.
func TestClientWithoutHosts(t *testing.T) {
	c := New(Options{})
	if _, err := c.Submit(t.Context(), &api.Job{}); !errors.Is(err, ErrNoHost) {
		t.Errorf("Submit returns %v, want ErrNoHost", err)
	}
	if _, err := c.Run(t.Context(), api.Job{}); !errors.Is(err, ErrNoHost) {
		t.Errorf("Run returns %v, want ErrNoHost", err)
	}
}

// TestOverloadIsNoBadRequest guards against a job with a key that is given up because the hosts are
// overloaded, as if its request were wrong.
func TestOverloadIsNoBadRequest(t *testing.T) {
	k := &keyRun{client: New(Options{Hosts: []string{"a"}}), sent: 2}
	for range 3 {
		if k.handleReply(api.Refusal(api.Errorf(api.CodeOverloaded, "", "busy"))) {
			t.Fatal("an overloaded host ended the submissions")
		}
	}
	if !k.handleReply(api.Refusal(api.Errorf(api.CodeMalformed, "", "no job"))) {
		t.Error("a bad request is submitted again")
	}
}
