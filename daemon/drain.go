package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"

	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/pause"
)

const (
	// drainPollInterval is the pause between checks for open jobs and connections.
	drainPollInterval = 20 * time.Millisecond
	// idleConnLinger is how long idle connections of callers stay open after the start of a drain.
	// Package client closes its idle connections after 2 s. The host waits longer, since it cannot
	// know whether a request is on its way.
	idleConnLinger = 4 * time.Second
	// finalAcceptPeriod is how long connections in the TCP handshake are still accepted. It covers
	// several round trips of 6 ms to callers.
	finalAcceptPeriod = 50 * time.Millisecond
	// maxFinalAcceptPolls limits the wait for the requests on these connections, in units of
	// drainPollInterval.
	maxFinalAcceptPolls = 100
	// closeTimeout limits how long connections take to close after the last final outcome.
	closeTimeout = 5 * time.Second
	// handoverTimeout limits the whole handover of answers to peers.
	handoverTimeout = 2 * time.Second
	// handoverAttemptTimeout limits one attempt, so that a paused peer does not use up
	// handoverTimeout.
	handoverAttemptTimeout = 500 * time.Millisecond
)

// Drain shuts the daemon down without cutting off requests. First the readiness check fails, then new
// jobs are refused, running jobs end and open requests get their replies. Unfetched answers are handed
// over to peers, and the peer address is released last. Drain returns when everything is closed.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		defer close(d.drained)
		started := time.Now()
		d.draining.Store(true)
		level.Info(d.logs.daemon).Log("msg", "drain started")
		d.loop.send(core.KeysDraining{})
		time.Sleep(d.settings.Drain.Grace)
		d.refusingNewWork.Store(true)
		d.loop.send(dispatch.DrainStarted{})
		d.finishOpenJobs()
		d.handOverAnswers()
		d.waitForCallersToClose(started.Add(idleConnLinger))
		d.acceptPendingConnections()
		d.shutdown()
	})
	<-d.drained
}

// Drained is closed when a drain has ended.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

// finishOpenJobs waits for the open jobs to end and fails those that remain at the drain timeout.
func (d *Daemon) finishOpenJobs() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Timeout)
	defer cancel()
	for {
		open := 0
		d.loop.query(func(_ time.Duration, s *core.State) { open = s.Dispatch.OpenJobs() })
		if open == 0 {
			return
		}
		if !pause.For(ctx, drainPollInterval) {
			level.Warn(d.logs.daemon).Log("msg", "open jobs failed at the time limit of the drain", "jobs", open)
			d.loop.send(dispatch.DrainTimedOut{})
			return
		}
	}
}

// waitForCallersToClose waits until the callers have closed their connections, at most until the given
// time.
func (d *Daemon) waitForCallersToClose(until time.Time) {
	for d.callerConns.openCount() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// acceptPendingConnections accepts the connections whose TCP handshake is under way, lets no new ones
// begin, and waits for their requests. Without this, closing the listener would reset connections that
// the server has not accepted yet, and a server that shuts down drops the requests that it reads from
// then on. Attempts to connect that get no answer are refused when the listener is closed.
func (d *Daemon) acceptPendingConnections() {
	if err := dropNewConnections(d.callerListener); err != nil {
		level.Warn(d.logs.daemon).Log("msg", "connections that open during the shutdown may be reset", "err", err)
		return
	}
	time.Sleep(finalAcceptPeriod)
	for range maxFinalAcceptPolls {
		if n, err := pendingConnections(d.callerListener); err != nil || n == 0 && d.callerConns.busyCount() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// shutdown closes the callers' side first and releases the peer address last: when another process
// holds that address, peers take it as proof that no outcome will come from this one.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		level.Warn(d.logs.daemon).Log("msg", "requests cut off", "connections", d.callerConns.openCount(), "err", err)
		_ = d.callers.Close()
	}
	d.cancel()
	d.background.Wait()
	d.stopPeerServer(ctx)
	d.loop.close()
	_ = d.operators.Close()
	d.peers.Close()
	d.backend.Close()
	d.platform.Close()
	level.Info(d.logs.daemon).Log("msg", "stopped")
}

func (d *Daemon) stopPeerServer(ctx context.Context) {
	stopGRPCServer(ctx, d.peerServer)
	d.peerListener.releaseAddress()
}

// stopGRPCServer stops a server gracefully, and cuts off the requests that are still open when ctx
// ends.
func stopGRPCServer(ctx context.Context, server *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		server.Stop()
	}
}

// closeConnsWhileDraining closes a connection after each reply while the host drains, so that callers
// connect to another host.
func (d *Daemon) closeConnsWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
