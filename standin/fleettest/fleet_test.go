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

// submitAll submits jobs to hosts in turn, in parallel, and returns the answers. A job whose
// answer leaves its fate open is sent again after the time that callers wait.
func (b *bed) submitAll(hosts []string, first, jobs int, takes string, tasks int, alive func(host string) bool) []result {
	results := make([]result, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			host := hosts[i%len(hosts)]
			results[i] = b.submit(host, jobID(first+i), takes, tasks)
			if results[i].err == nil && results[i].status == http.StatusOK {
				return
			}
			time.Sleep(1300 * time.Millisecond)
			for n := 1; !alive(host) && n < len(hosts); n++ {
				host = hosts[(i+n)%len(hosts)]
			}
			results[i] = b.submit(host, jobID(first+i), takes, tasks)
		}()
	}
	wg.Wait()
	return results
}

func everyHost(string) bool { return true }

func (b *bed) wantCompleted(results []result) {
	b.t.Helper()
	for i, r := range results {
		if r.err != nil || r.status != http.StatusOK || r.state != "completed" {
			b.t.Errorf("job %d: status %d, state %q, error %v", i, r.status, r.state, r.err)
		}
	}
}

// threeHosts starts a deployment with two hosts in the north and one in the south.
func threeHosts(t *testing.T) (*bed, []string) {
	b := newBed(t, 4)
	b.start("n1", "north", 2)
	b.start("n2", "north", 1)
	b.start("s1", "south", 1)
	names := []string{"n1", "n2", "s1"}
	b.awaitReady(names...)
	b.await("both cells have a commander", func() bool {
		return b.hosts["n1"].taken() && b.hosts["s1"].taken()
	})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.watchTwice(stop)
	}()
	t.Cleanup(func() { close(stop); <-done })
	return b, names
}

// TestJobsComplete guards against lost and repeated tasks on a calm deployment, whichever
// host takes a job.
func TestJobsComplete(t *testing.T) {
	b, names := threeHosts(t)
	b.wantCompleted(b.submitAll(names, 0, 40, "40ms", 3, everyHost))
	for task, n := range b.startsOf() {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
	if got := len(b.startsOf()); got != 120 {
		t.Errorf("%d tasks were started, want 120", got)
	}
}

// TestCommanderLost guards against double runs, a worker over its capacity, and jobs that
// never end, when the host that commands the workers is lost under load.
func TestCommanderLost(t *testing.T) {
	b, names := threeHosts(t)
	lost := b.commander("north")
	var once sync.Once
	gone := make(chan struct{})
	go func() {
		time.Sleep(150 * time.Millisecond)
		b.hosts[lost].host.Close()
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
	b.wantCompleted(b.submitAll(names, 1000, 40, "60ms", 2, alive))
}

// TestDrainBreaksNothingOff guards against requests that a planned stop breaks off, and
// against a stop that waits for its time limit.
func TestDrainBreaksNothingOff(t *testing.T) {
	b, names := threeHosts(t)
	leaving := b.commander("north")
	started := make(chan time.Duration, 1)
	go func() {
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		b.hosts[leaving].host.Drain()
		started <- time.Since(begin)
	}()
	results := make([]result, 30)
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			results[i] = b.submit(names[i%3], jobID(2000+i), "80ms", 2)
		}()
	}
	wg.Wait()
	b.wantCompleted(results)
	if took := <-started; took >= 3*time.Second {
		t.Errorf("the drain took %v", took)
	}
	after := b.submit("n2", jobID(2999), "20ms", 1)
	b.wantCompleted([]result{after})
}

// TestSilentWorker guards against a second start of a task whose first start went
// unanswered, and against a worker's room being used twice.
func TestSilentWorker(t *testing.T) {
	b, names := threeHosts(t)
	go func() {
		time.Sleep(100 * time.Millisecond)
		b.workers[0].SetFaults(fleetsim.Faults{Silent: true})
		time.Sleep(600 * time.Millisecond)
		b.workers[0].SetFaults(fleetsim.Faults{})
	}()
	b.wantCompleted(b.submitAll(names, 3000, 40, "50ms", 2, everyHost))
}

// TestWorkerRestarts guards against jobs that wait for the runs of a process that is gone.
func TestWorkerRestarts(t *testing.T) {
	b, names := threeHosts(t)
	go func() {
		time.Sleep(120 * time.Millisecond)
		b.workers[1].Restart()
	}()
	b.wantCompleted(b.submitAll(names, 4000, 40, "50ms", 2, everyHost))
}

