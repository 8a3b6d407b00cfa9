// Package clitest runs the command line as a separate process against a deployment.
package clitest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/command"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const bedConfig = `schema: 1
teams: {association: {weight: 1}}
kinds: {price-check: {group: demo, idempotent: true, default_deadline: 10s}}
groups: {demo: {endpoints: minion}}
`

const (
	shortJob = `{"schema":1,"team":"association","kind":"price-check","tasks":[{"payload":{"run_ms":20,"echo":"a"}}]}`
	longJob  = `{"schema":1,"team":"association","kind":"price-check","tasks":[{"payload":{"run_ms":8000,"echo":"a"}}]}`
	strayJob = `{"schema":1,"team":"nobody","kind":"price-check","tasks":[{}]}`
)

// cli runs the command line against one deployment.
type cli struct {
	t   *testing.T
	bed *testbed.Bed
	bin string
	dir string
}

func startCLI(t *testing.T) *cli {
	t.Helper()
	t.Parallel()
	c := &cli{t: t, bin: t.TempDir(), dir: t.TempDir()}
	if err := testbed.Build(c.bin); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: c.bin, Dir: c.dir, Zones: []string{"ernakulam", "malabar"},
		Hosts: 2, Minions: 2, Group: "demo", Seed: 1, Config: bedConfig,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	c.bed = bed
	return c
}

// file writes a file and returns its path.
func (c *cli) file(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// run runs a command and checks its exit code and a part of its output.
func (c *cli) run(wantCode int, wantOutput string, args ...string) string {
	c.t.Helper()
	host := c.bed.Hosts[0]
	all := append([]string{"--host", host.CallersURL(), "--operator", host.OperatorsURL()}, args...)
	cmd := exec.Command(filepath.Join(c.bin, "sesameledge"), all...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	code := 0
	var exit *exec.ExitError
	if err := cmd.Run(); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		c.t.Fatal(err)
	}
	if code != wantCode || !strings.Contains(out.String()+errOut.String(), wantOutput) {
		c.t.Errorf("sesameledge %s: exit code %d, want %d with output %q; got\n%s%s",
			strings.Join(args, " "), code, wantCode, wantOutput, out.String(), errOut.String())
	}
	return strings.TrimSpace(out.String())
}

// TestJobCommands guards against wrong exit codes, on which callers' scripts rely.
func TestJobCommands(t *testing.T) {
	c := startCLI(t)
	c.run(command.ExitOK, "complete", "job", "submit", c.file("short.json", shortJob))
	c.run(command.ExitUsage, "malformed_json", "job", "submit", c.file("broken.json", "{"))
	c.run(command.ExitUsage, "no such file", "job", "submit", filepath.Join(c.dir, "absent.json"))
	c.run(command.ExitRefused, "unknown_team", "job", "submit", c.file("stray.json", strayJob))
	c.run(command.ExitRefused, "malformed_ticket", "job", "get", "not-a-ticket")
	id := c.run(command.ExitOK, "t1.", "job", "submit", "--no-wait", c.file("long.json", longJob))
	c.run(command.ExitUnknown, "running", "job", "get", id)
	c.run(command.ExitFailed, "cancelled", "job", "cancel", id)
	c.run(command.ExitFailed, "cancelled", "job", "wait", id)
	c.run(command.ExitUsage, "", "job", "frobnicate")
	c.run(command.ExitUsage, "", "--unknown-flag")
}

// TestConfigCommands guards against a publication that is reported wrongly.
func TestConfigCommands(t *testing.T) {
	c := startCLI(t)
	good := c.file("good.yaml", strings.Replace(bedConfig, "weight: 1", "weight: 2", 1))
	bad := c.file("bad.yaml", bedConfig+"colour: red\n")
	c.run(command.ExitOK, "ok", "config", "validate", good)
	c.run(command.ExitUsage, "bad.yaml:5:1: colour: unknown key", "config", "validate", bad)
	c.run(command.ExitUsage, "unknown key", "config", "publish", "--reason", "x", bad)
	c.run(command.ExitOK, "+teams: {association: {weight: 2}}", "config", "diff", good)
	c.run(command.ExitConflict, "revision 1", "config", "publish", "--base", "0", "--author", "me", "--reason", "late", good)
	c.run(command.ExitOK, "revision 2", "config", "publish", "--author", "me", "--reason", "more weight", good)
	c.run(command.ExitOK, "more weight", "config", "history")
	c.run(command.ExitOK, "weight: 2", "config", "show")
}

// TestOperatorCommands guards against output that a program cannot read.
func TestOperatorCommands(t *testing.T) {
	c := startCLI(t)
	c.run(command.ExitOK, "ernakulam-1", "status")
	c.run(command.ExitOK, "ernakulam-1", "hosts")
	for _, name := range []string{"status", "hosts", "dump"} {
		if out := c.run(command.ExitOK, "", "--json", name); !json.Valid([]byte(out)) {
			t.Errorf("%s --json printed no JSON: %s", name, out)
		}
	}
	c.run(command.ExitOK, "sesameledge", "version")
	c.run(command.ExitOK, "drain started", "drain")
	select {
	case <-c.bed.Hosts[0].Done():
	case <-time.After(20 * time.Second):
		t.Error("the drained host did not end within 20 s")
	}
}
