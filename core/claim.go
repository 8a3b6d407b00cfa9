package core

import (
	"container/heap"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// maxPendingKeys bounds the jobs that wait for their claims.
const maxPendingKeys = 10_000

// defaultKeyDeadline is the deadline of a job of an unknown kind that names none. The
// dispatcher refuses such a job once its claim is decided.
const defaultKeyDeadline = 30 * time.Second

// keyJob is a job of this host whose claim has been handed to the shell. It starts only
// when its claim was read back as the first for its key.
type keyJob struct {
	id       ticket.ID
	ticket   ticket.Ticket
	job      *api.Job
	digest   uint64
	deadline time.Duration // absolute
	unsure   bool          // the last append failed
	inLog    bool          // an append may have taken effect
	waiters  []dispatch.WaiterID
	verdict  *api.Reply    // set when the job can no longer start
	forget   time.Duration // absolute; when the verdict is dropped
}

// keyWaiter says where a waiting request is: at a pending job, at the dispatcher, or on
// its way to another host.
type keyWaiter struct {
	pending   *keyJob
	until     time.Duration // absolute end of the wait
	owned     ticket.ID
	forwarded bool
}

// claims is the state of idempotency keys on this host.
type claims struct {
	fold     *claim.Fold
	byTicket map[ticket.ID]*keyJob // pending, and those with a verdict until they expire
	byKey    map[string]*keyJob    // pending
	waiters  map[dispatch.WaiterID]keyWaiter
	timers   keyTimers
	draining bool

	startUnread bool // test switch: starts a job before its claim was read back
}

func newClaims() claims {
	return claims{
		fold:     claim.NewFold(claim.Options{}),
		byTicket: make(map[ticket.ID]*keyJob),
		byKey:    make(map[string]*keyJob),
		waiters:  make(map[dispatch.WaiterID]keyWaiter),
	}
}

// KeysView describes the idempotency keys in a state dump.
type KeysView struct {
	Started    bool   `json:"started"`
	Next       uint64 `json:"next_offset"`
	Remembered int    `json:"keys"`
	Pending    int    `json:"pending"`
}

// Keys returns a view of the idempotency keys.
func (s *State) Keys() KeysView {
	next, started := s.claims.fold.Next()
	return KeysView{Started: started, Next: next, Remembered: s.claims.fold.Remembered(), Pending: len(s.claims.byKey)}
}

// ClaimsNext returns the offset of the next record of the claims stream, which is also
// the epoch to give to callers, or false before the stream has been read.
func (s *State) ClaimsNext() (uint64, bool) { return s.claims.fold.Next() }

func (s *State) claimEvent(now time.Duration, ev claimEvent) {
	switch ev := ev.(type) {
	case KeySubmit:
		s.keySubmit(now, ev)
	case KeyWaiterTimeout:
		s.keyWaiterTimeout(now, ev.Waiter)
	case KeyWaiterGone:
		s.keyWaiterGone(now, ev.Waiter)
	case ClaimsBounds:
		if next, started := s.claims.fold.Next(); !started || next < ev.First {
			s.claims.fold.Start(s.claims.fold.StartAt(ev.First, ev.Next))
		}
	case ClaimRecord:
		for _, v := range s.claims.fold.Apply(ev.Offset, ev.Data) {
			s.claimJudged(now, v)
		}
	case ClaimsNotAppended:
		s.claimsNotAppended(ev)
	case KeysDraining:
		s.claims.draining = true
	}
}

func keyName(job *api.Job) string { return job.Team + "\x00" + job.Key }

func (s *State) keySubmit(now time.Duration, ev KeySubmit) {
	if _, started := s.claims.fold.Next(); !started {
		s.answer(ev.Waiter, keyUnknown(api.CodeLogUnavailable, "the log of keys has not been read yet; ask again"))
		return
	}
	owner, status := s.claims.fold.Lookup(ev.Job.Team, ev.Job.Key, *ev.Job.KeyEpoch)
	switch status {
	case claim.Owned:
		s.toOwner(now, owner, ev.Digest, ev.Waiter, ev.Wait)
	case claim.Expired:
		s.answer(ev.Waiter, epochExpired(ev.Job))
	case claim.Blind:
		s.answer(ev.Waiter, keyUnknown(api.CodeKeyEpoch, "this host has not read the log of keys since key_epoch; ask another host"))
	default:
		s.claimKey(now, ev)
	}
}

// claimKey joins the job that is claiming the key already, or claims it.
func (s *State) claimKey(now time.Duration, ev KeySubmit) {
	k, ok := s.claims.byKey[keyName(ev.Job)]
	switch {
	case ok && k.digest != ev.Digest:
		s.answer(ev.Waiter, keyReused())
		return
	case !ok && s.claims.draining:
		s.answer(ev.Waiter, keyUnknown(api.CodeDraining, "this host is shutting down; ask another host"))
		return
	case !ok && len(s.claims.byKey) >= maxPendingKeys:
		s.answer(ev.Waiter, keyUnknown(api.CodeOverloaded, "this host has too many keys to claim; ask again"))
		return
	case !ok:
		k = s.newKeyJob(now, ev)
	case k.unsure:
		// A second record with the same ticket does no harm: the first one counts.
		k.unsure = false
		s.appendClaim(k)
	}
	s.waitForKey(now, k, ev.Waiter, ev.Wait)
}

func (s *State) newKeyJob(now time.Duration, ev KeySubmit) *keyJob {
	k := &keyJob{id: ev.ID, ticket: ev.Ticket, job: ev.Job, digest: ev.Digest, deadline: now + s.keyDeadline(ev)}
	s.claims.byTicket[k.id] = k
	s.claims.byKey[keyName(k.job)] = k
	heap.Push(&s.claims.timers, keyTimer{at: k.deadline, id: k.id})
	s.appendClaim(k)
	if s.claims.startUnread {
		s.startKeyJob(now, k)
	}
	return k
}

func (s *State) appendClaim(k *keyJob) {
	s.effects = append(s.effects, AppendClaim{Claim: claim.Claim{
		Team: k.job.Team, Key: k.job.Key, Epoch: *k.job.KeyEpoch, Ticket: k.id, Digest: k.digest,
	}})
}

func (s *State) keyDeadline(ev KeySubmit) time.Duration {
	deadline := ev.Job.Deadline()
	if cfg := s.Config.Current(); deadline == 0 && cfg != nil {
		deadline = cfg.Kinds[ev.Job.Kind].DefaultDeadline
	}
	if deadline == 0 {
		deadline = defaultKeyDeadline
	}
	return min(deadline, ev.Ticket.MaxDeadline)
}

// claimJudged acts on a claim that was read. Claims of other hosts need no action.
func (s *State) claimJudged(now time.Duration, v claim.Verdict) {
	k, ok := s.claims.byTicket[v.Claim.Ticket]
	if !ok || k.verdict != nil {
		return
	}
	switch {
	case v.Owns():
		s.startKeyJob(now, k)
	case v.Expired:
		s.endKeyJob(now, k, epochExpired(k.job), epochExpired(k.job))
	case v.Blind:
		// Hosts that see more may take this claim for the owner, so its ticket must end.
		never := notRun(k, api.Errorf(api.CodeKeyEpoch, "key_epoch", "this host has not read the log of keys since key_epoch"))
		s.endKeyJob(now, k, never, keyUnknown(api.CodeKeyEpoch, "this host has not read the log of keys since key_epoch; ask another host"))
	default:
		s.keyLost(now, k, v.Owner)
	}
}

// startKeyJob hands a job that owns its key to the dispatcher, with what is left of its
// deadline.
func (s *State) startKeyJob(now time.Duration, k *keyJob) {
	left := (k.deadline - now).Milliseconds()
	if left <= 0 {
		s.keyDeadlineOver(now, k)
		return
	}
	s.removeKeyJob(k)
	job := *k.job
	job.DeadlineMS = left
	s.dispatch(now, dispatch.Submit{ID: k.id, Ticket: k.ticket, Job: &job, Digest: k.digest, NoWait: true})
	for _, w := range k.waiters {
		s.claims.waiters[w] = keyWaiter{owned: k.id}
		s.dispatch(now, dispatch.Await{ID: k.id, Waiter: w})
	}
}

// keyLost sends the callers of a job whose key another claim owns to that owner. The
// job's own ticket is not known to anyone.
func (s *State) keyLost(now time.Duration, k *keyJob, owner claim.Owner) {
	s.removeKeyJob(k)
	for _, w := range k.waiters {
		until := s.claims.waiters[w].until
		delete(s.claims.waiters, w)
		s.toOwner(now, owner, k.digest, w, max(until-now, 0))
	}
}

// endKeyJob keeps a job from ever starting. The verdict answers later requests about its
// ticket, the reply those that wait now.
func (s *State) endKeyJob(now time.Duration, k *keyJob, verdict, reply *api.Reply) {
	k.verdict = verdict
	delete(s.claims.byKey, keyName(k.job))
	for _, w := range k.waiters {
		s.answer(w, reply)
	}
	k.waiters, k.job = nil, nil
	k.forget = now + k.ticket.Lifetime()
	heap.Push(&s.claims.timers, keyTimer{at: k.forget, id: k.id})
}

func (s *State) removeKeyJob(k *keyJob) {
	delete(s.claims.byTicket, k.id)
	delete(s.claims.byKey, keyName(k.job))
}

func (s *State) keyDeadlineOver(now time.Duration, k *keyJob) {
	reply := notRun(k, api.Errorf(api.CodeDeadline, "deadline_ms", "the claim of the key was not read back within the deadline; this job started nothing"))
	s.endKeyJob(now, k, reply, reply)
}

func (s *State) claimsNotAppended(ev ClaimsNotAppended) {
	for _, id := range ev.Tickets {
		k, ok := s.claims.byTicket[id]
		if !ok || k.verdict != nil {
			continue
		}
		for _, w := range k.waiters {
			s.answer(w, keyUnknown(api.CodeLogUnavailable, "the key cannot be claimed while the log is unavailable; another host may have run the job; ask again"))
		}
		k.waiters, k.unsure = nil, true
		k.inLog = k.inLog || ev.MayBeAppended
		if !k.inLog {
			s.removeKeyJob(k)
		}
	}
}
