package roundtrip

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startEndlessServer returns the address of a server that responds to each connection
// with start and then with repeated, until the client closes the connection. It sends the
// number of bytes that it wrote on the returned channel.
func startEndlessServer(t *testing.T, start, repeated string) (string, <-chan int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan int64, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4<<10))
				n, err := io.WriteString(conn, start)
				total := int64(n)
				chunk := strings.Repeat(repeated, max(1, 4096/len(repeated)))
				for err == nil {
					n, err = io.WriteString(conn, chunk)
					total += int64(n)
				}
				sent <- total
			}()
		}
	}()
	return listener.Addr().String(), sent
}

// Guards against a client that reads bytes without end, which are no response or belong
// to another request, until the deadline of its request, or keeps them in memory.
func TestBytesWithoutEndFailTheExchange(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: %\r\n\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"no line":             {"", "x"},
		"lines":               {"", "no response\r\n"},
		"status line":         {"HTTP/1.1 200 ", "x"},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"header value":        {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
		"early hints":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"zero bytes":          {"", "\x00"},
		"body of another":     {strings.Replace(chunked, "%", "2", 1), "5\r\nhello\r\n"},
		"chunk size":          {strings.Replace(chunked, "%", "1", 1), "1"},
		"chunk extension":     {strings.Replace(chunked, "%", "1", 1) + "5;", "x"},
		"trailers":            {strings.Replace(chunked, "%", "1", 1) + "0\r\n", "X-A: b\r\n"},
		"responses to others": {"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 2\r\n\r\nhi"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := startEndlessServer(t, c.start, c.repeated)
			client := New(Options{})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			resp, err := client.Do(ctx, address, &Request{Method: http.MethodGet, URI: "/", Host: "shop",
				IsResponse: func(h http.Header) bool { return h.Get("X-Id") != "2" }})
			if err == nil { // the header is complete
				_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
				_ = resp.Body.Close()
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
			select {
			case n := <-sent:
				if n > 16<<20 { // buffers of the sockets included
					t.Errorf("the server sent %d bytes", n)
				}
			case <-time.After(30 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

// Guards against a response without an end that keeps its connection open, or puts it
// back for the next request, after its reader has stopped.
func TestClosedBodyWithoutEndClosesConnection(t *testing.T) {
	address, sent := startEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "hello")
	client := New(Options{})
	defer client.Close()
	resp, err := client.Do(t.Context(), address, &Request{Method: http.MethodGet, URI: "/", Host: "shop"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, resp.Body, 1<<16); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	select {
	case <-sent:
	case <-time.After(30 * time.Second):
		t.Error("the connection stays open")
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if idle := len(client.idle[address]); idle > 0 {
		t.Errorf("%d idle connections", idle)
	}
}
