package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	cancelMS     = 3000                   // cancel_ms of the bounds
	jobsToCancel = 6                      // two through each host
	repeatAfter  = 11 * time.Second       // from the answer to a job until its request arrives once more
	cancelAfter  = 150 * time.Millisecond // from the request of a job until its DELETE
)

func init() {
	prepare["recancel"] = prepareCancel
	cases["recancel"] = recancel
}

func prepareCancel(dir string, rec *recorder) (*deployment, error) {
	return newDeployment(dir, rec, []string{"ernakulam", "malabar", "tvm-south"}, 1, 8, kind{"a", 64000, 131072}, 1500)
}

// recancel cancels jobs in progress. The request of each arrives once more, seconds after it was answered.
func recancel(d *deployment, trouble bool) error {
	var mu sync.Mutex
	acknowledged := make(map[string]time.Time) // when the DELETE of a job was answered with success
	for _, m := range d.minions {
		m.onStart = func(m *minion, r *run) {
			id := strings.SplitN(r.task, ".", 2)[0]
			mu.Lock()
			at, cancelled := acknowledged[id]
			mu.Unlock()
			if late := time.Since(at); cancelled && late > cancelMS*time.Millisecond {
				// The lock of the recorder is free: the start has been recorded.
				d.rec.breaks("UNASKED task %s starts on %s %v after the cancelling of its job was acknowledged", r.task, m.id, late.Round(time.Millisecond))
			}
		}
	}
	client := newClient()
	var wg sync.WaitGroup
	cancelled := 0
	for i := range jobsToCancel {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("c0ffee00%08x", i+1)
			first, second := d.hosts[i%len(d.hosts)], d.hosts[(i+1)%len(d.hosts)]
			j := newJob(4, 9000, 64, 900)
			answered := make(chan answer, 1)
			d.rec.line("send job=%s host=%s", id, first.name)
			go func() { answered <- submit(context.Background(), client, first, id, j, 1500*time.Millisecond) }()
			time.Sleep(cancelAfter)
			status, body := remove(client, second, id)
			if status == http.StatusOK {
				mu.Lock()
				acknowledged[id] = time.Now()
				cancelled++
				mu.Unlock()
			}
			d.rec.line("DELETE job=%s host=%s status=%d %s", id, second.name, status, body)
			a := <-answered
			d.rec.line("answer job=%s status=%d %s", id, a.status, a.body)
			if !trouble {
				return
			}
			time.Sleep(repeatAfter)
			d.rec.line("send job=%s host=%s once more", id, first.name)
			a = submit(context.Background(), client, first, id, j, 1500*time.Millisecond)
			d.rec.line("answer job=%s status=%d %s", id, a.status, a.body)
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	if cancelled == 0 {
		return fmt.Errorf("no DELETE was acknowledged")
	}
	return nil
}

// remove sends a DELETE and returns its status and body.
func remove(client *http.Client, h *entryHost, id string) (int, string) {
	req, _ := http.NewRequest(http.MethodDelete, "http://"+h.callers+prefix+id, nil)
	req.Host = hostHeader
	req.Header.Set("X-Deadline-Ms", "4000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}
