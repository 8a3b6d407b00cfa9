package minionsim

import "sync"

// TaskID identifies a task.
type TaskID struct {
	Ticket string
	Index  int
}

// Totals counts starts and received messages over all minions of a Fleet.
type Totals struct {
	Starts        int `json:"starts"`
	DoubleStarts  int `json:"double_starts"` // starts of a task beyond its first
	TaskMessages  int `json:"task_messages"`
	CancelMessage int `json:"cancel_messages"`
	OtherMessages int `json:"other_messages"`
	Refused       int `json:"refused"`             // task messages answered "not run"
	ConnsRefused  int `json:"connections_refused"` // closed because of the connection limit
}

// Starts answers GET /admin/starts: the starts of each ticket per task index.
type Starts struct {
	Tickets map[string]map[int]int `json:"tickets"`
	Totals  Totals                 `json:"totals"`
}

// ledger counts over all minions, so that a task started on two minions shows up.
type ledger struct {
	mu     sync.Mutex
	starts map[string]map[int]int
	totals Totals
}

func newLedger() *ledger { return &ledger{starts: make(map[string]map[int]int)} }

func (l *ledger) started(id TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.starts[id.Ticket]
	if counts == nil {
		counts = make(map[int]int)
		l.starts[id.Ticket] = counts
	}
	counts[id.Index]++
	l.totals.Starts++
	if counts[id.Index] > 1 {
		l.totals.DoubleStarts++
	}
}

// count changes the totals under the ledger's lock.
func (l *ledger) count(change func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.totals)
}

// snapshot copies the counts.
func (l *ledger) snapshot() Starts {
	l.mu.Lock()
	defer l.mu.Unlock()
	tickets := make(map[string]map[int]int, len(l.starts))
	for ticket, counts := range l.starts {
		c := make(map[int]int, len(counts))
		for index, n := range counts {
			c[index] = n
		}
		tickets[ticket] = c
	}
	return Starts{Tickets: tickets, Totals: l.totals}
}

// reset forgets all counts.
func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = make(map[string]map[int]int)
	l.totals = Totals{}
}
