package testbed

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/minionsim"
)

// Spec describes a deployment.
type Spec struct {
	BinDir         string   // directory of the built programs
	Dir            string   // directory for settings and logs
	Zones          []string // availability zones; hosts and minions are assigned to them in turn
	Hosts          int      // number of entry hosts
	Minions        int      // number of minions; 0 starts no minion process
	Group          string   // back-end group of the minions
	SlotsPerMinion int      // slots of each minion; 0 means 8
	Spread         float64  // standard deviation of ln(speed) of the minions; negative for equal speeds
	Seed           uint64   // random seed of the platform and the minions
	Config         string   // YAML text of the configuration to publish
	// AdjustSettings changes the settings of the host with this index before its process starts, for
	// example to put a fault proxy between the host and the platform. It may be nil.
	AdjustSettings func(index int, s *settings.Settings)
	// PlatformArgs and MinionArgs are additional command-line arguments of the stand-ins.
	PlatformArgs, MinionArgs []string
}

// Host is one entry host. Process is nil before the first call of StartHost.
type Host struct {
	*Process
	Settings     settings.Settings
	settingsFile string
}

// CallersURL returns the base URL of the callers' interface.
func (h *Host) CallersURL() string { return "http://" + h.Settings.Listen.Callers }

// OperatorsURL returns the base URL of the operators' interface.
func (h *Host) OperatorsURL() string { return "http://" + h.Settings.Listen.Operators }

// Deployment is a running deployment.
type Deployment struct {
	Spec        Spec
	PlatformURL string
	MinionAdmin string // base URL of the minions' admin interface
	Platform    *Process
	Minions     *Process // runs all minions; nil if Spec.Minions is 0
	Hosts       []*Host
	addresses   AddressAllocator
}

