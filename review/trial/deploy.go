package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is an entry host: a process of the project's daemon.
type host struct {
	name, zone               string
	ip                       string // loopback address of its own
	callers, ready, peers    string
	advertised               string // address of the proxy in front of peers
	metrics, settings, stdio string
	cmd                      *exec.Cmd
	done                     chan struct{} // closed when the process has ended
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec   *record
	dir   string // temporary, for settings and logs
	store *store
	fleet *fleet
	hosts []*host
	zones []string
	addr  string // of the store
	links *links // between the hosts
}

// shape describes a deployment.
type shape struct {
	zones          []string
	hostsPerZone   []int
	minionsPerZone int
	minionCPU      int64
	minionsPerRack int
}

// smallDeployment is the deployment of the site abzeichen-at.
var smallDeployment = shape{
	zones: []string{"wien-a", "noe-b", "bgld-c"}, hostsPerZone: []int{3, 2, 2},
	minionsPerZone: 16, minionCPU: 16000, minionsPerRack: 8,
}

const serviceName = "huvo11a"

// queue is a route of the configuration.
type queue struct {
	name, host, prefix string
	timeoutMillis      int
	maxAttempts        int
}

// newDeployment starts the store, the minions and the hosts, and waits until all hosts are ready.
func newDeployment(rec *record, s shape, queues []queue) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore(), zones: s.zones, links: newLinks()}
	d.fleet = &fleet{rec: rec, store: d.store, jobCPU: make(map[string]int64), jobKind: make(map[string]string)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return d, err
	}
	d.addr = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	d.publish(7, queues)
	if err := d.startMinions(s); err != nil {
		return d, err
	}
	for z, zone := range s.zones {
		for i := range s.hostsPerZone[z] {
			h := &host{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.%d.%d", z+1, i+1)}
			for _, a := range []*string{&h.callers, &h.ready, &h.peers, &h.metrics} {
				if *a, err = freeAddress(h.ip); err != nil {
					return d, err
				}
			}
			if h.advertised, err = d.links.open(h.ip, h.peers); err != nil {
				return d, err
			}
			d.hosts = append(d.hosts, h)
		}
	}
	for _, h := range d.hosts {
		if err := d.startHost(h); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(d.hosts, 20*time.Second)
}

func (d *deployment) startMinions(s shape) error {
	kinds := []string{"a", "a", "b"}
	for z, zone := range s.zones {
		for i := range s.minionsPerZone {
			m := &minion{
				id: fmt.Sprintf("i-%d%02d7f3a9", z, i), zone: zone, service: serviceName, fleet: d.fleet, cpu: s.minionCPU,
				kind: kinds[i%3], rack: fmt.Sprintf("r%d-%d", z, i/s.minionsPerRack),
			}
			d.fleet.minions = append(d.fleet.minions, m)
			if err := m.boot(); err != nil {
				return err
			}
		}
	}
	return nil
}

// publish writes the operator's configuration.
func (d *deployment) publish(version int, queues []queue) {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": q.host, "pathPrefix": q.prefix, "kind": "non_idempotent", "timeoutMs": q.timeoutMillis,
			"targetLatencyMs": 60, "priority": 0, "service": serviceName, "maxAttempts": q.maxAttempts, "slackFactor": 1.6,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.store.put("keyed.op", "config", value)
}

// Ports of the hosts lie below those that the system gives to outgoing connections.
const (
	firstPort = 10000
	lastPort  = 30000
)

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	for range 1000 {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

// startHost writes the settings of a host as deploy/entry.yaml.tmpl does, with the address of its proxy
// for the other hosts, and starts its process as deploy/system.toml says.
func (d *deployment) startHost(h *host) error {
	h.settings = filepath.Join(d.dir, h.name+".yaml")
	h.stdio = filepath.Join(d.dir, h.name+".log")
	zones, _ := json.Marshal(d.zones)
	seeds, _ := json.Marshal([]string{d.hosts[0].advertised, d.hosts[len(d.hosts)/2].advertised, d.hosts[len(d.hosts)-1].advertised})
	text := fmt.Sprintf("host: %q\nzone: %q\nzones: %s\nlisten:\n  callers: %q\n  ready: %q\n  peers: %q\n  metrics: %q\n  advertise: %q\nseeds: %s\nstore: %q\ncores: 1\ncore_share: 0.4\nmemory_mb: 284\nlink_mbps: 1000.0\ndrain_time: 6s\n",
		h.name, h.zone, zones, h.callers, h.ready, h.peers, h.metrics, h.advertised, seeds, d.addr)
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(h.stdio, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/sesameledged", "--entry")
	cmd.Env = append(os.Environ(), "SESAMELEDGE_CONFIG="+h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	d.rec.line("host %s starts, process %d", h.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to a host's process.
func (d *deployment) signal(h *host, s syscall.Signal) {
	d.rec.line("host %s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// A process that ends by itself before it is ready, say for a port in use, is started again.
const (
	maxRestarts  = 3
	restartDelay = 300 * time.Millisecond
)

// awaitReady waits until hosts report that they are ready.
func (d *deployment) awaitReady(hosts []*host, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, h := range hosts {
		starts := 0
		for {
			resp, err := client.Get("http://" + h.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			select {
			case <-h.done:
				d.rec.line("the process of %s has ended", h.name)
				if starts++; starts > maxRestarts {
					return fmt.Errorf("the process of %s has ended, as its log in %s says", h.name, h.stdio)
				}
				time.Sleep(restartDelay) // the platform does the same
				if err := d.startHost(h); err != nil {
					return err
				}
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// commander returns the host that commands the minions of a zone, as the hosts' own state pages say.
func (d *deployment) commander(zone string) *host {
	client := &http.Client{Timeout: time.Second}
	for _, h := range d.hosts {
		if h.zone != zone {
			continue
		}
		resp, err := client.Get("http://" + h.metrics + "/debug/state")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var state struct {
			Cells []struct{ Cell string } `json:"cells"`
		}
		_ = json.Unmarshal(text, &state)
		for _, c := range state.Cells {
			if c.Cell == zone {
				return h
			}
		}
	}
	return nil
}

// zoneHosts returns the hosts of a zone.
func (d *deployment) zoneHosts(zone string) []*host {
	var list []*host
	for _, h := range d.hosts {
		if h.zone == zone {
			list = append(list, h)
		}
	}
	return list
}

// stop ends the processes of all hosts and removes the temporary folder.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept:", d.dir)
	}
}
