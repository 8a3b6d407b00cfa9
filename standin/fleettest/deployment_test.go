// Package fleettest tests entry hosts over the published protocol, in one process, against the simulated
// platform of package fleetsim. Program soak runs them as separate processes, with more faults.
package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/entry"
	"sesameledge.dev/sesameledge/internal/testlog"
	"sesameledge.dev/sesameledge/standin/fleetsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	taskCPU   = 27000 // thousandths of a core
	workerCPU = 64000 // thousandths of a core
	prefix    = "/quotes/"
)

// deployment is a simulated platform with two availability zones of workers, and its entry hosts.
type deployment struct {
	t             *testing.T
	store         *fleetsim.Store
	storeAddr     string
	workers       []*fleetsim.Worker
	servers       []*httptest.Server // of the store, then of each worker in the order of workers
	hosts         map[string]*hostNode
	client        *http.Client
	configVersion int64
	mu            sync.Mutex
	violations    []string // broken rules that workers and tests reported
	closed        bool
}

// allWorkers returns the workers so far; new ones take the place of those that crash.
func (d *deployment) allWorkers() []*fleetsim.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.workers)
}

// hostNode is an entry host.
type hostNode struct {
	host     *entry.Host
	settings *entry.Settings
	log      *testlog.Buffer
}

// commandsWorkers reports whether the host's log says that it has taken command of a worker.
func (n *hostNode) commandsWorkers() bool {
	return strings.Contains(n.log.String(), `msg="worker taken"`)
}

var zones = []string{"north", "south"}

// newDeployment starts a store and workers in each zone, and publishes a configuration with one route.
func newDeployment(t *testing.T, workersPerZone int) *deployment {
	d := &deployment{
		t: t, store: fleetsim.NewStore(), hosts: make(map[string]*hostNode),
		client: &http.Client{Timeout: 10 * time.Second},
	}
	store := httptest.NewServer(d.store)
	d.servers = append(d.servers, store)
	d.storeAddr = store.Listener.Addr().String()
	for _, zone := range zones {
		for i := range workersPerZone {
			d.addWorker(zone, fmt.Sprintf("w-%s-%d", zone, i))
		}
	}
	d.publishConfig(prefix)
	t.Cleanup(d.close)
	return d
}

func (d *deployment) addWorker(zone, id string) {
	w := fleetsim.NewWorker(id, workerCPU, func(string) int64 { return taskCPU }, d.reportViolation)
	server := httptest.NewServer(w)
	d.workers = append(d.workers, w)
	d.servers = append(d.servers, server)
	d.listWorker(w, zone, server.Listener.Addr().String(), fleetsim.Ready)
}

func (d *deployment) listWorker(w *fleetsim.Worker, zone, addr, state string) {
	d.store.PutWorkerEntry(w, zone, addr, state)
}

// publishConfig writes a configuration with the given path prefixes and a higher version into the store.
func (d *deployment) publishConfig(prefixes ...string) {
	d.configVersion += 3
	d.store.PublishConfig(d.configVersion, prefixes...)
}

func (d *deployment) reportViolation(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, what)
}

// startHost starts an entry host and gives it the addresses of the others.
func (d *deployment) startHost(name, zone string, cores float64) *hostNode {
	d.t.Helper()
	addresses := testbed.NewAddressAllocator()
	s := &entry.Settings{
		Host: name, Zone: zone, Zones: zones, Store: d.storeAddr, Cores: cores, CoreShare: 1, DrainTime: 3 * time.Second,
		Listen: entry.Listen{
			Callers: freeAddr(d.t, addresses), Ready: freeAddr(d.t, addresses),
			Peers: freeAddr(d.t, addresses), Metrics: freeAddr(d.t, addresses),
		},
		Log: entry.Log{LinesPerSecond: 100000},
	}
	for _, n := range d.hosts {
		s.Seeds = append(s.Seeds, n.settings.Listen.Peers)
	}
	n := &hostNode{settings: s, log: new(testlog.Buffer)}
	var err error
	if n.host, err = entry.Start(s, n.log); err != nil {
		d.t.Fatalf("starting %s: %v", name, err)
	}
	d.hosts[name] = n
	return n
}

// freeAddr returns a free address of a host's own IP. On a shared IP, an outgoing connection of another
// test could take the port before the host listens.
func freeAddr(t *testing.T, addresses testbed.AddressAllocator) string {
	t.Helper()
	addr, err := addresses.Allocate()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// close stops the hosts and the platform, and fails the test if rules were broken.
func (d *deployment) close() {
	for _, n := range d.hosts {
		n.host.Close()
	}
	d.client.CloseIdleConnections()
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
	if len(d.violations) > 0 {
		d.t.Errorf("rules were broken: %s", strings.Join(d.violations, "; "))
	}
	if d.t.Failed() {
		for name, n := range d.hosts {
			d.t.Logf("log of %s:\n%s", name, n.log.String())
		}
	}
}

// waitUntilReady waits until the hosts accept connections from callers.
func (d *deployment) waitUntilReady(names ...string) {
	d.t.Helper()
	for _, name := range names {
		d.waitUntil("host "+name+" is ready", func() bool {
			resp, err := d.client.Get("http://" + d.hosts[name].settings.Listen.Ready + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// waitUntil waits until a condition holds and fails the test if it does not within 10 s.
func (d *deployment) waitUntil(what string, done func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// commanderOf returns the name of a host whose log says that it has taken command of a zone's workers.
func (d *deployment) commanderOf(zone string) string {
	for name, n := range d.hosts {
		if strings.Contains(n.log.String(), `msg="cell taken" cell=`+zone) {
			return name
		}
	}
	d.t.Fatalf("no host commands %s", zone)
	return ""
}

// result is the answer to a job request.
type result struct {
	status int
	state  string
	err    error
}

// submit sends a job to a host and waits for its end. Each of its tasks takes the given duration.
func (d *deployment) submit(host, id, duration string, tasks int) result {
	body, err := json.Marshal(fleetsim.JobBody(duration, tasks, taskCPU))
	if err != nil {
		return result{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+d.hosts[host].settings.Listen.Callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("X-Deadline-Ms", "5000")
	return d.send(req)
}

// send sends a caller's request and returns its answer.
func (d *deployment) send(req *http.Request) result {
	req.Host = fleetsim.CallerHost
	resp, err := d.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return result{status: resp.StatusCode, state: answer.State, err: err}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// startCounts returns how often each task was started, over all workers.
func (d *deployment) startCounts() map[string]int {
	all := make(map[string]int)
	for _, w := range d.allWorkers() {
		for name, n := range w.Starts() {
			all[name] += n
		}
	}
	return all
}

// reportConcurrentRuns reports tasks that run on two workers at the same time, until stop is closed.
func (d *deployment) reportConcurrentRuns(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		workerOf := make(map[string]string)
		for _, w := range d.allWorkers() {
			for _, task := range w.Running() {
				if other := workerOf[task]; other != "" && other != w.ID {
					d.reportViolation(fmt.Sprintf("task %s runs on %s and %s", task, other, w.ID))
				}
				workerOf[task] = w.ID
			}
		}
	}
}
