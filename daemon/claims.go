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
	// maxClaimBatchBytes limits the encoded claims of one append. The platform's limit is 1 MiB.
	maxClaimBatchBytes = 768 << 10
	// claimQueueCapacity is the largest number of claims that wait for an append.
	claimQueueCapacity = 20_000
	// maxConcurrentAppends is the largest number of appends in flight. With several, one append that
	// gets no answer does not delay the claims behind it.
	maxConcurrentAppends = 8
)

// newClaimsFollower returns the follower of the claims stream.
func (d *Daemon) newClaimsFollower() *streamFollower {
	return &streamFollower{
		client:   d.platform,
		stream:   logapi.StreamClaims,
		pollWait: claimsPollWait,
		logger:   d.logs.platform,
		nextOffset: func() (next uint64, started bool) {
			d.loop.query(func(_ time.Duration, s *core.State) { next, started = s.NextClaimsOffset() })
			return next, started
		},
		onStart: func(first, next uint64) {
			d.loop.send(core.ClaimsBounds{First: first, Next: next})
		},
		onTruncated: func(first, next uint64) {
			level.Warn(d.logs.platform).Log("msg", "claims were dropped before this host read them; older keys are not served here", "first", first)
			d.loop.send(core.ClaimsBounds{First: first, Next: next})
		},
		onRecords: func(records []logapi.Record) {
			for _, r := range records {
				d.loop.send(core.ClaimRecord{Offset: r.Offset, Data: r.Data})
			}
		},
		onReply: func(_, _ uint64) {},
	}
}

// queueClaim queues a claim for the next batch. It does not block: if the queue is full, the claim is
// reported as not appended.
func (d *Daemon) queueClaim(c claim.Claim) {
	select {
	case d.claimQueue <- c:
	default:
		go d.loop.send(core.ClaimsNotAppended{Tickets: []ticket.ID{c.Ticket}})
	}
}

// appendClaimBatches appends the queued claims in batches, at most one batch per configured interval.
func (d *Daemon) appendClaimBatches(ctx context.Context) {
	appendSlots := make(chan struct{}, maxConcurrentAppends)
	for {
		batch := d.nextClaimBatch(ctx)
		if batch == nil {
			return
		}
		select {
		case appendSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			d.appendClaimBatch(ctx, batch)
			<-appendSlots
		}()
		pause.For(ctx, d.settings.Platform.AppendInterval)
	}
}

// nextClaimBatch waits for a claim and returns it with all others that are queued, up to
// maxClaimBatchBytes. It returns nil when the context ends.
func (d *Daemon) nextClaimBatch(ctx context.Context) []claim.Claim {
	var batch []claim.Claim
	size := 0
	add := func(c claim.Claim) {
		batch = append(batch, c)
		size += maxEncodedClaimBytes(c)
	}
	select {
	case c := <-d.claimQueue:
		add(c)
	case <-ctx.Done():
		return nil
	}
	for size < maxClaimBatchBytes {
		select {
		case c := <-d.claimQueue:
			add(c)
		default:
			return batch
		}
	}
	return batch
}

// maxEncodedClaimBytes returns an upper bound of the claim's JSON size in bytes. JSON escaping makes
// at most six bytes of one.
func maxEncodedClaimBytes(c claim.Claim) int {
	const fixedBytes = 200 // field names, numbers and the ticket's plain text
	return fixedBytes + 6*(len(c.Team)+len(c.Key)) + len(c.Ticket)
}

func (d *Daemon) appendClaimBatch(ctx context.Context, batch []claim.Claim) {
	data, err := json.Marshal(claim.Record{Schema: claim.Schema, Claims: batch})
	if err == nil {
		// The ticket of the first claim is unique to this append: a claim is queued again only after
		// its append has failed.
		_, err = d.platform.Append(ctx, logapi.StreamClaims, string(batch[0].Ticket), data)
	}
	if err == nil {
		return
	}
	level.Warn(d.logs.platform).Log("msg", "an append of claims failed", "claims", len(batch), "err", err)
	failed := core.ClaimsNotAppended{MayBeAppended: errors.Is(err, logapi.ErrAmbiguous)}
	for i := range batch {
		failed.Tickets = append(failed.Tickets, batch[i].Ticket)
	}
	d.loop.send(failed)
}

// serveEpoch replies with the offset up to which this host has read the claims stream.
func (d *Daemon) serveEpoch(w http.ResponseWriter, _ *http.Request) {
	var epoch uint64
	var started bool
	d.loop.query(func(_ time.Duration, s *core.State) { epoch, started = s.NextClaimsOffset() })
	if !started {
		writeReply(w, &api.Reply{Schema: api.Schema, Outcome: api.Unknown,
			Reason: api.Errorf(api.CodeLogUnavailable, "", "this host has not read the log of keys yet; ask again")})
		return
	}
	writeJSON(w, http.StatusOK, api.EpochReply{Schema: api.Schema, Epoch: epoch})
}

// serveKeyedSubmit submits a job with an idempotency key.
func (d *Daemon) serveKeyedSubmit(w http.ResponseWriter, r *http.Request, job *api.Job) {
	if len(job.Key) > claim.MaxKeyBytes || len(job.Team) > claim.MaxKeyBytes {
		writeReply(w, invalidJobReply(job, api.Errorf(api.CodeInvalid, "key", "a key has at most %d bytes", claim.MaxKeyBytes)))
		return
	}
	t := d.mintTickets(1, d.settings.Tickets.MaxDeadline)[0]
	waiter, replies := d.loop.newWaiter()
	defer d.loop.dropWaiter(waiter)
	wait := d.submitWait(job)
	d.loop.send(core.KeySubmit{ID: t.ID(), Ticket: t, Job: job, Digest: jobDigest(job), Waiter: waiter, Wait: wait})
	reply := awaitReply(r.Context(), replies, wait, replyWaitOptions{
		onTimeout:   func() { d.loop.send(core.KeyWaiterTimeout{Waiter: waiter}) },
		onAbandoned: func() { d.loop.send(core.KeyWaiterDisconnected{Waiter: waiter}) },
		field:       "key",
	})
	if reply != nil {
		d.writeReplyAndRecordFetch(w, r, ownerIncarnation(reply), reply)
	}
}

// ownerIncarnation returns the incarnation that owns the ticket of a reply, or 0 if the reply has no
// valid ticket.
func ownerIncarnation(reply *api.Reply) ticket.Incarnation {
	t, err := ticket.Parse(reply.Ticket)
	if err != nil {
		return 0
	}
	return t.Incarnation
}
