package platformsim

import (
	"sync"

	"sesameledge.dev/sesameledge/logapi"
)

// logStore holds the streams of the log service.
type logStore struct {
	mu        sync.Mutex
	retention int // records kept of each stream
	streams   map[string]*stream
}

type stream struct {
	first   uint64 // offset of records[0]
	records []logapi.Record
	grown   chan struct{} // closed at the next append
}

func newLogStore(retention int) *logStore {
	return &logStore{retention: retention, streams: make(map[string]*stream)}
}

func (l *logStore) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// append stores a record and returns its offset.
func (l *logStore) append(name, appendID string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, logapi.Record{Offset: offset, AppendID: appendID, Data: data})
	s.truncate(l.retention)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// read returns up to limit records from the offset on, whether the offset is still
// kept, and a channel that is closed at the next append.
func (l *logStore) read(name string, from uint64, limit int) (logapi.ReadReply, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	reply := logapi.ReadReply{First: s.first, Next: s.next(), Records: []logapi.Record{}}
	if from < s.first {
		return reply, false, s.grown
	}
	if from < reply.Next {
		tail := s.records[from-s.first:]
		reply.Records = append(reply.Records, tail[:min(limit, len(tail))]...)
	}
	return reply, true, s.grown
}

// setRetention changes the number of records kept and truncates every stream to it.
func (l *logStore) setRetention(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = records
	for _, s := range l.streams {
		s.truncate(records)
	}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) truncate(retention int) {
	excess := len(s.records) - retention
	if excess <= 0 {
		return
	}
	clear(s.records[:excess]) // releases the data while the array is still shared
	s.records = s.records[excess:]
	s.first += uint64(excess)
}
