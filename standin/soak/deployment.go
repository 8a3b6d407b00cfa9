package main

import (
	"fmt"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/entry"
	"sesameledge.dev/sesameledge/standin/fleetsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	taskMillicores   = 27000 // CPU demand of each task
	workerMillicores = 64000 // CPU capacity of each worker
	// drainTime limits the time from SIGTERM until a host process ends.
	drainTime = 6 * time.Second
	// killGracePeriod is how long after drainTime a process is killed. The platform does the same.
	killGracePeriod = time.Second
)

// size is the size of a deployment. Hosts, spares and workers are counted per availability zone, zones
// and callers for the whole deployment. Spares are hosts that start only when they replace another one.
type size struct {
	zones, hosts, spares, workers, callers int
}

// deployment holds the simulated store and workers of the platform, the proxy, and the entry hosts. The
// hosts run as separate processes, the rest runs in this process.
type deployment struct {
	binDir, runDir string
	size           size
	store          *fleetsim.Store
	servers        []*httptest.Server
	proxy          *proxysim.Proxy
	workers        []*workerNode
	hosts          []*hostNode
	zones          []string

	mu                sync.Mutex
	findings          []string
	publishTimes      []time.Time // of each configuration, in order
	activeStoreFaults int         // number of store faults that have not ended
	lastStoreFaultEnd time.Time   // zero if none has ended
	storeFaults       []interval  // all store faults
	evacuations       []evacuation

	stalls stalls
}

// workerNode is a simulated worker with its zone and the proxy route that leads to it.
type workerNode struct {
	*fleetsim.Worker
	zone, route string
}

// addFinding records a violation of what the hosts guarantee.
func (d *deployment) addFinding(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.findings = append(d.findings, fmt.Sprintf(format, args...))
}

// newDeployment starts the simulated platform, the proxy and the hosts. Settings and logs of the hosts go
// to runDir. It does not wait until the hosts are ready.
func newDeployment(binDir, runDir string, s size) (*deployment, error) {
	d := &deployment{binDir: binDir, runDir: runDir, size: s, store: fleetsim.NewStore()}
	for z := range s.zones {
		d.zones = append(d.zones, fmt.Sprintf("zone%d", z))
	}
	if err := d.startAll(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// startAll starts the simulated store, the workers, the proxy with its routes, and the hosts.
func (d *deployment) startAll() error {
	store := httptest.NewServer(d.store)
	d.servers = append(d.servers, store)
	var routes []proxysim.RouteConfig
	workers := make(map[string]string)
	for _, zone := range d.zones {
		for i := range d.size.workers {
			w := &workerNode{Worker: d.newWorker(fmt.Sprintf("w-%s-%d", zone, i)), zone: zone}
			w.route = "worker-" + w.ID
			server := httptest.NewServer(w)
			d.servers = append(d.servers, server)
			d.workers = append(d.workers, w)
			workers[w.ID] = server.Listener.Addr().String()
			routes = append(routes, proxysim.RouteConfig{Name: w.route, Target: workers[w.ID]})
		}
		for i := range d.size.hosts + d.size.spares {
			h, err := d.newHost(fmt.Sprintf("h-%s-%d", zone, i), zone)
			if err != nil {
				return err
			}
			routes = append(routes,
				proxysim.RouteConfig{Name: "peers-" + h.name, Target: h.settings.Listen.Peers},
				proxysim.RouteConfig{Name: frontRoute + h.name, Target: h.settings.Listen.Callers},
				proxysim.RouteConfig{Name: "store-" + h.name, Target: store.Listener.Addr().String()})
		}
	}
	d.proxy = proxysim.New(proxysim.Config{Routes: routes})
	if err := d.proxy.Start(); err != nil {
		return err
	}
	return d.startHosts()
}

// newWorker returns a simulated worker that adds a finding when it detects a violation.
func (d *deployment) newWorker(id string) *fleetsim.Worker {
	return fleetsim.NewWorker(id, workerMillicores, func(string) int64 { return taskMillicores }, func(violation string) { d.addFinding("%s", violation) })
}

// newHost adds a host with free listen addresses to the deployment, but does not start it.
func (d *deployment) newHost(name, zone string) (*hostNode, error) {
	h := &hostNode{name: name, zone: zone, settingsFile: filepath.Join(d.runDir, name+".yaml")}
	h.settings = entry.Settings{
		Host: name, Zone: zone, Zones: d.zones, Cores: 1, CoreShare: 0.4, Memory: 284, DrainTime: drainTime,
		Log: entry.Log{LinesPerSecond: 4000},
	}
	addresses := testbed.NewAddressAllocator()
	listen := &h.settings.Listen
	for _, addr := range []*string{&listen.Callers, &listen.Ready, &listen.Peers, &listen.Metrics} {
		var err error
		if *addr, err = addresses.Allocate(); err != nil {
			return nil, err
		}
	}
	d.hosts = append(d.hosts, h)
	return h, nil
}

// startHosts lists the workers in the store, publishes the first configuration, writes the settings of
// all hosts and starts those that are not spare.
func (d *deployment) startHosts() error {
	listen := make(map[string]string)
	for _, v := range d.proxy.Views() {
		listen[v.Name] = v.Listen
	}
	for _, w := range d.workers {
		d.store.PutWorkerEntry(w.Worker, w.zone, listen[w.route], fleetsim.Ready)
	}
	d.publish()
	seeds := []string{listen["peers-"+d.hosts[0].name], listen["peers-"+d.hosts[len(d.hosts)-1].name]}
	for i, h := range d.hosts {
		h.callersAddress = listen[frontRoute+h.name]
		h.settings.Store = listen["store-"+h.name]
		h.settings.Listen.Advertise = listen["peers-"+h.name]
		h.settings.Seeds = seeds
		if err := h.writeSettings(); err != nil {
			return err
		}
		if i%(d.size.hosts+d.size.spares) >= d.size.hosts {
			h.removed = true // a spare one starts when it replaces another host
			continue
		}
		if err := d.startProcess(h); err != nil {
			return err
		}
	}
	return nil
}

// publish puts the next configuration into the store. Each configuration adds one route to those of the
// previous one, so that watchConfig can tell which one a host uses.
func (d *deployment) publish() {
	d.mu.Lock()
	d.publishTimes = append(d.publishTimes, time.Now())
	n := len(d.publishTimes)
	d.mu.Unlock()
	prefixes := []string{"/jobs/"}
	for i := range n {
		prefixes = append(prefixes, versionPrefix(i))
	}
	d.store.PublishConfig(int64(7*n), prefixes...)
}

// versionPrefix returns the path prefix of the route that configuration n, counted from 0, has added.
func versionPrefix(n int) string { return fmt.Sprintf("/version%d/", n) }

// stop kills the hosts and stops the proxy and the simulated platform.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.kill()
	}
	if d.proxy != nil {
		d.proxy.Stop()
	}
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
}
