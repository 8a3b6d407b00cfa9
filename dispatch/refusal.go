package dispatch

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// maxRefusals bounds the refusals that are recorded singly. They take about 20 MB.
	maxRefusals = 1 << 16
	// refusalSweepInterval is the interval between removals of refusals that are no longer needed.
	refusalSweepInterval = time.Second
)

// refusals records which tickets were refused, that is, whose callers were told that the job did
// not run and never will. A ticket whose window has ended needs no record, since no job can be
// submitted under it any more. If there are too many records, the older half is replaced by a
// bound: tickets with sequence numbers up to the bound are refused unless they hold a job. This
// refuses some new jobs, but no refusal is forgotten.
type refusals struct {
	maxTickets     int
	tickets        map[ticket.ID]refusal
	refusedUpToSeq uint64 // the bound; 0 if there is none yet
	nextSweepAt    time.Duration
	omitBound      bool // see faults.omitRefusalBound
}

type refusal struct {
	reason    *api.Error
	seq       uint64
	expiresAt time.Duration // end of the ticket's window
}

func newRefusals() refusals {
	return refusals{maxTickets: maxRefusals, tickets: make(map[ticket.ID]refusal)}
}

func (r *refusals) reason(id ticket.ID) (*api.Error, bool) {
	entry, ok := r.tickets[id]
	return entry.reason, ok
}

func (r *refusals) add(id ticket.ID, entry refusal) {
	r.tickets[id] = entry
	if len(r.tickets) > r.maxTickets {
		r.compact()
	}
}

// compact deletes the older half of the records and raises the bound to cover them.
func (r *refusals) compact() {
	seqs := make([]uint64, 0, len(r.tickets))
	for _, entry := range r.tickets {
		seqs = append(seqs, entry.seq)
	}
	slices.Sort(seqs)
	bound := seqs[len(seqs)/2]
	if !r.omitBound {
		r.refusedUpToSeq = max(r.refusedUpToSeq, bound)
	}
	for id, entry := range r.tickets {
		if entry.seq <= bound {
			delete(r.tickets, id)
		}
	}
}

func (r *refusals) removeExpired(now time.Duration) {
	if now < r.nextSweepAt {
		return
	}
	r.nextSweepAt = now + refusalSweepInterval
	for id, entry := range r.tickets {
		if entry.expiresAt <= now {
			delete(r.tickets, id)
		}
	}
}
