package fleettest

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// promptly is the time in which a cancellation takes effect where all hosts are in contact.
	promptly = 500 * time.Millisecond
)

// cancel sends a DELETE for a job under a path prefix.
func (d *deployment) cancel(host, under, id string) result {
	req, err := http.NewRequest(http.MethodDelete, "http://"+d.hosts[host].settings.Listen.Callers+under+id, nil)
	if err != nil {
		return result{err: err}
	}
	return d.send(req)
}

// runningTasks returns the number of runs of a job's tasks.
func (d *deployment) runningTasks(id string) int {
	n := 0
	for _, w := range d.workers {
		for _, task := range w.Running() {
			if strings.HasPrefix(task, id+".") {
				n++
			}
		}
	}
	return n
}

// startsOf returns how often tasks of a job were started.
func (d *deployment) startsOf(id string) int {
	n := 0
	for task, count := range d.startCounts() {
		if strings.HasPrefix(task, id+".") {
			n += count
		}
	}
	return n
}

// submitLater submits a job in the background, waits until its tasks run, and returns the channel for its
// answer.
func (d *deployment) submitLater(host, id string, tasks int) <-chan result {
	answer := make(chan result, 1)
	go func() { answer <- d.submit(host, id, "4s", tasks) }()
	d.waitUntil("the tasks run", func() bool { return d.runningTasks(id) == tasks })
	return answer
}

// checkCancelled checks that the caller of a cancelled job gets that answer at once and that its tasks are
// gone.
func (d *deployment) checkCancelled(id string, answer <-chan result) {
	d.t.Helper()
	select {
	case r := <-answer:
		if r.status != http.StatusOK || r.state != "cancelled" {
			d.t.Errorf("the caller got %+v", r)
		}
	case <-time.After(promptly):
		d.t.Error("the caller has no answer")
	}
	deadline := time.Now().Add(promptly)
	for d.runningTasks(id) > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if n := d.runningTasks(id); n > 0 {
		d.t.Errorf("%d tasks still run", n)
	}
}

// TestDeleteCancelsRunningJob guards against a job that runs on after its cancellation was acknowledged,
// whichever host got the job and whichever the cancellation, and against one that is started again by a
// submission that was sent before.
func TestDeleteCancelsRunningJob(t *testing.T) {
	d, names := startThreeHosts(t)
	for i, at := range names {
		for k, by := range names {
			id := jobID(8000 + 10*i + k)
			answer := d.submitLater(at, id, 2)
			started := d.startsOf(id)
			if r := d.cancel(by, prefix, id); r.status != http.StatusOK || r.state != "cancelled" {
				t.Fatalf("the cancellation at %s got %+v", by, r)
			}
			d.checkCancelled(id, answer)
			for _, again := range names {
				if r := d.submit(again, id, "20ms", 1); r.status != http.StatusOK || r.state != "cancelled" {
					t.Errorf("the submission repeated at %s got %+v", again, r)
				}
			}
			if n := d.startsOf(id); n != started {
				t.Errorf("%d tasks were started after the acknowledgement", n-started)
			}
			if r := d.cancel(by, prefix, id); r.status != http.StatusOK {
				t.Errorf("the repeated cancellation got %+v", r)
			}
		}
	}
}

// TestDeleteOfUnknownJob guards against a "no such job" that is not true: a submission that was sent before
// the cancellation and arrives after it must not run. A job of that name on another route is another job.
func TestDeleteOfUnknownJob(t *testing.T) {
	d, names := startThreeHosts(t)
	d.publishConfig(prefix, "/other/")
	for _, name := range names {
		d.waitUntil("the change is in effect", func() bool { return d.getStatus(name, "/other/") == http.StatusOK })
	}
	id := jobID(8100)
	if r := d.cancel("n2", "/other/", id); r.status != http.StatusGone {
		t.Fatalf("the cancellation got %+v", r)
	}
	d.checkCompleted([]result{d.submit("s1", id, "20ms", 1)})
	if r := d.cancel("n2", prefix, id); r.status != http.StatusGone {
		t.Fatalf("the cancellation of a job that has ended got %+v", r)
	}
	started := d.startsOf(id)
	for _, name := range names {
		if r := d.submit(name, id, "20ms", 1); r.state != "cancelled" {
			t.Errorf("the late submission at %s got %+v", name, r)
		}
	}
	if n := d.startsOf(id); n != started {
		t.Errorf("%d tasks were started after the acknowledgement", n-started)
	}
}

