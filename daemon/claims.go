package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// maxGroupBytes bounds the claims of one append, under 1 MiB, the platform's limit.
	maxGroupBytes = 768 << 10
	// claimQueue bounds the claims that wait for an append.
	claimQueue = 20_000
	// maxAppends bounds the appends under way, so that one lost answer does not hold up
	// the claims behind it.
	maxAppends = 8
)

// newClaimsLog returns the follower of the claims stream.
func (d *Daemon) newClaimsLog() *streamFollower {
	return &streamFollower{
		client: d.platform,
		stream: logapi.StreamClaims,
		poll:   claimsPoll,
		logger: d.logs.platform,
		next: func() (next uint64, started bool) {
			d.loop.query(func(_ time.Duration, s *core.State) { next, started = s.ClaimsNext() })
			return next, started
		},
		start: func(first, next uint64) {
			d.loop.send(core.ClaimsBounds{First: first, Next: next})
		},
		truncated: func(first, next uint64) {
			level.Warn(d.logs.platform).Log("msg", "claims were dropped before this host read them; older keys are not served here", "first", first)
			d.loop.send(core.ClaimsBounds{First: first, Next: next})
		},
		records: func(records []logapi.Record) {
			for _, r := range records {
				d.loop.send(core.ClaimRecord{Offset: r.Offset, Data: r.Data})
			}
		},
		replied: func(_, _ uint64) {},
	}
}

// queueClaim hands a claim to the group commit. It does not block.
func (d *Daemon) queueClaim(c claim.Claim) {
	select {
	case d.claimQueue <- c:
	default:
		go d.loop.send(core.ClaimsNotAppended{Tickets: []ticket.ID{c.Ticket}})
	}
}

// commitClaims appends the queued claims in groups, one append per interval.
func (d *Daemon) commitClaims(ctx context.Context) {
	free := make(chan struct{}, maxAppends)
	for {
		group := d.nextGroup(ctx)
		if group == nil {
			return
		}
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			d.appendGroup(ctx, group)
			<-free
		}()
		pause.For(ctx, d.settings.Platform.AppendsEvery)
	}
}

// nextGroup waits for a claim and returns all that are queued, or nil at the end.
func (d *Daemon) nextGroup(ctx context.Context) []claim.Claim {
	var group []claim.Claim
	size := 0
	add := func(c claim.Claim) {
		group = append(group, c)
		size += claimBytes(c)
	}
	select {
	case c := <-d.claimQueue:
		add(c)
	case <-ctx.Done():
		return nil
	}
	for size < maxGroupBytes {
		select {
		case c := <-d.claimQueue:
			add(c)
		default:
			return group
		}
	}
	return group
}

// claimBytes bounds the JSON of a claim from above; a byte of text takes at most six.
func claimBytes(c claim.Claim) int {
	const fixed = 200 // field names, numbers and the ticket's plain text
	return fixed + 6*(len(c.Team)+len(c.Key)) + len(c.Ticket)
}

func (d *Daemon) appendGroup(ctx context.Context, group []claim.Claim) {
	data, err := json.Marshal(claim.Record{Schema: claim.Schema, Claims: group})
	if err == nil {
		// The first ticket is unique to this append: a claim is queued again only after
		// its append has failed.
		_, err = d.platform.Append(ctx, logapi.StreamClaims, string(group[0].Ticket), data)
	}
	if err == nil {
		return
	}
	level.Warn(d.logs.platform).Log("msg", "an append of claims failed", "claims", len(group), "err", err)
	failed := core.ClaimsNotAppended{MayBeAppended: errors.Is(err, logapi.ErrAmbiguous)}
	for i := range group {
		failed.Tickets = append(failed.Tickets, group[i].Ticket)
	}
	d.loop.send(failed)
}

// serveEpoch answers with the offset up to which this host has read the claims stream.
func (d *Daemon) serveEpoch(w http.ResponseWriter, _ *http.Request) {
	var epoch uint64
	var started bool
	d.loop.query(func(_ time.Duration, s *core.State) { epoch, started = s.ClaimsNext() })
	if !started {
		writeReply(w, &api.Reply{Schema: api.Schema, Outcome: api.Unknown,
			Reason: api.Errorf(api.CodeLogUnavailable, "", "this host has not read the log of keys yet; ask again")})
		return
	}
	writeJSON(w, http.StatusOK, api.EpochReply{Schema: api.Schema, Epoch: epoch})
}

// serveKeyed submits a job with an idempotency key.
func (d *Daemon) serveKeyed(w http.ResponseWriter, r *http.Request, job *api.Job) {
	if len(job.Key) > claim.MaxKeyBytes || len(job.Team) > claim.MaxKeyBytes {
		writeReply(w, badJobReply(job, api.Errorf(api.CodeInvalid, "key", "a key has at most %d bytes", claim.MaxKeyBytes)))
		return
	}
	t := d.mint(1, d.settings.Tickets.MaxDeadline)[0]
	waiter, replies := d.loop.newWaiter()
	defer d.loop.dropWaiter(waiter)
	wait := d.jobWait(job)
	d.loop.send(core.KeySubmit{ID: t.ID(), Ticket: t, Job: job, Digest: jobDigest(job), Waiter: waiter, Wait: wait})
	reply := awaitReply(r.Context(), replies, wait, replyWait{
		timedOut: func() { d.loop.send(core.KeyWaiterTimeout{Waiter: waiter}) },
		gone:     func() { d.loop.send(core.KeyWaiterGone{Waiter: waiter}) },
		field:    "key",
	})
	if reply != nil {
		d.writeFetched(w, r, ownerOf(reply), reply)
	}
}

// ownerOf returns the incarnation that owns a reply's ticket, or none without a ticket.
func ownerOf(reply *api.Reply) ticket.Incarnation {
	t, err := ticket.Parse(reply.Ticket)
	if err != nil {
		return 0
	}
	return t.Incarnation
}