// TestStoreAway guards against a host that needs the store to serve: one that starts while
// the store is away learns the configuration and the workers from the others.
func TestStoreAway(t *testing.T) {
	b, _ := threeHosts(t)
	b.store.SetDown(true)
	b.start("n3", "north", 1)
	b.awaitReady("n3")
	b.wantCompleted([]result{b.submit("n3", jobID(5000), "20ms", 2)})
	b.store.Forget("keyed.servers")
	b.store.Forget("keyed.op")
	b.store.SetDown(false)
	b.publish(prefix, "/added/")
	b.await("the added route is in force", func() bool { return b.status("n3", "/added/") == http.StatusOK })
}

// status returns the status of a request for the number of waiting jobs under a path.
func (b *bed) status(host, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+b.hosts[host].settings.Listen.Callers+path, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	req.Host = fleetsim.CallerHost
	resp, err := b.client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestConfigChange guards against dropped routes that go on being served, and against added
// ones that are refused.
func TestConfigChange(t *testing.T) {
	b, names := threeHosts(t)
	b.publish("/other/")
	for _, name := range names {
		b.await("the change is in force on "+name, func() bool {
			return b.status(name, "/other/") == http.StatusOK && b.status(name, prefix) == http.StatusNotFound
		})
	}
}

// TestDrainClosesIdleConnections guards against callers that keep an open connection to a host that
// shuts down and are refused there, while other hosts would serve them.
func TestDrainClosesIdleConnections(t *testing.T) {
	b, names := threeHosts(t)
	leaving := names[2]
	conn, err := net.Dial("tcp4", b.hosts[leaving].settings.Listen.Callers)
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
	b.hosts[leaving].settings.DrainTime = 20 * time.Second // leaves a second for the job below
	go b.hosts[leaving].host.Drain()
	_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle connection was not closed: %v", err)
	}
	if r := b.submit(leaving, jobID(1), "10ms", 1); r.status != http.StatusOK {
		t.Errorf("status %d, %v: jobs are refused before idle connections are closed", r.status, r.err)
	}
}

// TestDrainingWorkerGetsNothing guards against tasks on a worker that is about to leave.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	b, names := threeHosts(t)
	leaving := b.workers[0]
	b.list(leaving, "north", b.servers[1].Listener.Addr().String(), fleetsim.Draining)
	b.await("the commander knows", func() bool {
		return strings.Contains(b.hosts["n1"].log.String(), `msg="worker drains" worker=`+leaving.ID)
	})
	before := len(leaving.Starts())
	b.wantCompleted(b.submitAll(names, 6000, 30, "30ms", 3, everyHost))
	if after := len(leaving.Starts()); after != before {
		t.Errorf("%d tasks started on the draining worker", after-before)
	}
}

// TestUnsupportedIsRefused guards against jobs of kinds that are not handled being half done.
func TestUnsupportedIsRefused(t *testing.T) {
	b, _ := threeHosts(t)
	for name, body := range map[string]string{
		"stored":   `{"spec":"10ms","phases":[{"count":1,"cpu":1000}]}`,
		"gang":     `{"spec":"10ms","bestEffort":true,"phases":[{"count":2,"cpu":1000,"gang":true}]}`,
		"no steps": `{"spec":"10ms","bestEffort":true,"phases":[]}`,
		"not JSON": `{"spec":`,
	} {
		req, err := http.NewRequest(http.MethodPost, "http://"+b.hosts["n1"].settings.Listen.Callers+prefix+jobID(7000), bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = fleetsim.CallerHost
		resp, err := b.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	if n := len(b.startsOf()); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

// TestConfigAfterSilence guards against a read of the configuration that was open when the store
// fell silent: its answer never comes, and a change would be in force only after its time limit.
func TestConfigAfterSilence(t *testing.T) {
	b, names := threeHosts(t)
	b.store.SetSilent(true)
	time.Sleep(200 * time.Millisecond)
	b.store.SetSilent(false)
	b.publish("/other/")
	changed := time.Now()
	for _, name := range names {
		b.await("the change is in force on "+name, func() bool { return b.status(name, "/other/") == http.StatusOK })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("the change was in force after %v; 2 s are promised", took)
	}
}
