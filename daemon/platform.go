package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// logPoll is how long a read of the log waits for new records.
	logPoll = 5 * time.Second
	// platformRetry is the pause after a failed request to the platform.
	platformRetry = 250 * time.Millisecond
	// publishTimeout bounds the wait for the fold to judge a publication.
	publishTimeout = 5 * time.Second
	publishPoll    = 10 * time.Millisecond
)

// followConfig feeds the config stream to the reducer.
func (d *Daemon) followConfig(ctx context.Context) {
	next := uint64(0)
	for ctx.Err() == nil {
		reply, err := d.platform.Read(ctx, platform.StreamConfig, next, logPoll)
		var truncated *platform.TruncatedError
		switch {
		case errors.As(err, &truncated):
			next = truncated.First
			continue
		case err != nil:
			level.Debug(d.logs.platform).Log("msg", "config stream cannot be read", "err", err)
			sleep(ctx, platformRetry)
			continue
		}
		for _, r := range reply.Records {
			d.loop.send(core.ConfigRecord{Offset: r.Offset, Data: r.Data})
			next = r.Offset + 1
		}
	}
}

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
			d.loop.send(member.HostList{Entries: entryHosts(reply.Hosts), Endpoints: endpoints(reply.Hosts)})
		}
		sleep(ctx, d.settings.Platform.HostsEvery)
	}
}

func endpoints(hosts []platform.Host) []place.Endpoint {
	var out []place.Endpoint
	for i := range hosts {
		if hosts[i].Kind == platform.KindMinion {
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

// publish appends a record and waits for the fold's judgement. An append whose answer was
// lost is found by the record's identity.
func (d *Daemon) publish(ctx context.Context, rec *config.Record) (config.Outcome, error) {
	data, err := rec.Encode()
	if err != nil {
		return config.Outcome{}, errors.Wrap(err, "encoding the record")
	}
	_, appendErr := d.platform.Append(ctx, platform.StreamConfig, rec.ID, data)
	if appendErr != nil && !errors.Is(appendErr, platform.ErrAmbiguous) {
		return config.Outcome{}, appendErr
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		var outcome config.Outcome
		var known bool
		d.loop.query(func(_ time.Duration, s *core.State) { outcome, known = s.Config.OutcomeOf(rec.ID) })
		if known {
			return outcome, nil
		}
		if !sleep(ctx, publishPoll) {
			return config.Outcome{}, errors.New("it is not known yet whether the record was published; look it up in the history before publishing again")
		}
	}
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
