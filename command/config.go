package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/finding"
)

// ConfigCmd groups the commands for configuration.
type ConfigCmd struct {
	Validate *ConfigValidateCmd `arg:"subcommand:validate" help:"check a configuration file"`
	Publish  *ConfigPublishCmd  `arg:"subcommand:publish" help:"publish a configuration file"`
	Show     *ConfigShowCmd     `arg:"subcommand:show" help:"print the configuration in force"`
	History  *ConfigHistoryCmd  `arg:"subcommand:history" help:"list the revisions"`
	Diff     *ConfigDiffCmd     `arg:"subcommand:diff" help:"compare a file with the configuration in force"`
}

// ConfigValidateCmd checks a configuration file.
type ConfigValidateCmd struct {
	File string `arg:"positional,required"`
}

// ConfigPublishCmd publishes a configuration file.
type ConfigPublishCmd struct {
	File   string  `arg:"positional,required"`
	Base   *uint64 `arg:"--base" help:"revision that the change is based on; default is the one in force"`
	Author string  `arg:"--author,env:USER" help:"who publishes"`
	Reason string  `arg:"--reason,required" help:"why"`
}

// ConfigShowCmd prints the configuration in force.
type ConfigShowCmd struct{}

// ConfigHistoryCmd lists the revisions.
type ConfigHistoryCmd struct{}

// ConfigDiffCmd compares a file with the configuration in force.
type ConfigDiffCmd struct {
	File string `arg:"positional,required"`
}

// readConfig reads a file and reports every problem in it.
func readConfig(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", exitWith(ExitUsage, "%v", err)
	}
	var list finding.List
	config.Parse(path, text, &list)
	if err := list.Err(); err != nil {
		return "", exitWith(ExitUsage, "the configuration has problems:\n%v", err)
	}
	return string(text), nil
}

func (c *ConfigValidateCmd) run(_ context.Context, _ *Args, env Env) error {
	if _, err := readConfig(c.File); err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%s: ok\n", c.File)
	return nil
}

func (c *ConfigPublishCmd) run(ctx context.Context, a *Args, env Env) error {
	operator, err := a.operator()
	if err != nil {
		return err
	}
	text, err := readConfig(c.File)
	if err != nil {
		return err
	}
	base, err := c.base(ctx, operator)
	if err != nil {
		return err
	}
	rec := config.Record{
		Schema: config.Schema,
		ID:     rand.Text(),
		Base:   base,
		Author: c.Author,
		Reason: c.Reason,
		Time:   time.Now().UTC(),
		Text:   text,
	}
	return publish(ctx, operator, &rec, a, env)
}

func (c *ConfigPublishCmd) base(ctx context.Context, operator string) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	var current daemon.ConfigReply
	err := getJSON(ctx, operator+"/v1/config", &current)
	return current.Revision, err
}

func publish(ctx context.Context, operator string, rec *config.Record, a *Args, env Env) error {
	status, text, err := call(ctx, http.MethodPost, operator+"/v1/config", rec)
	if err != nil {
		return err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return exitWith(ExitFailed, "not published: %s", strings.TrimSpace(string(text)))
	}
	var reply daemon.PublishReply
	if err := json.Unmarshal(text, &reply); err != nil {
		return err
	}
	if a.JSON {
		return printJSON(env.Out, reply)
	}
	if !reply.Accepted {
		return exitWith(ExitConflict, "not accepted: %s", reply.Reason)
	}
	fmt.Fprintf(env.Out, "published revision %d\n", reply.Revision)
	return nil
}

func (c *ConfigShowCmd) run(ctx context.Context, a *Args, env Env) error {
	current, err := currentConfig(ctx, a, "")
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(env.Out, current)
	}
	fmt.Fprintf(env.Out, "# revision %d\n%s", current.Revision, current.Text)
	return nil
}

func (c *ConfigHistoryCmd) run(ctx context.Context, a *Args, env Env) error {
	current, err := currentConfig(ctx, a, "?history")
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(env.Out, current.History)
	}
	var rows [][]string
	for _, r := range current.History {
		rows = append(rows, []string{fmt.Sprint(r.Number), r.Record.Time.Format(time.RFC3339), r.Record.Author, r.Record.Reason})
	}
	return table(env.Out, "revision time author reason", rows)
}

func currentConfig(ctx context.Context, a *Args, query string) (*daemon.ConfigReply, error) {
	operator, err := a.operator()
	if err != nil {
		return nil, err
	}
	reply := new(daemon.ConfigReply)
	return reply, getJSON(ctx, operator+"/v1/config"+query, reply)
}

func (c *ConfigDiffCmd) run(ctx context.Context, a *Args, env Env) error {
	text, err := readConfig(c.File)
	if err != nil {
		return err
	}
	current, err := currentConfig(ctx, a, "")
	if err != nil {
		return err
	}
	for _, line := range config.Diff(current.Text, text) {
		fmt.Fprintln(env.Out, line)
	}
	return nil
}
