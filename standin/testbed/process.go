// Package testbed starts a whole deployment on loopback as separate processes: the
// platform's stand-in, minions, and entry-host daemons in several availability zones.
// The demo, the process tests and the load tool share it.
package testbed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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

// StartProcess starts a program with its output in a log file in dir.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
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

// Addresses hands out addresses of one loopback IP. Each host and each deployment draws an
// IP of its own, because a port that was free on a shared one may be taken by another
// deployment, or by an outgoing connection, before the process that it was meant for binds it.
type Addresses struct {
	ip    string
	drawn map[string]bool // the kernel soon hands out a closed port again
}

// NewAddresses draws an IP from the loopback range.
func NewAddresses() Addresses {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return Addresses{ip: ip, drawn: make(map[string]bool)}
}

// Free returns an address with a free port that it has not returned before.
func (a Addresses) Free() (string, error) {
	for {
		l, err := net.Listen("tcp", a.ip+":0")
		if err != nil {
			return "", errors.Wrap(err, "looking for a free port")
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !a.drawn[addr] {
			a.drawn[addr] = true
			return addr, nil
		}
	}
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
