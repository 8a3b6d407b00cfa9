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

// counters counts starts and messages over all minions, so that it detects a task that was
// started on two minions.
type counters struct {
	mu     sync.Mutex
	starts map[string]map[int]int
	totals Totals
}

func newCounters() *counters { return &counters{starts: make(map[string]map[int]int)} }

func (c *counters) recordStart(id TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.starts[id.Ticket]
	if counts == nil {
		counts = make(map[int]int)
		c.starts[id.Ticket] = counts
	}
	counts[id.Index]++
	c.totals.Starts++
	if counts[id.Index] > 1 {
		c.totals.DoubleStarts++
	}
}

// update changes the totals under the lock of the counters.
func (c *counters) update(change func(*Totals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.totals)
}

// snapshot copies the counts.
func (c *counters) snapshot() Starts {
	c.mu.Lock()
	defer c.mu.Unlock()
	tickets := make(map[string]map[int]int, len(c.starts))
	for ticket, counts := range c.starts {
		copied := make(map[int]int, len(counts))
		for index, n := range counts {
			copied[index] = n
		}
		tickets[ticket] = copied
	}
	return Starts{Tickets: tickets, Totals: c.totals}
}

// reset forgets all counts.
func (c *counters) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = make(map[string]map[int]int)
	c.totals = Totals{}
}
