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

// hostRevision is the part of an entry of GET /v1/hosts that matters here.
type hostRevision struct {
	Host     string `json:"host"`
	State    string `json:"state"`
	Revision uint64 `json:"config_revision"`
}

// confirmPoll is the pause between looks at the hosts' revisions.
const confirmPoll = 100 * time.Millisecond

// awaitInForce returns when every live host has the revision in force, or names those
// that have not when the context ends.
func awaitInForce(ctx context.Context, operators []string, revision uint64, env Env) error {
	for {
		hosts, missing := confirmations(ctx, operators, revision)
		if hosts > 0 && len(missing) == 0 {
			fmt.Fprintf(env.Out, "revision %d is in force on %d hosts\n", revision, hosts)
			return nil
		}
		if !pause.For(ctx, confirmPoll) {
			return exitWith(ExitUnknown, "revision %d is accepted but not confirmed by: %s", revision, strings.Join(missing, ", "))
		}
	}
}

// confirmations counts the hosts that are live, or suspected of having failed but not
// gone, and names those that have not confirmed. The hosts are those of GET /v1/hosts of
// the first host that answers it, and those whose operators' address was given, which
// are asked themselves. An address that does not answer is named if there is no list.
func confirmations(ctx context.Context, operators []string, revision uint64) (hosts int, missing []string) {
	known, listed := listedRevisions(ctx, operators)
	for _, operator := range operators {
		var st daemon.Status
		err := getJSON(ctx, operator+"/v1/status", &st)
		switch {
		case err == nil:
			known[st.Host] = hostRevision{Host: st.Host, Revision: st.Revision}
		case !listed:
			known[operator] = hostRevision{Host: operator}
		}
	}
	for _, h := range known {
		if h.Revision < revision {
			missing = append(missing, h.String())
		}
	}
	sort.Strings(missing)
	return len(known), missing
}

// String names the host, and its state if that is not live.
func (h hostRevision) String() string {
	if h.State == "" || h.State == "live" {
		return h.Host
	}
	return h.Host + " (" + h.State + ")"
}

// listedRevisions reads the list of hosts from the first host that answers.
func listedRevisions(ctx context.Context, operators []string) (known map[string]hostRevision, ok bool) {
	known = make(map[string]hostRevision)
	for _, operator := range operators {
		var list []hostRevision
		if getJSON(ctx, operator+"/v1/hosts", &list) != nil {
			continue
		}
		for _, h := range list {
			if h.State == "live" || h.State == "suspect" {
				known[h.Host] = h
			}
		}
		return known, true
	}
	return known, false
}
