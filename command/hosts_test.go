package command

import (
	"strings"
	"testing"

	"sesameledge.dev/sesameledge/daemon"
)

// Guards against a table in which a host that lags behind the latest revision looks up to date, or a
// host whose latest revision is not known looks like one of these.
func TestHostRowShowsLatestRevision(t *testing.T) {
	for _, tc := range []struct {
		view daemon.HostView
		want string
	}{
		{daemon.HostView{ConfigRevision: 4, ConfigLatest: 4, ConfigLatestSchema: 1}, "-"},
		{daemon.HostView{ConfigRevision: 4, ConfigLatest: 6, ConfigLatestSchema: 2}, "6 (schema 2)"},
		{daemon.HostView{ConfigRevision: 4, ConfigLatest: 6}, "6"},
		{daemon.HostView{ConfigRevision: 4}, "?"},
	} {
		row := hostRow(&tc.view)
		if len(row) != len(strings.Fields(hostsHeader)) || row[len(row)-1] != tc.want {
			t.Errorf("%+v: row %q, want %q at its end", tc.view, row, tc.want)
		}
	}
}
