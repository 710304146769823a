package logservice

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

const (
	maxAppendBytes = 2 << 20 // the platform's limit callBytes
	maxFaultsBytes = 4 << 10
	maxWait        = 30 * time.Second
	tablePrefix    = "keyed."
)

// Handler returns a handler of the store's HTTP protocol and of the control
// interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	mux.HandleFunc("POST /log-trim", s.serveTrim)
	mux.HandleFunc("GET /v1/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, s.Faults()) })
	mux.HandleFunc("PUT /v1/faults", s.serveSetFaults)
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, s.Counts()) })
	mux.HandleFunc("POST /v1/checkpoint", func(w http.ResponseWriter, _ *http.Request) { s.Checkpoint(); writeJSON(w, 200, struct{}{}) })
	mux.HandleFunc("POST /v1/restore", func(w http.ResponseWriter, _ *http.Request) { s.Restore(); writeJSON(w, 200, struct{}{}) })
	return s.withEra(mux)
}

type errorResponse struct {
	Error string `json:"error"`
	First int64  `json:"first"` // first kept offset, with status 410
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err == nil && (len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4) {
		err = errors.New("body: want one record, preceded by its length")
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
		return
	}
	var offset int64
	if table, ok := strings.CutPrefix(topic, tablePrefix); ok {
		offset, err = s.putRecord(r, table, body[4:])
	} else {
		offset, err = s.Append(r.Context(), topic, body[4:])
	}
	if err != nil {
		writeError(w, err, eventlog.Page{})
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset - 1, "end": offset})
}

// putRecord splits an appended record of a table into key and value and stores them.
func (s *Service) putRecord(r *http.Request, table string, record []byte) (int64, error) {
	if len(record) == 0 || int(record[0]) > len(record)-1 {
		return 0, fmt.Errorf("%w: record without a key", eventlog.ErrInvalid)
	}
	return s.put(r.Context(), table, string(record[1:1+record[0]]), record[1+record[0]:])
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	maxKB, errMaxKB := strconv.Atoi(cmp.Or(query.Get("maxKb"), "1024"))
	waitMS, errWait := strconv.ParseInt(cmp.Or(query.Get("waitMs"), "0"), 10, 64)
	if err := errors.Join(errFrom, errMaxKB, errWait); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	page, err := s.readWait(r.Context(), query.Get("topic"), from+1, wait)
	if err != nil {
		writeError(w, err, page)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.Next-1))
	body = binary.BigEndian.AppendUint64(body, uint64(page.First-1))
	for i, record := range page.Records {
		if i > 0 && len(body)+len(record.Data) > maxKB<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record.Data)))
		body = append(body, record.Data...)
	}
	_, _ = w.Write(body) // fails only if the client is gone
}

func (s *Service) serveNewest(w http.ResponseWriter, r *http.Request) {
	table, _ := strings.CutPrefix(r.URL.Query().Get("topic"), tablePrefix)
	entries, next, err := s.Newest(r.Context(), table)
	if err != nil {
		writeError(w, err, eventlog.Page{})
		return
	}
	type item struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	items := []item{}
	for _, e := range entries {
		items = append(items, item{Key: e.Key, Value: e.Value})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "end": next.Offset})
}

func (s *Service) serveTrim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: "before: " + err.Error()})
		return
	}
	s.Trim(r.URL.Query().Get("topic"), before+1)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: "body: " + err.Error()})
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

// writeError writes an error with its status. Every error of an unavailable service
// gets 503, so that the status does not show whether an append took effect.
func writeError(w http.ResponseWriter, err error, page eventlog.Page) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, eventlog.ErrTrimmed), errors.Is(err, eventlog.ErrRestored):
		status = http.StatusGone
	case errors.Is(err, eventlog.ErrInvalid):
		status = http.StatusBadRequest
	}
	writeJSON(w, status, errorResponse{Error: err.Error(), First: page.First - 1})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client is gone
}
