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
	taskCPU   = 27000 // thousandths of a core, of each task
	workerCPU = 64000
	// drainTime is the time that a process has from SIGTERM to its end.
	drainTime = 6 * time.Second
	// killSlack is how long after drainTime a process is killed, as the platform does.
	killSlack = time.Second
)

// size is how large a deployment is. Hosts, spares and workers are those of each zone.
type size struct {
	zones, hosts, spares, workers, callers int
}

// deployment is the stand-ins of the platform and the entry hosts, each host a process.
type deployment struct {
	bin, dir string
	size     size
	store    *fleetsim.Store
	servers  []*httptest.Server
	proxy    *proxysim.Proxy
	workers  []*workerNode
	hosts    []*hostNode
	zones    []string

	mu          sync.Mutex
	findings    []string
	versions    []time.Time // when each configuration was published
	storeFaults int         // that last
	storeCalm   time.Time   // when the newest of the others ended

	stalls stalls
}

// workerNode is a worker of the deployment.
type workerNode struct {
	*fleetsim.Worker
	zone, route string
}

// finding notes a broken promise.
func (d *deployment) finding(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.findings = append(d.findings, fmt.Sprintf(format, args...))
}

// newDeployment starts the stand-ins and the hosts.
func newDeployment(bin, dir string, s size) (*deployment, error) {
	d := &deployment{bin: bin, dir: dir, size: s, store: fleetsim.NewStore()}
	for z := range s.zones {
		d.zones = append(d.zones, fmt.Sprintf("zone%d", z))
	}
	if err := d.start(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() error {
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
				proxysim.RouteConfig{Name: "front-" + h.name, Target: h.settings.Listen.Callers},
				proxysim.RouteConfig{Name: "store-" + h.name, Target: store.Listener.Addr().String()})
		}
	}
	d.proxy = proxysim.New(proxysim.Config{Routes: routes})
	if err := d.proxy.Start(); err != nil {
		return err
	}
	return d.startHosts()
}

func (d *deployment) newWorker(id string) *fleetsim.Worker {
	return fleetsim.NewWorker(id, workerCPU, func(string) int64 { return taskCPU }, func(what string) { d.finding("%s", what) })
}

// newHost draws the addresses of a host.
func (d *deployment) newHost(name, zone string) (*hostNode, error) {
	h := &hostNode{name: name, zone: zone, file: filepath.Join(d.dir, name+".yaml")}
	h.settings = entry.Settings{
		Host: name, Zone: zone, Zones: d.zones, Cores: 1, CoreShare: 0.4, Memory: 284, DrainTime: drainTime,
		Log: entry.Log{LinesPerSecond: 4000},
	}
	addresses := testbed.NewAddresses()
	listen := &h.settings.Listen
	for _, addr := range []*string{&listen.Callers, &listen.Ready, &listen.Peers, &listen.Metrics} {
		var err error
		if *addr, err = addresses.Free(); err != nil {
			return nil, err
		}
	}
	d.hosts = append(d.hosts, h)
	return h, nil
}

// startHosts writes the settings of all hosts and starts those that are not spare.
func (d *deployment) startHosts() error {
	listen := make(map[string]string)
	for _, v := range d.proxy.Views() {
		listen[v.Name] = v.Listen
	}
	for _, w := range d.workers {
		d.store.List(w.Worker, w.zone, listen[w.route], fleetsim.Ready)
	}
	d.publish()
	seeds := []string{listen["peers-"+d.hosts[0].name], listen["peers-"+d.hosts[len(d.hosts)-1].name]}
	for i, h := range d.hosts {
		h.front = listen["front-"+h.name]
		h.settings.Store = listen["store-"+h.name]
		h.settings.Listen.Advertise = listen["peers-"+h.name]
		h.settings.Seeds = seeds
		if err := h.write(); err != nil {
			return err
		}
		if i%(d.size.hosts+d.size.spares) >= d.size.hosts {
			h.removed = true // spare, until it is added
			continue
		}
		if err := d.run(h); err != nil {
			return err
		}
	}
	return nil
}

// publish puts the next configuration into the store. Each adds a route.
func (d *deployment) publish() {
	d.mu.Lock()
	d.versions = append(d.versions, time.Now())
	n := len(d.versions)
	d.mu.Unlock()
	prefixes := []string{"/jobs/"}
	for i := range n {
		prefixes = append(prefixes, versionPrefix(i))
	}
	d.store.Publish(int64(7*n), prefixes...)
}

// versionPrefix is the route that came with a configuration.
func versionPrefix(n int) string { return fmt.Sprintf("/version%d/", n) }

// stop ends everything that was started.
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
