package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/fleet/configcheck"
	"sesameledge.dev/sesameledge/platform"
)

// ConfigCheckCmd checks a configuration of entry hosts on the platform. It exits with ExitFailed if it finds
// errors, and with ExitUsage if it could not check.
type ConfigCheckCmd struct {
	File     string `arg:"positional,required" help:"file with the configuration in JSON; - is standard input"`
	Against  string `arg:"--against" help:"file with the version in force, to show what changes"`
	Store    string `arg:"--store" help:"address IP:port of the platform's store, to show what changes from the version in force"`
	Workers  string `arg:"--workers" help:"file with the workers' records, or address of the store, to find services that no worker offers"`
	MemoryMB int64  `arg:"--memory-mb" help:"memory of an entry host in MiB, to find limits that do not fit into it"`
}

// storeReadTimeout limits one read of the platform's store.
const storeReadTimeout = 10 * time.Second

// placedFinding is a finding with its place in the file.
type placedFinding struct {
	Level configcheck.Level `json:"level"`
	finding.Finding
}

// configReport is the outcome of a check.
type configReport struct {
	File     string          `json:"file"`
	Version  int64           `json:"version,omitempty"` // 0 if the configuration cannot be decoded
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
	Findings []placedFinding `json:"findings"`
	// InForce is the version that Changes are from; 0 if none was given.
	InForce int64                `json:"in_force,omitempty"`
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func (c *ConfigCheckCmd) run(ctx context.Context, a *Args, env Env) error {
	report, err := c.check(ctx, env)
	if err != nil {
		return exitErrorf(ExitUsage, "not checked: %v", err)
	}
	if a.JSON {
		err = printJSON(env.Out, report)
	} else {
		err = report.print(env)
	}
	if err != nil {
		return err
	}
	if report.Errors > 0 {
		return exitErrorf(ExitFailed, "%s: %d errors", c.File, report.Errors)
	}
	return nil
}

// check checks the file and compares it with the version in force, if one is given.
func (c *ConfigCheckCmd) check(ctx context.Context, env Env) (*configReport, error) {
	text, err := readInput(c.File, env)
	if err != nil {
		return nil, err
	}
	inForce, err := c.inForce(ctx)
	if err != nil {
		return nil, err
	}
	workers, err := c.workers(ctx)
	if err != nil {
		return nil, err
	}
	report := &configReport{File: c.File, Findings: []placedFinding{}}
	places := platform.ReadConfigText(c.File, text)
	config, err := platform.DecodeConfig(text)
	if err != nil {
		list := new(finding.List)
		places.Check(list)
		for _, f := range list.Findings() {
			report.add(configcheck.Error, f)
		}
		return report, nil
	}
	report.Version = config.Version
	for _, f := range configcheck.Check(config, configcheck.Context{Workers: workers, MemoryMB: c.MemoryMB}) {
		report.add(f.Level, finding.Finding{Position: places.Place(f.Field), Field: platform.ConfigField(f.Field), Message: f.Message})
	}
	if inForce != nil {
		report.compare(inForce, config, places)
	}
	return report, nil
}

// inForce returns the version in force, or nil if none was asked for.
func (c *ConfigCheckCmd) inForce(ctx context.Context) (*fleet.Config, error) {
	switch {
	case c.Against != "" && c.Store != "":
		return nil, errors.New("give --against or --store, not both")
	case c.Against != "":
		text, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, err
		}
		config, err := platform.DecodeConfig(text)
		return config, errors.Wrap(err, c.Against)
	case c.Store == "":
		return nil, nil
	}
	records, err := readStore(ctx, c.Store, platform.TopicOperator)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Key == platform.KeyConfig {
			return platform.DecodeConfig(r.Value)
		}
	}
	return nil, errors.Newf("the store at %s holds no configuration", c.Store)
}

// workers returns the number of workers by service that take tasks, or nil if they are not given.
func (c *ConfigCheckCmd) workers(ctx context.Context) (map[string]int, error) {
	if c.Workers == "" {
		return nil, nil
	}
	list, err := c.readWorkers(ctx)
	if err != nil {
		return nil, err
	}
	counts := make(map[string]int)
	for _, w := range list {
		if !w.Draining {
			counts[w.Service]++
		}
	}
	return counts, nil
}

// readWorkers reads the workers from a file, or from the store if there is no such file and the name is an
// address.
func (c *ConfigCheckCmd) readWorkers(ctx context.Context) ([]fleet.Worker, error) {
	text, err := os.ReadFile(c.Workers)
	if err == nil {
		return platform.DecodeWorkerList(text)
	}
	if _, _, notAddress := net.SplitHostPort(c.Workers); notAddress != nil || !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	records, err := readStore(ctx, c.Workers, platform.TopicWorkers)
	if err != nil {
		return nil, err
	}
	var workers []fleet.Worker
	for _, r := range records {
		if w, err := platform.DecodeWorker(r.Key, r.Value); err == nil { // hosts ignore the others too
			workers = append(workers, w)
		}
	}
	return workers, nil
}

// readInput reads a file, or standard input if its name is "-".
func readInput(path string, env Env) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(env.In)
	}
	return os.ReadFile(path)
}

// readStore reads the newest record of each key of a topic of the platform's store.
func readStore(ctx context.Context, addr, topic string) ([]platform.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	records, _, err := platform.NewStoreClient(addr, transport).ReadNewest(ctx, topic)
	return records, errors.Wrapf(err, "reading the store at %s", addr)
}

func (r *configReport) add(level configcheck.Level, f finding.Finding) {
	r.Findings = append(r.Findings, placedFinding{Level: level, Finding: f})
	if level == configcheck.Error {
		r.Errors++
	} else {
		r.Warnings++
	}
}

// compare adds what changes from the version in force. Hosts ignore a version that is not higher.
func (r *configReport) compare(inForce, config *fleet.Config, places *platform.ConfigText) {
	r.InForce = inForce.Version
	r.Changes = configcheck.Diff(inForce, config)
	for i := range r.Changes {
		r.Changes[i].Field = platform.ConfigField(r.Changes[i].Field)
	}
	if config.Version <= inForce.Version {
		r.add(configcheck.Error, finding.Finding{
			Position: places.Place("version"), Field: "version",
			Message: fmt.Sprintf("hosts ignore version %d, because %d is in force", config.Version, inForce.Version),
		})
	}
}

// print prints the report for people.
func (r *configReport) print(env Env) error {
	for _, f := range r.Findings {
		fmt.Fprintf(env.Out, "%s: %s\n", f.Level, f.Finding)
	}
	if r.InForce > 0 {
		fmt.Fprintf(env.Out, "changes from version %d, in force, to version %d: %d\n", r.InForce, r.Version, len(r.Changes))
	}
	for _, c := range r.Changes {
		switch c.Kind {
		case configcheck.Added:
			fmt.Fprintln(env.Out, strings.TrimSpace("+ "+c.Entry+"  "+c.After))
		case configcheck.Removed:
			fmt.Fprintln(env.Out, strings.TrimSpace("- "+c.Entry+"  "+c.Before))
		default:
			fmt.Fprintf(env.Out, "~ %s  %s: %s -> %s\n", c.Entry, c.Field, c.Before, c.After)
		}
		fmt.Fprintf(env.Out, "    %s\n", c.Effect)
	}
	_, err := fmt.Fprintf(env.Out, "%s: %d errors, %d warnings\n", r.File, r.Errors, r.Warnings)
	return err
}
