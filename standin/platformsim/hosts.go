package platformsim

import (
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
)

// errUnknownHost reports that no host with the given ID is registered.
var errUnknownHost = errors.New("unknown host")

// hostList holds the registered hosts and the served list, to which changes are applied after the
// lag. It is safe for concurrent use.
type hostList struct {
	mu         sync.Mutex
	lag        time.Duration
	ttl        time.Duration
	registered map[string]*registration
	pending    []hostChange // changes not yet applied to the served list, oldest first
	served     map[string]logapi.Host
	version    uint64 // number of changes applied to the served list
}

// registration is a registered host and the time of its last renewal.
type registration struct {
	host      logapi.Host
	renewedAt time.Time
}

// hostChange is one change of the host list. For a removal only the ID of the host is set.
type hostChange struct {
	at      time.Time
	host    logapi.Host
	removed bool
}

func newHostList(lag, ttl time.Duration) *hostList {
	return &hostList{
		lag:        lag,
		ttl:        ttl,
		registered: make(map[string]*registration),
		served:     make(map[string]logapi.Host),
	}
}

// register adds a host or renews its registration, and returns the host as registered. A host in
// state leaving keeps this state until a new process registers under the same ID with another
// identity.
func (l *hostList) register(now time.Time, host logapi.Host) logapi.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host.State == "" {
		host.State = logapi.HostLive
	}
	old := l.registered[host.ID]
	if old != nil && old.host.Identity == host.Identity && old.host.State == logapi.HostLeaving {
		host.State = logapi.HostLeaving
	}
	l.registered[host.ID] = &registration{host: host, renewedAt: now}
	if old == nil || old.host != host {
		l.pending = append(l.pending, hostChange{at: now, host: host})
	}
	return host
}

// setState changes the state of a host. It returns errUnknownHost if the host is not registered.
func (l *hostList) setState(now time.Time, id string, state logapi.HostState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	reg := l.registered[id]
	if reg == nil {
		return errUnknownHost
	}
	if reg.host.State != state {
		reg.host.State = state
		l.pending = append(l.pending, hostChange{at: now, host: reg.host})
	}
	return nil
}

// expire removes the hosts that have not renewed their registration within the TTL.
func (l *hostList) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, reg := range l.registered {
		if now.Sub(reg.renewedAt) <= l.ttl {
			continue
		}
		delete(l.registered, id)
		l.pending = append(l.pending, hostChange{at: now, host: logapi.Host{ID: id}, removed: true})
	}
}

// renewAll renews the registration of every host. Hosts cannot renew during an outage of the host
// list, so each one gets a full TTL when the outage ends.
func (l *hostList) renewAll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, reg := range l.registered {
		reg.renewedAt = now
	}
}

func (l *hostList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// list returns the host list as it was one lag ago, ordered by ID.
func (l *hostList) list(now time.Time) logapi.HostListReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyChangesUntil(now.Add(-l.lag))
	hosts := make([]logapi.Host, 0, len(l.served))
	for _, h := range l.served {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return logapi.HostListReply{Version: l.version, Hosts: hosts}
}

// servedVersion returns the version of the list that is served at the given time.
func (l *hostList) servedVersion(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyChangesUntil(now.Add(-l.lag))
	return l.version
}

// applyChangesUntil applies the pending changes up to and including the given time to the served list.
func (l *hostList) applyChangesUntil(end time.Time) {
	applied := 0
	for applied < len(l.pending) && !l.pending[applied].at.After(end) {
		l.applyChange(l.pending[applied])
		applied++
	}
	l.pending = l.pending[applied:]
}

func (l *hostList) applyChange(c hostChange) {
	l.version++
	if c.removed {
		delete(l.served, c.host.ID)
		return
	}
	l.served[c.host.ID] = c.host
}
