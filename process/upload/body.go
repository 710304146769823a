package upload

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Body is the body of a request that is being served. One goroutine may read it while
// another writes the response.
type Body struct {
	response  http.ResponseWriter
	source    io.Reader
	forwarded bool // Forward was called
	started   atomic.Bool
	whole     atomic.Bool
}

// New returns the body of the request whose response is w. It reads from source.
func New(w http.ResponseWriter, source io.Reader) *Body { return &Body{response: w, source: source} }

// Forward prepares for reads that go on when the response begins. The handler calls it
// before the first read, and Finish before it returns. A body that is not forwarded is left
// to net/http, which may keep the connection.
func (b *Body) Forward() error {
	b.forwarded = true
	return http.NewResponseController(b.response).EnableFullDuplex()
}

// ResponseWriter returns the writer for the response to the request. A response whose head is
// written before the whole body was read says that the connection ends with it, as Finish may
// have to close the connection: a client that kept it would lose its next request.
func (b *Body) ResponseWriter() http.ResponseWriter { return &responseWriter{b.response, b} }

type responseWriter struct {
	http.ResponseWriter
	body *Body
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) WriteHeader(status int) {
	if w.body.forwarded && !w.body.whole.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (b *Body) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole.Store(true)
	}
	return n, err
}

// Started reports whether a part was read, so that the body cannot be sent again.
func (b *Body) Started() bool { return b.started.Load() }

// Interrupt makes a blocked read fail, and all later ones.
func (b *Body) Interrupt() {
	_ = http.NewResponseController(b.response).SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// Finish ends the forwarding. It reports false when it began and a part of the body was
// not read. The connection is then closed after the response, as net/http would take the
// rest for the next request when the last read has failed.
func (b *Body) Finish() bool {
	if !b.forwarded || b.whole.Load() {
		return true
	}
	closeAfterResponse(b.response)
	b.Interrupt() // net/http would read on before it closes the connection
	return false
}

// closeAfterResponse makes net/http close the connection once the response is sent, and
// leaves the client time to read it. The header may be sent already. net/http offers this
// only for bodies that are too large.
func closeAfterResponse(w http.ResponseWriter) {
	tooLarge := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = tooLarge.Read(make([]byte, 1)) // fails by design
}
