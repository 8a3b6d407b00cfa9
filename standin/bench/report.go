package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// writeTable prints one line for each policy.
func writeTable(w io.Writer, rows []*summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tjobs\tp50\tp99\tp99.9\tworst\ton time\tgoodput\tutil\tfair\town zone\tmsg/task\twasted\tdouble\tbroken\tload avg\t")
	for _, s := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f%%\t%.3f\t%.3f\t%.2f\t%.3f\t%.3f\t%.2f%%\t%d\t%d\t%s\t\n",
			s.Deployment, s.Scenario, s.Policy, s.Jobs, s.All.P50, s.All.P99, s.All.P999, s.All.Worst,
			100*s.OnTime, s.Goodput, s.Utilisation, s.Fairness, s.OwnZone, s.Messages.PerTask, 100*s.Messages.Wasted,
			s.Messages.DoubleStarts, s.Broken, s.LoadAverage)
	}
	return t.Flush()
}

// writeKinds prints response time over ideal by job kind, and the outcomes.
func writeKinds(w io.Writer, rows []*summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tkind\tcomplete\tp50\tp99\tp99.9\tworst\t")
	for _, s := range rows {
		for _, kind := range slices.Sorted(maps.Keys(s.Kinds)) {
			q := s.Kinds[kind]
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.Scenario, s.Policy, kind, q.Jobs, q.P50, q.P99, q.P999, q.Worst)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range rows {
		var parts []string
		for _, name := range slices.Sorted(maps.Keys(s.Outcomes)) {
			parts = append(parts, fmt.Sprintf("%s %d", name, s.Outcomes[name]))
		}
		m := &s.Messages
		_, err := fmt.Fprintf(w, "%s %s: %s; messages: task %d (refused %d), cancel %d, forwarded %d, connections refused %d\n",
			s.Scenario, s.Policy, strings.Join(parts, ", "), m.TaskMessages, m.Refused, m.CancelMessage, m.Forwarded, m.ConnsRefused)
		if err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, rows []*summary) error {
	text, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
