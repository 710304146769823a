package logservice

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// eraHeader is the header field of every response that states the service's era.
const eraHeader = "Store-Era"

// image is a copy of all streams and tables at one moment.
type image struct {
	streams map[string]*stream
	tables  map[string]map[string][]byte
}

// copyOf returns a copy that further appends and trims do not change.
func copyOf(from image) image {
	to := image{streams: map[string]*stream{}, tables: map[string]map[string][]byte{}}
	for name, st := range from.streams {
		to.streams[name] = &stream{first: st.first, records: slices.Clone(st.records)}
	}
	for name, values := range from.tables {
		to.tables[name] = maps.Clone(values) // values are replaced, never changed
	}
	return to
}

// Checkpoint copies all streams and tables for a later Restore.
func (s *Service) Checkpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkpoint = copyOf(s.image)
}

// Restore brings all streams and tables back as they were at the last Checkpoint, or
// empty without one. What was written since is lost and its offsets are given out
// again. The era rises by one.
func (s *Service) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.image = copyOf(s.checkpoint)
	s.era++
}

// Era implements eventlog.Store: the number of times that the service was restored.
func (s *Service) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// withEra adds the era to all responses of the store's protocol. A request during which the service was
// restored gets status 503, since its data may be of either era.
func (s *Service) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") { // the control interface, which restores the service itself
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&eraWriter{ResponseWriter: w, service: s, era: s.Era()}, r)
	})
}

// eraWriter writes the response of a request that began in the given era.
type eraWriter struct {
	http.ResponseWriter
	service     *Service
	era         int64
	wroteHeader bool
	restored    bool // the service was restored since; the body is dropped
}

func (w *eraWriter) WriteHeader(status int) {
	w.wroteHeader = true
	era := w.service.Era()
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
	if w.restored = era != w.era; w.restored {
		status = http.StatusServiceUnavailable
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if w.restored {
		return len(data), nil
	}
	return w.ResponseWriter.Write(data)
}
