package roundtrip_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
)

func get(uri string) *roundtrip.Request {
	return &roundtrip.Request{Method: "GET", URI: uri, Host: "h"}
}

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

// Guards against wrong framing of bodies of known and unknown length, and
// against connections that are not kept.
func TestExchanges(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.Header().Set("X-Extra", r.Header.Get("X-Extra")+r.Header.Get("X-Skip"))
		_, _ = w.Write(body)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	c := roundtrip.New(roundtrip.Options{})
	defer c.Close()
	large := strings.Repeat("0123456789", 30000)
	for _, length := range []int64{-1, int64(len(large))} {
		for _, prefix := range []int{0, 10, len(large)} {
			req := &roundtrip.Request{Method: "POST", URI: "/x", Host: "h", Prefix: []byte(large[:prefix]),
				Header: http.Header{"X-Skip": {"no"}}, Skip: func(name string) bool { return name == "X-Skip" },
				Fields: []roundtrip.Field{{Name: "X-Extra", Value: "yes"}}, Length: length}
			if prefix < len(large) {
				req.Body = strings.NewReader(large[prefix:])
			}
			resp, err := c.Do(context.Background(), address(s), req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != large || resp.Header.Get("X-Extra") != "yes" {
				t.Fatalf("length %d prefix %d: %d bytes, %v", length, prefix, len(body), err)
			}
			_ = resp.Body.Close()
		}
	}
	if conns.Load() != 1 {
		t.Errorf("got %d connections, want 1", conns.Load())
	}
}

// Guards against a request that is sent a second time when a kept connection
// breaks after the request was received.
func TestNeverResendsAfterSending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var received atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					received.Add(1)
					if i == 1 {
						return // breaks the kept connection without an answer
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	c := roundtrip.New(roundtrip.Options{})
	defer c.Close()
	for i := range 2 {
		resp, err := c.Do(context.Background(), l.Addr().String(), get("/"))
		if i == 0 {
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			continue
		}
		var failed *roundtrip.Error
		if !errors.As(err, &failed) || failed.Stage != roundtrip.StageRead || !failed.Reused {
			t.Fatalf("got %v, want a failed read on a kept connection", err)
		}
	}
	if received.Load() != 2 {
		t.Errorf("server received %d requests, want 2", received.Load())
	}
}

// Guards against an answer that is taken for the answer to a later request:
// bytes on an idle connection belong to no request.
func TestUnrequestedAnswerIsDiscarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-For: " + req.URL.Path + "\r\n\r\nok"
					_, _ = io.WriteString(conn, answer+answer)
				}
			}()
		}
	}()
	c := roundtrip.New(roundtrip.Options{})
	defer c.Close()
	for _, path := range []string{"/a", "/b", "/c"} {
		resp, err := c.Do(context.Background(), l.Addr().String(), get(path))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.Header.Get("X-For") != path {
			t.Errorf("got the answer to %s for %s", resp.Header.Get("X-For"), path)
		}
		time.Sleep(10 * time.Millisecond) // the doubled answer arrives
	}
}

// Guards against an exchange that outlives its deadline, and against an
// unbounded header.
func TestLimits(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hang" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Large", strings.Repeat("x", 100<<10))
	}))
	defer s.Close()
	c := roundtrip.New(roundtrip.Options{HeaderBytes: 8 << 10})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.Do(ctx, address(s), get("/hang")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the deadline", err)
	}
	if _, err := c.Do(context.Background(), address(s), get("/large")); err == nil || !strings.Contains(err.Error(), "too large") {
		t.Errorf("got %v, want the header bound", err)
	}
	if _, err := c.Do(context.Background(), "127.0.0.1:1", get("/")); !roundtrip.NothingSent(err) {
		t.Errorf("got %v, want proof that nothing was sent", err)
	}
}

// Guards against an exchange that waits for the sender of a body whose source
// is silent.
func TestEarlyAnswerDuringUpload(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	defer s.Close()
	c := roundtrip.New(roundtrip.Options{})
	defer c.Close()
	source, feed := io.Pipe()
	defer func() { _ = feed.Close() }()
	resp, err := c.Do(context.Background(), address(s), &roundtrip.Request{Method: "POST", URI: "/", Host: "h",
		Prefix: []byte("begin"), Body: source, Length: 1 << 20, InterruptBody: func() { _ = source.Close() }})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %s", resp.Status)
	}
}
