package command

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/daemon"
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
		select {
		case <-ctx.Done():
			return exitWith(ExitUnknown, "revision %d is accepted but not confirmed by: %s", revision, strings.Join(missing, ", "))
		case <-time.After(confirmPoll):
		}
	}
}

// confirmations counts the live hosts and names those that have not confirmed. Hosts
// whose operators' address was given are asked themselves; the others are known through
// the first host that answers GET /v1/hosts.
func confirmations(ctx context.Context, operators []string, revision uint64) (hosts int, missing []string) {
	known := make(map[string]uint64)
	for _, operator := range operators {
		var list []hostRevision
		if getJSON(ctx, operator+"/v1/hosts", &list) != nil {
			continue
		}
		for _, h := range list {
			if h.State == "live" {
				known[h.Host] = max(known[h.Host], h.Revision)
			}
		}
		break
	}
	for _, operator := range operators {
		var st daemon.Status
		if err := getJSON(ctx, operator+"/v1/status", &st); err != nil {
			known[operator] = 0
			continue
		}
		known[st.Host] = st.Revision
	}
	for host, n := range known {
		if n < revision {
			missing = append(missing, host)
		}
	}
	sort.Strings(missing)
	return len(known), missing
}
