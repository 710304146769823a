package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a client that leaves unnoticed, as it has sent more behind its request, and
// against passing on the requests behind it.
func TestClientThatSentMoreLeavesNoticed(t *testing.T) {
	const request = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
	behind := map[string]string{
		"nothing": "", "an empty line": "\r\n", "a request": request, "part of a head": "GET /fir", "many": strings.Repeat(request, 1000),
		"an upload": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" + strings.Repeat("x", 30_000),
	}
	ends := map[string]func(*net.TCPConn) error{
		"close": (*net.TCPConn).Close, "one direction": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	}
	for behindName, more := range behind {
		for endName, end := range ends {
			t.Run(behindName+"/"+endName, func(t *testing.T) {
				t.Parallel()
				begun, release, ended := make(chan bool, 2000), make(chan struct{}), make(chan struct{}, 2000)
				handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					begun <- r.Context().Err() == nil
					<-release
					<-r.Context().Done()
					ended <- struct{}{}
				})
				service := startLimitedService(t, 4, time.Minute, handler)
				conn := dialService(t, service.listener.Addr().String()).(*net.TCPConn)
				_, _ = io.WriteString(conn, request)
				<-begun
				if _, err := io.WriteString(conn, more); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond) // the rest arrives before the client leaves
				if len(ended) > 0 {
					t.Error("the client counts as gone while its connection is open")
				}
				if err := end(conn); err != nil {
					t.Fatal(err)
				}
				close(release)
				select {
				case <-ended:
				case <-time.After(3 * time.Second):
					t.Fatal("the request still runs 3s after its client has left")
				}
				awaitMemory(t, service.listener.memory, "the connection is closed", func(s memoryMetric) bool { return s.Connections == 0 })
				for len(begun) > 0 {
					if <-begun {
						t.Error("a request began after its client had left")
					}
				}
			})
		}
	}
}

// Guards against a client that leaves unnoticed while a request runs which was read together
// with the one before it, when more has arrived behind.
func TestClientLeavesNoticedDuringRequestThatWasReadAhead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, together := range []int{2, 3} {
		for _, behind := range []string{"", "\r\n", "G", request} {
			t.Run(fmt.Sprintf("%d requests, %q behind", together, behind), func(t *testing.T) {
				t.Parallel()
				begun, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{}, together)
				requests := 0
				service := startLimitedService(t, 4, time.Minute, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					requests++
					begun <- struct{}{}
					if requests < together {
						<-release
						return
					}
					<-r.Context().Done()
					ended <- struct{}{}
				}))
				conn := dialService(t, service.listener.Addr().String()).(*net.TCPConn)
				_, _ = io.WriteString(conn, strings.Repeat(request, together))
				<-begun
				_, _ = io.WriteString(conn, behind)
				time.Sleep(20 * time.Millisecond) // it arrives while the first request runs
				for range together - 1 {
					release <- struct{}{}
					<-begun
				}
				if err := conn.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				select {
				case <-ended:
				case <-time.After(3 * time.Second):
					_ = conn.Close()
					t.Fatal("the request still runs 3s after its client has left")
				}
			})
		}
	}
}
