package daemon

import (
	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/core"
)

// runLogEffect carries out the effects of the two streams in the platform's log: configuration and
// claims.
func (d *Daemon) runLogEffect(e core.Effect) {
	switch e := e.(type) {
	case core.ConfigInForce:
		d.latestAccepted.Store(max(d.latestAccepted.Load(), e.Revision))
		level.Info(d.logs.config).Log("msg", "revision in force", "revision", e.Revision, "source", e.Source)
		if e.Config.LogLevel != "" {
			d.logs.setLevel(e.Config.LogLevel)
		}
	case core.ConfigNotApplied:
		d.latestAccepted.Store(e.Latest)
		level.Warn(d.logs.config).Log("msg", "latest revision cannot be applied; the last one that can stays in force",
			"latest", e.Latest, "in_force", e.InForce, "reason", e.Reason)
	case core.PublicationDecided:
		d.outcomeWaiters.deliver(e.Outcome)
		if !e.Outcome.Accepted {
			level.Warn(d.logs.config).Log("msg", "record rejected", "id", e.Outcome.ID, "reason", e.Outcome.Reason)
		}
	case core.AppendClaim:
		d.queueClaim(e.Claim)
	case core.ConfigFetchFailed:
		level.Warn(d.logs.config).Log("msg", "a peer's configuration cannot be used", "peer", e.Peer, "err", e.Err)
	}
}
