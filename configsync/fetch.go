package configsync

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// storeDelay is how long the store has to bring a configuration of which a host has heard, before the
	// host asks others.
	storeDelay = 400 * time.Millisecond
	// partTimeout is how long a host waits for a part before it asks another host for it.
	partTimeout = 500 * time.Millisecond
	// refusedDelay is how long a host is not asked again that has not answered, or not with what was asked for.
	refusedDelay = time.Second
	// slowAnswer is the time of an answer from which on hosts of other availability zones are asked, too.
	slowAnswer = 50 * time.Millisecond
	// useTimeout is how long a complete record has to come into force before it is asked for again.
	useTimeout = 2 * time.Second
)

// Source is a host that may be asked for its configuration. Sources are listed in a fixed order.
type Source struct {
	ID      uint64 // of its process
	Version int64  // that it has in force
	Near    bool   // it is in the availability zone of this host
	Weight  int64  // its processors, in thousandths of a core
}

// Fetch is the state of a host that may need a configuration from others. The zero value is ready to use.
type Fetch struct {
	version     int64         // newest one that the host has heard of and lacks; 0: none
	heardAt     time.Duration // when it heard of it
	record      []byte        // received so far
	size        int64         // of the whole record; 0: not known yet
	asked       uint64        // host that was asked for the next part; 0: none
	askedAt     time.Duration
	notAsked    map[uint64]time.Duration // hosts that are not asked, and until when
	answerTimes map[uint64]time.Duration // of the last answers of the hosts that were asked
	doneUntil   time.Duration            // a record is complete; nothing is asked for until then
}

// Active reports whether parts of a record are being fetched.
func (f *Fetch) Active() bool { return f.asked != 0 }

// Next returns the next request and the host to ask, if one is due. inForce is the version that this host has, and
// storeFirst whether the store has time to bring a newer one. random returns random numbers.
func (f *Fetch) Next(now time.Duration, inForce int64, storeFirst bool, sources []Source, random func() uint64) (to uint64, r Request, due bool) {
	f.updateVersion(now, inForce, sources)
	if f.version == 0 || now < f.doneUntil || storeFirst && now-f.heardAt < storeDelay {
		return 0, Request{}, false
	}
	if f.asked != 0 {
		if now-f.askedAt < partTimeout {
			return 0, Request{}, false
		}
		f.avoid(now, f.asked)
		f.asked = 0
	}
	source, ok := f.choose(now, sources, random)
	if !ok {
		return 0, Request{}, false
	}
	f.asked, f.askedAt = source, now
	return source, Request{Version: f.version, Offset: int64(len(f.record))}, true
}

// updateVersion turns to the newest version that another host has in force. Once parts of a version have come, the
// rest of it is fetched first, so that changes in quick succession do not keep the host from getting any.
func (f *Fetch) updateVersion(now time.Duration, inForce int64, sources []Source) {
	newest := int64(0)
	for _, s := range sources {
		newest = max(newest, s.Version)
	}
	if newest <= inForce {
		*f = Fetch{answerTimes: f.answerTimes}
		return
	}
	if f.version == 0 {
		f.heardAt = now
	}
	if newest != f.version && (f.version <= inForce || len(f.record) == 0) {
		*f = Fetch{version: newest, heardAt: f.heardAt, answerTimes: f.answerTimes} // the host has been behind since heardAt
	}
}

// recordAnswer records how long a host took to answer.
func (f *Fetch) recordAnswer(id uint64, took time.Duration) {
	if f.answerTimes == nil {
		f.answerTimes = make(map[uint64]time.Duration)
	}
	f.answerTimes[id] = took
}

// avoid keeps a host from being asked for a while.
func (f *Fetch) avoid(now time.Duration, id uint64) {
	if f.notAsked == nil {
		f.notAsked = make(map[uint64]time.Duration)
	}
	f.notAsked[id] = now + refusedDelay
}

// choose returns a host that has the version: one of the own availability zone, unless there is none or those that
// were drawn are slow.
func (f *Fetch) choose(now time.Duration, sources []Source, random func() uint64) (uint64, bool) {
	var near, far []Source
	for _, s := range sources {
		switch {
		case s.Version < f.version || now < f.notAsked[s.ID]:
		case s.Near:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	source, found := f.fasterOfTwo(near, random)
	if found && f.answerTimes[source] <= slowAnswer {
		return source, true
	}
	other, otherFound := f.fasterOfTwo(far, random)
	if !found || otherFound && f.answerTimes[other] < f.answerTimes[source] {
		return other, otherFound
	}
	return source, true
}

// fasterOfTwo draws two of the large hosts and returns the one that has answered faster. A host that was not asked
// before counts as fast. The choice of one of two spreads the load without a view of what other hosts do.
func (f *Fetch) fasterOfTwo(sources []Source, random func() uint64) (uint64, bool) {
	large := largeSources(sources)
	if len(large) == 0 {
		return 0, false
	}
	n := uint64(len(large))
	a, b := large[random()%n].ID, large[random()%n].ID
	if f.answerTimes[b] < f.answerTimes[a] {
		return b, true
	}
	return a, true
}

// largeSources returns the hosts with at least half of the processors of the largest one. Small ones would spend a
// good part of theirs on compressing.
func largeSources(sources []Source) []Source {
	largest := int64(0)
	for _, s := range sources {
		largest = max(largest, s.Weight)
	}
	return slices.DeleteFunc(slices.Clone(sources), func(s Source) bool { return 2*s.Weight < largest })
}

// Receive takes a part that a host has sent, and returns the whole record once it is complete. Nothing is asked for
// then until the version is in force, or useTimeout has passed. Parts that were not
// asked for are ignored. The error says why a part cannot be used; its sender is then not asked for a while.
func (f *Fetch) Receive(now time.Duration, from uint64, p Part) (record []byte, err error) {
	if f.version == 0 || p.Version != f.version || p.Offset != int64(len(f.record)) {
		return nil, nil
	}
	if f.asked == from {
		f.asked = 0
		f.recordAnswer(from, now-f.askedAt)
	}
	if p.Size == 0 {
		f.record, f.size = nil, 0 // a newer version has replaced it there
		f.avoid(now, from)
		return nil, nil
	}
	if err := f.add(p); err != nil {
		f.avoid(now, from)
		return nil, err
	}
	if int64(len(f.record)) < f.size {
		return nil, nil
	}
	record = f.record
	f.record, f.size, f.asked = nil, 0, 0
	f.doneUntil = now + useTimeout
	return record, nil
}

// add appends a part.
func (f *Fetch) add(p Part) error {
	switch {
	case p.Size < 0 || p.Size > MaxRecordBytes:
		return errors.Newf("the record has %d bytes, at most %d are passed on", p.Size, MaxRecordBytes)
	case f.size != 0 && p.Size != f.size:
		return errors.Newf("the record has %d bytes, and %d on another host", p.Size, f.size)
	}
	data, err := p.decode()
	if err != nil {
		return err
	}
	if int64(len(f.record)+len(data)) > p.Size {
		return errors.Newf("the part ends %d bytes after the record", int64(len(f.record)+len(data))-p.Size)
	}
	f.size = p.Size
	f.record = append(f.record, data...)
	return nil
}
