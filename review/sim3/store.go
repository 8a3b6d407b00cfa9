package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic.
type record struct {
	key   string
	value []byte
	raw   []byte // length of the key, key and value
}

// store is a stand-in of the platform's metadata store. It serves partition 0 of keyed topics, keeps every record
// and answers at once.
type store struct {
	mu     sync.Mutex
	topics map[string][]record
	wake   chan struct{} // closed and replaced at each append
	addr   string
}

// startStore serves a store on a free port of the loopback address.
func startStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string][]record), wake: make(chan struct{}), addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("/log-append", s.serveAppend)
	mux.HandleFunc("/log-read", s.serveRead)
	mux.HandleFunc("/log-newest", s.serveNewest)
	go http.Serve(l, mux)
	return s, nil
}

// put appends a record as the operator and the minions do.
func (s *store) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.append(topic, [][]byte{raw})
}

func (s *store) append(topic string, raws [][]byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	for _, raw := range raws {
		n := 1 + int(raw[0])
		s.topics[topic] = append(s.topics[topic], record{key: string(raw[1:n]), value: raw[n:], raw: raw})
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return first
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var raws [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		raws = append(raws, body[4:4+n])
		body = body[4+n:]
	}
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first := s.append(topic, raws)
	fmt.Fprintf(w, `{"offset":%d,"endOffset":%d}`, first, first+len(raws))
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, wake := s.topics[topic], s.wake
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-wake:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, records []record, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[min(from, len(records)):] {
		if len(out) > 900_000 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec.raw)))
		out = append(out, rec.raw...)
	}
	w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	records := s.topics[q.Get("topic")]
	s.mu.Unlock()
	newest := make(map[string]int)
	for i, rec := range records {
		newest[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for i, rec := range records {
		if newest[rec.key] == i && len(rec.value) > 0 {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i})
		}
	}
	json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": len(records)})
}
