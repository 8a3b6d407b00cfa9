package command

import (
	"strings"
	"testing"

	"sesameledge.dev/sesameledge/daemon"
)

// Guards against a table in which a host that stays behind looks like one that is up to
// date, or one that did not answer looks like either.
func TestHostRowShowsLatest(t *testing.T) {
	for _, c := range []struct {
		view daemon.HostView
		want string
	}{
		{daemon.HostView{ConfigRevision: 4, ConfigLatest: 4, ConfigLatestSchema: 1}, "-"},
		{daemon.HostView{ConfigRevision: 4, ConfigLatest: 6, ConfigLatestSchema: 2}, "6 (schema 2)"},
		{daemon.HostView{ConfigRevision: 4, ConfigLatest: 6}, "6"},
		{daemon.HostView{ConfigRevision: 4}, "?"},
	} {
		row := hostRow(&c.view)
		if len(row) != len(strings.Fields(hostsHeader)) || row[len(row)-1] != c.want {
			t.Errorf("%+v: row %q, want %q at its end", c.view, row, c.want)
		}
	}
}
