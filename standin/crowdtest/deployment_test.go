package crowdtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"sesameledge.dev/sesameledge/entry"
	"sesameledge.dev/sesameledge/standin/fleetsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// The crowd and the bounds are fixed. memoryMB is the memory of each host's machine and maxDescriptors
// the number of descriptors that its process may open; both are far below those of real machines, so
// that a small crowd is enough.
const (
	memoryMB       = 96
	maxDescriptors = 300
	crowdSize      = 320 // connections to each host
	drainTime      = 2 * time.Second
)

const (
	workerCPU = 64000 // thousandths of a core
	taskCPU   = 1000  // thousandths of a core
	prefix    = "/quotes/"
	// patience limits waits for what has to happen at all. It says nothing about how soon.
	patience = 40 * time.Second
)

// program is the path of the built sesameledged.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "sesameledged")
	build := exec.Command("go", "build", "-o", program, "./cmd/sesameledged")
	build.Dir = testbed.Root()
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building sesameledged: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is a simulated platform in this process and its hosts in processes of their own.
type deployment struct {
	t       *testing.T
	dir     string
	store   *fleetsim.Store
	address string // of the store
	hosts   []*hostNode
	lastJob atomic.Int64
	taskCPU atomic.Int64 // that the workers count for a task, in thousandths of a core
}

// hostNode is a host and what was measured of it.
type hostNode struct {
	name     string
	settings entry.Settings
	process  *testbed.Process
	usage    *usage
}

// newDeployment starts the platform and the processes of the hosts. The first configuration is
// published by publish.
func newDeployment(t *testing.T, hosts int) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), store: fleetsim.NewStore()}
	d.taskCPU.Store(taskCPU)
	store := httptest.NewServer(d.store)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	d.address = store.Listener.Addr().String()
	for i := range 4 {
		w := fleetsim.NewWorker(fmt.Sprintf("w%d", i), workerCPU, func(string) int64 { return d.taskCPU.Load() }, func(violation string) { t.Error(violation) })
		server := httptest.NewServer(w)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		d.store.PutWorkerEntry(w, "north", server.Listener.Addr().String(), fleetsim.Ready)
	}
	addresses := testbed.NewAddressAllocator()
	for i := range hosts {
		h := &hostNode{name: fmt.Sprintf("h%d", i)}
		h.settings = entry.Settings{
			Host: h.name, Zone: "north", Zones: []string{"north"}, Store: d.address, Cores: 1, CoreShare: 1,
			Memory: memoryMB, MaxDescriptors: maxDescriptors, DrainTime: drainTime, Log: entry.Log{LinesPerSecond: 400},
			ResendAfter: 1300 * time.Millisecond, MaxLease: time.Second, RemotePenalty: 2,
		}
		listen := &h.settings.Listen
		for _, addr := range []*string{&listen.Callers, &listen.Ready, &listen.Peers, &listen.Metrics} {
			var err error
			if *addr, err = addresses.Allocate(); err != nil {
				t.Fatal(err)
			}
		}
		if i > 0 {
			h.settings.Seeds = []string{d.hosts[0].settings.Listen.Peers}
		}
		d.hosts = append(d.hosts, h)
		d.start(h)
	}
	t.Cleanup(d.stop)
	return d
}

// newServingDeployment starts a deployment whose hosts serve.
func newServingDeployment(t *testing.T, hosts int) *deployment {
	d := newDeployment(t, hosts)
	d.publish()
	d.checkServes()
	return d
}

func (d *deployment) publish() { d.store.PublishConfig(1, prefix) }

// start starts the process of a host and its measurement.
func (d *deployment) start(h *hostNode) {
	d.t.Helper()
	text, err := yaml.Marshal(h.settings)
	if err != nil {
		d.t.Fatal(err)
	}
	file := filepath.Join(d.dir, h.name+".yaml")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		d.t.Fatal(err)
	}
	if h.process, err = testbed.StartProcess(d.dir, h.name, program, "--entry", file); err != nil {
		d.t.Fatal(err)
	}
	h.usage = watch(h)
}

// stop ends the processes and shows the ends of their logs if the test has failed.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.process.Kill()
		h.usage.stop()
		if text, err := os.ReadFile(filepath.Join(d.dir, h.name+".log")); err == nil && d.t.Failed() {
			d.t.Logf("log of %s:\n%s", h.name, text[max(0, len(text)-3000):])
		}
	}
}

// checkServes checks that each host answers an ordinary request. Like callers, it sends a request that
// was refused or has got no answer once more.
func (d *deployment) checkServes() {
	d.t.Helper()
	for _, h := range d.hosts {
		deadline := time.Now().Add(patience)
		for {
			err := d.submit(h)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				d.t.Fatalf("%s does not answer an ordinary request: %v", h.name, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// submit submits an ordinary job to a host. It returns an error unless the job is completed.
func (d *deployment) submit(h *hostNode) error { return d.submitJob(h, "5ms", 1, taskCPU) }

// submitJob submits a job of tasks with a duration and a need of CPU in thousandths of a core. It returns an error
// unless the job is completed.
func (d *deployment) submitJob(h *hostNode, duration string, tasks int, cpu int64) error {
	body, err := json.Marshal(fleetsim.JobBody(duration, tasks, cpu))
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.settings.Listen.Callers+prefix+d.newJobID(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host, req.Close = fleetsim.CallerHost, true
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Contains(text, []byte(`"completed"`)) {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return nil
}

func (d *deployment) newJobID() string { return fmt.Sprintf("%016x", d.lastJob.Add(1)) }

// trafficUntil submits ordinary jobs to a host until stop is closed. Their answers are not checked.
func (d *deployment) trafficUntil(stop <-chan struct{}, h *hostNode) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			_ = d.submit(h)
		}
	}
}

// checkBounds checks that the processes live and that their usage has stayed under the bounds.
func (d *deployment) checkBounds() {
	d.t.Helper()
	for _, h := range d.hosts {
		select {
		case <-h.process.Done():
			d.t.Errorf("the process of %s has ended", h.name)
		default:
		}
		d.checkUsage(h)
	}
}

// checkUsage checks the usage of a host's process so far.
func (d *deployment) checkUsage(h *hostNode) {
	d.t.Helper()
	memory, descriptors := h.usage.highest()
	d.t.Logf("%s: %d KiB of memory and received bytes, %d descriptors", h.name, memory>>10, descriptors)
	if memory > memoryMB<<20 {
		d.t.Errorf("%s has used %d KiB of memory, its machine has %d", h.name, memory>>10, memoryMB<<10)
	}
	if descriptors > maxDescriptors {
		d.t.Errorf("%s has opened %d descriptors, %d are allowed", h.name, descriptors, maxDescriptors)
	}
}

// restart sends SIGTERM to a host's process, checks that it ends, and starts a new one.
func (d *deployment) restart(h *hostNode) {
	d.t.Helper()
	h.process.Signal(syscall.SIGTERM)
	select {
	case <-h.process.Done():
	case <-time.After(patience):
		d.t.Fatalf("the process of %s has not ended after SIGTERM", h.name)
	}
	h.usage.stop()
	d.checkUsage(h)
	d.start(h)
}
