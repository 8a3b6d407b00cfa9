package entry

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/host"
)

const (
	// acceptFraction is the fraction of the drain time in which new jobs are still accepted.
	// Load balancers need a few seconds to notice that a host is no longer ready.
	acceptFraction = 0.45
	// closeIdleFraction is the fraction of the drain time after which idle connections are
	// closed. By then load balancers send new connections to other hosts, so callers that
	// reconnect are served there instead of being refused here.
	closeIdleFraction = 0.4
	// shutdownFraction is the fraction of the drain time after which the servers shut down,
	// even if requests are still open.
	shutdownFraction = 0.95
	// drainPollInterval is the interval between checks for remaining work during a drain.
	drainPollInterval = 20 * time.Millisecond
)

// Drain shuts the host down gracefully. The host reports that it is not ready, hands its cells
// over and keeps serving open connections. It later closes idle connections and then refuses
// new jobs. It stops when no request, job or cell is left, or when the drain time is nearly
// over; requests that are still open at its end are cut off. Drain returns when everything is
// closed.
func (h *Host) Drain() {
	h.stopOnce.Do(func() {
		defer close(h.drained)
		started := sinceBoot()
		_ = h.logger.Log("part", "entry", "msg", "draining", "time", h.settings.DrainTime)
		h.ingress.draining.Store(true)
		h.loop.send(host.Drain{})
		h.waitUntil(started+scale(h.settings.DrainTime, closeIdleFraction), never)
		h.callerServer.SetKeepAlivesEnabled(false) // closes idle connections
		h.waitUntil(started+scale(h.settings.DrainTime, acceptFraction), never)
		h.ingress.refusing.Store(true)
		h.waitUntil(started+scale(h.settings.DrainTime, shutdownFraction), h.idle)
		h.shutdown(started)
	})
	<-h.drained
}

// Drained returns a channel that is closed when Drain or Close has finished.
func (h *Host) Drained() <-chan struct{} { return h.drained }

func never() bool { return false }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// idle reports whether the host has no open request, no open job and no cell.
func (h *Host) idle() bool {
	idle := false
	h.loop.readState(func(_ time.Duration, s *host.State) { idle = s.OpenJobs() == 0 && s.CellCount() == 0 })
	return idle && h.ingress.openRequests.Load() == 0
}

// waitUntil waits until done reports true or sinceBoot reaches the deadline.
func (h *Host) waitUntil(deadline time.Duration, done func() bool) {
	for sinceBoot() < deadline && !done() {
		time.Sleep(drainPollInterval)
	}
}

// shutdown stops the servers and the goroutines. Requests that are open at the end of the drain
// time are cut off.
func (h *Host) shutdown(started time.Duration) {
	remaining := started + h.settings.DrainTime - sinceBoot()
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, drainPollInterval))
	defer cancel()
	for _, server := range h.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = h.logger.Log("part", "entry", "msg", "requests broken off", "err", err)
			_ = server.Close()
		}
	}
	h.stopStoreAccess()
	h.loop.close()
	h.links.Close()
	h.mesh.Stop()
	_ = h.logger.Log("part", "entry", "msg", "stopped", "after", sinceBoot()-started)
	close(h.stopLog)
}

// Close stops the host at once, as a crash of its process would: open requests are cut off, and
// the leases of its workers are no longer extended.
func (h *Host) Close() {
	h.stopOnce.Do(func() {
		defer close(h.drained)
		h.stopStoreAccess()
		h.mesh.Stop()
		h.links.Close()
		for _, server := range h.servers {
			_ = server.Close() // closing a listener fails only if it is closed already
		}
		h.loop.close()
		close(h.stopLog)
	})
}
