package command

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// ExplainCmd shows the path of one request from the logs of the entry hosts: the lines about the
// request, lines about the workers and hosts that it used, and the likely cause of its outcome.
type ExplainCmd struct {
	ID    string   `arg:"positional,required" help:"identity of a request, or name of a job"`
	Files []string `arg:"positional" help:"log files of all hosts; by default standard input"`
}

// contextWindow is how long before the first and after the last line of a request the lines about its
// workers and hosts are shown.
const contextWindow = 1500 * time.Millisecond

// logLine is a decoded line of a structured log. keys holds the keys in the order of the line.
type logLine struct {
	at     time.Time
	keys   []string
	fields map[string]string
}

func (c *ExplainCmd) run(_ context.Context, _ *Args, env Env) error {
	lines, err := c.readLines(env)
	if err != nil {
		return err
	}
	requestLines := findRequestLines(lines, c.ID)
	if len(requestLines) == 0 {
		return exitErrorf(ExitFailed, "no line names %s; are the logs of all hosts given?", c.ID)
	}
	shown := slices.Concat(requestLines, findContextLines(lines, requestLines))
	slices.SortStableFunc(shown, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range shown {
		fmt.Fprintln(env.Out, l.render(requestLines[0].at))
	}
	fmt.Fprintln(env.Out, "cause:", cause(requestLines, shown))
	return nil
}

// readLines returns the lines of all files, or of standard input if none is given.
func (c *ExplainCmd) readLines(env Env) ([]logLine, error) {
	if len(c.Files) == 0 {
		return readLog("standard input", env.In)
	}
	var all []logLine
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "opening a log")
		}
		lines, err := readLog(name, file)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog returns the lines that have a time. It skips the others: lines of other programs, and lines
// that a killed process did not finish.
func readLog(name string, r io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "reading %s", name)
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// parseLine decodes a line in logfmt. It reports false if the line is malformed or has no time.
func parseLine(text []byte) (logLine, bool) {
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	l := logLine{fields: make(map[string]string)}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key := string(decoder.Key())
			l.keys = append(l.keys, key)
			l.fields[key] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["ts"])
	l.at = at
	return l, err == nil && decoder.Err() == nil
}

// findRequestLines returns the lines about a request, ordered by time: those with the identity of the request,
// of its job or of a task of that job.
func findRequestLines(lines []logLine, id string) []logLine {
	ids := map[string]bool{id: true}
	for _, l := range lines {
		if l.refersToAny(ids) {
			for _, key := range []string{"request", "job"} {
				if v := l.fields[key]; v != "" {
					ids[v] = true
				}
			}
		}
	}
	var requestLines []logLine
	for _, l := range lines {
		if l.refersToAny(ids) {
			requestLines = append(requestLines, l)
		}
	}
	slices.SortStableFunc(requestLines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return requestLines
}

// refersToAny reports whether the line is about one of the requests or jobs in ids.
func (l logLine) refersToAny(ids map[string]bool) bool {
	job, _, _ := strings.Cut(l.fields["task"], "/")
	return ids[l.fields["request"]] || ids[l.fields["job"]] || ids[job]
}

// findContextLines returns the lines about the workers and hosts that a request used, within
// contextWindow of the request. Lines about other requests are left out.
func findContextLines(lines, requestLines []logLine) []logLine {
	workers, hosts := make(map[string]bool), make(map[string]bool)
	for _, l := range requestLines {
		for _, w := range strings.Split(l.fields["workers"]+","+l.fields["worker"], ",") {
			workers[w] = w != ""
		}
		hosts[l.fields["host"]] = true
		hosts[l.fields["to"]] = l.fields["to"] != ""
	}
	begin, end := requestLines[0].at.Add(-contextWindow), requestLines[len(requestLines)-1].at.Add(contextWindow)
	var out []logLine
	for _, l := range lines {
		if l.at.Before(begin) || l.at.After(end) || l.fields["request"] != "" || l.fields["job"] != "" || l.fields["task"] != "" {
			continue
		}
		relevant := l.fields["worker"] != "" && workers[l.fields["worker"]] ||
			hosts[l.fields["peer"]] || hosts[l.fields["host"]] && (l.fields["part"] == "owner" || l.fields["part"] == "entry")
		if relevant {
			out = append(out, l)
		}
	}
	return out
}

// render formats a line. Its time is shown in milliseconds since begin.
func (l logLine) render(begin time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+8.1f ms  %-22s %-7s %s", float64(l.at.Sub(begin).Microseconds())/1000, l.fields["host"], l.fields["part"], l.fields["msg"])
	for _, key := range l.keys {
		switch key {
		case "ts", "host", "part", "msg":
		default:
			fmt.Fprintf(&b, " %s=%s", key, l.fields[key])
		}
	}
	return b.String()
}

// failureMessages are the log messages that can be the cause of a failed or late answer, the most
// specific first.
var failureMessages = []string{
	"host lost", "worker taken by another host", "cell lost", "run makes no progress", "run lapsed", "worker restarted",
	"start unanswered", "worker does not answer", "run is not listed", "start rejected", "run failed", "job refused by a cell",
}

// cause describes the outcome of a request and the most specific failure that was logged between its
// first and its last line.
func cause(requestLines, shown []logLine) string {
	outcome := "no answer is on record; its host may be lost"
	for _, l := range requestLines {
		switch l.fields["msg"] {
		case "job answered":
			outcome = fmt.Sprintf("answered %s after %s", l.fields["outcome"], l.fields["took"])
			if l.fields["reason"] != "" {
				outcome += ": " + l.fields["reason"]
			}
		case "caller gone":
			outcome = "the caller left after " + l.fields["after"]
		case "request refused", "bad request":
			outcome = l.fields["msg"] + ": " + l.fields["reason"] + l.fields["err"]
		}
	}
	for _, message := range failureMessages {
		for _, l := range slices.Concat(requestLines, shown) {
			if l.fields["msg"] == message && !l.at.Before(requestLines[0].at) && !l.at.After(requestLines[len(requestLines)-1].at) {
				return outcome + "; before that: " + strings.TrimSpace(l.render(requestLines[0].at))
			}
		}
	}
	return outcome
}
