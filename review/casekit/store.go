package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: topics with one partition each, and the
// newest record of each key of a keyed topic.
type store struct {
	stage   *stage
	address string
	server  *http.Server

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{} // closed at the next append
}

func newStore(s *stage) (*store, error) {
	listener, err := net.Listen("tcp", s.network+".2:0")
	if err != nil {
		return nil, err
	}
	st := &store{stage: s, address: listener.Addr().String(), topics: map[string][][]byte{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", st.append)
	mux.HandleFunc("GET /log-read", st.read)
	mux.HandleFunc("GET /log-newest", st.newest)
	st.server = &http.Server{Handler: mux}
	go func() { _ = st.server.Serve(listener) }()
	return st, nil
}

func (st *store) close() { _ = st.server.Close() }

func (st *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		http.Error(w, "only the operator writes here", http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			http.Error(w, "malformed records", http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[4:n]), body[n:]
	}
	time.Sleep(4 * time.Millisecond)
	offset, end := st.add(topic, records...)
	writeJSON(w, map[string]int{"offset": offset, "end": end})
}

func (st *store) add(topic string, records ...[]byte) (offset, end int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	offset = len(st.topics[topic])
	st.topics[topic] = append(st.topics[topic], records...)
	close(st.changed)
	st.changed = make(chan struct{})
	return offset, len(st.topics[topic])
}

func (st *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	due := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		records, changed := st.topics[q.Get("topic")], st.changed
		st.mu.Unlock()
		if from < len(records) || wait == 0 {
			st.writePage(w, from, records)
			return
		}
		select {
		case <-changed:
		case <-due:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (st *store) writePage(w http.ResponseWriter, from int, records [][]byte) {
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for i := from; i < len(records); i++ {
		page = binary.BigEndian.AppendUint32(page, uint32(len(records[i])))
		page = append(page, records[i]...)
	}
	time.Sleep(4 * time.Millisecond)
	_, _ = w.Write(page)
}

type tableItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (st *store) newest(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	records := st.topics[r.URL.Query().Get("topic")]
	st.mu.Unlock()
	byKey := map[string]tableItem{}
	for i, record := range records {
		if len(record) == 0 || int(record[0]) >= len(record) {
			continue
		}
		key := string(record[1 : 1+record[0]])
		byKey[key] = tableItem{key, record[1+record[0]:], i}
	}
	items := []tableItem{}
	for key, item := range byKey {
		if len(item.Value) > 0 && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return strings.Compare(items[i].Key, items[j].Key) < 0 })
	time.Sleep(4 * time.Millisecond)
	writeJSON(w, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

// publish writes a configuration as the operator does.
func (st *store) publish(config any) {
	value, err := json.Marshal(config)
	if err != nil {
		st.stage.fail("configuration: %v", err)
	}
	const key = "config"
	record := append([]byte{byte(len(key))}, key...)
	st.add("keyed.op", append(record, value...))
	st.stage.note("op/config is acknowledged: %s", value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller is gone
}
