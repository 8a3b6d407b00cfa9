package platformsim

import (
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
)

// errUnknownHost reports that no host with the identifier is registered.
var errUnknownHost = errors.New("unknown host")

// hostList holds the hosts and the list of them that is served, which lags behind.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	ttl     time.Duration
	current map[string]*registration
	pending []hostChange // not yet in the served list, in order of time
	served  map[string]logapi.Host
	version uint64 // changes applied to the served list
}

type registration struct {
	host    logapi.Host
	renewed time.Time
}

// hostChange is one change of the list; a removal has only the identifier.
type hostChange struct {
	at      time.Time
	host    logapi.Host
	removed bool
}

func newHostList(lag, ttl time.Duration) *hostList {
	return &hostList{
		lag:     lag,
		ttl:     ttl,
		current: make(map[string]*registration),
		served:  make(map[string]logapi.Host),
	}
}

// register adds a host or renews it, and returns it as registered. A host that was
// marked as leaving stays so until a new process with another identity registers.
func (l *hostList) register(now time.Time, host logapi.Host) logapi.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host.State == "" {
		host.State = logapi.HostLive
	}
	old := l.current[host.ID]
	if old != nil && old.host.Identity == host.Identity && old.host.State == logapi.HostLeaving {
		host.State = logapi.HostLeaving
	}
	l.current[host.ID] = &registration{host: host, renewed: now}
	if old == nil || old.host != host {
		l.pending = append(l.pending, hostChange{at: now, host: host})
	}
	return host
}

// setState changes the state of a host. The error is errUnknownHost.
func (l *hostList) setState(now time.Time, id string, state logapi.HostState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	reg := l.current[id]
	if reg == nil {
		return errUnknownHost
	}
	if reg.host.State != state {
		reg.host.State = state
		l.pending = append(l.pending, hostChange{at: now, host: reg.host})
	}
	return nil
}

// expire removes the hosts that have not renewed within the TTL.
func (l *hostList) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, reg := range l.current {
		if now.Sub(reg.renewed) <= l.ttl {
			continue
		}
		delete(l.current, id)
		l.pending = append(l.pending, hostChange{at: now, host: logapi.Host{ID: id}, removed: true})
	}
}

// renewAll counts every host as renewed. Hosts cannot renew during an outage of the
// list, so each gets a full TTL after it.
func (l *hostList) renewAll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, reg := range l.current {
		reg.renewed = now
	}
}

func (l *hostList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// list returns the hosts as they were the lag ago, ordered by identifier.
func (l *hostList) list(now time.Time) logapi.HostsReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyUntil(now.Add(-l.lag))
	hosts := make([]logapi.Host, 0, len(l.served))
	for _, h := range l.served {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return logapi.HostsReply{Version: l.version, Hosts: hosts}
}

// versionAt returns the version of the list that is served at a time.
func (l *hostList) versionAt(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyUntil(now.Add(-l.lag))
	return l.version
}

func (l *hostList) applyUntil(end time.Time) {
	n := 0
	for n < len(l.pending) && !l.pending[n].at.After(end) {
		l.applyChange(l.pending[n])
		n++
	}
	l.pending = l.pending[n:]
}

func (l *hostList) applyChange(c hostChange) {
	l.version++
	if c.removed {
		delete(l.served, c.host.ID)
		return
	}
	l.served[c.host.ID] = c.host
}
