// Package fleetsim stands in for the users' platform: its metadata store and its workers,
// spoken to by the published protocol. It injects the faults that the platform may show.
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

// Store is the platform's metadata store with keyed topics of one partition. It is an
// http.Handler.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	down   bool
	lose   bool // appends are done and not answered
	silent bool // calls are not answered
	spells int  // times of silence so far
}

// topic is a keyed topic.
type topic struct {
	records []record // from offset first on
	first   int64
	newest  map[string]record
	changed chan struct{} // closed with each append
}

type record struct {
	key    string
	value  []byte
	offset int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: make(map[string]*topic)} }

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetSilent makes the store leave calls unanswered, also those that are open, or answer new ones
// again.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent && !s.silent {
		s.spells++
	}
	s.silent = silent
}

// hushed reports whether the store is silent, or has been since a spell was counted.
func (s *Store) hushed(spells int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || s.spells != spells
}

// LoseAnswers makes the store do appends without answering them, or answer again.
func (s *Store) LoseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Forget drops the history of a topic; the newest record of each key is kept.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Put appends a record as the operator or a worker does. An empty value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, key, value)
}

// PutJSON appends a record with a JSON value.
func (s *Store) PutJSON(name, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the caller passed a type that has no JSON form
	}
	s.Put(name, key, text)
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]record), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name, key string, value []byte) int64 {
	t := s.topic(name)
	r := record{key: key, value: value, offset: t.first + int64(len(t.records))}
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

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The whole body is read: only then does the context end with the connection.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	down, spells := s.down, s.spells
	s.mu.Unlock()
	if s.hushed(spells) {
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
		s.serveRead(w, r, spells)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	if len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := 5 + int(body[4])
	s.mu.Lock()
	offset := s.append(r.URL.Query().Get("topic"), string(body[5:end]), body[end:])
	lose := s.lose
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": offset, "endOffset": offset + 1})
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	after := r.URL.Query().Get("dependsOn")
	more := false
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(t.newest[key].value), Offset: t.newest[key].offset})
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "endOffset": t.first + int64(len(t.records))})
}

// pageItems is the number of keys in a page. It is small, so that tests see several.
const pageItems = 3

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, spells int) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // absent: no wait
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.hushed(spells) {
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end := t.first + int64(len(t.records))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"startOffset": first})
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

func encodeRecords(t *topic, from int64) []byte {
	var out []byte
	out = binary.BigEndian.AppendUint64(out, uint64(t.first+int64(len(t.records))))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for i := max(0, from-t.first); i < int64(len(t.records)); i++ {
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
	_ = json.NewEncoder(w).Encode(v) // the caller is gone
}
