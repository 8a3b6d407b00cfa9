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

// ExplainCmd tells the path of one request from the logs of the entry hosts.
type ExplainCmd struct {
	ID    string   `arg:"positional,required" help:"identity of a request, or name of a job"`
	Files []string `arg:"positional" help:"log files of all hosts; by default standard input"`
}

// contextTime is how long before and after a request lines about the workers and hosts that
// it touched are shown.
const contextTime = 1500 * time.Millisecond

// logLine is a line of a structured log.
type logLine struct {
	at     time.Time
	keys   []string
	fields map[string]string
}

func (c *ExplainCmd) run(_ context.Context, _ *Args, env Env) error {
	lines, err := c.read(env)
	if err != nil {
		return err
	}
	own := related(lines, c.ID)
	if len(own) == 0 {
		return exitWith(ExitFailed, "no line names %s; are the logs of all hosts given?", c.ID)
	}
	shown := slices.Concat(own, surroundings(lines, own))
	slices.SortStableFunc(shown, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range shown {
		fmt.Fprintln(env.Out, l.render(own[0].at))
	}
	fmt.Fprintln(env.Out, "cause:", cause(own, shown))
	return nil
}

func (c *ExplainCmd) read(env Env) ([]logLine, error) {
	if len(c.Files) == 0 {
		return readLog("standard input", env.In)
	}
	var all []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "opening a log")
		}
		lines, err := readLog(name, f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads the lines that carry a time. Others are left out: those of other programs, and
// those that a lost process did not finish.
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

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

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

// related returns the lines about a request: those that name it, its job or a task of it.
func related(lines []logLine, id string) []logLine {
	names := map[string]bool{id: true}
	for _, l := range lines {
		if l.names(names) {
			for _, key := range []string{"request", "job"} {
				if v := l.fields[key]; v != "" {
					names[v] = true
				}
			}
		}
	}
	var own []logLine
	for _, l := range lines {
		if l.names(names) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return a.at.Compare(b.at) })
	return own
}

func (l logLine) names(names map[string]bool) bool {
	job, _, _ := strings.Cut(l.fields["task"], "/")
	return names[l.fields["request"]] || names[l.fields["job"]] || names[job]
}

// surroundings returns the lines about the workers and hosts that a request touched, from
// shortly before it to shortly after it.
func surroundings(lines, own []logLine) []logLine {
	workers, hosts := make(map[string]bool), make(map[string]bool)
	for _, l := range own {
		for _, w := range strings.Split(l.fields["workers"]+","+l.fields["worker"], ",") {
			workers[w] = w != ""
		}
		hosts[l.fields["host"]] = true
		hosts[l.fields["to"]] = l.fields["to"] != ""
	}
	begin, end := own[0].at.Add(-contextTime), own[len(own)-1].at.Add(contextTime)
	var out []logLine
	for _, l := range lines {
		if l.at.Before(begin) || l.at.After(end) || l.fields["request"] != "" || l.fields["job"] != "" || l.fields["task"] != "" {
			continue
		}
		about := l.fields["worker"] != "" && workers[l.fields["worker"]] ||
			hosts[l.fields["peer"]] || hosts[l.fields["host"]] && (l.fields["part"] == "owner" || l.fields["part"] == "entry")
		if about {
			out = append(out, l)
		}
	}
	return out
}

// render shows a line with its distance from the first line about the request.
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

// troubles are the messages that name a reason for a failed or late answer, the most telling
// first.
var troubles = []string{
	"host lost", "worker taken by another host", "cell lost", "run makes no progress", "run lapsed", "worker restarted",
	"start unanswered", "worker does not answer", "run is not listed", "start rejected", "run failed", "job refused by a cell",
}

// cause sums up the outcome of a request and what stands behind it.
func cause(own, shown []logLine) string {
	outcome := "no answer is on record; its host may be lost"
	for _, l := range own {
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
	for _, message := range troubles {
		for _, l := range slices.Concat(own, shown) {
			if l.fields["msg"] == message && !l.at.Before(own[0].at) && !l.at.After(own[len(own)-1].at) {
				return outcome + "; before that: " + strings.TrimSpace(l.render(own[0].at))
			}
		}
	}
	return outcome
}
