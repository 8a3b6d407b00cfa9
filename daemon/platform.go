package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/platform"
)

// followHosts feeds the platform's list of hosts to the reducer.
func (d *Daemon) followHosts(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		reply, err := d.platform.Hosts(ctx)
		switch {
		case err != nil:
			level.Debug(d.logs.platform).Log("msg", "host list cannot be read", "err", err)
		case version == 0 || reply.Version != version:
			version = reply.Version
			d.loop.send(dispatch.EndpointsChanged{Endpoints: endpoints(reply.Hosts), EntryHosts: entryHosts(reply.Hosts)})
			d.learnPeers(reply.Hosts)
		}
		sleep(ctx, d.settings.Platform.HostsEvery)
	}
}

func endpoints(hosts []platform.Host) []place.Endpoint {
	var out []place.Endpoint
	for i := range hosts {
		if hosts[i].Kind == platform.KindMinion || hosts[i].Kind == platform.KindWorker {
			out = append(out, hosts[i].Endpoint())
		}
	}
	return out
}

// entryHosts counts the live entry hosts of the platform's list.
func entryHosts(hosts []platform.Host) int {
	n := 0
	for i := range hosts {
		if hosts[i].Kind == platform.KindEntry && hosts[i].State == platform.HostLive {
			n++
		}
	}
	return n
}

// learnPeers takes the peer addresses of entry hosts from the platform's list.
func (d *Daemon) learnPeers(hosts []platform.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		if h.Kind == platform.KindEntry {
			d.addresses[h.ID] = h.Address
		}
	}
}

func (d *Daemon) peerAddress(host string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.addresses[host]
	return a, ok
}

// sleep pauses for d and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
