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

// StatusCmd shows a summary of each entry host given with --operator.
type StatusCmd struct{}

// DumpCmd prints the internal state of an entry host as JSON.
type DumpCmd struct{}

// DrainCmd shuts an entry host down gracefully.
type DrainCmd struct{}

// run prints the list of hosts as the first operators' address that answers knows it.
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
	return printTable(env.Out, hostsHeader, rows)
}

// hostsHeader names the columns of hostRow.
const hostsHeader = "host zone state last-heard address incarnation revision schema latest"

func hostRow(h *daemon.HostView) []string {
	lastHeard := "never"
	if h.LastHeardMS >= 0 {
		lastHeard = (time.Duration(h.LastHeardMS) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	incarnation := h.Incarnation
	if incarnation == "" {
		incarnation = "-"
	}
	return []string{h.Host, h.Zone, h.State, lastHeard, h.Address, incarnation, fmt.Sprint(h.ConfigRevision), fmt.Sprint(h.ConfigSchema), latestRevision(h)}
}

// latestRevision returns the table cell for the latest revision that a host has accepted: the revision
// and the schema version of its record, "-" if that revision is in force, or "?" if it is not known.
func latestRevision(h *daemon.HostView) string {
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

// run prints a row for each host that answers. If one does not, it returns the last error.
func (c *StatusCmd) run(ctx context.Context, a *Args, env Env) error {
	operators, err := a.operators()
	if err != nil {
		return err
	}
	var statuses []daemon.Status
	var rows [][]string
	var statusErr error
	for _, url := range operators {
		var status daemon.Status
		if err := getJSON(ctx, url+"/v1/status", &status); err != nil {
			statusErr = exitErrorf(ExitFailed, "%v", err)
			continue
		}
		statuses = append(statuses, status)
		rows = append(rows, statusRow(&status))
	}
	if a.JSON {
		err = printJSON(env.Out, statuses)
	} else {
		err = printTable(env.Out, "host zone ready draining revision uptime open-jobs open-tasks endpoints complete failed refused violations", rows)
	}
	if err != nil {
		return err
	}
	return statusErr
}

func statusRow(s *daemon.Status) []string {
	uptime := (time.Duration(s.UptimeMS) * time.Millisecond).Round(time.Second)
	values := []any{s.Host, s.Zone, s.Ready, s.Draining, s.RevisionInForce, uptime, s.OpenJobs, s.OpenTasks, s.Endpoints,
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
	statusCode, body, err := sendRequest(ctx, http.MethodPost, operator+"/v1/drain", nil)
	if err != nil {
		return err
	}
	if statusCode != http.StatusAccepted {
		return exitErrorf(ExitFailed, "not drained: status %d: %s", statusCode, body)
	}
	fmt.Fprintln(env.Out, "drain started")
	return nil
}