// Start starts a deployment, publishes its configuration and returns when every host is ready.
// If it fails, it stops the processes that it started.
func Start(ctx context.Context, spec Spec) (*Deployment, error) {
	b := &Deployment{Spec: spec, addresses: NewAddressAllocator()}
	if err := b.start(ctx); err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

func (b *Deployment) start(ctx context.Context) error {
	if err := b.startPlatform(ctx); err != nil {
		return err
	}
	if err := b.startMinions(ctx); err != nil {
		return err
	}
	if err := b.prepareHosts(); err != nil {
		return err
	}
	for _, h := range b.Hosts {
		if err := b.StartHost(h); err != nil {
			return err
		}
	}
	for _, h := range b.Hosts {
		if err := awaitHTTP(ctx, h.OperatorsURL()+"/livez"); err != nil {
			return err
		}
	}
	if err := b.Publish(ctx, b.Spec.Config, 0, "testbed", "first configuration"); err != nil {
		return err
	}
	return b.AwaitReady(ctx)
}

func (b *Deployment) startPlatform(ctx context.Context) error {
	addr, err := b.addresses.Allocate()
	if err != nil {
		return err
	}
	b.PlatformURL = "http://" + addr
	args := append([]string{"--listen", addr, "--seed", fmt.Sprint(b.Spec.Seed)}, b.Spec.PlatformArgs...)
	if b.Platform, err = b.startProgram("platform", args...); err != nil {
		return err
	}
	return awaitHTTP(ctx, b.PlatformURL+logapi.PathHosts)
}

func (b *Deployment) startMinions(ctx context.Context) error {
	if b.Spec.Minions == 0 {
		return nil
	}
	addr, err := b.addresses.Allocate()
	if err != nil {
		return err
	}
	b.MinionAdmin = "http://" + addr
	args := []string{"--count", fmt.Sprint(b.Spec.Minions), "--admin", addr, "--platform", b.PlatformURL,
		"--group", b.Spec.Group, "--zones", joinZones(b.Spec.Zones), "--seed", fmt.Sprint(b.Spec.Seed)}
	if b.Spec.SlotsPerMinion > 0 {
		args = append(args, "--slots", fmt.Sprint(b.Spec.SlotsPerMinion))
	}
	if b.Spec.Spread != 0 {
		args = append(args, fmt.Sprintf("--spread=%g", b.Spec.Spread))
	}
	if b.Minions, err = b.startProgram("minions", append(args, b.Spec.MinionArgs...)...); err != nil {
		return err
	}
	return awaitHTTP(ctx, b.MinionAdmin+"/admin/minions")
}

func (b *Deployment) startProgram(name string, args ...string) (*Process, error) {
	return StartProcess(b.Spec.Dir, name, filepath.Join(b.Spec.BinDir, name), args...)
}

func joinZones(zones []string) string {
	out := ""
	for i, z := range zones {
		if i > 0 {
			out += ","
		}
		out += z
	}
	return out
}

// prepareHosts allocates the addresses of each host on an IP of its own and writes the settings
// files.
func (b *Deployment) prepareHosts() error {
	for n := range b.Spec.Hosts {
		s := settings.Defaults()
		zone := b.Spec.Zones[n%len(b.Spec.Zones)]
		s.Host = fmt.Sprintf("%s-%d", zone, n/len(b.Spec.Zones)+1)
		s.Zone = zone
		s.Platform.URL = b.PlatformURL
		addresses := NewAddressAllocator()
		for _, addr := range []*string{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
			var err error
			if *addr, err = addresses.Allocate(); err != nil {
				return err
			}
		}
		b.Hosts = append(b.Hosts, &Host{Settings: s, settingsFile: filepath.Join(b.Spec.Dir, s.Host+".yaml")})
	}
	for n, h := range b.Hosts {
		h.Settings.Peers = b.peersOf(n)
		if b.Spec.AdjustSettings != nil {
			b.Spec.AdjustSettings(n, &h.Settings)
		}
		if err := h.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

// peersOf returns the peer settings of the host with index n: all other hosts.
func (b *Deployment) peersOf(n int) []settings.Peer {
	var out []settings.Peer
	for i, h := range b.Hosts {
		if i != n {
			out = append(out, settings.Peer{
				Host: h.Settings.Host, Zone: h.Settings.Zone, Address: h.Settings.Listen.Peers})
		}
	}
	return out
}

func (h *Host) writeSettings() error {
	text, err := yaml.Marshal(h.Settings)
	if err != nil {
		return errors.Wrap(err, "encoding settings")
	}
	return errors.Wrap(os.WriteFile(h.settingsFile, text, 0o644), "writing settings")
}

// StartHost starts the process of a host. It can be called again after the process has ended.
func (b *Deployment) StartHost(h *Host) error {
	p, err := StartProcess(b.Spec.Dir, h.Settings.Host, filepath.Join(b.Spec.BinDir, "sesameledged"), h.settingsFile)
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// Publish publishes a configuration (YAML text) through the first host. base is the version that
// it replaces. It fails if the host does not accept the configuration.
func (b *Deployment) Publish(ctx context.Context, text string, base uint64, author, reason string) error {
	rec := config.Record{Schema: config.Schema, ID: rand.Text(), Base: base, Author: author, Reason: reason, Time: time.Now().UTC(), Text: text}
	var reply daemon.PublishReply
	status, err := PostJSON(ctx, b.Hosts[0].OperatorsURL()+"/v1/config", &rec, &reply)
	if err != nil {
		return err
	}
	if status != http.StatusOK || !reply.Accepted {
		return errors.Newf("the configuration was not accepted: status %d, %s", status, reply.Reason)
	}
	return nil
}

// AwaitReady waits until every host reports that it is ready, or until ctx ends.
func (b *Deployment) AwaitReady(ctx context.Context) error {
	for _, h := range b.Hosts {
		if err := awaitHTTP(ctx, h.OperatorsURL()+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Starts returns the task starts that the minions counted.
func (b *Deployment) Starts(ctx context.Context) (*minionsim.Starts, error) {
	out := new(minionsim.Starts)
	return out, GetJSON(ctx, b.MinionAdmin+"/admin/starts", out)
}

// MinionViews returns the current state of each minion.
func (b *Deployment) MinionViews(ctx context.Context) ([]minionsim.MinionView, error) {
	var out []minionsim.MinionView
	return out, GetJSON(ctx, b.MinionAdmin+"/admin/minions", &out)
}

// Stop ends every process of the deployment: it kills the hosts and stops the stand-ins.
func (b *Deployment) Stop() {
	for _, h := range b.Hosts {
		if h.Process != nil {
			// Resumes a host that a test has paused; it could not end otherwise.
			h.Signal(resumeSignal)
			h.Kill()
		}
	}
	for _, p := range []*Process{b.Minions, b.Platform} {
		if p != nil {
			p.Stop()
		}
	}
}

// GetJSON gets a URL and decodes the JSON response into the value that into points to.
// A status other than 200 is an error.
func GetJSON(ctx context.Context, url string, into any) error {
	return GetJSONWith(ctx, http.DefaultClient, url, into)
}

// GetJSONWith does the same as GetJSON with the given client.
func GetJSONWith(ctx context.Context, client *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", url, resp.Status)
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decoding %s", url)
}
