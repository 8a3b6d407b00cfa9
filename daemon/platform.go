package daemon

import (
	"context"

	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/ticket"
)

// followHosts feeds the platform's list of hosts to the reducer.
func (d *Daemon) followHosts(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		list, err := d.platform.Hosts(ctx, tag)
		switch {
		case err != nil:
			level.Debug(d.logs.platform).Log("msg", "host list cannot be read", "err", err)
		case list != nil:
			tag = list.Tag
			d.loop.send(member.HostList{Entries: entryHosts(list.Hosts), Endpoints: endpoints(list.Hosts)})
		}
		pause.For(ctx, d.settings.Platform.HostsEvery)
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

// entryHosts returns the entry hosts of the platform's list. An identity that is not an
// incarnation, from another version, becomes 0.
func entryHosts(hosts []platform.Host) []member.Listed {
	var out []member.Listed
	for _, h := range hosts {
		if h.Kind != platform.KindEntry {
			continue
		}
		inc, err := ticket.ParseIncarnation(h.Identity)
		if err != nil {
			inc = 0
		}
		out = append(out, member.Listed{Host: h.ID, Zone: h.Zone, Address: h.Address, Incarnation: inc, Leaving: h.State == platform.HostLeaving})
	}
	return out
}
