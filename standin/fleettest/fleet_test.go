package fleettest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

// submitAll submits jobs in parallel, to the hosts in turn, and returns the answers. The jobs have the
// IDs first, first+1 and so on. A job that gets an error or another status than 200 is submitted once
// more, to a host that is alive, after the time that callers wait before a retry.
func (d *deployment) submitAll(
	hosts []string, first, jobs int, duration string, tasks int, alive func(host string) bool,
) []result {
	results := make([]result, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			host := hosts[i%len(hosts)]
			results[i] = d.submit(host, jobID(first+i), duration, tasks)
			if results[i].err == nil && results[i].status == http.StatusOK {
				return
			}
			time.Sleep(1300 * time.Millisecond)
			for n := 1; !alive(host) && n < len(hosts); n++ {
				host = hosts[(i+n)%len(hosts)]
			}
			results[i] = d.submit(host, jobID(first+i), duration, tasks)
		}()
	}
	wg.Wait()
	return results
}

// allAlive is the alive function of submitAll for tests in which no host fails.
func allAlive(string) bool { return true }

// checkCompleted checks that all jobs were completed.
func (d *deployment) checkCompleted(results []result) {
	d.t.Helper()
	for i, r := range results {
		if r.err != nil || r.status != http.StatusOK || r.state != "completed" {
			d.t.Errorf("job %d: status %d, state %q, error %v", i, r.status, r.state, r.err)
		}
	}
}

// startThreeHosts starts a deployment with two hosts in the zone north and one in south, and reports tasks
// that run on two workers at the same time.
func startThreeHosts(t *testing.T) (*deployment, []string) {
	d := newDeployment(t, 4)
	return d, d.startHosts()
}

// startHosts starts the hosts of startThreeHosts in a deployment that has its workers.
func (d *deployment) startHosts() []string {
	d.startHost("n1", "north", 2)
	d.startHost("n2", "north", 1)
	d.startHost("s1", "south", 1)
	names := []string{"n1", "n2", "s1"}
	d.waitUntilReady(names...)
	d.waitUntil("both cells have a commander", func() bool {
		return d.hosts["n1"].commandsWorkers() && d.hosts["s1"].commandsWorkers()
	})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.reportConcurrentRuns(stop)
	}()
	d.t.Cleanup(func() { close(stop); <-done })
	return names
}

// TestJobsComplete guards against lost and repeated tasks in a deployment without faults, whichever host
// a job is submitted to.
func TestJobsComplete(t *testing.T) {
	d, names := startThreeHosts(t)
	d.checkCompleted(d.submitAll(names, 0, 40, "40ms", 3, allAlive))
	for task, n := range d.startCounts() {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
	if got := len(d.startCounts()); got != 120 {
		t.Errorf("%d tasks were started, want 120", got)
	}
}

// TestJobsCompleteWhenCommanderFails guards against concurrent runs of a task, workers beyond their
// capacity, and jobs that never end, when the host that commands the workers stops under load.
func TestJobsCompleteWhenCommanderFails(t *testing.T) {
	d, names := startThreeHosts(t)
	lost := d.commanderOf("north")
	var once sync.Once
	gone := make(chan struct{})
	go func() {
		time.Sleep(150 * time.Millisecond)
		d.hosts[lost].host.Close()
		once.Do(func() { close(gone) })
	}()
	alive := func(host string) bool {
		select {
		case <-gone:
			return host != lost
		default:
			return true
		}
	}
	d.checkCompleted(d.submitAll(names, 1000, 40, "60ms", 2, alive))
}

// TestDrainCompletesRequests guards against a planned stop that aborts requests in progress, and against
// one that always takes its full time limit.
func TestDrainCompletesRequests(t *testing.T) {
	d, names := startThreeHosts(t)
	leaving := d.commanderOf("north")
	started := make(chan time.Duration, 1)
	go func() {
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		d.hosts[leaving].host.Drain()
		started <- time.Since(begin)
	}()
	results := make([]result, 30)
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			results[i] = d.submit(names[i%3], jobID(2000+i), "80ms", 2)
		}()
	}
	wg.Wait()
	d.checkCompleted(results)
	if took := <-started; took >= 3*time.Second {
		t.Errorf("the drain took %v", took)
	}
	after := d.submit("n2", jobID(2999), "20ms", 1)
	d.checkCompleted([]result{after})
}

// TestJobsCompleteWithSilentWorker guards against a second start of a task whose first start was not
// answered, and against capacity of a worker that is assigned twice.
func TestJobsCompleteWithSilentWorker(t *testing.T) {
	d, names := startThreeHosts(t)
	go func() {
		time.Sleep(100 * time.Millisecond)
		d.workers[0].SetFaults(fleetsim.Faults{Silent: true})
		time.Sleep(600 * time.Millisecond)
		d.workers[0].SetFaults(fleetsim.Faults{})
	}()
	d.checkCompleted(d.submitAll(names, 3000, 40, "50ms", 2, allAlive))
}

