package core

import (
	"container/heap"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// maxPendingJobs limits the jobs whose claims have not been read back.
const maxPendingJobs = 10_000

// defaultKeyedJobDeadline applies to a job that names no deadline and whose kind is unknown.
// The dispatcher refuses such a job once its claim has been decided.
const defaultKeyedJobDeadline = 30 * time.Second

// keyedJob is a job with an idempotency key that was submitted to this host and whose claim
// has been handed to the daemon for appending. The job starts only after its claim has been
// read back as the first one for its key. Times are since process start.
type keyedJob struct {
	id               ticket.ID
	ticket           ticket.Ticket
	job              *api.Job
	digest           uint64
	deadline         time.Duration
	appendFailed     bool // the last append of the claim failed
	mayBeInLog       bool // an append of the claim may have taken effect
	waiters          []dispatch.WaiterID
	finalReply       *api.Reply    // set when the job can no longer start
	finalReplyExpiry time.Duration // when finalReply is dropped
}

// keyWaiter says where a request waits: for the claim of a pending job, in the dispatcher, or
// in package forward for the reply of another host.
type keyWaiter struct {
	pending     *keyedJob
	waitEnd     time.Duration // when the wait for the pending job ends, since process start
	ownedTicket ticket.ID
	forwarded   bool
}

// claims is the state of idempotency keys on this host.
type claims struct {
	fold     *claim.Fold
	byTicket map[ticket.ID]*keyedJob // pending jobs, and those with a final reply until it expires
	byKey    map[string]*keyedJob    // pending jobs, by teamKey
	waiters  map[dispatch.WaiterID]keyWaiter
	timers   expiryTimers
	draining bool

	startBeforeReadBack bool // fault for tests: jobs start before their claims are read back
}

func newClaims() claims {
	return claims{
		fold:     claim.NewFold(claim.Options{}),
		byTicket: make(map[ticket.ID]*keyedJob),
		byKey:    make(map[string]*keyedJob),
		waiters:  make(map[dispatch.WaiterID]keyWaiter),
	}
}

// KeysView describes the state of idempotency keys in a state dump.
type KeysView struct {
	Started    bool   `json:"started"`
	NextOffset uint64 `json:"next_offset"`
	KnownKeys  int    `json:"keys"`
	Pending    int    `json:"pending"`
}

// Keys returns a summary of the state of idempotency keys.
func (s *State) Keys() KeysView {
	next, started := s.claims.fold.Next()
	return KeysView{Started: started, NextOffset: next, KnownKeys: s.claims.fold.KeyCount(), Pending: len(s.claims.byKey)}
}

// NextClaimsOffset returns the offset of the next record of the claims stream to read, which is also
// the epoch to give to callers. It returns false until reading the stream has begun.
func (s *State) NextClaimsOffset() (uint64, bool) { return s.claims.fold.Next() }

func (s *State) handleClaimEvent(now time.Duration, ev claimEvent) {
	switch ev := ev.(type) {
	case KeySubmit:
		s.handleKeySubmit(now, ev)
	case KeyWaiterTimeout:
		s.handleKeyWaiterTimeout(now, ev.Waiter)
	case KeyWaiterDisconnected:
		s.handleKeyWaiterGone(now, ev.Waiter)
	case ClaimsBounds:
		if next, started := s.claims.fold.Next(); !started || next < ev.First {
			s.claims.fold.Start(s.claims.fold.StartOffset(ev.First, ev.Next))
		}
	case ClaimRecord:
		for _, v := range s.claims.fold.Apply(ev.Offset, ev.Data) {
			s.handleClaimVerdict(now, v)
		}
	case ClaimsNotAppended:
		s.handleClaimsNotAppended(ev)
	case KeysDraining:
		s.claims.draining = true
	}
}

func teamKey(job *api.Job) string { return job.Team + "\x00" + job.Key }

func (s *State) handleKeySubmit(now time.Duration, ev KeySubmit) {
	if _, started := s.claims.fold.Next(); !started {
		s.sendReply(ev.Waiter, unknownReply(api.CodeLogUnavailable, "the log of keys has not been read yet; ask again"))
		return
	}
	owner, status := s.claims.fold.Lookup(ev.Job.Team, ev.Job.Key, *ev.Job.KeyEpoch)
	switch status {
	case claim.Owned:
		s.askOwner(now, owner, ev.Digest, ev.Waiter, ev.Wait)
	case claim.Expired:
		s.sendReply(ev.Waiter, epochExpiredReply(ev.Job))
	case claim.Incomplete:
		s.sendReply(ev.Waiter, unknownReply(api.CodeKeyEpoch, "this host has not read the log of keys since key_epoch; ask another host"))
	default:
		s.claimKey(now, ev)
	}
}

// claimKey claims the key for the submitted job. If a job of this host is claiming the key
// already, the request waits for that job instead.
func (s *State) claimKey(now time.Duration, ev KeySubmit) {
	k, ok := s.claims.byKey[teamKey(ev.Job)]
	switch {
	case ok && k.digest != ev.Digest:
		s.sendReply(ev.Waiter, keyReusedReply())
		return
	case !ok && s.claims.draining:
		s.sendReply(ev.Waiter, unknownReply(api.CodeDraining, "this host is shutting down; ask another host"))
		return
	case !ok && len(s.claims.byKey) >= maxPendingJobs:
		s.sendReply(ev.Waiter, unknownReply(api.CodeOverloaded, "this host has too many keys to claim; ask again"))
		return
	case !ok:
		k = s.newKeyedJob(now, ev)
	case k.appendFailed:
		// A second record with the same ticket is harmless: only the first one counts.
		k.appendFailed = false
		s.appendClaim(k)
	}
	s.replyOrWait(now, k, ev.Waiter, ev.Wait)
}

func (s *State) newKeyedJob(now time.Duration, ev KeySubmit) *keyedJob {
	k := &keyedJob{id: ev.ID, ticket: ev.Ticket, job: ev.Job, digest: ev.Digest, deadline: now + s.keyedJobDeadline(ev)}
	s.claims.byTicket[k.id] = k
	s.claims.byKey[teamKey(k.job)] = k
	heap.Push(&s.claims.timers, expiryTimer{due: k.deadline, id: k.id})
	s.appendClaim(k)
	if s.claims.startBeforeReadBack {
		s.startKeyedJob(now, k)
	}
	return k
}

func (s *State) appendClaim(k *keyedJob) {
	s.effects = append(s.effects, AppendClaim{Claim: claim.Claim{
		Team: k.job.Team, Key: k.job.Key, Epoch: *k.job.KeyEpoch, Ticket: k.id, Digest: k.digest,
	}})
}

func (s *State) keyedJobDeadline(ev KeySubmit) time.Duration {
	deadline := ev.Job.Deadline()
	if cfg := s.Config.Current(); deadline == 0 && cfg != nil {
		deadline = cfg.Kinds[ev.Job.Kind].DefaultDeadline
	}
	if deadline == 0 {
		deadline = defaultKeyedJobDeadline
	}
	return min(deadline, ev.Ticket.MaxDeadline)
}

// handleClaimVerdict handles the verdict about a claim that was read from the log. Claims of
// other hosts need no action.
func (s *State) handleClaimVerdict(now time.Duration, v claim.Verdict) {
	k, ok := s.claims.byTicket[v.Claim.Ticket]
	if !ok || k.finalReply != nil {
		return
	}
	switch {
	case v.Owns():
		s.startKeyedJob(now, k)
	case v.Expired:
		s.endKeyedJob(now, k, epochExpiredReply(k.job), epochExpiredReply(k.job))
	case v.Incomplete:
		// Hosts that have read more of the stream may take this claim for the owner of the key,
		// so its ticket must get a final reply.
		never := notRunReply(k, api.Errorf(api.CodeKeyEpoch, "key_epoch", "this host has not read the log of keys since key_epoch"))
		s.endKeyedJob(now, k, never, unknownReply(api.CodeKeyEpoch, "this host has not read the log of keys since key_epoch; ask another host"))
	default:
		s.redirectToOwner(now, k, v.Owner)
	}
}

// startKeyedJob submits a job that owns its key to the dispatcher, with the time that is left
// until its deadline.
func (s *State) startKeyedJob(now time.Duration, k *keyedJob) {
	left := (k.deadline - now).Milliseconds()
	if left <= 0 {
		s.failAtDeadline(now, k)
		return
	}
	s.removeKeyedJob(k)
	job := *k.job
	job.DeadlineMS = left
	s.applyDispatch(now, dispatch.Submit{ID: k.id, Ticket: k.ticket, Job: &job, Digest: k.digest, NoWait: true})
	for _, w := range k.waiters {
		s.claims.waiters[w] = keyWaiter{ownedTicket: k.id}
		s.applyDispatch(now, dispatch.Await{ID: k.id, Waiter: w})
	}
}

// redirectToOwner asks the owner of the key on behalf of the requests that wait for a job whose
// claim was not the first. The job is dropped: no caller knows its ticket.
func (s *State) redirectToOwner(now time.Duration, k *keyedJob, owner claim.Owner) {
	s.removeKeyedJob(k)
	for _, w := range k.waiters {
		waitEnd := s.claims.waiters[w].waitEnd
		delete(s.claims.waiters, w)
		s.askOwner(now, owner, k.digest, w, max(waitEnd-now, 0))
	}
}

// endKeyedJob ends a job that will never start. Requests that wait now get reply; later requests
// about its ticket get finalReply, until the ticket's lifetime has passed.
func (s *State) endKeyedJob(now time.Duration, k *keyedJob, finalReply, reply *api.Reply) {
	k.finalReply = finalReply
	delete(s.claims.byKey, teamKey(k.job))
	for _, w := range k.waiters {
		s.sendReply(w, reply)
	}
	k.waiters, k.job = nil, nil
	k.finalReplyExpiry = now + k.ticket.Lifetime()
	heap.Push(&s.claims.timers, expiryTimer{due: k.finalReplyExpiry, id: k.id})
}

func (s *State) removeKeyedJob(k *keyedJob) {
	delete(s.claims.byTicket, k.id)
	delete(s.claims.byKey, teamKey(k.job))
}

func (s *State) failAtDeadline(now time.Duration, k *keyedJob) {
	reply := notRunReply(k, api.Errorf(api.CodeDeadline, "deadline_ms", "the claim of the key was not read back within the deadline; this job started nothing"))
	s.endKeyedJob(now, k, reply, reply)
}

func (s *State) handleClaimsNotAppended(ev ClaimsNotAppended) {
	for _, id := range ev.Tickets {
		k, ok := s.claims.byTicket[id]
		if !ok || k.finalReply != nil {
			continue
		}
		for _, w := range k.waiters {
			s.sendReply(w, unknownReply(api.CodeLogUnavailable, "the key cannot be claimed while the log is unavailable; another host may have run the job; ask again"))
		}
		k.waiters, k.appendFailed = nil, true
		k.mayBeInLog = k.mayBeInLog || ev.MayBeAppended
		if !k.mayBeInLog {
			s.removeKeyedJob(k)
		}
	}
}