// TestDeleteAfterRouteIsRemoved guards against a job that runs on because its cancellation is answered 404 once its
// route was removed, or has given way to one with a longer prefix (review/7).
func TestDeleteAfterRouteIsRemoved(t *testing.T) {
	d, names := startThreeHosts(t)
	for i, left := range []string{"/other/", prefix + "8"} {
		id := jobID(0x8800 + i)
		d.publishConfig(prefix)
		for _, name := range names {
			d.waitUntil("the route is in force", func() bool { return d.getStatus(name, prefix) == http.StatusOK })
		}
		answer := d.submitLater("n1", id, 2)
		d.publishConfig(left)
		for _, name := range names {
			d.waitUntil("the route is removed", func() bool { return d.getStatus(name, prefix) == http.StatusNotFound })
		}
		if r := d.cancel(names[i], prefix, id); r.status != http.StatusGone {
			t.Errorf("%s in force: the cancellation got %+v", left, r)
		}
		d.checkCancelled(id, answer)
	}
}

// TestDeleteWhileCommanderDrains guards against a cancellation that a host which shuts down refuses or
// answers with "no such job", and against one that gets lost while the cell changes hands.
func TestDeleteWhileCommanderDrains(t *testing.T) {
	d, _ := startThreeHosts(t)
	leaving := d.commanderOf("north")
	d.hosts[leaving].settings.DrainTime = 10 * time.Second
	ids := []string{jobID(8200), jobID(8201)}
	first := d.submitLater(leaving, ids[0], 2)
	second := d.submitLater("s1", ids[1], 2)
	go d.hosts[leaving].host.Drain()
	d.waitUntil("the host drains", func() bool { return strings.Contains(d.hosts[leaving].log.String(), "msg=draining") })
	if r := d.cancel(leaving, prefix, ids[0]); r.status != http.StatusOK {
		t.Errorf("the cancellation at the host that shuts down got %+v", r)
	}
	d.checkCancelled(ids[0], first)
	if r := d.cancel("n2", prefix, ids[1]); r.status != http.StatusOK {
		t.Errorf("the cancellation at another host got %+v", r)
	}
	d.checkCancelled(ids[1], second)
}

// TestDeleteWhenCommanderIsLost guards against an acknowledgement while a commander that may run the job
// cannot be asked, and against a cancellation without an end when it does not come back.
func TestDeleteWhenCommanderIsLost(t *testing.T) {
	d, _ := startThreeHosts(t)
	lost := d.commanderOf("north")
	id := jobID(8300)
	_ = d.submitLater("s1", id, 2)
	d.hosts[lost].host.Close()
	sent := time.Now()
	r := d.cancel("s1", prefix, id)
	if took := time.Since(sent); took > 2500*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
	for r.status == http.StatusServiceUnavailable && time.Since(sent) < 8*time.Second {
		time.Sleep(200 * time.Millisecond)
		r = d.cancel("s1", prefix, id)
	}
	if r.status != http.StatusOK && r.status != http.StatusGone {
		t.Fatalf("the cancellation got %+v", r)
	}
	started := d.startsOf(id)
	time.Sleep(promptly)
	if n := d.runningTasks(id); n > 0 || d.startsOf(id) != started {
		t.Errorf("%d tasks run and %d were started after the acknowledgement", n, d.startsOf(id)-started)
	}
	if r := d.submit("n2", id, "20ms", 1); r.state != "cancelled" {
		t.Errorf("the submission at the next commander got %+v", r)
	}
}
