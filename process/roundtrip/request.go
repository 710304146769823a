package roundtrip

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is a request to send. The header is not changed, so that it can be
// that of a request being served.
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
	// exchange ended before the whole body was sent.
	InterruptBody func()
	// BeforeSend is called once, when a connection is open and nothing has
	// been sent, with the time at which the connection was opened. When it
	// returns false the exchange ends with ErrNotSent.
	BeforeSend func(opened time.Time) bool

	// IsResponse, if set, reports whether an answer is to this request. One that
	// is not is discarded and the next one is awaited.
	IsResponse func(http.Header) bool

	allowed bool // BeforeSend has returned true
}

// ErrNotSent reports that BeforeSend did not allow the request.
var ErrNotSent = errors.New("request withheld before its first byte")

func (r *Request) allow(opened time.Time) bool {
	if r.BeforeSend != nil && !r.allowed {
		r.allowed = r.BeforeSend(opened)
		return r.allowed
	}
	return true
}

// message returns the request as net/http writes it.
func (r *Request) message(body io.Reader) *http.Request {
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
	if plain, err := url.PathUnescape(path); err == nil {
		u.Path = plain
	}
	return u
}

// source reads the streamed part of a body and notes why it ended.
type source struct {
	io.Reader
	want   int64 // bytes still expected, negative when unknown
	failed bool  // the body could not be read, or ended early
}

func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if s.want >= 0 {
		s.want = max(s.want-int64(n), 0)
	}
	if err != nil && (!errors.Is(err, io.EOF) || s.want > 0) {
		s.failed = true
	}
	return n, err
}
