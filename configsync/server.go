package configsync

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/pace"
)

const (
	// maxEarlierRecords is the number of configurations that are passed on beside the one in force, as far as all of
	// them together do not exceed earlierRecordBytes.
	maxEarlierRecords  = 8
	earlierRecordBytes = 4 << 20
)

// Request asks for the part of a record that begins at an offset.
type Request struct {
	Version int64
	Offset  int64 // in bytes
}

// Reply is the answer to a request.
type Reply struct {
	To   uint64 // process ID of the host that asked
	Part Part
}

// Server answers the requests of other hosts with the configuration in force. Create it with NewServer.
type Server struct {
	link    pace.Link
	records []servedRecord   // newest first: the configuration in force and earlier ones that hosts may be fetching
	waiting []waitingRequest // in the order of their arrival, one for each host
	encoder encoder
}

// servedRecord is the record of a configuration, with the parts that were asked for.
type servedRecord struct {
	version int64
	record  []byte
	parts   map[int64]Part // by offset
	cached  int            // compressed bytes of parts
}

type waitingRequest struct {
	from uint64
	Request
}

// NewServer returns a server on a host whose link has a capacity in bytes a second; 0 means not known.
func NewServer(linkBytesPerSecond float64) *Server {
	return &Server{link: pace.NewLink(linkBytesPerSecond, pace.ConfigShare)}
}

// SetRecord replaces the configuration that is passed on.
func (s *Server) SetRecord(version int64, record []byte) {
	s.records = slices.Insert(s.records, 0, servedRecord{version: version, record: record, parts: make(map[int64]Part)})
	size := len(record)
	for i, earlier := range s.records[1:] {
		if size += len(earlier.record); size > earlierRecordBytes || i >= maxEarlierRecords {
			s.records = slices.Delete(s.records, i+1, len(s.records))
			return
		}
	}
}

// Add adds a request of a host, in place of an earlier one.
func (s *Server) Add(from uint64, r Request) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingRequest) bool { return w.from == from })
	s.waiting = append(s.waiting, waitingRequest{from: from, Request: r})
}

// Waiting returns the number of requests without an answer.
func (s *Server) Waiting() int { return len(s.waiting) }

// Replies returns the answers that the link has room for now.
func (s *Server) Replies(now time.Duration) []Reply {
	var replies []Reply
	for len(s.waiting) > 0 && s.link.Ready(now) {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		part := s.part(w.Request)
		s.link.Reserve(now, len(part.Data))
		replies = append(replies, Reply{To: w.from, Part: part})
	}
	return replies
}

// part returns the answer to a request.
func (s *Server) part(r Request) Part {
	for i := range s.records {
		served := &s.records[i]
		if r.Version == served.version && r.Offset >= 0 && r.Offset < int64(len(served.record)) {
			return served.part(&s.encoder, r.Offset)
		}
	}
	return Part{Version: r.Version, Offset: r.Offset}
}

func (s *servedRecord) part(e *encoder, offset int64) Part {
	if part, ok := s.parts[offset]; ok {
		return part
	}
	part := e.encode(s.version, s.record, offset)
	if s.cached+len(part.Data) > len(s.record)+partBytes {
		clear(s.parts) // hosts ask for other offsets than those where parts end
		s.cached = 0
	}
	s.parts[offset] = part
	s.cached += len(part.Data)
	return part
}
