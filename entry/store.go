package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/platform"
)

const (
	// storeTimeout is how long the store may send nothing before a call to it fails, not counting the long poll
	// that the call asks for. A slow store takes about 300 ms to answer. A large answer on a narrow link takes longer
	// than that as a whole.
	storeTimeout = 700 * time.Millisecond
	// maxReadTime limits a read of the store that goes on receiving. The largest answer on a link of 3 Mbit/s
	// takes less.
	maxReadTime = 30 * time.Second
	// configLongPoll is how long the store may delay the answer to a read of the configuration
	// that finds no new record. It is short because a read that is open when the store stops
	// responding is never answered, and a change has to be in force within 2 s.
	configLongPoll = 800 * time.Millisecond
	// workersReadInterval is the pause between two reads of the worker records. A host has to learn
	// that a worker leaves well before the worker's notice period ends.
	workersReadInterval = 600 * time.Millisecond
	// unwantedReadCheck is the time between two checks whether a topic has to be read again.
	unwantedReadCheck = 50 * time.Millisecond
	// hostsReadInterval is the pause between two reads of the host records.
	hostsReadInterval = 5 * time.Second
	// retryMin and retryMax are the shortest and the longest pause before a failed call is
	// repeated, without jitter.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// topicReader reads the records of one topic of the store and hands them to a handler.
type topicReader struct {
	store          *platform.StoreClient
	storeTransport *storeTransport
	topic          string
	options        platform.ReadOptions
	interval       time.Duration // pause between two reads
	logger         log.Logger
	// wake ends the pause between two reads; nil: nothing does.
	wake <-chan struct{}
	// wanted reports whether the topic has to be read now; nil: always.
	wanted func() bool
	// handle processes records. A snapshot holds the newest record of every key. All records before the
	// offset end have been read.
	handle func(records []platform.Record, snapshot bool, end int64)
	// handlesNone makes it process reads that find no record, too.
	handlesNone bool
	// reportRead is told after each read whether it succeeded.
	reportRead func(succeeded bool)
}

// run reads the topic until ctx ends: first the newest record of each key, then the records
// after those. It starts over with the newest records if the store no longer keeps the next one.
func (f *topicReader) run(ctx context.Context) {
	retry := pause.NewBackoff(retryMin, retryMax)
	from := int64(-1)
	for ctx.Err() == nil {
		if f.wanted != nil && !f.wanted() {
			f.reportRead(true) // only the reads of other topics tell whether the store answers
			f.waitUntilWanted(ctx)
			from = -1
			continue
		}
		next, err := f.read(ctx, from)
		if err == nil {
			from = next
			retry.Reset()
			f.reportRead(true)
			f.pause(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrTrimmed) {
			_ = f.logger.Log("part", "store", "msg", "next record is no longer kept; reading the newest record of each key", "topic", f.topic, "from", from)
			from = -1
			continue
		}
		_ = f.logger.Log("part", "store", "msg", "read failed", "topic", f.topic, "from", from, "records", max(0, next-from), "err", err)
		if from >= 0 && next > from {
			from = next // what came before the answer broke off
		}
		f.reportRead(false)
		f.storeTransport.CloseIdleConnections()
		retry.Wait(ctx)
	}
}

// pause waits for the interval between two reads, until it is woken or until ctx ends.
func (f *topicReader) pause(ctx context.Context) {
	timer := time.NewTimer(f.interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

// waitUntilWanted waits until the topic has to be read or ctx ends.
func (f *topicReader) waitUntilWanted(ctx context.Context) {
	for ctx.Err() == nil && !f.wanted() {
		pause.For(ctx, unwantedReadCheck)
	}
}

// read reads once, from an offset on or the newest record of each key if from is negative. It
// returns the offset of the next read. Records that came before an error are handled, too.
func (f *topicReader) read(ctx context.Context, from int64) (next int64, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			next, err = from, errors.Newf("reading failed: %v", cause)
		}
	}()
	ctx, cancel := withProgress(ctx, storeTimeout+f.options.Wait, storeTimeout)
	defer cancel()
	ctx, cancelRead := context.WithTimeout(ctx, maxReadTime)
	defer cancelRead()
	if from < 0 {
		records, next, err := f.store.ReadNewest(ctx, f.topic)
		if err == nil {
			f.handle(records, true, next)
		}
		return next, progressError(ctx, err)
	}
	records, next, err := f.store.Read(ctx, f.topic, from, f.options)
	if len(records) > 0 || f.handlesNone && err == nil {
		f.handle(records, false, next)
	}
	return next, progressError(ctx, err)
}

// handleOperatorRecords sends the operator's configuration and requests to evacuate zones to the event
// loop.
func (h *Host) handleOperatorRecords(records []platform.Record, snapshot bool, end int64) {
	evacuations := host.EvacuationsRead{Snapshot: snapshot, End: end}
	var config []byte // the newest one takes the place of the others
	for _, r := range records {
		if r.Key == platform.KeyConfig && len(r.Value) > 0 {
			config = r.Value
		}
		if e, ok := platform.DecodeEvacuation(r); ok {
			evacuations.Evacuations = append(evacuations.Evacuations, e)
		}
	}
	h.loop.send(evacuations)
	if config != nil {
		h.loop.send(h.decodeConfig(config, ""))
	}
}

// handleWorkerRecords sends worker records to the event loop. It ignores records whose key cannot be the
// ID of a worker.
func (h *Host) handleWorkerRecords(records []platform.Record, snapshot bool, _ int64) {
	ev := host.WorkersRead{Snapshot: snapshot}
	for _, r := range records {
		if err := platform.CheckKey(r.Key); err != nil {
			_ = h.logger.Log("part", "store", "msg", "record ignored", "topic", platform.TopicWorkers, "offset", r.Offset, "err", err)
			continue
		}
		ev.Records = append(ev.Records, host.WorkerRecord{ID: r.Key, Record: r.Value, Offset: r.Offset})
	}
	h.loop.send(ev)
}

// handleHostRecords sends the addresses of entry hosts and their highest fencing token to the
// event loop. It ignores records that cannot be decoded.
func (h *Host) handleHostRecords(records []platform.Record, snapshot bool, _ int64) {
	ev := host.HostsDiscovered{FromStore: snapshot, Records: make(map[string]host.HostRecord)}
	for _, r := range records {
		known, err := platform.DecodeHost(r.Value)
		if err != nil {
			_ = h.logger.Log("part", "store", "msg", "host record ignored", "offset", r.Offset, "err", err)
			continue
		}
		ev.Hosts = append(ev.Hosts, &meshpb.Host{Name: known.Name, Zone: known.Zone, Addr: known.Addr, Id: known.ID, Weight: known.Weight})
		listed := host.HostRecord{Offset: r.Offset, SignsWhenIsolated: known.SignsWhenIsolated}
		if host.PlausibleFence(known.Fence) {
			ev.MaxFence = max(ev.MaxFence, known.Fence)
			listed.Commanded = known.Fence > 0
		}
		ev.Records[known.Addr] = listed
	}
	h.loop.send(ev)
}

// announceHost writes this host's record to the store when the host starts and again for each
// fencing token and each sign of life, until ctx ends. Each write is retried until it succeeds; a record that is
// written twice changes nothing.
func (h *Host) announceHost(ctx context.Context) {
	record := platform.HostRecord{Name: h.settings.Host, Zone: h.settings.Zone, Addr: h.settings.Listen.peerAddress(), ID: h.id, Weight: h.settings.weight(), SignsWhenIsolated: true}
	for {
		h.writeHostRecord(ctx, record)
		select {
		case <-h.recordDue:
			record.Fence = h.highestFence.Load()
		case <-ctx.Done():
			return
		}
	}
}

// writeHostRecord writes this host's record, and retries until that succeeds or ctx ends.
func (h *Host) writeHostRecord(ctx context.Context, record platform.HostRecord) {
	retry := pause.NewBackoff(retryMin, retryMax)
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := h.store.Append(callCtx, platform.TopicHosts, record.Name, record.Encode())
		cancel()
		if err == nil {
			_ = h.logger.Log("part", "store", "msg", "host record written", "addr", record.Addr, "fence", record.Fence)
			return
		}
		_ = h.logger.Log("part", "store", "msg", "writing the host record failed", "err", err)
		if !retry.Wait(ctx) {
			return
		}
	}
}
