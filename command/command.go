// Package command implements the subcommands of the sesameledge command line: jobs for callers,
// configuration and entry hosts for operators. It talks to the hosts over HTTP only, through package
// client for jobs and directly for the operators' addresses; the hosts decide and keep all state.
// Each file holds the commands of one subject. Output is a table for people or JSON for programs.
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
	ExitUnknown  = 4 // the outcome is not known yet; asking again may tell it
	ExitConflict = 5 // the configuration is based on an older revision
)

// Args holds the options and the subcommand that the command line gives.
type Args struct {
	Job     *JobCmd     `arg:"subcommand:job" help:"submit jobs and ask for their answers"`
	Config  *ConfigCmd  `arg:"subcommand:config" help:"validate, publish and read configuration"`
	Hosts   *HostsCmd   `arg:"subcommand:hosts" help:"list the entry hosts"`
	Status  *StatusCmd  `arg:"subcommand:status" help:"show a summary of each entry host given with --operator"`
	Dump    *DumpCmd    `arg:"subcommand:dump" help:"print the internal state of an entry host as JSON"`
	Explain *ExplainCmd `arg:"subcommand:explain" help:"show the path of a request, and why it failed or was late, from the logs of the entry hosts"`
	Drain   *DrainCmd   `arg:"subcommand:drain" help:"shut an entry host down gracefully"`
	Version *VersionCmd `arg:"subcommand:version" help:"print the version"`

	Hosted    []string      `arg:"--host,separate,env:SESAMELEDGE_HOST" help:"URL of an entry host's callers' address; may be repeated"`
	Operators []string      `arg:"--operator,separate,env:SESAMELEDGE_OPERATOR" help:"URL of an entry host's operators' address; may be repeated"`
	JSON      bool          `arg:"--json" help:"print JSON instead of a table"`
	CA        string        `arg:"--ca,env:SESAMELEDGE_CA" help:"PEM file of the CA that signs the hosts' certificates"`
	Cert      string        `arg:"--cert,env:SESAMELEDGE_CERT" help:"PEM file of the client certificate"`
	Key       string        `arg:"--key,env:SESAMELEDGE_KEY" help:"PEM file of the client certificate's key"`
	Timeout   time.Duration `arg:"--timeout" default:"2m" help:"time limit for the whole command"`
}

// Description implements arg.Described.
func (Args) Description() string {
	return "Controls sesameledge: jobs for callers, configuration and entry hosts for operators."
}

// VersionCmd prints the version.
type VersionCmd struct{}

// Env holds the input and output streams of a command.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	Terminal bool // Err is a terminal, so progress may be shown
}

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap implements errors.Unwrap.
func (e *exitError) Unwrap() error { return e.err }

// exitErrorf formats an error that sets the exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Newf(format, args...)}
}

// Main parses the arguments without the program name, runs the command and returns its exit code. It
// writes errors to env.Err.
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
	return reportError(env, args.run(env, parser.Subcommand()))
}

// reportError prints the error, if there is one, and returns the exit code for it.
func reportError(env Env, err error) int {
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

// runner is implemented by every subcommand.
type runner interface {
	run(ctx context.Context, a *Args, env Env) error
}

// run runs the subcommand within the time limit.
func (a *Args) run(env Env, subcommand any) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	cmd, ok := subcommand.(runner)
	if !ok {
		return exitErrorf(ExitUsage, "a subcommand is missing; see --help")
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

// client returns a client for the callers' addresses given with --host.
func (a *Args) client() (*client.Client, error) {
	if len(a.Hosted) == 0 {
		return nil, exitErrorf(ExitUsage, "--host is required")
	}
	c, err := a.httpClient()
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Hosts: trimSlashes(a.Hosted), HTTP: c}), nil
}

// operators returns the URLs given with --operator, without a trailing slash.
func (a *Args) operators() ([]string, error) {
	if len(a.Operators) == 0 {
		return nil, exitErrorf(ExitUsage, "--operator is required")
	}
	return trimSlashes(a.Operators), nil
}

// operator returns the first URL given with --operator.
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

// sendRequest sends body as JSON to an operators' address and returns the HTTP status and the body of
// the response. It uses the HTTP client of the context.
func sendRequest(ctx context.Context, method, url string, body any) (int, []byte, error) {
	requestBody, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(requestBody))
	if err != nil {
		return 0, nil, err
	}
	resp, err := httpClientFrom(ctx).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	return resp.StatusCode, responseBody, err
}

// getJSON decodes the response of an operators' address into target. Any status but 200 is an error.
func getJSON(ctx context.Context, url string, target any) error {
	status, responseBody, err := sendRequest(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("%s answered status %d: %s", url, status, strings.TrimSpace(string(responseBody)))
	}
	return json.Unmarshal(responseBody, target)
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable prints rows in aligned columns. Spaces separate the column names of the header.
func printTable(w io.Writer, header string, rows [][]string) error {
	writer := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(writer, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		fmt.Fprintln(writer, strings.Join(r, "\t"))
	}
	return writer.Flush()
}
