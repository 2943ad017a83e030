//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: a log with partition 0 of each topic. It answers the calls
// that boragehub makes, loses nothing and is never slow.
type store struct {
	mu       sync.Mutex
	topics   map[string][]storeRecord
	appended chan struct{} // closed by the next append
}

type storeRecord struct {
	raw        []byte // as it was appended, without its length
	key, value []byte // in keyed topics
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), appended: make(chan struct{})}
}

// put appends a record to a keyed topic; without a value it drops the key.
func (s *store) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	s.append(topic, [][]byte{append(raw, value...)})
}

func (s *store) putJSON(topic, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}

	s.put(topic, key, b)
}

func (s *store) append(topic string, records [][]byte) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	offset = len(s.topics[topic])

	for _, raw := range records {
		r := storeRecord{raw: raw}
		if isKeyed(topic) {
			n := 1 + int(raw[0])
			r.key, r.value = raw[1:n], raw[n:]
		}

		s.topics[topic] = append(s.topics[topic], r)
	}

	close(s.appended)
	s.appended = make(chan struct{})

	return offset
}

func isKeyed(topic string) bool { return strings.HasPrefix(topic, "keyed.") }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)

	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)

		return
	}

	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	var records [][]byte

	for len(b) > 0 {
		if len(b) < 4 || int(binary.BigEndian.Uint32(b)) > len(b)-4 {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		end := 4 + int(binary.BigEndian.Uint32(b))
		if isKeyed(topic) && (end < 5 || 5+int(b[4]) > end) {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		records = append(records, b[4:end])
		b = b[end:]
	}

	offset := s.append(topic, records)
	writeJSON(w, map[string]any{"offset": offset, "end": offset + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)

	for waiting := wait > 0; ; {
		s.mu.Lock()
		all, appended := s.topics[q.Get("topic")], s.appended
		s.mu.Unlock()

		if from < len(all) || !waiting {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			b = binary.BigEndian.AppendUint64(b, 0)

			for _, x := range all[min(from, len(all)):] {
				b = binary.BigEndian.AppendUint32(b, uint32(len(x.raw)))
				b = append(b, x.raw...)
			}

			_, _ = w.Write(b)

			return
		}

		select {
		case <-appended:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500

	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}

	q := r.URL.Query()
	newest := make(map[string]item)

	s.mu.Lock()
	all := s.topics[q.Get("topic")]

	for i, x := range all {
		newest[string(x.key)] = item{string(x.key), x.value, i}
	}
	s.mu.Unlock()

	items := []item{}

	for _, x := range newest {
		if len(x.Value) > 0 && x.Key > q.Get("after") {
			items = append(items, x)
		}
	}

	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })

	more := len(items) > pageSize
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": more, "end": len(all)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
