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

// publication is one publication of a configuration with the reply to its operator.
type publication struct {
	id    string
	sent  time.Time
	reply daemon.PublishReply
}

// status reads the status of a host.
func status(ctx context.Context, h *testbed.Host) (daemon.Status, error) {
	var hostStatus daemon.Status
	return hostStatus, testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &hostStatus)
}

// publish publishes benchConfig with a unique comment through a host, based on the latest
// revision that the host knows. A conflict and an unknown outcome are not errors.
func (b *bench) publish(ctx context.Context, h *testbed.Host, author string) (publication, error) {
	hostStatus, err := status(ctx, h)
	if err != nil {
		return publication{}, err
	}
	p := publication{id: rand.Text(), sent: time.Now()}
	rec := config.Record{Schema: config.Schema, ID: p.id, Base: hostStatus.LatestRevision, Author: author, Reason: "measurement",
		Time: p.sent.UTC(), Text: fmt.Sprintf("%s# %s\n", benchConfig, p.id)}
	code, err := testbed.PostJSON(ctx, h.OperatorsURL()+"/v1/config", &rec, &p.reply)
	if err == nil && code != http.StatusOK && code != http.StatusConflict && code != http.StatusAccepted {
		err = errors.Newf("publishing: status %d %+v", code, p.reply)
	}
	return p, err
}

// measureRace lets operators publish at the same time through all hosts while a share of the
// platform's answers is lost. Then it compares the replies to the operators and the revisions
// of every host with the log.
func (b *bench) measureRace(ctx context.Context) error {
	if err := b.setFaults(ctx, platformsim.FaultsRequest{Service: platformsim.ServiceLog, LostAnswer: &b.args.Lost}); err != nil {
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
	noLoss := 0.0
	if err := errors.CombineErrors(failed, b.setFaults(ctx, platformsim.FaultsRequest{LostAnswer: &noLoss})); err != nil {
		return err
	}
	return b.checkRace(ctx, all, took)
}

// checkRace compares the replies to the operators and the revisions of all hosts with the log,
// prints the counts and returns an error if any differ.
func (b *bench) checkRace(ctx context.Context, all []publication, took time.Duration) error {
	accepted, snapshots, err := b.replayLog(ctx)
	if err != nil {
		return err
	}
	if err := b.waitForRevision(ctx, uint64(len(accepted))); err != nil {
		return err
	}
	acceptedCount, unknownOutcomes, wrongReplies := 0, 0, 0
	for _, p := range all {
		number, inLog := accepted[p.id]
		switch {
		case !p.reply.OutcomeKnown:
			unknownOutcomes++
		case p.reply.Accepted != inLog || inLog && p.reply.Revision != number:
			wrongReplies++
		case inLog:
			acceptedCount++
		}
	}
	differingHosts, err := b.countHostsThatDiffer(ctx, accepted)
	if err != nil {
		return err
	}
	fmt.Printf("racing: %d publications by %d operators through %d hosts in %v, %.0f%% of answers lost\n",
		len(all), b.args.Operators, len(b.bed.Hosts), took.Round(time.Millisecond), 100*b.args.Lost)
	fmt.Printf("  accepted %d, outcome unknown %d, wrong replies to operators %d, snapshots in the log %d\n", acceptedCount, unknownOutcomes, wrongReplies, snapshots)
	fmt.Printf("  hosts whose revisions differ from the log: %d of %d\n", differingHosts, len(b.bed.Hosts))
	if wrongReplies > 0 || differingHosts > 0 {
		return errors.New("replies to operators or revisions of hosts differ from the log")
	}
	return nil
}

// replayLog replays the config stream by the acceptance rule alone: the first record with an ID
// is accepted if its base equals the number of revisions accepted before it. Later
// records with the same ID are ignored. It returns the revision of each accepted ID and the
// number of records that are not publications, which it takes for snapshots.
func (b *bench) replayLog(ctx context.Context) (accepted map[string]uint64, snapshots int, err error) {
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

// countHostsThatDiffer counts the hosts whose revision, revision in force or history does not match
// the accepted records of the log.
func (b *bench) countHostsThatDiffer(ctx context.Context, accepted map[string]uint64) (int, error) {
	differingHosts := 0
	for _, h := range b.bed.Hosts {
		var reply daemon.ConfigReply
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/config?history", &reply); err != nil {
			return 0, err
		}
		same := reply.LatestRevision == uint64(len(accepted)) && reply.RevisionInForce == reply.LatestRevision
		for _, r := range reply.History {
			same = same && accepted[r.ID] == r.Number
		}
		if !same {
			differingHosts++
		}
	}
	return differingHosts, nil
}

// setFaults sets faults of the platform.
func (b *bench) setFaults(ctx context.Context, req platformsim.FaultsRequest) error {
	var reply any
	code, err := testbed.PostJSON(ctx, b.bed.PlatformURL+"/admin/faults", &req, &reply)
	if err == nil && code != http.StatusOK {
		err = errors.Newf("setting faults: status %d", code)
	}
	return err
}
