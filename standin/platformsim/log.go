package platformsim

import (
	"sync"

	"sesameledge.dev/sesameledge/logapi"
)

// logStore holds the streams of the log service in memory. It is safe for concurrent use.
type logStore struct {
	mu        sync.Mutex
	retention int // maximum number of records kept in each stream
	streams   map[string]*stream
}

// stream is one append-only stream, of which the oldest records may be truncated.
type stream struct {
	first    uint64 // offset of records[0]
	records  []logapi.Record
	appended chan struct{} // closed at the next append
}

func newLogStore(retention int) *logStore {
	return &logStore{retention: retention, streams: make(map[string]*stream)}
}

// stream returns the stream with the given name and creates it if necessary. The caller holds mu.
func (l *logStore) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// append adds a record to a stream, truncates the stream to the retention and returns the record's
// offset.
func (l *logStore) append(name, appendID string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, logapi.Record{Offset: offset, AppendID: appendID, Data: data})
	s.truncate(l.retention)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// read returns up to limit records starting at offset from, whether that offset has not been
// truncated, and a channel that is closed at the next append.
func (l *logStore) read(name string, from uint64, limit int) (logapi.ReadReply, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	reply := logapi.ReadReply{First: s.first, Next: s.next(), Records: []logapi.Record{}}
	if from < s.first {
		return reply, false, s.appended
	}
	if from < reply.Next {
		tail := s.records[from-s.first:]
		reply.Records = append(reply.Records, tail[:min(limit, len(tail))]...)
	}
	return reply, true, s.appended
}

// setRetention changes the maximum number of records kept and truncates every stream to it.
func (l *logStore) setRetention(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = records
	for _, s := range l.streams {
		s.truncate(records)
	}
}

// next returns the offset of the next appended record.
func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// truncate drops the oldest records beyond the retention, a number of records.
func (s *stream) truncate(retention int) {
	excess := len(s.records) - retention
	if excess <= 0 {
		return
	}
	clear(s.records[:excess]) // lets the data be freed while records still uses the same array
	s.records = s.records[excess:]
	s.first += uint64(excess)
}
