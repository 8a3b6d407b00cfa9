package command

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
)

// Guards against a wait that counts a host as confirmed that is not, that leaves out a
// suspected host, or that waits for hosts that leave or are gone.
func TestConfirmations(t *testing.T) {
	serve := func(pages map[string]string) string {
		mux := http.NewServeMux()
		for path, body := range pages {
			mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		}
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		return server.URL
	}
	list := `[{"host":"a","state":"live","config_revision":3},{"host":"b","state":"suspect","config_revision":3},
		{"host":"c","state":"live","config_revision":4},{"host":"d","state":"leaving","config_revision":1},
		{"host":"e","state":"gone"},{"host":"f","state":"live","config_revision":2}]`
	a := serve(map[string]string{"/v1/hosts": list, "/v1/status": `{"host":"a","config_revision":4}`})
	plain := serve(map[string]string{"/v1/status": `{"host":"x","config_revision":3}`})
	const dead = "http://127.0.0.1:1"
	for _, c := range []struct {
		operators []string
		hosts     int
		missing   []string
	}{
		{[]string{a, dead}, 4, []string{"b (suspect)", "f"}},
		{[]string{plain, dead}, 2, []string{dead, "x"}},
	} {
		hosts, missing := confirmations(context.Background(), c.operators, 4)
		if hosts != c.hosts || !slices.Equal(missing, c.missing) {
			t.Errorf("%v: %d hosts, missing %q", c.operators, hosts, missing)
		}
	}
}
