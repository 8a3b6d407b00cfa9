package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	killAfter   = 500 * time.Millisecond // from the answers to the DELETEs until all hosts are killed
	downFor     = 600 * time.Millisecond
	repeatedFor = 5 * time.Second // from when the hosts are ready again, longer than contactMs (3 s), until the requests arrive once more
)

func init() {
	prepare["forget"] = prepareCancel
	cases["forget"] = forget
}

// forget cancels jobs in progress and kills all hosts at once. They start again, and when they have run for longer than
// contactMs the requests of the jobs arrive once more.
func forget(d *deployment, trouble bool) error {
	var mu sync.Mutex
	acknowledged := make(map[string]time.Time)
	for _, m := range d.minions {
		m.onStart = func(m *minion, r *run) {
			mu.Lock()
			at, cancelled := acknowledged[strings.SplitN(r.task, ".", 2)[0]]
			mu.Unlock()
			if late := time.Since(at); cancelled && late > cancelMS*time.Millisecond {
				d.rec.breaks("UNASKED task %s starts on %s %v after the cancelling of its job was acknowledged", r.task, m.id, late.Round(time.Millisecond))
			}
		}
	}
	client := newClient()
	j := newJob(4, 9000, 64, 900)
	var ids []string
	var wg sync.WaitGroup
	for i := range jobsToCancel {
		id := fmt.Sprintf("c0ffee00%08x", i+1)
		ids = append(ids, id)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.rec.line("send job=%s", id)
			a := submit(context.Background(), client, d.hosts[i%len(d.hosts)], id, j, 1500*time.Millisecond)
			d.rec.line("answer job=%s status=%d %s", id, a.status, a.body)
		}()
	}
	time.Sleep(cancelAfter)
	for i, id := range ids {
		status, body := remove(client, d.hosts[(i+1)%len(d.hosts)], id)
		d.rec.line("DELETE job=%s status=%d %s", id, status, body)
		if status == http.StatusOK {
			mu.Lock()
			acknowledged[id] = time.Now()
			mu.Unlock()
		}
	}
	wg.Wait()
	if len(acknowledged) == 0 {
		return fmt.Errorf("no DELETE was acknowledged")
	}
	time.Sleep(killAfter)
	if trouble {
		for _, h := range d.hosts {
			h.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, h := range d.hosts {
			<-h.done
		}
		d.rec.line("all hosts are killed")
		time.Sleep(downFor)
		for _, h := range d.hosts {
			if err := d.startHost(h); err != nil {
				return err
			}
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	d.rec.line("all hosts are ready")
	time.Sleep(repeatedFor)
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.rec.line("send job=%s once more", id)
			a := submit(context.Background(), client, d.hosts[i%len(d.hosts)], id, j, 1500*time.Millisecond)
			d.rec.line("answer job=%s status=%d %s", id, a.status, a.body)
		}()
	}
	wg.Wait()
	return nil
}
