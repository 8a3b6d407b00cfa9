// Package testbed starts a complete deployment on loopback as separate processes: the platform's
// stand-in, simulated minions, and entry-host daemons in several availability zones. It also has
// helpers that call their HTTP interfaces. The demo, the process tests and the load tools share
// it; submitting jobs, injecting faults and measuring are left to them.
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
	// stopTimeout limits how long a process may take to end after SIGTERM.
	stopTimeout = 10 * time.Second
	// pollInterval is the delay between two requests that check whether a process is up.
	pollInterval = 20 * time.Millisecond
)

// Process is one process that the testbed started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// StartProcess starts a program. Its output is appended to the log file NAME.log in dir.
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
		// The error is ignored: a killed process always returns one, and ProcessState holds the
		// exit status.
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process. It does nothing after the process has ended.
func (p *Process) Signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM to the process and waits until it has ended. After stopTimeout it sends SIGKILL.
func (p *Process) Stop() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// AddressAllocator allocates TCP addresses on one loopback IP. Each host and each deployment uses its own
// random IP. On a shared IP, another deployment or an outgoing connection could take a free port
// before the intended process binds it.
type AddressAllocator struct {
	ip       string
	returned map[string]bool // the kernel may soon reuse a port that was closed
}

// NewAddressAllocator chooses a random IP in the loopback range.
func NewAddressAllocator() AddressAllocator {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return AddressAllocator{ip: ip, returned: make(map[string]bool)}
}

// Allocate returns an address with a free port that it has not returned before.
func (a AddressAllocator) Allocate() (string, error) {
	for {
		l, err := net.Listen("tcp", a.ip+":0")
		if err != nil {
			return "", errors.Wrap(err, "looking for a free port")
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !a.returned[addr] {
			a.returned[addr] = true
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
		case <-time.After(pollInterval):
		}
	}
}
