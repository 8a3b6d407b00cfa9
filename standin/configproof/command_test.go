package configproof

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sesameledge.dev/sesameledge/command"
	"sesameledge.dev/sesameledge/standin/platformsim"
)

// Guards against a command line that reports a publication wrongly, does not wait for
// every host, or does not name the host that has not confirmed.
func TestConfigCommands(t *testing.T) {
	s := newSite(t, 2, platformsim.Config{}, nil)
	s.startHosts(0, 1)
	file := filepath.Join(t.TempDir(), "c.yaml")
	write := func(content string) { must(t, os.WriteFile(file, []byte(content), 0o600)) }
	run := func(wantCode int, wantText string, args ...string) {
		t.Helper()
		var out bytes.Buffer
		argv := append([]string{"--operator", s.operatorURL(0), "--operator", s.operatorURL(1), "--timeout", "2s"}, args...)
		code := command.Main(argv, command.Env{Out: &out, Err: &out})
		if code != wantCode || !strings.Contains(out.String(), wantText) {
			t.Errorf("%v: code %d, %s", args, code, out.String())
		}
	}
	write(configText)
	run(command.ExitOK, "in force on 2 hosts", "config", "publish", file, "--reason", "first", "--author", "ann", "--wait")
	run(command.ExitConflict, "ann has published revision 1 (first)", "config", "publish", file, "--base", "0", "--reason", "x", "--author", "bob")
	write(configText + "policy: {max_tasks: 7}\n")
	run(command.ExitOK, "+policy: {max_tasks: 7}", "config", "diff", file)
	run(command.ExitOK, "published revision 2", "config", "publish", file, "--reason", "limit", "--author", "bob")
	run(command.ExitOK, "-policy: {max_tasks: 7}", "config", "diff", "--to", "1")
	run(command.ExitOK, "in force on 2 hosts", "config", "rollback", "1", "--reason", "too low", "--author", "ann", "--wait")
	run(command.ExitOK, "3         ", "config", "history")
	run(command.ExitOK, "max_tasks: 7", "config", "show", "--revision", "2")
	run(command.ExitFailed, "revision 9 is not held", "config", "show", "--revision", "9")
	write("schema: 1\nteams: {A: {}}\n")
	run(command.ExitUsage, "c.yaml:2:12: teams.A: the name", "config", "validate", file)
}
