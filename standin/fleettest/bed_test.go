// Package fleettest runs entry hosts against stand-ins of the users' platform, over the
// published protocol.
package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
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
	workerCPU = 64000
	prefix    = "/quotes/"
)

// bed is a deployment: two zones with workers, entry hosts and a store.
type bed struct {
	t       *testing.T
	store   *fleetsim.Store
	addr    string // of the store
	workers []*fleetsim.Worker
	servers []*httptest.Server
	hosts   map[string]*node
	client  *http.Client
	version int64
	mu      sync.Mutex
	broken  []string
}

// node is an entry host.
type node struct {
	host     *entry.Host
	settings *entry.Settings
	log      *testlog.Buffer
}

// taken reports whether the host's log says that it commands workers.
func (n *node) taken() bool { return strings.Contains(n.log.String(), `msg="worker taken"`) }

var zones = []string{"north", "south"}

func newBed(t *testing.T, workersPerZone int) *bed {
	b := &bed{t: t, store: fleetsim.NewStore(), hosts: make(map[string]*node), client: &http.Client{Timeout: 10 * time.Second}}
	store := httptest.NewServer(b.store)
	b.servers = append(b.servers, store)
	b.addr = store.Listener.Addr().String()
	for _, zone := range zones {
		for i := range workersPerZone {
			b.addWorker(zone, fmt.Sprintf("w-%s-%d", zone, i))
		}
	}
	b.publish(prefix)
	t.Cleanup(b.close)
	return b
}

func (b *bed) addWorker(zone, id string) {
	w := fleetsim.NewWorker(id, workerCPU, func(string) int64 { return taskCPU }, b.report)
	server := httptest.NewServer(w)
	b.workers = append(b.workers, w)
	b.servers = append(b.servers, server)
	b.list(w, zone, server.Listener.Addr().String(), fleetsim.Ready)
}

func (b *bed) list(w *fleetsim.Worker, zone, addr, state string) { b.store.List(w, zone, addr, state) }

// publish puts a configuration with the given path prefixes into the store.
func (b *bed) publish(prefixes ...string) {
	b.version += 3
	b.store.Publish(b.version, prefixes...)
}

func (b *bed) report(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, what)
}

// start starts an entry host.
func (b *bed) start(name, zone string, cores float64) *node {
	b.t.Helper()
	addresses := testbed.NewAddresses()
	s := &entry.Settings{
		Host: name, Zone: zone, Zones: zones, Store: b.addr, Cores: cores, CoreShare: 1, DrainTime: 3 * time.Second,
		Listen: entry.Listen{Callers: freeAddr(b.t, addresses), Ready: freeAddr(b.t, addresses), Peers: freeAddr(b.t, addresses), Metrics: freeAddr(b.t, addresses)},
		Log:    entry.Log{LinesPerSecond: 100000},
	}
	for _, n := range b.hosts {
		s.Seeds = append(s.Seeds, n.settings.Listen.Peers)
	}
	n := &node{settings: s, log: new(testlog.Buffer)}
	var err error
	if n.host, err = entry.Start(s, n.log); err != nil {
		b.t.Fatalf("starting %s: %v", name, err)
	}
	b.hosts[name] = n
	return n
}

// freeAddr draws a free address of a host's own IP. Ports of a shared IP may be taken by an outgoing
// connection of another test before the host listens.
func freeAddr(t *testing.T, addresses testbed.Addresses) string {
	t.Helper()
	addr, err := addresses.Free()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (b *bed) close() {
	for _, n := range b.hosts {
		n.host.Close()
	}
	b.client.CloseIdleConnections()
	for _, s := range b.servers {
		s.CloseClientConnections()
		s.Close()
	}
	if len(b.broken) > 0 {
		b.t.Errorf("workers saw broken rules: %s", strings.Join(b.broken, "; "))
	}
	if b.t.Failed() {
		for name, n := range b.hosts {
			b.t.Logf("log of %s:\n%s", name, n.log.String())
		}
	}
}

// awaitReady waits until a host takes connections.
func (b *bed) awaitReady(names ...string) {
	b.t.Helper()
	for _, name := range names {
		b.await("host "+name+" is ready", func() bool {
			resp, err := b.client.Get("http://" + b.hosts[name].settings.Listen.Ready + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

func (b *bed) await(what string, done func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// commander returns the name of the host whose log says that it holds a zone's workers.
func (b *bed) commander(zone string) string {
	for name, n := range b.hosts {
		if strings.Contains(n.log.String(), `msg="cell taken" cell=`+zone) {
			return name
		}
	}
	b.t.Fatalf("no host commands %s", zone)
	return ""
}

// result is the answer to a job.
type result struct {
	status int
	state  string
	err    error
}

func (b *bed) submit(host, id, takes string, tasks int) result {
	body, err := json.Marshal(fleetsim.Submission(takes, tasks, taskCPU))
	if err != nil {
		return result{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.hosts[host].settings.Listen.Callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Host = fleetsim.CallerHost
	req.Header.Set("X-Deadline-Ms", "5000")
	resp, err := b.client.Do(req)
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

// startsOf returns how often each task was started on all workers together.
func (b *bed) startsOf() map[string]int {
	all := make(map[string]int)
	for _, w := range b.workers {
		for name, n := range w.Starts() {
			all[name] += n
		}
	}
	return all
}

// watchTwice reports tasks that run on two workers at one time, until stop is closed.
func (b *bed) watchTwice(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		at := make(map[string]string)
		for _, w := range b.workers {
			for _, task := range w.Running() {
				if other := at[task]; other != "" && other != w.ID {
					b.report(fmt.Sprintf("task %s runs on %s and %s", task, other, w.ID))
				}
				at[task] = w.ID
			}
		}
	}
}
