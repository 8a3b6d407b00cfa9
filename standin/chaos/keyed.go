package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	keySubmitters = 4
	callersPerKey = 2 // that submit the job of one key concurrently
	// maxRefusals is the number of refusals after which a refusal is accepted as the outcome.
	maxRefusals = 3
	readTimeout = 5 * time.Second
)

// keyedLoad submits jobs with idempotency keys.
type keyedLoad struct {
	bed   *testbed.Deployment
	meter *meter
	seed  uint64

	mu       sync.Mutex
	outcomes map[string][]outcome // by key
}

func newKeyedLoad(bed *testbed.Deployment, m *meter, seed uint64) *keyedLoad {
	return &keyedLoad{bed: bed, meter: m, seed: seed, outcomes: make(map[string][]outcome)}
}

// start submits jobs until end is called. end waits for the last outcomes.
func (k *keyedLoad) start(ctx context.Context) (end func()) {
	var group sync.WaitGroup
	stop := make(chan struct{})
	for n := range keySubmitters {
		group.Go(func() {
			random := rand.New(rand.NewPCG(k.seed, uint64(n)))
			for i := 0; ctx.Err() == nil; i++ {
				select {
				case <-stop:
					return
				default:
					k.runKey(ctx, fmt.Sprintf("key %d-%d", n, i), n, random)
				}
			}
		})
	}
	return func() { close(stop); group.Wait() }
}

// runKey submits one job with a key through two hosts concurrently.
func (k *keyedLoad) runKey(ctx context.Context, key string, host int, random *rand.Rand) {
	job := randomJob(key, random)
	job.Schema, job.Key, job.KeyEpoch = api.Schema, key, k.fetchEpoch(ctx, host)
	var group sync.WaitGroup
	for c := range callersPerKey {
		group.Go(func() {
			o := outcome{name: key, tasks: len(job.Tasks), began: time.Now()}
			o.reply, o.err = k.awaitOutcome(ctx, job, host+c)
			o.ended = time.Now()
			if o.reply != nil {
				o.ticket = o.reply.Ticket
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.outcomes[key] = append(k.outcomes[key], o)
		})
	}
	group.Wait()
}

// fetchEpoch asks the hosts in turn until one returns the epoch of new keys.
func (k *keyedLoad) fetchEpoch(ctx context.Context, host int) *uint64 {
	for n := host; ctx.Err() == nil; n++ {
		short, cancel := context.WithTimeout(ctx, time.Second)
		reply := new(api.EpochReply)
		err := testbed.GetJSON(short, k.bed.Hosts[n%len(k.bed.Hosts)].CallersURL()+"/v1/epoch", reply)
		cancel()
		if err == nil {
			return &reply.Epoch
		}
		time.Sleep(retryInterval)
	}
	return new(uint64)
}

// awaitOutcome submits the job through one host after the other until the outcome is final. A key has no
// lifetime of its own, so awaitOutcome asks until ctx ends.
func (k *keyedLoad) awaitOutcome(ctx context.Context, job api.Job, host int) (*api.Reply, error) {
	refusals := 0
	for n := host; ; n++ {
		reply, err := newClient(k.bed, k.meter, n).Submit(ctx, &job)
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err == nil && reply.Final():
			return reply, nil
		case err == nil && reply.Outcome == api.Refused && reply.Ticket != "":
			if refusals++; refusals == maxRefusals {
				return reply, nil
			}
		}
		time.Sleep(retryInterval)
	}
}

// check compares the outcomes with the counted starts and with the claims in the log. Of all tickets that
// claimed a key, at most one may have started tasks. It returns the number of keys.
func (k *keyedLoad) check(ctx context.Context, r *Report, starts *minionsim.Starts) (int, error) {
	if len(k.outcomes) == 0 {
		return 0, nil
	}
	claims, err := k.readClaims(ctx)
	if err != nil {
		return 0, err
	}
	for key, outcomes := range k.outcomes {
		started := 0
		for id := range claims[key] {
			if len(starts.Tickets[string(id)]) > 0 {
				started++
			}
		}
		if started > 1 {
			r.addFinding("%s: the tasks of %d tickets started", key, started)
		}
		k.checkKey(r, outcomes, starts)
	}
	return len(k.outcomes), nil
}

func (k *keyedLoad) checkKey(r *Report, outcomes []outcome, starts *minionsim.Starts) {
	var first *outcome
	for i := range outcomes {
		o := &outcomes[i]
		switch {
		case o.reply == nil:
			r.addFinding("%s: no final outcome: %v", o.name, o.err)
		case o.reply.Outcome == api.Complete:
			r.checkComplete(o, starts.Tickets[string(o.ticket)])
			if first != nil && first.ticket != o.ticket {
				r.addFinding("%s: complete as %s and as %s", o.name, first.ticket, o.ticket)
			}
			first = o
		case o.reply.Outcome == api.Failed:
			r.checkNotRun(o, starts.Tickets[string(o.ticket)])
		}
	}
}

// readClaims reads the claims stream and returns the tickets that claimed each key.
func (k *keyedLoad) readClaims(ctx context.Context) (map[string]map[ticket.ID]bool, error) {
	out := make(map[string]map[ticket.ID]bool)
	c := logapi.NewClient(k.bed.PlatformURL, readTimeout)
	defer c.Close()
	for from := uint64(0); ; {
		reply, err := c.Read(ctx, logapi.StreamClaims, from, 0)
		if err != nil {
			return nil, errors.Wrap(err, "reading the claims")
		}
		if len(reply.Records) == 0 {
			return out, nil
		}
		for _, record := range reply.Records {
			from = record.Offset + 1
			var claims claim.Record
			if err := json.Unmarshal(record.Data, &claims); err != nil {
				return nil, errors.Wrap(err, "decoding a claim")
			}
			for _, keyClaim := range claims.Claims {
				if out[keyClaim.Key] == nil {
					out[keyClaim.Key] = make(map[ticket.ID]bool)
				}
				out[keyClaim.Key][keyClaim.Ticket] = true
			}
		}
	}
}
