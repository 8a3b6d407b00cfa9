package core

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/dispatch"
)

// Guards against a wrong outcome or code for a key that this host can't start: it has not
// read the claims stream, the epoch has expired or lies before the records that were read, or
// the key's claim has not been read back.
func TestReplyForUnavailableKeyEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		bounds  *ClaimsBounds
		epoch   uint64
		outcome api.Outcome
		code    api.Code
	}{
		"log not read":          {nil, 5, api.Unknown, api.CodeLogUnavailable},
		"expired":               {&ClaimsBounds{First: 0, Next: 50}, 5, api.Failed, api.CodeKeyEpoch},
		"before reading began":  {&ClaimsBounds{First: 20, Next: 21}, 15, api.Unknown, api.CodeKeyEpoch},
		"claimed, not read yet": {&ClaimsBounds{First: 0, Next: 20}, 15, api.Unknown, api.CodeRunning},
	} {
		s := New(Options{Host: "h", Incarnation: 1, Zone: "z"})
		s.claims.fold = claim.NewFold(claim.Options{Window: 20})
		if c.bounds != nil {
			s.Apply(0, *c.bounds)
		}
		minted := s.Dispatch.Mint(0, 1, time.Second, time.Second)[0]
		job := &api.Job{Team: "t", Kind: "k", Key: "x", KeyEpoch: &c.epoch, Tasks: make([]api.Task, 1)}
		var reply *api.Reply
		for _, e := range s.Apply(0, KeySubmit{ID: minted.ID(), Ticket: minted, Job: job, Waiter: 1}) {
			if r, ok := e.(dispatch.ReplyTo); ok {
				reply = r.Reply
			}
		}
		if reply == nil || reply.Outcome != c.outcome || reply.Reason.Code != c.code {
			t.Errorf("%s: %+v", name, reply)
		}
	}
}
