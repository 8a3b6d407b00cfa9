package daemon

import (
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/settings"
)

// HostView is one entry host in the answer of GET /v1/hosts.
type HostView struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Address     string `json:"address"` // peer address
	Incarnation string `json:"incarnation"`
	State       string `json:"state"` // live, leaving, suspect, gone or unknown
	// LastHeardMS is the age of the last message of the host itself, in milliseconds; 0
	// for the host asked and -1 for one that it has not heard.
	LastHeardMS    int64  `json:"last_heard_ms"`
	ConfigRevision uint64 `json:"config_revision"`
	ConfigSchema   uint32 `json:"config_schema"`
}

// memberOptions returns the membership options that the settings give. The wall clock
// only orders the runs of this host; see member.Options.
func memberOptions(s *settings.Settings) member.Options {
	opts := member.Options{
		Address:        s.Listen.PeerAddress(),
		FirstHeartbeat: uint64(max(time.Now().UnixMilli(), 1)),
		ConfigSchema:   config.Schema,
		Contacts:       s.Gossip.Contacts,
		Interval:       s.Gossip.Interval,
	}
	for _, p := range s.Peers {
		opts.Peers = append(opts.Peers, member.Peer{Host: p.Host, Zone: p.Zone, Address: p.Address})
	}
	return opts
}

// Hosts returns this host's view of the entry hosts, ordered by name.
func (d *Daemon) Hosts() []HostView {
	var members []member.View
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

func (d *Daemon) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.Hosts())
}
