package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	recoveryTime = 12 * time.Second       // recoveryS
	finalDown    = time.Second            // from the final fault to the start of the hosts
	afterTime    = 10 * time.Second       // in which requests are judged
	jobGap       = 200 * time.Millisecond // between two jobs to a host
)

// request is a request of a client and whether it was served.
type request struct {
	sent   time.Time
	host   string
	served bool
}

// runEntry kills all hosts at once and starts them again, as a final fault does. Traffic goes on. Two
// seconds later another writer puts entries into keyed.servers whose keys are no text and whose service no
// configuration names. A quarter of the requests that are sent later than recoveryTime after the hosts are
// back has to be served.
func runEntry(rec *record, trouble bool) error {
	q := queue{name: "r-3hwrr6x", host: "nony24.example", prefix: "/lohu930/", timeoutMillis: 1500, maxAttempts: 3}
	s := smallDeployment
	s.hostsPerZone = []int{5, 5, 5}
	d, err := newDeployment(rec, s, []queue{q})
	defer d.stop()
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var requests []request
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range d.hosts {
		wg.Go(func() {
			sendSteadily(rec, d, q, h, stop, func(r request) {
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, r)
			})
		})
	}
	time.Sleep(5 * time.Second)
	fault := time.Now()
	for _, h := range d.hosts {
		d.signal(h, syscall.SIGKILL)
	}
	time.Sleep(finalDown)
	for _, h := range d.hosts {
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	if err := d.awaitReady(d.hosts, 20*time.Second); err != nil {
		return err
	}
	back := time.Now()
	rec.line("all hosts are ready again")
	time.Sleep(2 * time.Second)
	if trouble {
		writeForeignEntries(d)
	}
	time.Sleep(time.Until(back.Add(recoveryTime + afterTime)))
	close(stop)
	wg.Wait()
	before := servedShare(rec, "before the final fault", requests, time.Time{}, fault)
	after := servedShare(rec, "after the recovery", requests, back.Add(recoveryTime), time.Now())
	if before < 0.25 {
		return fmt.Errorf("only %.2f of the requests were served before the final fault", before)
	}
	if after < 0.25 {
		rec.breakRule("RECOVER", "%.3f of the requests sent later than %v after the machines were back are served; %.3f were before the final fault", after, recoveryTime, before)
	}
	return nil
}

// writeForeignEntries writes an entry of another writer for each zone.
func writeForeignEntries(d *deployment) {
	for i, zone := range d.zones {
		key := fmt.Sprintf("\xff\xfe%d", i)
		value, _ := json.Marshal(map[string]any{
			"service": "zz-other", "addr": "127.0.0.1:9", "zone": zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int64{"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": []string{"a", "r9-9"}, "clockMs": 1000, "seq": 1, "born": time.Now().UnixMilli(),
		})
		d.store.put("keyed.servers", key, value)
		d.rec.line("another writer puts an entry into keyed.servers: key %q, value %s", key, value)
	}
}

// sendSteadily sends a job to a host every jobGap until stop is closed, and waits for the answers.
func sendSteadily(rec *record, d *deployment, q queue, h *host, stop chan struct{}, report func(request)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(jobGap):
		}
		wg.Go(func() {
			c := newClient(rec, d.fleet)
			defer c.client.CloseIdleConnections()
			j := job{id: newJobID(), queue: q, count: 4, cpu: 500, workMillis: 60, deadline: 1500 * time.Millisecond}
			d.fleet.addJob(j.id, j.cpu, "")
			sent := time.Now()
			status, _ := c.send(http.MethodPost, h, j, j.body())
			report(request{sent: sent, host: h.name, served: status == http.StatusOK})
		})
	}
}

// servedShare returns the share of the requests sent in a period that were served, and records it for
// each host.
func servedShare(rec *record, period string, requests []request, from, to time.Time) float64 {
	sent, served := make(map[string]int), make(map[string]int)
	all, allServed := 0, 0
	for _, r := range requests {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		all++
		sent[r.host]++
		if r.served {
			allServed++
			served[r.host]++
		}
	}
	for h, n := range sent {
		rec.line("%s: %s served %d of %d requests", period, h, served[h], n)
	}
	return float64(allServed) / float64(max(1, all))
}
