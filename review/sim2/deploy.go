package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	serviceName = "tariff-desk"
	callerHost  = "nony24.example"
	queuePrefix = "/lohu930/"
)

var zoneNames = []string{"ernakulam", "malabar", "tvm-south"}

// entryHost is a daemon as a process of its own.
type entryHost struct {
	name, zone, ip string
	settings       string
	log            string
	cmd            *exec.Cmd
	done           chan struct{}
	client         *http.Client
}

func (h *entryHost) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

const (
	callerPort  = 8161
	readyPort   = 8167
	peerPort    = 8166
	metricsPort = 9464
)

// deployment is a small deployment like that of the site kgcea-quotes.
type deployment struct {
	root, dir string
	journal   *journal
	store     *store
	storeAddr string
	network   string // the first three bytes of its addresses
	minions   []*minion
	hosts     []*entryHost
	version   int64
	queues    []string // path prefixes
	stop      chan struct{}
	servers   []*http.Server
}

func newDeployment(root, dir string, j *journal) (*deployment, error) {
	d := &deployment{root: root, dir: dir, journal: j, store: newStore(), stop: make(chan struct{}), version: 3, queues: []string{queuePrefix}}
	d.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	addr, err := d.serve(d.network+".7:0", d.store)
	d.storeAddr = addr
	return d, err
}

// serve serves a handler on an address until the deployment is closed.
func (d *deployment) serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// addMinions starts n minions in a zone.
func (d *deployment) addMinions(zone string, n int, cpu, memMB int64) error {
	for i := range n {
		id := fmt.Sprintf("%08x", rand.Uint32())
		m := newMinion(id, zone, fmt.Sprintf("r%s-%d", zone[:1], i/8), cpu, memMB, d.store, d.journal)
		if err := m.listen(d.network + ".20:0"); err != nil {
			return err
		}
		d.minions = append(d.minions, m)
		go m.loop(d.stop)
		go m.register(d.stop)
	}
	return nil
}

