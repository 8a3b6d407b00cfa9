// Package fleetsim simulates the users' platform for tests of entry hosts: its metadata store and its
// workers. Both are served over the published protocol and can show the faults that the platform may
// show. The entry hosts themselves and the checks are left to the tests and programs that use it.
package fleetsim

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is the platform's metadata store with keyed topics of one partition. It is an http.Handler and
// safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	topics       map[string]*topic
	down         bool
	loseAnswers  bool // appends take effect but are not answered
	silent       bool // calls are not answered
	silenceCount int  // number of silent periods so far
}

// topic is a keyed topic.
type topic struct {
	records     []record // the history, in order of offsets
	firstOffset int64    // offset of the first record in records
	newest      map[string]record
	changed     chan struct{} // closed and replaced with each append
}

type record struct {
	key    string
	value  []byte // empty if the record removes the key
	offset int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: make(map[string]*topic)} }

// SetDown makes the store refuse all calls with status 503, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetSilent makes the store leave all calls unanswered, including those in progress, or answer new calls
// again. Reads that wait when a silent period begins, and calls during it, are never answered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent && !s.silent {
		s.silenceCount++
	}
	s.silent = silent
}

// wasSilentSince reports whether the store is silent or has been silent since silenceCount had the given
// value.
func (s *Store) wasSilentSince(silenceCount int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || s.silenceCount != silenceCount
}

// SetLoseAnswers makes the store close the connection after an append instead of answering, or answer
// again.
func (s *Store) SetLoseAnswers(loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = loseAnswers
}

// DropHistory drops the history of a topic and keeps the newest record of each key.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset += int64(len(t.records))
	t.records = nil
}

// Put appends a record, as the operator or a worker does. An empty value removes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, key, value)
}

// PutJSON appends a record with a JSON value. It panics if the value cannot be encoded.
func (s *Store) PutJSON(name, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the test passed a value that JSON cannot represent
	}
	s.Put(name, key, text)
}

// topic returns a topic and creates it if needed. The caller holds mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]record), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// append appends a record and returns its offset. The caller holds mu.
func (s *Store) append(name, key string, value []byte) int64 {
	t := s.topic(name)
	r := record{key: key, value: value, offset: t.firstOffset + int64(len(t.records))}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return r.offset
}

// ServeHTTP serves the protocol of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server cancels the context on disconnect only after the whole body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	down, silenceCount := s.down, s.silenceCount
	s.mu.Unlock()
	if s.wasSilentSince(silenceCount) {
		<-r.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r, body)
	case "GET /log-read":
		s.serveRead(w, r, silenceCount)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// serveAppend appends the record in a body: four bytes that it ignores, the length of the key in one
// byte, the key and the value.
func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	if len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := 5 + int(body[4])
	s.mu.Lock()
	offset := s.append(r.URL.Query().Get("topic"), string(body[5:end]), body[end:])
	loseAnswers := s.loseAnswers
	s.mu.Unlock()
	if loseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": offset, "endOffset": offset + 1})
}

// serveNewest returns a page of the newest records of a topic, in order of keys.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	type newestItem struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []newestItem{}
	after := r.URL.Query().Get("dependsOn")
	more := false
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, newestItem{
			Key: key, Value: base64.StdEncoding.EncodeToString(t.newest[key].value), Offset: t.newest[key].offset,
		})
	}
	writeJSON(w, map[string]any{
		"items": items, "hasMore": more, "endOffset": t.firstOffset + int64(len(t.records)),
	})
}

// pageSize is the number of keys in a page. It is small, so that tests cover several pages.
const pageSize = 3

// serveRead returns the records from an offset on. If there are none, it waits for the next append, up to
// the time in the query. It answers with status 410 if the history no longer contains the offset.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, silenceCount int) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // 0, no wait, if it is absent
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.wasSilentSince(silenceCount) {
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end := t.firstOffset + int64(len(t.records))
		if from < t.firstOffset {
			firstOffset := t.firstOffset
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"startOffset": firstOffset})
			return
		}
		if from < end || wait == 0 {
			body := encodeRecords(t, from)
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the end offset, the first offset, and the records from an offset on, each with
// its length.
func encodeRecords(t *topic, from int64) []byte {
	var out []byte
	out = binary.BigEndian.AppendUint64(out, uint64(t.firstOffset+int64(len(t.records))))
	out = binary.BigEndian.AppendUint64(out, uint64(t.firstOffset))
	for i := max(0, from-t.firstOffset); i < int64(len(t.records)); i++ {
		r := t.records[i]
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
