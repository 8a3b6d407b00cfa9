package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/daemon"
)

// HostsCmd lists the entry hosts.
type HostsCmd struct{}

// StatusCmd summarises each entry host given.
type StatusCmd struct{}

// DumpCmd prints the state of an entry host.
type DumpCmd struct{}

// DrainCmd shuts an entry host down gracefully.
type DrainCmd struct{}

// run prints the view of the first operators' address that answers.
func (c *HostsCmd) run(ctx context.Context, a *Args, env Env) error {
	operators, err := a.operators()
	if err != nil {
		return err
	}
	var hosts []daemon.HostView
	for _, url := range operators {
		if err = getJSON(ctx, url+"/v1/hosts?latest", &hosts); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(env.Out, hosts)
	}
	rows := make([][]string, len(hosts))
	for i, h := range hosts {
		rows[i] = hostRow(&h)
	}
	return table(env.Out, hostsHeader, rows)
}

const hostsHeader = "host zone state last-heard address incarnation revision schema latest"

func hostRow(h *daemon.HostView) []string {
	heard := "never"
	if h.LastHeardMS >= 0 {
		heard = (time.Duration(h.LastHeardMS) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	inc := h.Incarnation
	if inc == "" {
		inc = "-"
	}
	return []string{h.Host, h.Zone, h.State, heard, h.Address, inc, fmt.Sprint(h.ConfigRevision), fmt.Sprint(h.ConfigSchema), latest(h)}
}

// latest shows the latest revision that a host has accepted if it is not the one in force,
// with the schema version of its record.
func latest(h *daemon.HostView) string {
	switch {
	case h.ConfigLatest == 0:
		return "?"
	case h.ConfigLatest <= h.ConfigRevision:
		return "-"
	case h.ConfigLatestSchema == 0:
		return fmt.Sprint(h.ConfigLatest)
	}
	return fmt.Sprintf("%d (schema %d)", h.ConfigLatest, h.ConfigLatestSchema)
}

func (c *StatusCmd) run(ctx context.Context, a *Args, env Env) error {
	operators, err := a.operators()
	if err != nil {
		return err
	}
	var all []daemon.Status
	var rows [][]string
	var failed error
	for _, url := range operators {
		var st daemon.Status
		if err := getJSON(ctx, url+"/v1/status", &st); err != nil {
			failed = exitWith(ExitFailed, "%v", err)
			continue
		}
		all = append(all, st)
		rows = append(rows, statusRow(&st))
	}
	if a.JSON {
		err = printJSON(env.Out, all)
	} else {
		err = table(env.Out, "host zone ready draining revision uptime open-jobs open-tasks endpoints complete failed refused violations", rows)
	}
	if err != nil {
		return err
	}
	return failed
}

func statusRow(s *daemon.Status) []string {
	uptime := (time.Duration(s.UptimeMS) * time.Millisecond).Round(time.Second)
	values := []any{s.Host, s.Zone, s.Ready, s.Draining, s.Revision, uptime, s.OpenJobs, s.OpenTasks, s.Endpoints,
		s.Counters.JobsComplete, s.Counters.JobsFailed, s.Counters.JobsRefused, s.Counters.Violations}
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	return row
}

func (c *DumpCmd) run(ctx context.Context, a *Args, env Env) error {
	operator, err := a.operator()
	if err != nil {
		return err
	}
	var dump json.RawMessage
	if err := getJSON(ctx, operator+"/debug/state", &dump); err != nil {
		return err
	}
	return printJSON(env.Out, dump)
}

func (c *DrainCmd) run(ctx context.Context, a *Args, env Env) error {
	operator, err := a.operator()
	if err != nil {
		return err
	}
	status, text, err := call(ctx, http.MethodPost, operator+"/v1/drain", nil)
	if err != nil {
		return err
	}
	if status != http.StatusAccepted {
		return exitWith(ExitFailed, "not drained: status %d: %s", status, text)
	}
	fmt.Fprintln(env.Out, "drain started")
	return nil
}