// publish writes a configuration with the queues.
func (d *deployment) publish(timeoutMS int) {
	d.version += 2
	routes := []map[string]any{}
	for _, prefix := range d.queues {
		routes = append(routes, map[string]any{
			"name": strings.Trim(prefix, "/"), "host": callerHost, "pathPrefix": prefix, "service": serviceName, "timeoutMs": timeoutMS,
			"targetLatencyMs": 60, "priority": 0, "maxAttempts": 3, "slackFactor": 1.6,
		})
	}
	d.store.putJSON("keyed.op", "config", map[string]any{
		"version":  d.version,
		"routes":   routes,
		"services": []map[string]any{{"name": serviceName, "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	d.journal.log("configuration %d acknowledged, queues %v", d.version, d.queues)
}

// addHost prepares a daemon. Its settings are those that deploy/entry.yaml.tmpl gives on a machine of the site.
func (d *deployment) addHost(zone string, number int) *entryHost {
	h := &entryHost{name: fmt.Sprintf("frontend-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("%s.%d", d.network, 30+len(d.hosts))}
	h.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d.hosts = append(d.hosts, h)
	return h
}

func (d *deployment) writeSettings(h *entryHost) error {
	var seeds []string
	for _, zone := range zoneNames {
		for _, o := range d.hosts {
			if o.zone == zone {
				seeds = append(seeds, fmt.Sprintf("%q", o.addr(peerPort)))
				break
			}
		}
	}
	text := fmt.Sprintf(`host: %q
zone: %q
zones: [%s]
listen:
  callers: "%s"
  ready: "%s"
  peers: "%s"
  metrics: "%s"
seeds: [%s]
store: "%s"
cores: 1
core_share: 0.4
memory_mb: 284
max_descriptors: 4100
link_mbps: 1000.0
drain_time: 6s
resend_after: 1300ms
max_lease: 1000ms
remote_penalty: 2
look_ahead: true
cell_workers: 50
`, h.name, h.zone, strings.Join(zoneNames, ","), h.addr(callerPort), h.addr(readyPort), h.addr(peerPort), h.addr(metricsPort), strings.Join(seeds, ","), d.storeAddr)
	h.settings = filepath.Join(d.dir, h.name+".yaml")
	return os.WriteFile(h.settings, []byte(text), 0o644)
}

// start starts a daemon with the command of the deploy file.
func (d *deployment) start(h *entryHost) error {
	if err := d.writeSettings(h); err != nil {
		return err
	}
	h.log = filepath.Join(d.dir, h.name+".log")
	f, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/sesameledged", "--entry") // as deploy/system.toml runs it
	h.cmd.Dir = d.root
	h.cmd.Env = []string{"SESAMELEDGE_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	h.cmd.Stdout, h.cmd.Stderr = f, f
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = f.Close()
		d.journal.log("process of %s has ended: %v", h.name, cmd.ProcessState)
		close(done)
	}(h.cmd, h.done)
	d.journal.log("process of %s started", h.name)
	return nil
}

// signal sends a signal to the process of a daemon.
func (d *deployment) signal(h *entryHost, sig syscall.Signal) {
	d.journal.log("%v to %s", sig, h.name)
	_ = h.cmd.Process.Signal(sig)
}

// alive reports whether the process of a daemon runs.
func (h *entryHost) alive() bool {
	select {
	case <-h.done:
		return false
	default:
		return h.cmd != nil
	}
}

// ready reports whether the daemon answers the platform's check with 200.
func (h *entryHost) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr(readyPort)+"/readyz", nil)
	resp, err := h.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startSmall starts the deployment of the site: 7 daemons in 3 zones, and 16 minions in each.
func (d *deployment) startSmall(timeoutMS int) error {
	for _, zone := range zoneNames {
		if err := d.addMinions(zone, 16, 64000, 131072); err != nil {
			return err
		}
	}
	d.publish(timeoutMS)
	for i, zone := range zoneNames {
		for n := range []int{3, 2, 2}[i] {
			d.addHost(zone, n+1)
		}
	}
	for _, h := range d.hosts {
		if err := d.start(h); err != nil {
			return err
		}
	}
	return d.awaitReady(15 * time.Second)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range d.hosts {
			if h.ready() {
				n++
			}
		}
		if n == len(d.hosts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d daemons are ready", n, len(d.hosts))
		}
	}
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.cmd != nil && h.alive() {
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	close(d.stop)
	for _, m := range d.minions {
		_ = m.server.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// answer is what a client got; status 0 means none.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %v (%v)", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d %s after %v", a.status, strings.TrimSpace(a.body), a.took.Round(time.Millisecond))
}

// call sends a client's request to a daemon on a connection of its own.
func (d *deployment) call(h *entryHost, method, id string, body any, wait time.Duration) answer {
	return d.callOn(h.client, h, method, id, body, wait)
}

func (d *deployment) callOn(client *http.Client, h *entryHost, method, id string, body any, wait time.Duration) answer {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(callerPort)+queuePrefix+id, bytes.NewReader(text))
	if err != nil {
		return answer{err: err}
	}
	req.Host = callerHost
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(sent)}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(got), err: err, took: time.Since(sent)}
}

func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job is a job that need not be stored, of one step.
func job(spec string, count int, cpu, memMB int64, estimate time.Duration) map[string]any {
	return map[string]any{"spec": spec, "bestEffort": true, "phases": []map[string]any{{"count": count, "cpu": cpu, "memMb": memMB, "estimatedMs": estimate.Milliseconds()}}}
}

// inZone returns the daemons of a zone.
func (d *deployment) inZone(zone string) []*entryHost {
	var list []*entryHost
	for _, h := range d.hosts {
		if h.zone == zone {
			list = append(list, h)
		}
	}
	return list
}
