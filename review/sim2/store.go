package main

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

const (
	// storeDelay is how long the store takes for an answer (the sheet's 4 ms).
	storeDelay = 4 * time.Millisecond
	// newestPage is the number of keys in a page of the newest records.
	newestPage = 500
)

// store is the platform's metadata store with keyed topics of one partition.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records []storeRecord
	newest  map[string]storeRecord
	changed chan struct{} // closed and replaced with each append
}

type storeRecord struct {
	key    string
	value  []byte
	offset int64
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// topic returns a topic and creates it on first use. The caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]storeRecord), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record, as the operator, a minion or a daemon does. An empty value removes the key.
func (s *store) put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	r := storeRecord{key: key, value: value, offset: int64(len(t.records))}
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

func (s *store) putJSON(name, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(name, key, text)
}

// ServeHTTP serves the calls that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r, body)
	case "GET /log-read":
		s.serveRead(w, r)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first, end := int64(-1), int64(0)
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n || n < 1+int(body[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := int(body[4])
		offset := s.put(name, string(body[5:5+k]), append([]byte(nil), body[5+k:4+n]...))
		if first < 0 {
			first = offset
		}
		end = offset + 1
		body = body[4+n:]
	}
	answerJSON(w, http.StatusOK, map[string]int64{"offset": first, "endOffset": end})
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("dependsOn")
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > newestPage
	if more {
		keys = keys[:newestPage]
	}
	items := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		n := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // absent: no wait
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		if from < int64(len(t.records)) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[min(from, int64(len(t.records))):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
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

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
