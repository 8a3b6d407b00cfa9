package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// runMainVariable makes the test program run main with its arguments in place of the tests.
const runMainVariable = "SESAMELEDGED_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestSIGHUPDuringStart guards against a SIGHUP that ends a process which has not finished its start. The
// process waits for its settings, which come through a pipe, when the signal arrives.
func TestSIGHUPDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "--entry", "--check", path)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // until the process reads the settings
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	_, _ = pipe.WriteString("no settings\n") // fails if the process has ended
	_ = pipe.Close()
	_ = cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != exitSettings {
		t.Errorf("exit code %d (%v), want %d for the settings: %s", code, cmd.ProcessState, exitSettings, out.String())
	}
}
