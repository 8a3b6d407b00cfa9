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

// hostNode is an entry host. Its process may end and start again.
type hostNode struct {
	name, zone, settingsFile string
	callersAddress           string // through the proxy
	settings                 entry.Settings

	mu              sync.Mutex
	process         *testbed.Process // nil if none should run
	endRequested    bool             // the process was told to end or killed
	removed         bool             // does not start: replaced, or a spare that is not in use
	frontFaults     []interval       // of the route from callers
	pauseBegins     chan struct{}    // closed when the host is paused; nil: nobody waits for that
	unplannedFaults []interval       // broken requests are excused at these times
	silencedAt      []time.Time      // when the callers' connections that were open then went silent for good
	restartMu       sync.Mutex       // held while restart starts the process
}

// interval is a period of time. A zero `to` means that it has not ended.
type interval struct{ from, to time.Time }

// anyIntervalOverlaps reports whether one of the intervals overlaps the period between two times.
func anyIntervalOverlaps(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool {
		return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
	})
}

// writeSettings writes the host's settings file.
func (h *hostNode) writeSettings() error {
	text, err := yaml.Marshal(h.settings)
	if err != nil {
		return errors.Wrap(err, "encoding settings")
	}
	return errors.Wrap(os.WriteFile(h.settingsFile, text, 0o644), "writing settings")
}

// startProcess starts the process of a host. It adds a finding if the process ends without having been
// told to.
func (d *deployment) startProcess(h *hostNode) error {
	p, err := testbed.StartProcess(d.runDir, h.name, filepath.Join(d.binDir, "sesameledged"), "--entry", h.settingsFile)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.process, h.endRequested = p, false
	h.mu.Unlock()
	go func() {
		<-p.Done()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process == p && !h.endRequested {
			d.addFinding("the process of %s ended by itself", h.name)
		}
	}()
	return nil
}

// running returns the process of a host, or nil if none should run.
func (h *hostNode) running() *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// isRemoved reports whether the host was replaced or is a spare that is not in use.
func (h *hostNode) isRemoved() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.removed
}

// markEnding records that the process is told to end and returns it, or nil if there is none.
func (h *hostNode) markEnding() *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endRequested = true
	return h.process
}

// beginUnplannedFault records the start of an unplanned fault and returns a function that records its
// end.
func (h *hostNode) beginUnplannedFault() (end func()) { return h.beginFault(&h.unplannedFaults) }

// beginFrontFault does the same for a fault of the route from callers to the host.
func (h *hostNode) beginFrontFault() (end func()) { return h.beginFault(&h.frontFaults) }

func (h *hostNode) beginFault(faults *[]interval) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*faults = append(*faults, interval{from: time.Now()})
	n := len(*faults) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		(*faults)[n].to = time.Now()
	}
}

// hadUnplannedFault reports whether an unplanned fault of the host overlaps the period between two times.
func (h *hostNode) hadUnplannedFault(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return anyIntervalOverlaps(h.unplannedFaults, from, to)
}

// hadFrontFault does the same for a fault of the route from callers to the host, in which the host may not hear that
// a caller has left.
func (h *hostNode) hadFrontFault(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return anyIntervalOverlaps(h.frontFaults, from, to)
}

// nextPause returns a channel that is closed when the host is paused the next time.
func (h *hostNode) nextPause() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pauseBegins == nil {
		h.pauseBegins = make(chan struct{})
	}
	return h.pauseBegins
}

// announcePause tells callers that the host is paused.
func (h *hostNode) announcePause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pauseBegins != nil {
		close(h.pauseBegins)
		h.pauseBegins = nil
	}
}

// recordSilence records that the open connections of callers to the host go silent for good.
func (h *hostNode) recordSilence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silencedAt = append(h.silencedAt, time.Now())
}

// silenced reports whether a caller's connection to the host that was opened at a given time has gone
// silent. A zero time stands for no connection.
func (h *hostNode) silenced(opened time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !opened.IsZero() && slices.ContainsFunc(h.silencedAt, opened.Before)
}

// kill kills the host's process with SIGKILL.
func (h *hostNode) kill() {
	p := h.markEnding()
	if p == nil {
		return
	}
	p.Signal(syscall.SIGCONT) // a stopped process would keep its connections open
	p.Kill()
	h.clearProcess(p)
}

// clearProcess records that process p has ended, unless the host has another process by now.
func (h *hostNode) clearProcess(p *testbed.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == p {
		h.process = nil
	}
}

// terminate sends SIGTERM to the host's process and kills it after drainTime and killGracePeriod. A late
// end is a finding unless an unplanned fault excuses it.
func (d *deployment) terminate(h *hostNode) {
	p := h.markEnding()
	if p == nil {
		return
	}
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Done():
	case <-time.After(drainTime + killGracePeriod):
		if !h.hadUnplannedFault(time.Now().Add(-drainTime-2*killGracePeriod), time.Now()) {
			d.addFinding("%s has not ended %v after SIGTERM", h.name, drainTime+killGracePeriod)
		}
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	h.clearProcess(p)
}
