package dispatch

import (
	"sort"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

// Estimated memory of a job's record and of each of its tasks, without payloads and results, in
// bytes. They make MaxBytes bound the number of small jobs too.
const (
	jobRecordBytes  = 768
	taskRecordBytes = 256
)

// fetchState says who has fetched a job's final reply.
type fetchState uint8

const (
	notFetched      fetchState = iota
	fetchedByPeer              // a peer fetched it; the peer's caller may be gone
	fetchedByCaller            // written to the caller's connection
)

// Answer is the final reply of a job, which a draining host hands over to another host.
type Answer struct {
	ID                ticket.ID
	Digest            uint64 // hash of the job, see Submit.Digest
	Reply             *api.Reply
	RemainingLifetime time.Duration // how long to keep the reply: the rest of the ticket's lifetime
}

func (s *State) addHeldBytes(j *job, n int64) {
	j.heldBytes += n
	s.heldBytes += n
}

func (s *State) handleAnswerFetched(ev AnswerFetched) {
	j, ok := s.jobs[ev.ID]
	if !ok || !j.ended() {
		return
	}
	if j.fetchedBy == notFetched {
		s.fetchedJobs = append(s.fetchedJobs, j)
	}
	if ev.Relayed {
		j.fetchedBy = max(j.fetchedBy, fetchedByPeer)
	} else {
		j.fetchedBy = fetchedByCaller
	}
}

// makeRoom evicts fetched answers, in the order in which they were fetched, until n more bytes
// fit into MaxBytes, and reports whether they fit. It never evicts an answer that nobody has
// fetched.
func (s *State) makeRoom(n int64) bool {
	for len(s.fetchedJobs) > 0 && s.heldBytes+n > s.policy.MaxBytes {
		s.evictAnswer(s.fetchedJobs[0])
		s.fetchedJobs[0] = nil
		s.fetchedJobs = s.fetchedJobs[1:]
	}
	return s.heldBytes+n <= s.policy.MaxBytes
}

// evictAnswer deletes a job's results and replaces its final reply by one that says that the answer
// is no longer kept. The job's record stays, so that no job runs under the ticket again.
func (s *State) evictAnswer(j *job) {
	if j.inFlight > 0 || s.jobs[j.id] != j {
		return
	}
	s.counters.Evicted++
	s.addHeldBytes(j, jobRecordBytes-j.heldBytes)
	j.tasks = nil
	j.finalReply = evictedReply(j.id)
}

func evictedReply(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeAnswerExpired, "ticket", "the job has ended and its answer was fetched; it is no longer kept")}
}

// initialJobBytes returns the memory that a job with these tasks takes when it is accepted, in
// bytes.
func initialJobBytes(tasks []api.Task) int64 {
	n := int64(jobRecordBytes)
	for i := range tasks {
		n += taskRecordBytes + int64(len(tasks[i].Payload))
	}
	return n
}

// UnfetchedAnswers returns the final replies that no caller has fetched from this host, ordered by
// ticket. A draining host hands them over to its peers. A reply that a peer has fetched is
// included, since the peer's caller may not have received it.
func (s *State) UnfetchedAnswers(now time.Duration) []Answer {
	var answers []Answer
	for _, j := range s.jobs {
		if j.ended() && j.fetchedBy != fetchedByCaller && now < j.expiresAt {
			answers = append(answers, Answer{ID: j.id, Digest: j.digest, Reply: j.finalReply, RemainingLifetime: j.expiresAt - now})
		}
	}
	sort.Slice(answers, func(a, b int) bool { return answers[a].ID < answers[b].ID })
	return answers
}
