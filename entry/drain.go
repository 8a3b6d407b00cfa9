package entry

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/host"
)

const (
	// acceptShare is the part of the drain time in which jobs are still taken. Balancers
	// need a few seconds to notice that a host leaves.
	acceptShare = 0.45
	// idleShare is the part of the drain time at whose end idle connections are closed. By then
	// balancers send new ones elsewhere, so their callers are served by other hosts and not
	// refused by this one.
	idleShare = 0.4
	// closeShare is the part of the drain time at whose end connections are closed.
	closeShare = 0.95
	// drainPoll is the pause between checks for open requests.
	drainPoll = 20 * time.Millisecond
)

// Drain shuts the host down without breaking a request off: it stops being ready, hands its
// cells over, goes on serving open connections, refuses new jobs after a while, and ends
// when nothing is left to answer and nothing runs on its behalf. It returns when all is
// closed.
func (h *Host) Drain() {
	h.once.Do(func() {
		defer close(h.drained)
		started := clock()
		_ = h.logger.Log("part", "entry", "msg", "draining", "time", h.settings.DrainTime)
		h.ingress.draining.Store(true)
		h.loop.send(host.Drain{})
		h.waitUntil(started+share(h.settings.DrainTime, idleShare), never)
		h.callers.SetKeepAlivesEnabled(false) // closes idle connections
		h.waitUntil(started+share(h.settings.DrainTime, acceptShare), never)
		h.ingress.refusing.Store(true)
		h.waitUntil(started+share(h.settings.DrainTime, closeShare), h.idle)
		h.shutdown(started)
	})
	<-h.drained
}

// Drained is closed when a drain has ended.
func (h *Host) Drained() <-chan struct{} { return h.drained }

func never() bool { return false }

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// idle reports whether the host has nothing left to do for anyone.
func (h *Host) idle() bool {
	idle := false
	h.loop.query(func(_ time.Duration, s *host.State) { idle = s.OpenJobs() == 0 && s.Cells() == 0 })
	return idle && h.ingress.open.Load() == 0
}

// waitUntil waits until done reports true, or until a time.
func (h *Host) waitUntil(until time.Duration, done func() bool) {
	for clock() < until && !done() {
		time.Sleep(drainPoll)
	}
}

func (h *Host) shutdown(started time.Duration) {
	left := started + h.settings.DrainTime - clock()
	ctx, cancel := context.WithTimeout(context.Background(), max(left, drainPoll))
	defer cancel()
	for _, server := range h.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = h.logger.Log("part", "entry", "msg", "requests broken off", "err", err)
			_ = server.Close()
		}
	}
	h.cancel()
	h.loop.close()
	h.links.Close()
	h.mesh.Stop()
	_ = h.logger.Log("part", "entry", "msg", "stopped", "after", clock()-started)
	close(h.logStop)
}

// Close ends the host at once, as the loss of its process does: open requests are broken
// off, and what it commands is left to its leases.
func (h *Host) Close() {
	h.once.Do(func() {
		defer close(h.drained)
		h.cancel()
		h.mesh.Stop()
		h.links.Close()
		for _, server := range h.servers {
			_ = server.Close() // closing a listener fails only if it is closed
		}
		h.loop.close()
		close(h.logStop)
	})
}
