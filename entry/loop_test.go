package entry

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

// recordedEffects records the frames that a loop sends, and ignores other effects.
type recordedEffects struct{ frames []host.SendFrame }

func (*recordedEffects) startRun(sched.StartRun)          {}
func (*recordedEffects) stopRun(sched.StopRun)            {}
func (*recordedEffects) holdWorker(sched.HoldWorker)      {}
func (r *recordedEffects) sendFrame(e host.SendFrame)     { r.frames = append(r.frames, e) }
func (*recordedEffects) redial(host.Redial)               {}
func (*recordedEffects) closeLink(host.CloseLink)         {}
func (*recordedEffects) announceFence(host.AnnounceFence) {}
func (*recordedEffects) useConfig(*fleet.Config)          {}
func (*recordedEffects) readWorkers()                     {}
func (*recordedEffects) readHosts()                       {}
func (*recordedEffects) signHost()                        {}
func (*recordedEffects) decodeFetched(host.ConfigFetched) {}

// newTestLoop returns a loop of a host with one peer. It is not served.
func newTestLoop() (*loop, *recordedEffects) {
	effects := &recordedEffects{}
	newState := func() *host.State {
		return host.New(host.Options{
			Self: host.Self{Name: "h", Zone: "z", Addr: "127.0.0.1:1", ID: 1, Weight: 1}, Zones: []string{"z"},
			Seeds: []string{"127.0.0.1:2"}, Started: sinceBoot(),
		})
	}
	return newLoop(newState(), log.NewNopLogger(), effects), effects
}

// TestBatchIsDatedAfterItsEvents guards against a batch whose time lies before events of it. The reading
// of a worker's clock in such an event would be dated before it was taken: the lease would be granted for
// too long, and later readings of a slow clock would look older than the estimate.
func TestBatchIsDatedAfterItsEvents(t *testing.T) {
	l, effects := newTestLoop()
	var collected time.Duration
	l.events <- stateQuery{done: make(chan struct{}), read: func(time.Duration, *host.State) {
		time.Sleep(20 * time.Millisecond)
		collected = sinceBoot()
	}}
	l.applyBatch(host.Tick{})
	if len(effects.frames) != 1 {
		t.Fatalf("%d frames, want the one to the peer, which shows the time of the batch", len(effects.frames))
	}
	if sent := time.Duration(effects.frames[0].Frame.GetSent()); sent < collected {
		t.Errorf("the batch is dated %v before its events were collected", collected-sent)
	}
}
