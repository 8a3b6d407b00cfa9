// Package clitest tests the program sesameledge, the command-line client: it runs the program as a separate process
// against a deployment and checks exit codes and output. Package testbed starts the deployment.
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

// configYAML is the dispatcher configuration of the deployment.
const configYAML = `schema: 1
teams: {association: {weight: 1}}
kinds: {price-check: {group: demo, idempotent: true, default_deadline: 10s}}
groups: {demo: {endpoints: minion}}
`

const (
	shortJob       = `{"schema":1,"team":"association","kind":"price-check","tasks":[{"payload":{"run_ms":20,"echo":"a"}}]}`
	longJob        = `{"schema":1,"team":"association","kind":"price-check","tasks":[{"payload":{"run_ms":8000,"echo":"a"}}]}`
	unknownTeamJob = `{"schema":1,"team":"nobody","kind":"price-check","tasks":[{}]}`
)

// cli runs the command-line client against one deployment.
type cli struct {
	t      *testing.T
	bed    *testbed.Deployment
	binDir string // directory of the built programs
	dir    string // holds the files of the deployment and of the test
}

// startCLI builds the programs and starts a deployment that stops at the end of the test. It makes the test
// parallel.
func startCLI(t *testing.T) *cli {
	t.Helper()
	t.Parallel()
	c := &cli{t: t, binDir: t.TempDir(), dir: t.TempDir()}
	if err := testbed.Build(c.binDir); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: c.binDir, Dir: c.dir, Zones: []string{"ernakulam", "malabar"},
		Hosts: 2, Minions: 2, Group: "demo", Seed: 1, Config: configYAML,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	c.bed = bed
	return c
}

// writeFile writes a file into the directory of the test and returns its path.
func (c *cli) writeFile(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// run runs a command against the first host and checks the exit code, and that standard output or standard error
// contains wantOutput. It returns standard output without surrounding white space.
func (c *cli) run(wantCode int, wantOutput string, args ...string) string {
	c.t.Helper()
	host := c.bed.Hosts[0]
	fullArgs := append([]string{"--host", host.CallersURL(), "--operator", host.OperatorsURL()}, args...)
	cmd := exec.Command(filepath.Join(c.binDir, "sesameledge"), fullArgs...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	code := 0
	var exitErr *exec.ExitError
	if err := cmd.Run(); errors.As(err, &exitErr) {
		code = exitErr.ExitCode()
	} else if err != nil {
		c.t.Fatal(err)
	}
	if code != wantCode || !strings.Contains(stdout.String()+stderr.String(), wantOutput) {
		c.t.Errorf("sesameledge %s: exit code %d, want %d with output %q; got\n%s%s",
			strings.Join(args, " "), code, wantCode, wantOutput, stdout.String(), stderr.String())
	}
	return strings.TrimSpace(stdout.String())
}

// TestJobCommands guards against wrong exit codes, on which callers' scripts rely.
func TestJobCommands(t *testing.T) {
	c := startCLI(t)
	c.run(command.ExitOK, "complete", "job", "submit", c.writeFile("short.json", shortJob))
	c.run(command.ExitUsage, "malformed_json", "job", "submit", c.writeFile("broken.json", "{"))
	c.run(command.ExitUsage, "no such file", "job", "submit", filepath.Join(c.dir, "absent.json"))
	c.run(command.ExitRefused, "unknown_team", "job", "submit", c.writeFile("stray.json", unknownTeamJob))
	c.run(command.ExitRefused, "malformed_ticket", "job", "get", "not-a-ticket")
	id := c.run(command.ExitOK, "t1.", "job", "submit", "--no-wait", c.writeFile("long.json", longJob))
	c.run(command.ExitUnknown, "running", "job", "get", id)
	c.run(command.ExitFailed, "cancelled", "job", "cancel", id)
	c.run(command.ExitFailed, "cancelled", "job", "wait", id)
	c.run(command.ExitUsage, "", "job", "frobnicate")
	c.run(command.ExitUsage, "", "--unknown-flag")
}

// TestConfigCommands guards against wrong exit codes or messages when a configuration is validated, compared or
// published.
func TestConfigCommands(t *testing.T) {
	c := startCLI(t)
	validFile := c.writeFile("good.yaml", strings.Replace(configYAML, "weight: 1", "weight: 2", 1))
	invalidFile := c.writeFile("bad.yaml", configYAML+"colour: red\n")
	c.run(command.ExitOK, "ok", "config", "validate", validFile)
	c.run(command.ExitUsage, "bad.yaml:5:1: colour: unknown key", "config", "validate", invalidFile)
	c.run(command.ExitUsage, "unknown key", "config", "publish", "--reason", "x", invalidFile)
	c.run(command.ExitOK, "+teams: {association: {weight: 2}}", "config", "diff", validFile)
	c.run(command.ExitConflict, "revision 1", "config", "publish", "--base", "0", "--author", "me", "--reason", "late", validFile)
	c.run(command.ExitOK, "revision 2", "config", "publish", "--author", "me", "--reason", "more weight", validFile)
	c.run(command.ExitOK, "more weight", "config", "history")
	c.run(command.ExitOK, "weight: 2", "config", "show")
}

// TestOperatorCommands guards against output of --json that is not valid JSON, which programs cannot read.
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
