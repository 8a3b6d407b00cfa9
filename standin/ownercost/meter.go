package main

import (
	"context"
	"strings"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// counters holds totals since the deployment started. A request and its response are
// one message each.
type counters struct {
	Callers  uint64 // messages between callers and hosts
	Peers    uint64 // messages between hosts about jobs, without gossip and configuration
	Minions  uint64 // messages between hosts and minions
	Starts   uint64 // task starts at the minions
	Appends  uint64 // records of the claims stream
	Platform uint64 // bytes between hosts and the platform
}

// readCounters reads all counters. The platform has to be up unless withLog is false, which
// leaves Appends at 0.
func readCounters(ctx context.Context, bed *testbed.Deployment, c *caller, withLog bool) (counters, error) {
	r := counters{Callers: c.transport.messages.Load()}
	for _, h := range bed.Hosts {
		var st daemon.Status
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &st); err != nil {
			return r, err
		}
		r.Peers += st.PeerTraffic.TaskMessages
		r.Platform += st.PlatformWireBytes
	}
	r.Peers /= 2 // both sides count each message
	starts, err := bed.Starts(ctx)
	if err != nil {
		return r, err
	}
	t := starts.Totals
	r.Minions = 2 * uint64(t.TaskMessages+t.CancelMessage+t.OtherMessages)
	r.Starts = uint64(t.Starts)
	if withLog {
		r.Appends, err = countAppends(ctx, bed)
	}
	return r, err
}

// countAppends returns the number of records ever appended to the claims stream.
func countAppends(ctx context.Context, bed *testbed.Deployment) (uint64, error) {
	path := strings.Replace(logapi.PathRecords, "{stream}", logapi.StreamClaims, 1)
	var reply logapi.ReadReply
	err := testbed.GetJSON(ctx, bed.PlatformURL+path+"?from=0&limit=1", &reply)
	return reply.Next, err
}

// add adds what was counted between two reads of the counters.
func (r *counters) add(before, after counters) {
	r.Callers += after.Callers - before.Callers
	r.Peers += after.Peers - before.Peers
	r.Minions += after.Minions - before.Minions
	r.Starts += after.Starts - before.Starts
	r.Appends += after.Appends - before.Appends
	r.Platform += after.Platform - before.Platform
}
