package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// publication is one publication with what its operator was told.
type publication struct {
	id    string
	sent  time.Time
	reply daemon.PublishReply
}

func status(ctx context.Context, h *testbed.Host) (daemon.Status, error) {
	var st daemon.Status
	return st, testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &st)
}

// publish publishes a text through a host, based on the host's latest revision.
func (b *bench) publish(ctx context.Context, h *testbed.Host, author string) (publication, error) {
	st, err := status(ctx, h)
	if err != nil {
		return publication{}, err
	}
	p := publication{id: rand.Text(), sent: time.Now()}
	rec := config.Record{Schema: config.Schema, ID: p.id, Base: st.Latest, Author: author, Reason: "measurement",
		Time: p.sent.UTC(), Text: fmt.Sprintf("%s# %s\n", benchConfig, p.id)}
	code, err := testbed.PostJSON(ctx, h.OperatorsURL()+"/v1/config", &rec, &p.reply)
	if err == nil && code != http.StatusOK && code != http.StatusConflict && code != http.StatusAccepted {
		err = errors.Newf("publishing: status %d %+v", code, p.reply)
	}
	return p, err
}

// race has operators publish through all hosts at once while answers of the platform are
// lost, and compares what they were told, and every host, with the log.
func (b *bench) race(ctx context.Context) error {
	if err := b.faults(ctx, platformsim.FaultsRequest{Service: platformsim.ServiceLog, LostAnswer: &b.args.Lost}); err != nil {
		return err
	}
	var mu sync.Mutex
	var all []publication
	var failed error
	var wg sync.WaitGroup
	began := time.Now()
	for n := range b.args.Operators {
		wg.Go(func() {
			for range b.args.Publishes / b.args.Operators {
				p, err := b.publish(ctx, b.bed.Hosts[n%len(b.bed.Hosts)], fmt.Sprintf("operator-%d", n))
				mu.Lock()
				all = append(all, p)
				failed = errors.CombineErrors(failed, err)
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	none := 0.0
	if err := errors.CombineErrors(failed, b.faults(ctx, platformsim.FaultsRequest{LostAnswer: &none})); err != nil {
		return err
	}
	return b.judgeRace(ctx, all, took)
}

func (b *bench) judgeRace(ctx context.Context, all []publication, took time.Duration) error {
	accepted, snapshots, err := b.readLog(ctx)
	if err != nil {
		return err
	}
	if err := b.settled(ctx, uint64(len(accepted))); err != nil {
		return err
	}
	won, unknown, wrong := 0, 0, 0
	for _, p := range all {
		number, inLog := accepted[p.id]
		switch {
		case !p.reply.Known:
			unknown++
		case p.reply.Accepted != inLog || inLog && p.reply.Revision != number:
			wrong++
		case inLog:
			won++
		}
	}
	differ, err := b.hostsThatDiffer(ctx, accepted)
	if err != nil {
		return err
	}
	fmt.Printf("racing: %d publications by %d operators through %d hosts in %v, %.0f%% of answers lost\n",
		len(all), b.args.Operators, len(b.bed.Hosts), took.Round(time.Millisecond), 100*b.args.Lost)
	fmt.Printf("  accepted %d, outcome unknown %d, told wrongly %d, snapshots in the log %d\n", won, unknown, wrong, snapshots)
	fmt.Printf("  hosts whose revisions differ from the log: %d of %d\n", differ, len(b.bed.Hosts))
	if wrong > 0 || differ > 0 {
		return errors.New("the race was judged differently")
	}
	return nil
}

// readLog replays the config stream by the rule alone: the first record of an identity is
// accepted if its base is the number of revisions before it.
func (b *bench) readLog(ctx context.Context) (accepted map[string]uint64, snapshots int, err error) {
	client := logapi.NewClient(b.bed.PlatformURL, time.Second)
	defer client.Close()
	accepted = make(map[string]uint64)
	seen := make(map[string]bool)
	for next := uint64(0); ; {
		reply, err := client.Read(ctx, logapi.StreamConfig, next, 0)
		if err != nil || len(reply.Records) == 0 {
			return accepted, snapshots, err
		}
		for _, r := range reply.Records {
			next = r.Offset + 1
			rec, err := config.DecodeRecord(r.Data)
			if err != nil {
				snapshots++
				continue
			}
			if !seen[rec.ID] && rec.Base == uint64(len(accepted)) {
				accepted[rec.ID] = rec.Base + 1
			}
			seen[rec.ID] = true
		}
	}
}

func (b *bench) hostsThatDiffer(ctx context.Context, accepted map[string]uint64) (int, error) {
	differ := 0
	for _, h := range b.bed.Hosts {
		var reply daemon.ConfigReply
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/config?history", &reply); err != nil {
			return 0, err
		}
		same := reply.Revision == uint64(len(accepted)) && reply.InForce == reply.Revision
		for _, r := range reply.History {
			same = same && accepted[r.ID] == r.Number
		}
		if !same {
			differ++
		}
	}
	return differ, nil
}

func (b *bench) faults(ctx context.Context, req platformsim.FaultsRequest) error {
	var reply any
	code, err := testbed.PostJSON(ctx, b.bed.PlatformURL+"/admin/faults", &req, &reply)
	if err == nil && code != http.StatusOK {
		err = errors.Newf("setting faults: status %d", code)
	}
	return err
}
