package host

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
	"sesameledge.dev/sesameledge/session"
)

const (
	// maxFramesPerStep limits the frames to one peer in a step. Further messages wait for the next step.
	maxFramesPerStep = 8
	// maxWorkersBytes is the size of the entries in one message, except for an entry that is larger alone.
	// All entries of a large zone together could exceed session.MaxMessageBytes.
	maxWorkersBytes = 64 << 10
	// maxReasonBytes limits the reason of an outcome, maxLogBytes what a log line quotes of a message.
	maxReasonBytes = 500
	maxLogBytes    = 64
)

// sendMessage queues a message for a peer. It reports false if the message has to be sent again later. A
// message that can never be delivered is refused for good, which reportRefusedMessages logs.
func (s *State) sendMessage(p *peer, m *meshpb.Message) bool {
	if p.session.Send(m) {
		return true
	}
	refusals := p.session.Refusals()
	s.countRefusals(p, refusals)
	return !errors.Is(refusals[len(refusals)-1].Err, session.ErrFull)
}

// reportRefusedMessages logs and counts the messages that the session with a peer has not taken.
func (s *State) reportRefusedMessages(p *peer) { s.countRefusals(p, p.session.Refusals()) }

func (s *State) countRefusals(p *peer, refusals []session.Refusal) {
	for _, r := range refusals {
		s.stats.MessagesRefused++
		submit := r.Message.GetSubmit()
		s.log("mesh", fleet.Printable(submit.GetRequestId(), maxLogBytes), "message not sent", "peer", p.info.GetName(), "kind", messageKind(r.Message),
			"job", fleet.Printable(submit.GetJobId(), maxLogBytes), "err", r.Err)
	}
}

// messageKind returns the name of a message's kind for the log.
func messageKind(m *meshpb.Message) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", m.GetKind()), "*meshpb.Message_")
}

// sendWorkers sends entries of workers in messages of maxWorkersBytes. It reports false if the peer takes
// no messages, so that the entries have to be sent again.
func (s *State) sendWorkers(p *peer, list []*meshpb.Worker) bool {
	size, first := 0, 0
	for i, w := range list {
		size += proto.Size(w)
		if last := i == len(list)-1; !last && size+proto.Size(list[i+1]) <= maxWorkersBytes {
			continue
		}
		if !s.sendMessage(p, &meshpb.Message{Kind: &meshpb.Message_Workers{Workers: &meshpb.Workers{Workers: list[first : i+1]}}}) {
			return false
		}
		size, first = 0, i+1
	}
	return true
}

// decodeOutcome returns the outcome in a message of another host. An outcome that is not known here says
// nothing about what has run.
func decodeOutcome(o int32) sched.Outcome {
	if result := sched.Outcome(o); result >= sched.Completed && result <= sched.Aborted {
		return result
	}
	return sched.Aborted
}
