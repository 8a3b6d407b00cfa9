package daemon

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/settings"
)

// HostView is one entry host in the answer of GET /v1/hosts.
type HostView struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Address     string `json:"address"` // peer address
	Incarnation string `json:"incarnation"`
	State       string `json:"state"` // live, leaving, suspect, gone or unknown
	// LastHeardMS is the age of the last message from the host itself, in milliseconds. It is 0 for
	// the host that replies and -1 for a host that it has not heard from.
	LastHeardMS    int64  `json:"last_heard_ms"`
	ConfigRevision uint64 `json:"config_revision"` // in force
	ConfigSchema   uint32 `json:"config_schema"`   // newest schema version that it applies
	// ConfigLatest is the latest revision that the host has accepted and ConfigLatestSchema the schema
	// version of its record. It is higher than ConfigRevision while the host cannot apply it. Both are
	// given only on request (?latest) and are absent if unknown.
	ConfigLatest       uint64 `json:"config_latest,omitempty"`
	ConfigLatestSchema int    `json:"config_latest_schema,omitempty"`
}

// memberOptions returns the membership options from the settings. The wall clock serves only to order
// the successive processes of this host; see member.Options.
func memberOptions(s *settings.Settings) member.Options {
	opts := member.Options{
		Address:         s.Listen.PeerAddress(),
		FirstHeartbeat:  uint64(max(time.Now().UnixMilli(), 1)),
		ContactsPerZone: s.Gossip.ContactsPerZone,
		Interval:        s.Gossip.Interval,
	}
	for _, p := range s.Peers {
		opts.Peers = append(opts.Peers, member.Peer{Host: p.Host, Zone: p.Zone, Address: p.Address})
	}
	return opts
}

// Hosts returns this host's view of the entry hosts, ordered by name.
func (d *Daemon) Hosts() []HostView {
	var members []member.MemberView
	d.loop.query(func(now time.Duration, s *core.State) { members = s.Member.Members(now) })
	out := make([]HostView, 0, len(members))
	for _, m := range members {
		v := HostView{
			Host: m.Host, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation.String(), State: m.Status.String(),
			LastHeardMS: m.LastHeard.Milliseconds(), ConfigRevision: m.ConfigRevision, ConfigSchema: m.ConfigSchema,
		}
		if m.LastHeard < 0 {
			v.LastHeardMS = -1
		}
		if m.Incarnation == 0 {
			v.Incarnation = ""
		}
		out = append(out, v)
	}
	return out
}

// serveHosts replies with this host's view of the entry hosts. With ?latest it also asks each host for
// the latest revision that it has accepted.
func (d *Daemon) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts := d.Hosts()
	if r.URL.Query().Has("latest") {
		d.addLatestRevisions(r.Context(), hosts)
	}
	writeJSON(w, http.StatusOK, hosts)
}

// addLatestRevisions asks all hosts at once for their latest accepted revisions. It uses a request
// that every release answers, because hosts of earlier releases are the ones that stay behind during a
// rollout.
func (d *Daemon) addLatestRevisions(ctx context.Context, hosts []HostView) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var pending sync.WaitGroup
	for i := range hosts {
		if h := &hosts[i]; h.Address != "" && h.State != member.Gone.String() {
			pending.Go(func() { h.ConfigLatest = d.latestRevisionOf(ctx, h) })
		}
	}
	pending.Wait()
	d.loop.query(func(_ time.Duration, s *core.State) {
		for i := range hosts {
			hosts[i].ConfigLatestSchema, _ = s.Config.SchemaOf(hosts[i].ConfigLatest)
		}
	})
}

// latestRevisionOf returns the latest revision that a host has accepted, or 0 if it does not answer.
func (d *Daemon) latestRevisionOf(ctx context.Context, h *HostView) uint64 {
	if h.Host == d.settings.Host {
		return d.latestRevision()
	}
	stub, err := d.peers.Stub(h.Address)
	if err != nil {
		return 0
	}
	// No revision is higher than this one, so the reply carries no snapshot.
	reply, err := stub.FetchConfig(ctx, &peerpb.FetchConfigRequest{AboveRevision: math.MaxUint64})
	if err != nil {
		return 0
	}
	return reply.Revision
}
