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

func newGet(uri string) *roundtrip.Request {
	return &roundtrip.Request{Method: "GET", URI: uri, Host: "h"}
}

func address(server *httptest.Server) string { return server.Listener.Addr().String() }

// Guards against wrong framing of bodies of known and unknown length, against
// wrong header fields, and against connections that are not reused.
func TestRequestAndResponseBodies(t *testing.T) {
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.Header().Set("X-Extra", r.Header.Get("X-Extra")+r.Header.Get("X-Skip"))
		_, _ = w.Write(body)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := roundtrip.New(roundtrip.Options{})
	defer client.Close()
	large := strings.Repeat("0123456789", 30000)
	for _, length := range []int64{-1, int64(len(large))} {
		for _, prefix := range []int{0, 10, len(large)} {
			req := &roundtrip.Request{Method: "POST", URI: "/x", Host: "h", Prefix: []byte(large[:prefix]),
				Header: http.Header{"X-Skip": {"no"}}, Skip: func(name string) bool { return name == "X-Skip" },
				Fields: []roundtrip.Field{{Name: "X-Extra", Value: "yes"}}, Length: length}
			if prefix < len(large) {
				req.Body = strings.NewReader(large[prefix:])
			}
			resp, err := client.Do(context.Background(), address(server), req)
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

// Guards against a request that is sent a second time when a reused connection
// breaks after the request was received.
func TestRequestIsSentOnlyOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var received atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
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
						return // closes the reused connection without a response
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	client := roundtrip.New(roundtrip.Options{})
	defer client.Close()
	for i := range 2 {
		resp, err := client.Do(context.Background(), listener.Addr().String(), newGet("/"))
		if i == 0 {
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			continue
		}
		var exchangeErr *roundtrip.Error
		if !errors.As(err, &exchangeErr) || exchangeErr.Stage != roundtrip.StageRead || !exchangeErr.Reused {
			t.Fatalf("got %v, want a failed read on a reused connection", err)
		}
	}
	if received.Load() != 2 {
		t.Errorf("server received %d requests, want 2", received.Load())
	}
}

// Guards against bytes that arrive on an idle connection, such as a duplicate
// response, and are returned as the response to the next request.
func TestUnrequestedResponseIsDiscarded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
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
					response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-For: " + req.URL.Path + "\r\n\r\nok"
					_, _ = io.WriteString(conn, response+response)
				}
			}()
		}
	}()
	client := roundtrip.New(roundtrip.Options{})
	defer client.Close()
	for _, path := range []string{"/a", "/b", "/c"} {
		resp, err := client.Do(context.Background(), listener.Addr().String(), newGet(path))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.Header.Get("X-For") != path {
			t.Errorf("got the response to %s for %s", resp.Header.Get("X-For"), path)
		}
		time.Sleep(10 * time.Millisecond) // until the duplicate response has arrived
	}
}

// Guards against an exchange that exceeds its deadline, against a response header
// of unbounded size, and against a failed dial that is not reported as such.
func TestDeadlineAndHeaderLimit(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hang" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Large", strings.Repeat("x", 100<<10))
	}))
	defer server.Close()
	client := roundtrip.New(roundtrip.Options{HeaderBytes: 8 << 10})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, address(server), newGet("/hang")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the deadline", err)
	}
	if _, err := client.Do(context.Background(), address(server), newGet("/large")); err == nil || !strings.Contains(err.Error(), "too large") {
		t.Errorf("got %v, want the header bound", err)
	}
	if _, err := client.Do(context.Background(), "127.0.0.1:1", newGet("/")); !roundtrip.NothingSent(err) {
		t.Errorf("got %v, want proof that nothing was sent", err)
	}
}

// Guards against an exchange that ends only when a blocked source delivers the
// rest of the body, although the response has arrived.
func TestResponseDuringUpload(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	defer server.Close()
	client := roundtrip.New(roundtrip.Options{})
	defer client.Close()
	source, sourceWriter := io.Pipe()
	defer func() { _ = sourceWriter.Close() }()
	resp, err := client.Do(context.Background(), address(server), &roundtrip.Request{Method: "POST", URI: "/", Host: "h",
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
