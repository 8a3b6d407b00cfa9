package fleettest

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

// crashDowntime is how long the place of a crashed worker is empty.
const crashDowntime = 2 * time.Second

// addCrashingWorker starts a worker that tasks can crash, at an address or at a new one. A worker with
// another ID then takes its place at the same address.
func (d *deployment) addCrashingWorker(zone, id, addr string) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		d.reportViolation(fmt.Sprintf("worker %s cannot listen at %s: %v", id, addr, err))
		return
	}
	addr = listener.Addr().String()
	w := fleetsim.NewWorker(id, workerCPU, func(string) int64 { return taskCPU }, d.reportViolation)
	w.NamesProcess = true
	server := &http.Server{Handler: w}
	var once sync.Once
	stop := func() { once.Do(func() { _ = server.Close() }) }
	w.OnCrash = func() {
		stop()
		time.AfterFunc(crashDowntime, func() {
			d.mu.Lock()
			closed := d.closed
			d.mu.Unlock()
			if closed {
				return
			}
			d.store.RemoveWorkerEntry(w)
			d.addCrashingWorker(zone, id+"x", addr)
		})
	}
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	d.t.Cleanup(func() {
		d.mu.Lock()
		d.closed = true
		d.mu.Unlock()
		stop()
	})
	d.listWorker(w, zone, addr, fleetsim.Ready)
}

// startCrashing starts three hosts, as startThreeHosts does, with workers that tasks can crash.
func startCrashing(t *testing.T) (*deployment, []string) {
	d := newDeployment(t, 0)
	for _, zone := range zones {
		for i := range 6 {
			d.addCrashingWorker(zone, fmt.Sprintf("w-%s-%d", zone, i), "127.0.0.1:0")
		}
	}
	return d, d.startHosts()
}

// submitDeadly submits a job whose first task crashes workers, again and again to the hosts in turn until
// one gives a final answer.
func (d *deployment) submitDeadly(hosts []string, id string) result {
	var r result
	for i := range 8 {
		r = d.submit(hosts[i%len(hosts)], id, "50ms"+fleetsim.CrashSuffix, 2)
		if r.err == nil && r.status == http.StatusOK {
			return r
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return r
}

// crashesOf returns the number of workers that have started the first task of a job.
func (d *deployment) crashesOf(id string) int { return d.startCounts()[id+".0.0.0"] }

// TestDeadlyTaskEndsItsJobFailed guards against a task that crashes the workers of one zone after the other
// while its caller sends the job again, and against sound jobs that are lost beside it.
func TestDeadlyTaskEndsItsJobFailed(t *testing.T) {
	d, names := startCrashing(t)
	results := make(chan []result)
	go func() { results <- d.submitAll(names, 5000, 120, "40ms", 2, allAlive) }()
	time.Sleep(100 * time.Millisecond)
	r := d.submitDeadly(names, jobID(1))
	if r.status != http.StatusOK || r.state != "failed" {
		t.Errorf("the job with the deadly task got status %d, state %q, error %v; want it failed", r.status, r.state, r.err)
	}
	if n := d.crashesOf(jobID(1)); n > 2 {
		t.Errorf("the deadly task was started on %d workers, want at most 2", n)
	}
	d.checkCompleted(<-results)
}

// TestDeadlyTaskUnderLostCommander guards against crashes that are forgotten when the commander that saw them is
// lost, while the caller sends the job again to the hosts that are left.
func TestDeadlyTaskUnderLostCommander(t *testing.T) {
	d, _ := startCrashing(t)
	lost := d.commanderOf("north")
	left := map[string][]string{"n1": {"n2", "s1"}, "n2": {"n1", "s1"}}[lost]
	go func() {
		for deadline := time.Now().Add(5 * time.Second); d.crashesOf(jobID(1)) == 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		d.hosts[lost].host.Close()
	}()
	r := d.submitDeadly(left, jobID(1))
	if r.status != http.StatusOK || r.state != "failed" {
		t.Errorf("the job with the deadly task got status %d, state %q, error %v; want it failed", r.status, r.state, r.err)
	}
	if n := d.crashesOf(jobID(1)); n > 3 {
		t.Errorf("the deadly task was started on %d workers, want at most 2 and one for the lost commander", n)
	}
}
