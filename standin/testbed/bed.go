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
	BinDir  string   // directory of the built programs
	Dir     string   // directory for settings and logs
	Zones   []string // availability zones; hosts and minions are spread over them in turn
	Hosts   int      // entry hosts
	Minions int      // 0 starts no process for them
	Group   string   // back-end group of the minions
	Slots   int      // of each minion; 0 means 8
	Spread  float64  // standard deviation of ln(speed) of the minions; negative for equal speeds
	Seed    uint64
	Config  string // configuration to publish, YAML
	// Adjust changes a host's settings before its process starts, for example to put a
	// fault proxy between the host and the platform. It may be nil.
	Adjust func(n int, s *settings.Settings)
	// PlatformArgs and MinionArgs are further arguments of the stand-ins.
	PlatformArgs, MinionArgs []string
}

// Host is one entry host.
type Host struct {
	*Process
	Settings settings.Settings
	file     string
}

// CallersURL is the base URL of the callers' interface.
func (h *Host) CallersURL() string { return "http://" + h.Settings.Listen.Callers }

// OperatorsURL is the base URL of the operators' interface.
func (h *Host) OperatorsURL() string { return "http://" + h.Settings.Listen.Operators }

// Bed is a running deployment.
type Bed struct {
	Spec        Spec
	PlatformURL string
	MinionAdmin string // base URL of the minions' admin interface
	Platform    *Process
	Minions     *Process
	Hosts       []*Host
	addresses   Addresses
}

// Start starts a deployment and returns when every host is ready. After an error nothing
// is left running.
func Start(ctx context.Context, spec Spec) (*Bed, error) {
	b := &Bed{Spec: spec, addresses: NewAddresses()}
	if err := b.start(ctx); err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

func (b *Bed) start(ctx context.Context) error {
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

func (b *Bed) startPlatform(ctx context.Context) error {
	addr, err := b.addresses.Free()
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

func (b *Bed) startMinions(ctx context.Context) error {
	if b.Spec.Minions == 0 {
		return nil
	}
	addr, err := b.addresses.Free()
	if err != nil {
		return err
	}
	b.MinionAdmin = "http://" + addr
	args := []string{"--count", fmt.Sprint(b.Spec.Minions), "--admin", addr, "--platform", b.PlatformURL,
		"--group", b.Spec.Group, "--zones", joinZones(b.Spec.Zones), "--seed", fmt.Sprint(b.Spec.Seed)}
	if b.Spec.Slots > 0 {
		args = append(args, "--slots", fmt.Sprint(b.Spec.Slots))
	}
	if b.Spec.Spread != 0 {
		args = append(args, fmt.Sprintf("--spread=%g", b.Spec.Spread))
	}
	if b.Minions, err = b.startProgram("minions", append(args, b.Spec.MinionArgs...)...); err != nil {
		return err
	}
	return awaitHTTP(ctx, b.MinionAdmin+"/admin/minions")
}

func (b *Bed) startProgram(name string, args ...string) (*Process, error) {
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

// prepareHosts draws an IP and the addresses of each host and writes their settings files.
func (b *Bed) prepareHosts() error {
	for n := range b.Spec.Hosts {
		s := settings.Defaults()
		zone := b.Spec.Zones[n%len(b.Spec.Zones)]
		s.Host = fmt.Sprintf("%s-%d", zone, n/len(b.Spec.Zones)+1)
		s.Zone = zone
		s.Platform.URL = b.PlatformURL
		addresses := NewAddresses()
		for _, addr := range []*string{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
			var err error
			if *addr, err = addresses.Free(); err != nil {
				return err
			}
		}
		b.Hosts = append(b.Hosts, &Host{Settings: s, file: filepath.Join(b.Spec.Dir, s.Host+".yaml")})
	}
	for n, h := range b.Hosts {
		h.Settings.Peers = b.peersOf(n)
		if b.Spec.Adjust != nil {
			b.Spec.Adjust(n, &h.Settings)
		}
		if err := h.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) peersOf(n int) []settings.Peer {
	var out []settings.Peer
	for i, h := range b.Hosts {
		if i != n {
			out = append(out, settings.Peer{Host: h.Settings.Host, Zone: h.Settings.Zone, Address: h.Settings.Listen.Peers})
		}
	}
	return out
}

func (h *Host) writeSettings() error {
	text, err := yaml.Marshal(h.Settings)
	if err != nil {
		return errors.Wrap(err, "encoding settings")
	}
	return errors.Wrap(os.WriteFile(h.file, text, 0o644), "writing settings")
}

// StartHost starts the process of a host, also again after it ended.
func (b *Bed) StartHost(h *Host) error {
	p, err := StartProcess(b.Spec.Dir, h.Settings.Host, filepath.Join(b.Spec.BinDir, "sesameledged"), h.file)
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// Publish publishes a configuration through the first host.
func (b *Bed) Publish(ctx context.Context, text string, base uint64, author, reason string) error {
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

// AwaitReady waits until every running host is ready.
func (b *Bed) AwaitReady(ctx context.Context) error {
	for _, h := range b.Hosts {
		if err := awaitHTTP(ctx, h.OperatorsURL()+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Starts returns the starts that the minions counted.
func (b *Bed) Starts(ctx context.Context) (*minionsim.Starts, error) {
	out := new(minionsim.Starts)
	return out, GetJSON(ctx, b.MinionAdmin+"/admin/starts", out)
}

// MinionViews returns the state of the minions.
func (b *Bed) MinionViews(ctx context.Context) ([]minionsim.MinionView, error) {
	var out []minionsim.MinionView
	return out, GetJSON(ctx, b.MinionAdmin+"/admin/minions", &out)
}

// Stop ends every process that the testbed started.
func (b *Bed) Stop() {
	for _, h := range b.Hosts {
		if h.Process != nil {
			// Continues a host that a test has paused; it could not end otherwise.
			h.Signal(contSignal)
			h.Kill()
		}
	}
	for _, p := range []*Process{b.Minions, b.Platform} {
		if p != nil {
			p.Stop()
		}
	}
}

// GetJSON reads a JSON value from a URL.
func GetJSON(ctx context.Context, url string, into any) error {
	return GetJSONWith(ctx, http.DefaultClient, url, into)
}

// GetJSONWith is GetJSON through a client.
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
