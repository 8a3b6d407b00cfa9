package dispatch

import (
	"sort"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

// Estimates of the memory of a record, bytes. They bound the number of small jobs.
const (
	jobBytes  = 768
	taskBytes = 256
)

// fetchState says who has taken a job's final reply.
type fetchState uint8

const (
	unfetched fetchState = iota
	relayed              // a peer took it; its caller may have gone
	fetched              // written to the caller's connection
)

// Answer is the final reply of a job, to be kept by another host.
type Answer struct {
	ID     ticket.ID
	Digest uint64 // of the job
	Reply  *api.Reply
	Keep   time.Duration // time left of the ticket's lifetime
}

func (s *State) addBytes(j *job, n int64) {
	j.bytes += n
	s.bytes += n
}

func (s *State) answerFetched(ev AnswerFetched) {
	j, ok := s.jobs[ev.ID]
	if !ok || !j.ended() {
		return
	}
	if j.fetch == unfetched {
		s.fetched = append(s.fetched, j)
	}
	if ev.Relayed {
		j.fetch = max(j.fetch, relayed)
	} else {
		j.fetch = fetched
	}
}

// room makes room for n bytes by dropping fetched answers, oldest first. It never drops
// an answer that nobody has fetched and reports false instead.
func (s *State) room(n int64) bool {
	for len(s.fetched) > 0 && s.bytes+n > s.policy.MaxBytes {
		s.evict(s.fetched[0])
		s.fetched[0] = nil
		s.fetched = s.fetched[1:]
	}
	return s.bytes+n <= s.policy.MaxBytes
}

// evict drops a job's answer. The record stays, so that the ticket never runs again.
func (s *State) evict(j *job) {
	if j.inFlight > 0 || s.jobs[j.id] != j {
		return
	}
	s.counters.Evicted++
	s.addBytes(j, jobBytes-j.bytes)
	j.tasks = nil
	j.verdict = evictedReply(j.id)
}

func evictedReply(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeAnswerExpired, "ticket", "the job has ended and its answer was fetched; it is no longer kept")}
}

// jobCost is the memory that an accepted job takes at first.
func jobCost(tasks []api.Task) int64 {
	n := int64(jobBytes)
	for i := range tasks {
		n += taskBytes + int64(len(tasks[i].Payload))
	}
	return n
}

// Unfetched returns the final replies that no caller has fetched from this host, for the
// handover of a draining host, ordered by ticket.
func (s *State) Unfetched(now time.Duration) []Answer {
	var out []Answer
	for _, j := range s.jobs {
		if j.ended() && j.fetch != fetched && now < j.expires {
			out = append(out, Answer{ID: j.id, Digest: j.digest, Reply: j.verdict, Keep: j.expires - now})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}
