package minionsim

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/backend"
	"sesameledge.dev/sesameledge/ticket"
)

// tickets of hosts in the zone of the first minion and in another one.
var (
	nearTicket = ticket.Ticket{Host: "zone-a-1", Window: time.Minute, MaxDeadline: time.Minute, Seq: 1}.ID()
	farTicket  = ticket.Ticket{Host: "zone-b-1", Window: time.Minute, MaxDeadline: time.Minute, Seq: 1}.ID()
)

func startDelayedFleet(t *testing.T, delay time.Duration) *Minion {
	_, m := startFleet(t, Config{Zones: []string{"zone-a", "zone-b"}, Count: 2, Slots: 64, ZoneDelay: delay})
	return m
}

// roundTrip sends one task that takes no time and returns the time until its answer.
func roundTrip(t *testing.T, c *http.Client, m *Minion, id ticket.ID, index int) time.Duration {
	url := fmt.Sprintf("http://%s/v1/tasks/%s/%d", m.Host().Address, id, index)
	req, err := http.NewRequest("POST", url, strings.NewReader(`{"run_ms":0}`))
	if err != nil {
		t.Error(err)
		return 0
	}
	req.GetBody = nil // net/http must not resend the task by itself
	req.Header.Set(backend.HeaderAttempt, "1")
	begin := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	return time.Since(begin)
}

// shortestRoundTrip returns the shortest of 50 round trips, the one that load on the machine
// delays least.
func shortestRoundTrip(t *testing.T, c *http.Client, m *Minion, id ticket.ID) time.Duration {
	best := time.Hour
	for index := range 50 {
		best = min(best, roundTrip(t, c, m, id, index))
	}
	return best
}

// Guards against a delay that is rounded up by a timer.
func TestDelayLineIsExact(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Microsecond, time.Millisecond} {
		l := newDelayLine(delay)
		best := time.Hour
		for range 200 {
			begin := time.Now()
			l.waitCrossings(2)
			best = min(best, time.Since(begin))
		}
		l.close()
		t.Logf("both ways of %v take %v", delay, best)
		if best < 2*delay || best > 2*delay+400*time.Microsecond {
			t.Errorf("both ways of %v take %v, want %v", delay, best, 2*delay)
		}
	}
}

// Guards against a delay that is missing in one direction or also affects the own zone. The
// longest delay is long compared with the time of a request on a busy machine.
func TestRoundTripHasTheConfiguredDelay(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Microsecond, time.Millisecond, 20 * time.Millisecond} {
		m, c := startDelayedFleet(t, delay), newClient(t)
		near, far := shortestRoundTrip(t, c, m, nearTicket), shortestRoundTrip(t, c, m, farTicket)
		t.Logf("delay %v one way: round trip %v in the own zone, %v from another", delay, near, far)
		if far < 2*delay {
			t.Errorf("a round trip from another zone takes %v with %v one way", far, delay)
		}
		if delay >= 20*time.Millisecond && (near > delay/2 || far > 2*delay+delay/2) {
			t.Errorf("round trips of %v in the own zone and %v from another, want about 0 and %v", near, far, 2*delay)
		}
	}
}

// Guards against messages that wait for the delay of others.
func TestDelaysOverlap(t *testing.T) {
	const delay, requests = 100 * time.Millisecond, 40
	m, c := startDelayedFleet(t, delay), newClient(t)
	begin := time.Now()
	var wg sync.WaitGroup
	for index := range requests {
		wg.Go(func() { roundTrip(t, c, m, farTicket, index) })
	}
	wg.Wait()
	if took := time.Since(begin); took < 2*delay || took > 10*delay {
		t.Errorf("%d requests at the same time took %v, want little more than %v", requests, took, 2*delay)
	}
}
