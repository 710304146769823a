package main

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store, as far as the nodes use it: appends, reads
// and the newest records of topics with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{} // closed at the next append
}

const (
	appendTime     = 4 * time.Millisecond // appendMs
	keyedPrefix    = "keyed."
	operatorTopic  = "keyed.op" // the system may not write to it
	operatorKey    = "config"
	maxStoreWait   = 30 * time.Second
	maxStoreCall   = 2 << 20 // callBytes
	recordLenBytes = 4
)

func newStore() *store { return &store{topics: map[string][][]byte{}, changed: make(chan struct{})} }

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return mux
}

func (s *store) append(topic string, records ...[]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

// publish writes a configuration as the operator does. It returns the time of the
// acknowledgement.
func (s *store) publish(document any) time.Time {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err) // documents have only fields that always marshal
	}
	time.Sleep(appendTime)
	s.append(operatorTopic, append(append([]byte{byte(len(operatorKey))}, operatorKey...), value...))
	return time.Now()
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == operatorTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreCall))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(body) >= recordLenBytes {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-recordLenBytes {
			break
		}
		records, body = append(records, body[recordLenBytes:recordLenBytes+n]), body[recordLenBytes+n:]
	}
	if len(body) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(appendTime)
	offset, end := s.append(topic, records...)
	writeJSON(w, map[string]int{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	waitMS, errWait := strconv.Atoi(cmp.Or(q.Get("waitMs"), "0"))
	if err != nil || errWait != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	records := s.read(r.Context(), q.Get("topic"), from, min(time.Duration(waitMS)*time.Millisecond, maxStoreWait))
	data := binary.BigEndian.AppendUint64(nil, uint64(from+len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range records {
		data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
	}
	time.Sleep(appendTime)
	_, _ = w.Write(data) // fails only if the node is gone
}

// read waits for a record from the offset on and returns all there are.
func (s *store) read(ctx context.Context, topic string, from int, limit time.Duration) [][]byte {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) {
			return records[from:]
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			return nil
		case <-changed:
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	if strings.HasPrefix(topic, keyedPrefix) {
		for i, record := range records {
			n := int(record[0])
			newest[string(record[1:1+n])] = item{string(record[1 : 1+n]), record[1+n:], i}
		}
	}
	items := []item{}
	for _, it := range newest {
		if len(it.Value) > 0 {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	time.Sleep(appendTime)
	writeJSON(w, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller is gone
}
