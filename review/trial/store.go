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

// store is a sound stand-in of the platform's store: keyed topics with one partition. It keeps every
// record.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{} // closed and replaced with each append
}

type storeRecord struct {
	key   string
	value []byte
}

// storeAnswerTime is the time that the store takes to answer.
const storeAnswerTime = 4 * time.Millisecond

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), changed: make(chan struct{})}
}

// put appends a record to a keyed topic and returns its offset.
func (s *store) put(topic, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return int64(len(s.topics[topic]) - 1)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.handleAppend(w, r, topic)
	case "/log-read":
		s.handleRead(w, r, topic)
	case "/log-newest":
		s.handleNewest(w, topic)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	first := int64(-1)
	next := int64(0)
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+size]
		body = body[4+size:]
		keyEnd := 1 + int(data[0])
		offset := s.put(topic, string(data[1:keyEnd]), append([]byte(nil), data[keyEnd:]...))
		if first < 0 {
			first = offset
		}
		next = offset + 1
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "endOffset": next})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topics[topic]
		changed := s.changed
		s.mu.Unlock()
		if int64(len(records)) <= from && waitMillis > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < int64(len(records)); i++ {
			rec := records[i]
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
			out = append(out, byte(len(rec.key)))
			out = append(out, rec.key...)
			out = append(out, rec.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) handleNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	newest := make(map[string]item)
	for i, rec := range s.topics[topic] {
		newest[rec.key] = item{rec.key, base64.StdEncoding.EncodeToString(rec.value), int64(i)}
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		if it.Value != "" {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
