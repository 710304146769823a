package roundtrip

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is a request to send. Header is not changed, so it can be the header of
// a request that is being served.
type Request struct {
	Method string
	URI    string // as in the request line
	Host   string
	Header http.Header
	// Skip reports whether a field of Header is left out. Content-Length and
	// Transfer-Encoding are always left out.
	Skip   func(name string) bool
	Fields []Field // sent in addition to Header
	// Prefix is sent first, then Body unless it is nil.
	Prefix []byte
	Body   io.Reader
	// Length of prefix and body in bytes; -1 when unknown.
	Length int64
	// InterruptBody makes a blocked read of Body return. It is called when the
	// exchange ends before the whole body was sent.
	InterruptBody func()
	// BeforeSend is called when a connection is open and nothing has been sent,
	// with the time at which the connection was opened. It is not called again
	// after it has returned true. When it returns false the exchange ends with
	// ErrNotSent.
	BeforeSend func(connectedAt time.Time) bool

	// NewConnection makes the exchange open a connection, so that no late response to an
	// earlier request is read.
	NewConnection bool

	// IsResponse, if set, reports whether a response belongs to this request. One
	// that does not is discarded and the next one is read.
	IsResponse func(http.Header) bool

	sendAllowed bool // BeforeSend has returned true
}

// ErrNotSent reports that BeforeSend did not allow the request.
var ErrNotSent = errors.New("request withheld before its first byte")

func (r *Request) checkBeforeSend(connectedAt time.Time) bool {
	if r.BeforeSend != nil && !r.sendAllowed {
		r.sendAllowed = r.BeforeSend(connectedAt)
		return r.sendAllowed
	}
	return true
}

// httpRequest returns the request for net/http to write, with the given body.
func (r *Request) httpRequest(body io.Reader) *http.Request {
	m := &http.Request{
		Method: r.Method, URL: requestURL(r.URI), Host: r.Host, Header: r.header(),
		ContentLength: r.Length, Body: http.NoBody,
	}
	if r.Length != 0 {
		m.Body = io.NopCloser(body)
	}
	return m
}

func (r *Request) header() http.Header {
	h := make(http.Header, len(r.Header)+len(r.Fields)+1)
	for name, values := range r.Header {
		if r.Skip == nil || !r.Skip(name) {
			h[name] = values
		}
	}
	for _, f := range r.Fields {
		h[f.Name] = append(slices.Clip(h[f.Name]), f.Value)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // net/http would add its own
	}
	return h
}

// requestURL returns a URL that net/http writes as uri in the request line.
func requestURL(uri string) *url.URL {
	if !strings.HasPrefix(uri, "//") {
		return &url.URL{Opaque: uri}
	}
	// An opaque part of this form would be written with a scheme.
	path, query, _ := strings.Cut(uri, "?")
	u := &url.URL{Path: path, RawPath: path, RawQuery: query}
	if unescaped, err := url.PathUnescape(path); err == nil {
		u.Path = unescaped
	}
	return u
}

// bodySource reads the streamed part of a body and records whether that failed.
type bodySource struct {
	io.Reader
	bytesRead atomic.Int64
	remaining int64 // bytes still expected, negative when unknown
	failed    bool  // the body could not be read, or ended early
}

func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.bytesRead.Add(int64(n))
	if s.remaining >= 0 {
		s.remaining = max(s.remaining-int64(n), 0)
	}
	if err != nil && (!errors.Is(err, io.EOF) || s.remaining > 0) {
		s.failed = true
	}
	return n, err
}
