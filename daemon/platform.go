package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// hostsHold is how long the platform may hold a request for the host list. With holdGrace
	// and the request that follows it stays below the 3 s within which a leaving mark must
	// take effect, also if the connection goes silent while a request is held.
	hostsHold = 2 * time.Second
	// holdGrace is how much longer than the hold an answer may take, at least. It is twice
	// the time of the last answer that was not held if that is more.
	holdGrace = 500 * time.Millisecond
)

// hostsReader reads the platform's list of hosts.
type hostsReader struct {
	client  *logapi.Client
	every   time.Duration // least pause between lists, and between requests that are not held
	timeout time.Duration // of a request that is not held
	tag     string        // of the last list
	// grace is 0 after a failed request. The next one is then not held, so that its answer
	// tells how slow the platform is.
	grace time.Duration
	// paused says that the last request brought a list, after which the reader pauses. The
	// next request is held for less, so that pause and hold together are as long as a hold.
	paused bool
}

// read returns the list if it has changed, and the pause before the next read.
func (h *hostsReader) read(ctx context.Context) (*logapi.HostList, time.Duration, error) {
	wait, limit := time.Duration(0), h.timeout
	if h.tag != "" && h.grace > 0 {
		wait = h.hold()
		limit = wait + h.grace
	}
	h.paused = false
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := time.Now()
	list, err := h.client.Hosts(limited, h.tag, wait)
	took := time.Since(asked)
	if err != nil {
		return nil, h.failed(wait, took), err
	}
	if wait == 0 {
		h.grace = min(max(holdGrace, 2*took), h.timeout)
	}
	if list != nil {
		h.tag, h.paused = list.Tag, true
		return list, h.every, nil
	}
	if wait > 0 && took < wait/2 {
		// A platform that does not hold requests must not be asked in a busy loop.
		return nil, h.every, nil
	}
	return nil, 0, nil
}

// hold returns how long the platform may hold the next request.
func (h *hostsReader) hold() time.Duration {
	if h.paused {
		return max(hostsHold-h.every, hostsHold/4)
	}
	return hostsHold
}

// failed returns the pause after a failed request. One that was held in vain is followed by
// another at once; one that failed at once is not, also if the platform refuses to hold. The
// idle connections may have gone silent like the one in use.
func (h *hostsReader) failed(wait, took time.Duration) time.Duration {
	h.client.Close()
	h.grace = 0
	if wait > 0 && took >= wait {
		return 0
	}
	return h.every
}

// followHosts feeds the platform's list of hosts to the reducer.
func (d *Daemon) followHosts(ctx context.Context) {
	p := &d.settings.Platform
	reader := &hostsReader{client: d.platform, every: p.HostsEvery, timeout: p.Timeout}
	for ctx.Err() == nil {
		list, next, err := reader.read(ctx)
		switch {
		case err != nil:
			level.Debug(d.logs.platform).Log("msg", "host list cannot be read", "err", err)
		case list != nil:
			d.loop.send(member.HostList{Entries: entryHosts(list.Hosts), Endpoints: endpoints(list.Hosts)})
		}
		pause.For(ctx, next)
	}
}

func endpoints(hosts []logapi.Host) []place.Endpoint {
	var out []place.Endpoint
	for i := range hosts {
		if hosts[i].Kind == logapi.KindMinion || hosts[i].Kind == logapi.KindWorker {
			out = append(out, hosts[i].Endpoint())
		}
	}
	return out
}

// entryHosts returns the entry hosts of the platform's list. An identity that is not an
// incarnation, from another version, becomes 0.
func entryHosts(hosts []logapi.Host) []member.Listed {
	var out []member.Listed
	for _, h := range hosts {
		if h.Kind != logapi.KindEntry {
			continue
		}
		inc, err := ticket.ParseIncarnation(h.Identity)
		if err != nil {
			inc = 0
		}
		out = append(out, member.Listed{Host: h.ID, Zone: h.Zone, Address: h.Address, Incarnation: inc, Leaving: h.State == logapi.HostLeaving})
	}
	return out
}
