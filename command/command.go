// Package command implements the subcommands of the sesameledge command line. Each file
// holds the commands of one concept. Output is a table for people or JSON for programs.
package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/daemon"
)

// Exit codes of the command line.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the job failed, or the operation did not succeed
	ExitUsage    = 2 // bad arguments or bad input
	ExitRefused  = 3 // refused; nothing ran
	ExitUnknown  = 4 // the outcome is not known yet; ask again
	ExitConflict = 5 // the configuration is based on an older revision
)

// Args is the command line.
type Args struct {
	Job     *JobCmd     `arg:"subcommand:job" help:"submit jobs and ask for their answers"`
	Config  *ConfigCmd  `arg:"subcommand:config" help:"validate, publish and read configuration"`
	Hosts   *HostsCmd   `arg:"subcommand:hosts" help:"list the entry hosts"`
	Status  *StatusCmd  `arg:"subcommand:status" help:"summarise each entry host given"`
	Dump    *DumpCmd    `arg:"subcommand:dump" help:"print the state of an entry host"`
	Explain *ExplainCmd `arg:"subcommand:explain" help:"tell the path of a request from the logs of the entry hosts"`
	Drain   *DrainCmd   `arg:"subcommand:drain" help:"shut an entry host down gracefully"`
	Version *VersionCmd `arg:"subcommand:version" help:"print the version"`

	Hosted    []string      `arg:"--host,separate,env:SESAMELEDGE_HOST" help:"URL of an entry host's callers' address; may be repeated"`
	Operators []string      `arg:"--operator,separate,env:SESAMELEDGE_OPERATOR" help:"URL of an entry host's operators' address; may be repeated"`
	JSON      bool          `arg:"--json" help:"print JSON"`
	CA        string        `arg:"--ca,env:SESAMELEDGE_CA" help:"PEM file of the CA that signs the hosts' certificates"`
	Cert      string        `arg:"--cert,env:SESAMELEDGE_CERT" help:"PEM file of the client certificate"`
	Key       string        `arg:"--key,env:SESAMELEDGE_KEY" help:"PEM file of the client certificate's key"`
	Timeout   time.Duration `arg:"--timeout" default:"2m" help:"give up after this long"`
}

// Description implements arg.Described.
func (Args) Description() string {
	return "Drives sesameledge: jobs for callers, configuration and hosts for operators."
}

// VersionCmd prints the version.
type VersionCmd struct{}

// Env is what a command reads from and writes to.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	Terminal bool // Err is a terminal, so progress may be shown
}

// exitError carries an exit code along with the message.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap implements errors.Unwrap.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Newf(format, args...)}
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(argv []string, env Env) int {
	var args Args
	parser, err := arg.NewParser(arg.Config{Program: "sesameledge", Out: env.Err}, &args)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(env.Out, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		fmt.Fprintln(env.Err, err)
		return ExitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(env.Err)
		return ExitUsage
	}
	return report(env, args.run(env, parser.Subcommand()))
}

func report(env Env, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(env.Err, "sesameledge:", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}

// runner is a subcommand.
type runner interface {
	run(ctx context.Context, a *Args, env Env) error
}

func (a *Args) run(env Env, sub any) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	cmd, ok := sub.(runner)
	if !ok {
		return exitWith(ExitUsage, "a subcommand is missing; see --help")
	}
	c, err := a.httpClient()
	if err != nil {
		return err
	}
	return cmd.run(withHTTPClient(ctx, c), a, env)
}

func (*VersionCmd) run(_ context.Context, _ *Args, env Env) error {
	fmt.Fprintln(env.Out, "sesameledge", daemon.Version)
	return nil
}

// client returns a client of the callers' addresses.
func (a *Args) client() (*client.Client, error) {
	if len(a.Hosted) == 0 {
		return nil, exitWith(ExitUsage, "--host is required")
	}
	c, err := a.httpClient()
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Hosts: trimSlashes(a.Hosted), HTTP: c}), nil
}

// operators returns the operators' addresses.
func (a *Args) operators() ([]string, error) {
	if len(a.Operators) == 0 {
		return nil, exitWith(ExitUsage, "--operator is required")
	}
	return trimSlashes(a.Operators), nil
}

// operator returns the first operators' address.
func (a *Args) operator() (string, error) {
	all, err := a.operators()
	if err != nil {
		return "", err
	}
	return all[0], nil
}

func trimSlashes(urls []string) []string {
	out := make([]string, len(urls))
	for i, u := range urls {
		out[i] = strings.TrimSuffix(u, "/")
	}
	return out
}

// call sends a request to an operators' address and returns the status and the body.
func call(ctx context.Context, method, url string, body any) (int, []byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	resp, err := httpClientOf(ctx).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// getJSON reads a value from an operators' address.
func getJSON(ctx context.Context, url string, into any) error {
	status, text, err := call(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("%s answered status %d: %s", url, status, strings.TrimSpace(string(text)))
	}
	return json.Unmarshal(text, into)
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table prints rows in aligned columns.
func table(w io.Writer, header string, rows [][]string) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	return tw.Flush()
}
