package main

import (
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"sesameledge.dev/sesameledge/entry"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// hostNode is an entry host; its process may come and go.
type hostNode struct {
	name, zone, file string
	front            string // address for callers, through the proxy
	settings         entry.Settings

	mu        sync.Mutex
	process   *testbed.Process // nil: none is meant to run
	leaving   bool             // was told to end
	removed   bool             // never starts again
	unplanned []interval       // times of faults that excuse broken requests
	starting  sync.Mutex
}

// interval is a time in which a fault lasts; an open one has no end yet.
type interval struct{ from, to time.Time }

// anyOverlaps reports whether any of the intervals overlaps a time.
func anyOverlaps(list []interval, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(i interval) bool {
		return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
	})
}

func (h *hostNode) write() error {
	text, err := yaml.Marshal(h.settings)
	if err != nil {
		return errors.Wrap(err, "encoding settings")
	}
	return errors.Wrap(os.WriteFile(h.file, text, 0o644), "writing settings")
}

// run starts the process of a host and watches it.
func (d *deployment) run(h *hostNode) error {
	p, err := testbed.StartProcess(d.dir, h.name, filepath.Join(d.bin, "sesameledged"), "--entry", h.file)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.process, h.leaving = p, false
	h.mu.Unlock()
	go func() {
		<-p.Done()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process == p && !h.leaving {
			d.finding("the process of %s ended by itself", h.name)
		}
	}()
	return nil
}

// running returns the process of a host, or nil.
func (h *hostNode) running() *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// gone reports whether the host never starts again, or not before it is added.
func (h *hostNode) gone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.removed
}

// end marks the process as told to end and returns it.
func (h *hostNode) end() *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	return h.process
}

// disturb notes the begin of an unplanned fault and returns what notes its end.
func (h *hostNode) disturb() (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unplanned = append(h.unplanned, interval{from: time.Now()})
	n := len(h.unplanned) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.unplanned[n].to = time.Now()
	}
}

// disturbed reports whether an unplanned fault of the host lasted in a time.
func (h *hostNode) disturbed(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return anyOverlaps(h.unplanned, from, to)
}

// kill ends a process at once.
func (h *hostNode) kill() {
	p := h.end()
	if p == nil {
		return
	}
	p.Signal(syscall.SIGCONT) // a stopped process would keep its connections open
	p.Kill()
	h.ended(p)
}

// ended notes that a process has ended, unless another one runs by now.
func (h *hostNode) ended(p *testbed.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == p {
		h.process = nil
	}
}

// terminate asks a process to end and kills it if it takes too long.
func (d *deployment) terminate(h *hostNode) {
	p := h.end()
	if p == nil {
		return
	}
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Done():
	case <-time.After(drainTime + killSlack):
		if !h.disturbed(time.Now().Add(-drainTime-2*killSlack), time.Now()) {
			d.finding("%s has not ended %v after SIGTERM", h.name, drainTime+killSlack)
		}
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	h.ended(p)
}
