package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/platform"
)

const (
	// storeTimeout bounds a call to the store, beyond the wait that the call asks for. A slow
	// store takes some 300 ms.
	storeTimeout = 700 * time.Millisecond
	// configWait is how long the store may hold a read of the configuration. A read that is open
	// while the store falls silent is never answered, and a change has to be in force in 2 s.
	configWait = 800 * time.Millisecond
	// workersPause is the time between two reads of the workers' entries on a host that
	// commands a cell, idleWorkersPause on others. A leaving worker has to be known well
	// within its notice, also after a change of command.
	workersPause     = 600 * time.Millisecond
	idleWorkersPause = 1200 * time.Millisecond
	// hostsPause is the time between two reads of the hosts' entries.
	hostsPause = 5 * time.Second
	// retryMin and retryMax bound the pause after a call that failed.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// follower reads a topic of the store.
type follower struct {
	store  *platform.StoreClient
	conns  *http.Transport
	topic  string
	wait   time.Duration        // that the store may hold a read
	pause  func() time.Duration // between two reads
	logger log.Logger
	take   func(records []platform.Record, snapshot bool)
	state  func(reachable bool)
}

// run reads the topic until ctx ends: first the newest record of each key, then what
// follows.
func (f *follower) run(ctx context.Context) {
	retry := pause.NewBackoff(retryMin, retryMax)
	from := int64(-1)
	for ctx.Err() == nil {
		next, err := f.read(ctx, from)
		if err == nil {
			from = next
			retry.Reset()
			f.state(true)
			pause.For(ctx, f.pause())
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrTrimmed) {
			_ = f.logger.Log("part", "store", "msg", "records are gone; reading all keys", "topic", f.topic, "from", from)
			from = -1
			continue
		}
		_ = f.logger.Log("part", "store", "msg", "read failed", "topic", f.topic, "from", from, "err", err)
		f.state(false)
		f.conns.CloseIdleConnections()
		retry.Wait(ctx)
	}
}

func (f *follower) read(ctx context.Context, from int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+f.wait)
	defer cancel()
	if from < 0 {
		records, next, err := f.store.ReadNewest(ctx, f.topic)
		if err == nil {
			f.take(records, true)
		}
		return next, err
	}
	records, next, err := f.store.Read(ctx, f.topic, from, f.wait)
	if err == nil && len(records) > 0 {
		f.take(records, false)
	}
	return next, err
}

// workersPeriod is the time until the next read of the workers' entries.
func (h *Host) workersPeriod() time.Duration {
	if h.loop.commanding.Load() {
		return workersPause
	}
	return idleWorkersPause
}

func every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// takeConfig hands the operator's configuration to the loop.
func (h *Host) takeConfig(records []platform.Record, _ bool) {
	for _, r := range records {
		if r.Key == platform.KeyConfig && len(r.Value) > 0 {
			h.loop.send(host.ConfigRead{Record: r.Value})
		}
	}
}

// takeWorkers hands the entries of workers to the loop.
func (h *Host) takeWorkers(records []platform.Record, snapshot bool) {
	ev := host.WorkersRead{Snapshot: snapshot}
	for _, r := range records {
		if r.Key == "" {
			_ = h.logger.Log("part", "store", "msg", "record without a key ignored", "topic", platform.TopicWorkers, "offset", r.Offset)
			continue
		}
		ev.Records = append(ev.Records, host.WorkerRecord{ID: r.Key, Record: r.Value, Offset: r.Offset})
	}
	h.loop.send(ev)
}

// takeHosts hands the addresses of entry hosts to the loop.
func (h *Host) takeHosts(records []platform.Record, _ bool) {
	var ev host.HostsKnown
	for _, r := range records {
		known, err := platform.DecodeHost(r.Value)
		if err != nil {
			_ = h.logger.Log("part", "store", "msg", "entry of a host ignored", "key", r.Key, "err", err)
			continue
		}
		ev.Hosts = append(ev.Hosts, &meshpb.Host{Name: known.Name, Zone: known.Zone, Addr: known.Addr, Id: known.ID, Weight: known.Weight})
		ev.MaxFence = max(ev.MaxFence, known.Fence)
	}
	h.loop.send(ev)
}

// announce writes this host's entry until the store has taken it, at first and for each
// fencing token. A repeated entry changes nothing.
func (h *Host) announce(ctx context.Context) {
	entry := platform.HostRecord{Name: h.settings.Host, Zone: h.settings.Zone, Addr: h.settings.Listen.peers(), ID: h.id, Weight: h.settings.weight()}
	for {
		h.writeEntry(ctx, entry)
		select {
		case fence := <-h.fences:
			entry.Fence = max(entry.Fence, fence)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) writeEntry(ctx context.Context, entry platform.HostRecord) {
	retry := pause.NewBackoff(retryMin, retryMax)
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := h.store.Append(call, platform.TopicHosts, entry.Name, entry.Encode())
		cancel()
		if err == nil {
			_ = h.logger.Log("part", "store", "msg", "host announced", "addr", entry.Addr, "fence", entry.Fence)
			return
		}
		_ = h.logger.Log("part", "store", "msg", "announcing the host failed", "err", err)
		if !retry.Wait(ctx) {
			return
		}
	}
}
