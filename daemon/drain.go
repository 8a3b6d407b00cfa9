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
	// drainPoll is the pause between checks for open jobs and connections.
	drainPoll = 20 * time.Millisecond
	// idleLinger is how long after the start of a drain idle connections of callers stay
	// open. Package client closes its own after 2 s, so that the host, which cannot know
	// whether a request is on its way, does not have to.
	idleLinger = 4 * time.Second
	// acceptPeriod is how long connections whose opening is under way are still accepted. It
	// is several round trips of 6 ms to callers.
	acceptPeriod = 50 * time.Millisecond
	// acceptPolls bounds the wait for their requests, in drainPoll.
	acceptPolls = 100
	// closeTimeout bounds the closing of connections after the last final outcome.
	closeTimeout = 5 * time.Second
	// handoverTimeout bounds the handover of answers to peers.
	handoverTimeout = 2 * time.Second
	// handoverTry bounds one attempt. A paused peer would otherwise use up the whole time.
	handoverTry = 500 * time.Millisecond
)

// Drain shuts the daemon down without cutting off a request: readiness fails first, then
// new jobs are refused, running jobs end, open requests get their replies, answers that
// nobody fetched go to peers, and the peer address is released last. It returns when
// all is closed.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		defer close(d.drained)
		started := time.Now()
		d.draining.Store(true)
		level.Info(d.logs.daemon).Log("msg", "drain started")
		d.loop.send(core.KeysDraining{})
		time.Sleep(d.settings.Drain.Grace)
		d.refusing.Store(true)
		d.loop.send(dispatch.DrainStarted{})
		d.endOpenJobs()
		d.handOver()
		d.awaitConnections(started.Add(idleLinger))
		d.acceptLast()
		d.shutdown()
	})
	<-d.drained
}

// Drained is closed when a drain has ended.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

// endOpenJobs waits for the open jobs and fails those that are left at the time limit.
func (d *Daemon) endOpenJobs() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Timeout)
	defer cancel()
	for {
		open := 0
		d.loop.query(func(_ time.Duration, s *core.State) { open = s.Dispatch.OpenJobs() })
		if open == 0 {
			return
		}
		if !pause.For(ctx, drainPoll) {
			level.Warn(d.logs.daemon).Log("msg", "open jobs failed at the time limit of the drain", "jobs", open)
			d.loop.send(dispatch.DrainTimedOut{})
			return
		}
	}
}

// awaitConnections waits until callers have closed their connections, or until the time.
func (d *Daemon) awaitConnections(until time.Time) {
	for d.callerConns.open() > 0 && time.Now().Before(until) {
		time.Sleep(drainPoll)
	}
}

// acceptLast accepts the connections that callers are opening, and no new ones, and waits for
// their requests. Closing the listener would reset those that the server has not accepted
// yet, and a server that shuts down drops a request that it reads from then on. An attempt
// to connect that is not answered is refused when the listener is closed.
func (d *Daemon) acceptLast() {
	if err := ignoreOpening(d.callerListen); err != nil {
		level.Warn(d.logs.daemon).Log("msg", "connections that open during the shutdown may be reset", "err", err)
		return
	}
	time.Sleep(acceptPeriod)
	for range acceptPolls {
		if n, err := notAccepted(d.callerListen); err != nil || n == 0 && d.callerConns.busy() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// shutdown closes the callers' side first and releases the peer address last, because
// another process at that address proves that no outcome comes from this one.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		level.Warn(d.logs.daemon).Log("msg", "requests cut off", "connections", d.callerConns.open(), "err", err)
		_ = d.callers.Close()
	}
	d.cancel()
	d.followers.Wait()
	d.stopPeers(ctx)
	d.loop.close()
	_ = d.operators.Close()
	d.peers.Close()
	d.backend.Close()
	d.platform.Close()
	level.Info(d.logs.daemon).Log("msg", "stopped")
}

func (d *Daemon) stopPeers(ctx context.Context) {
	stopServer(ctx, d.peerServer)
	d.peerListen.release()
}

// stopServer waits for the open requests of a server until ctx ends.
func stopServer(ctx context.Context, server *grpc.Server) {
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

// closeWhileDraining makes each reply of a draining host the last one on its connection,
// so that callers open their next connection elsewhere.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
