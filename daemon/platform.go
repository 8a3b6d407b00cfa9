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
	// hostListHold is how long the platform may hold a request for the host list. A leaving mark must
	// take effect within 3 s, even if the connection goes silent while a request is held;
	// hostListHold, minHoldGrace and the request that follows together stay below that.
	hostListHold = 2 * time.Second
	// minHoldGrace is the least time that a reply may take beyond the hold. If twice the duration of
	// the last request that was not held is more, that applies.
	minHoldGrace = 500 * time.Millisecond
)

// hostListReader reads the platform's host list, with requests that the platform holds until the list
// changes (long polling).
type hostListReader struct {
	client      *logapi.Client
	minInterval time.Duration // shortest pause after a list, and between requests that are not held
	timeout     time.Duration // of a request that is not held
	lastTag     string        // ETag of the last list
	// holdGrace is how much longer than the hold a reply may take. It is 0 after a failed request: the
	// next request is then not held, so that its duration shows how slow the platform is.
	holdGrace time.Duration
	// pausedAfterList is set if the last request returned a list, after which the reader pauses. The
	// hold of the next request is shortened by that pause, so that both together take as long as a
	// full hold.
	pausedAfterList bool
}

// read returns the host list if it has changed, otherwise nil, and the pause before the next read.
func (h *hostListReader) read(ctx context.Context) (*logapi.HostList, time.Duration, error) {
	hold, timeLimit := time.Duration(0), h.timeout
	if h.lastTag != "" && h.holdGrace > 0 {
		hold = h.nextHold()
		timeLimit = hold + h.holdGrace
	}
	h.pausedAfterList = false
	limited, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	sentAt := time.Now()
	list, err := h.client.Hosts(limited, h.lastTag, hold)
	elapsed := time.Since(sentAt)
	if err != nil {
		return nil, h.pauseAfterFailure(hold, elapsed), err
	}
	if hold == 0 {
		h.holdGrace = min(max(minHoldGrace, 2*elapsed), h.timeout)
	}
	if list != nil {
		h.lastTag, h.pausedAfterList = list.Tag, true
		return list, h.minInterval, nil
	}
	if hold > 0 && elapsed < hold/2 {
		// Avoids a busy loop with a platform that does not hold requests.
		return nil, h.minInterval, nil
	}
	return nil, 0, nil
}

// nextHold returns how long the platform may hold the next request.
func (h *hostListReader) nextHold() time.Duration {
	if h.pausedAfterList {
		return max(hostListHold-h.minInterval, hostListHold/4)
	}
	return hostListHold
}

// pauseAfterFailure returns the pause after a failed request. If the request was held until its
// timeout, the next one follows at once. If it failed earlier, for example because the platform
// refuses to hold, the usual pause applies. Idle connections are closed, since they may be dead like
// the one in use.
func (h *hostListReader) pauseAfterFailure(hold, elapsed time.Duration) time.Duration {
	h.client.Close()
	h.holdGrace = 0
	if hold > 0 && elapsed >= hold {
		return 0
	}
	return h.minInterval
}

// followHosts passes each new host list of the platform to the state machine.
func (d *Daemon) followHosts(ctx context.Context) {
	p := &d.settings.Platform
	reader := &hostListReader{client: d.platform, minInterval: p.HostsInterval, timeout: p.Timeout}
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

// entryHosts returns the entry hosts of the platform's list. An identity of another version that is
// not an incarnation becomes 0.
func entryHosts(hosts []logapi.Host) []member.ListedHost {
	var out []member.ListedHost
	for _, h := range hosts {
		if h.Kind != logapi.KindEntry {
			continue
		}
		inc, err := ticket.ParseIncarnation(h.Identity)
		if err != nil {
			inc = 0
		}
		out = append(out, member.ListedHost{Host: h.ID, Zone: h.Zone, Address: h.Address, Incarnation: inc, Leaving: h.State == logapi.HostLeaving})
	}
	return out
}
