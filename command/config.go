package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/finding"
)

// ConfigCmd groups the commands for the configuration of a deployment.
type ConfigCmd struct {
	Check    *ConfigCheckCmd    `arg:"subcommand:check" help:"check a configuration of entry hosts on the platform, as its operators publish it, before it is sent"`
	Validate *ConfigValidateCmd `arg:"subcommand:validate" help:"check a configuration file"`
	Publish  *ConfigPublishCmd  `arg:"subcommand:publish" help:"publish a configuration file"`
	Rollback *ConfigRollbackCmd `arg:"subcommand:rollback" help:"publish the text of an earlier revision again"`
	Show     *ConfigShowCmd     `arg:"subcommand:show" help:"print the configuration in force or a revision"`
	History  *ConfigHistoryCmd  `arg:"subcommand:history" help:"list the revisions"`
	Diff     *ConfigDiffCmd     `arg:"subcommand:diff" help:"compare a file or a revision with the configuration in force or another revision"`
}

// ConfigValidateCmd checks a configuration file.
type ConfigValidateCmd struct {
	File string `arg:"positional,required"`
}

// ConfigShowCmd prints the configuration in force or a revision.
type ConfigShowCmd struct {
	Revision uint64 `arg:"--revision" help:"number of the revision; default is the one in force"`
}

// ConfigHistoryCmd lists the revisions.
type ConfigHistoryCmd struct{}

// ConfigDiffCmd compares a file, or the text of a revision, with another revision.
type ConfigDiffCmd struct {
	File     string `arg:"positional" help:"file to compare; default is the revision --to"`
	Revision uint64 `arg:"--revision" help:"revision to compare with; default is the one in force"`
	To       uint64 `arg:"--to" help:"revision to compare instead of a file"`
}

// readConfig returns the text of a configuration file. The error lists every problem in it.
func readConfig(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", exitErrorf(ExitUsage, "%v", err)
	}
	var findings finding.List
	config.Parse(path, text, &findings)
	if err := findings.Err(); err != nil {
		return "", exitErrorf(ExitUsage, "the configuration has problems:\n%v", err)
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

func (c *ConfigShowCmd) run(ctx context.Context, a *Args, env Env) error {
	reply, err := a.config(ctx, c.Revision, false)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(env.Out, reply)
	}
	if reply.Problem != "" {
		fmt.Fprintf(env.Err, "revision %d is the latest but %d is in force: %s\n", reply.LatestRevision, reply.RevisionInForce, reply.Problem)
	}
	fmt.Fprintf(env.Out, "# revision %d\n%s", reply.ShownRevision, reply.Text)
	return nil
}

func (c *ConfigHistoryCmd) run(ctx context.Context, a *Args, env Env) error {
	reply, err := a.config(ctx, 0, true)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(env.Out, reply.History)
	}
	rows := make([][]string, 0, len(reply.History))
	for _, r := range reply.History {
		rows = append(rows, []string{fmt.Sprint(r.Number), r.Time.Format(time.RFC3339), fmt.Sprint(r.Schema), r.Author, r.Reason})
	}
	return printTable(env.Out, "revision time schema author reason", rows)
}

func (c *ConfigDiffCmd) run(ctx context.Context, a *Args, env Env) error {
	newText, err := c.newText(ctx, a)
	if err != nil {
		return err
	}
	baseReply, err := a.config(ctx, c.Revision, false)
	if err != nil {
		return err
	}
	for _, line := range config.Diff(baseReply.Text, newText) {
		fmt.Fprintln(env.Out, line)
	}
	return nil
}

// newText returns the text to compare: that of the file or that of the revision --to.
func (c *ConfigDiffCmd) newText(ctx context.Context, a *Args) (string, error) {
	if (c.File == "") == (c.To == 0) {
		return "", exitErrorf(ExitUsage, "give a file or --to, not both")
	}
	if c.File != "" {
		return readConfig(c.File)
	}
	reply, err := a.config(ctx, c.To, false)
	if err != nil {
		return "", err
	}
	return reply.Text, nil
}

// config reads a revision from the first operators' address; 0 means the one in force. With history the
// reply lists all revisions.
func (a *Args) config(ctx context.Context, revision uint64, history bool) (*daemon.ConfigReply, error) {
	operator, err := a.operator()
	if err != nil {
		return nil, err
	}
	url := operator + "/v1/config?"
	if revision > 0 {
		url += fmt.Sprintf("revision=%d&", revision)
	}
	if history {
		url += "history"
	}
	status, text, err := sendRequest(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, exitErrorf(ExitFailed, "%s", errorMessage(text))
	}
	reply := new(daemon.ConfigReply)
	return reply, json.Unmarshal(text, reply)
}

// errorMessage returns the message of an error response in JSON, or the whole body if it is none.
func errorMessage(text []byte) string {
	var coded struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(text, &coded) == nil && coded.Message != "" {
		return coded.Message
	}
	return string(text)
}
