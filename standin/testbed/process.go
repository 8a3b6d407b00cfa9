// Package testbed starts a whole deployment on loopback as separate processes: the
// platform's stand-in, minions, and entry-host daemons in several availability zones.
// The demo, the process tests and the load tool share it.
package testbed

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stopTimeout is how long a process may take to end after SIGTERM.
	stopTimeout = 10 * time.Second
	pollEvery   = 20 * time.Millisecond
)

// Process is one process that the testbed started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// startProcess starts a program with its output in a log file in dir.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "opening the log of %s", name)
	}
	p := &Process{Name: name, cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	go func() {
		// The exit status is in ProcessState; a kill makes it an error by design.
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process. It is a no-op after the process ended.
func (p *Process) Signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop ends the process by SIGTERM, or by SIGKILL if it takes too long.
func (p *Process) Stop() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// Ports that FreeAddress draws from. They lie below the ports that systems give to
// outgoing connections, one of which could take the port before the process binds it.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 100
)

// FreeAddress returns a loopback address with a port that was free a moment ago.
func FreeAddress(ip string) (string, error) {
	for range portTries {
		address := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.N(lastPort-firstPort)))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.Newf("no free port after %d tries", portTries)
}

// awaitHTTP waits until a URL answers with status 200.
func awaitHTTP(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", url)
		case <-time.After(pollEvery):
		}
	}
}