// TestJobsCompleteWhenWorkerRestarts guards against jobs that keep waiting for runs that ended
// with the worker's previous process.
func TestJobsCompleteWhenWorkerRestarts(t *testing.T) {
	d, names := startThreeHosts(t)
	go func() {
		time.Sleep(120 * time.Millisecond)
		d.workers[1].Restart()
	}()
	d.checkCompleted(d.submitAll(names, 4000, 40, "50ms", 2, allAlive))
}

// TestHostStartsWithoutStore guards against a host that cannot serve without the store. A host that starts
// while the store is down gets the configuration and the workers from the other hosts.
func TestHostStartsWithoutStore(t *testing.T) {
	d, _ := startThreeHosts(t)
	d.store.SetDown(true)
	d.startHost("n3", "north", 1)
	d.waitUntilReady("n3")
	d.checkCompleted([]result{d.submit("n3", jobID(5000), "20ms", 2)})
	d.store.DropHistory("keyed.servers")
	d.store.DropHistory("keyed.op")
	d.store.SetDown(false)
	d.publishConfig(prefix, "/added/")
	d.waitUntil("the added route is in effect", func() bool { return d.getStatus("n3", "/added/") == http.StatusOK })
}

// getStatus returns the HTTP status of a request for the number of waiting jobs under a path, or 0 if there
// is no answer.
func (d *deployment) getStatus(host, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.hosts[host].settings.Listen.Callers+path, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = fleetsim.CallerHost
	resp, err := d.client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestConfigChange guards against removed routes that are still served, and against added routes that are
// refused.
func TestConfigChange(t *testing.T) {
	d, names := startThreeHosts(t)
	d.publishConfig("/other/")
	for _, name := range names {
		d.waitUntil("the change is in effect on "+name, func() bool {
			return d.getStatus(name, "/other/") == http.StatusOK && d.getStatus(name, prefix) == http.StatusNotFound
		})
	}
}

// TestDrainClosesIdleConnections guards against a host that shuts down but keeps idle connections open:
// callers would reuse them and be refused, while other hosts could serve them.
func TestDrainClosesIdleConnections(t *testing.T) {
	d, names := startThreeHosts(t)
	leaving := names[2]
	conn, err := net.Dial("tcp4", d.hosts[leaving].settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, fleetsim.CallerHost); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	d.hosts[leaving].settings.DrainTime = 20 * time.Second // long enough to leave a second for the job below
	go d.hosts[leaving].host.Drain()
	_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle connection was not closed: %v", err)
	}
	if r := d.submit(leaving, jobID(1), "10ms", 1); r.status != http.StatusOK {
		t.Errorf("status %d, %v: jobs are refused before idle connections are closed", r.status, r.err)
	}
}

// TestDrainingWorkerGetsNoTasks guards against tasks that are started on a draining worker.
func TestDrainingWorkerGetsNoTasks(t *testing.T) {
	d, names := startThreeHosts(t)
	leaving := d.workers[0]
	d.listWorker(leaving, "north", d.servers[1].Listener.Addr().String(), fleetsim.Draining)
	d.waitUntil("the commander knows that the worker drains", func() bool {
		return strings.Contains(d.hosts["n1"].log.String(), `msg="worker drains" worker=`+leaving.ID)
	})
	before := len(leaving.Starts())
	d.checkCompleted(d.submitAll(names, 6000, 30, "30ms", 3, allAlive))
	if after := len(leaving.Starts()); after != before {
		t.Errorf("%d tasks started on the draining worker", after-before)
	}
}

// TestUnsupportedJobsAreRefused guards against jobs of unsupported kinds that are executed in part.
func TestUnsupportedJobsAreRefused(t *testing.T) {
	d, _ := startThreeHosts(t)
	for name, body := range map[string]string{
		"stored":   `{"spec":"10ms","phases":[{"count":1,"cpu":1000}]}`,
		"gang":     `{"spec":"10ms","bestEffort":true,"phases":[{"count":2,"cpu":1000,"gang":true}]}`,
		"no steps": `{"spec":"10ms","bestEffort":true,"phases":[]}`,
		"not JSON": `{"spec":`,
	} {
		req, err := http.NewRequest(http.MethodPost,
			"http://"+d.hosts["n1"].settings.Listen.Callers+prefix+jobID(7000), bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = fleetsim.CallerHost
		resp, err := d.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	if n := len(d.startCounts()); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

// TestConfigChangeAfterSilentStore guards against a host that waits for a read of the configuration which
// was in progress when the store became silent. That read is never answered, so a change would take
// effect only after the read's time limit.
func TestConfigChangeAfterSilentStore(t *testing.T) {
	d, names := startThreeHosts(t)
	d.store.SetSilent(true)
	time.Sleep(200 * time.Millisecond)
	d.store.SetSilent(false)
	d.publishConfig("/other/")
	changed := time.Now()
	for _, name := range names {
		d.waitUntil("the change is in effect on "+name, func() bool { return d.getStatus(name, "/other/") == http.StatusOK })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("the change took effect after %v; the limit is 2 s", took)
	}
}
