package command

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/internal/pause"
)

// hostRevision is the part of an entry of GET /v1/hosts that tells which revision a host has in force.
type hostRevision struct {
	Host     string `json:"host"`
	State    string `json:"state"`
	Revision uint64 `json:"config_revision"`
}

// confirmInterval is the pause between two checks of the hosts' revisions.
const confirmInterval = 100 * time.Millisecond

// awaitInForce waits until every live or suspected host has the revision in force. If the context ends
// first, the error names the hosts that do not.
func awaitInForce(ctx context.Context, operators []string, revision uint64, env Env) error {
	for {
		hosts, missing := checkConfirmations(ctx, operators, revision)
		if hosts > 0 && len(missing) == 0 {
			fmt.Fprintf(env.Out, "revision %d is in force on %d hosts\n", revision, hosts)
			return nil
		}
		if !pause.For(ctx, confirmInterval) {
			return exitErrorf(ExitUnknown, "revision %d is accepted but not confirmed by: %s", revision, strings.Join(missing, ", "))
		}
	}
}

// checkConfirmations counts the hosts that are live or suspected of having failed, and names those that
// have an older revision in force. It takes the list of GET /v1/hosts from the first host that answers,
// and asks each host whose operators' address was given for its own status. If no host returns a list,
// an address that does not answer counts as a host that has not confirmed.
func checkConfirmations(ctx context.Context, operators []string, revision uint64) (hosts int, missing []string) {
	revisions, haveList := listedRevisions(ctx, operators)
	for _, operator := range operators {
		var status daemon.Status
		err := getJSON(ctx, operator+"/v1/status", &status)
		switch {
		case err == nil:
			revisions[status.Host] = hostRevision{Host: status.Host, Revision: status.RevisionInForce}
		case !haveList:
			revisions[operator] = hostRevision{Host: operator}
		}
	}
	for _, h := range revisions {
		if h.Revision < revision {
			missing = append(missing, h.String())
		}
	}
	sort.Strings(missing)
	return len(revisions), missing
}

// String returns the name of the host, and its state unless that is live.
func (h hostRevision) String() string {
	if h.State == "" || h.State == "live" {
		return h.Host
	}
	return h.Host + " (" + h.State + ")"
}

// listedRevisions returns the live and suspected hosts, by name, from the first operators' address that
// lists them, and false if none does.
func listedRevisions(ctx context.Context, operators []string) (revisions map[string]hostRevision, ok bool) {
	revisions = make(map[string]hostRevision)
	for _, operator := range operators {
		var list []hostRevision
		if getJSON(ctx, operator+"/v1/hosts", &list) != nil {
			continue
		}
		for _, h := range list {
			if h.State == "live" || h.State == "suspect" {
				revisions[h.Host] = h
			}
		}
		return revisions, true
	}
	return revisions, false
}
