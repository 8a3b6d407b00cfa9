package command

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
)

// Guards against a check that counts a host as confirmed although it has an older revision in force,
// that leaves out a suspected host, or that includes hosts that are leaving or gone.
func TestCheckConfirmations(t *testing.T) {
	serve := func(pages map[string]string) string {
		mux := http.NewServeMux()
		for path, body := range pages {
			mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		}
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		return server.URL
	}
	hostList := `[{"host":"a","state":"live","config_revision":3},{"host":"b","state":"suspect","config_revision":3},
		{"host":"c","state":"live","config_revision":4},{"host":"d","state":"leaving","config_revision":1},
		{"host":"e","state":"gone"},{"host":"f","state":"live","config_revision":2}]`
	withList := serve(map[string]string{"/v1/hosts": hostList, "/v1/status": `{"host":"a","config_revision":4}`})
	withoutList := serve(map[string]string{"/v1/status": `{"host":"x","config_revision":3}`})
	const unreachable = "http://127.0.0.1:1"
	for _, tc := range []struct {
		operators []string
		hosts     int
		missing   []string
	}{
		{[]string{withList, unreachable}, 4, []string{"b (suspect)", "f"}},
		{[]string{withoutList, unreachable}, 2, []string{unreachable, "x"}},
	} {
		hosts, missing := checkConfirmations(context.Background(), tc.operators, 4)
		if hosts != tc.hosts || !slices.Equal(missing, tc.missing) {
			t.Errorf("%v: %d hosts, missing %q", tc.operators, hosts, missing)
		}
	}
}
