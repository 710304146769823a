package roundtrip_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
)

// closing is how a server of these tests ends a connection after it has responded to a
// request whose body it has not read.
type closing struct {
	reset bool // else the response ends first
	delay time.Duration
}

// startClosingServer starts a server that reads the head of each request, responds with
// response and closes the connection. It sends on the returned channel when that is done.
func startClosingServer(t *testing.T, response string, how closing) (string, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{}, 100)
	return serveConns(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response) // fails only if the client is gone
		time.Sleep(how.delay)
		tcp := conn.(*net.TCPConn)
		if how.reset {
			_ = tcp.SetLinger(0)
		} else {
			_ = tcp.CloseWrite()
		}
		_ = conn.Close()
		closed <- struct{}{}
	}), closed
}

// gatedBody is a request body whose parts after the first wait until its server has closed
// the connection.
type gatedBody struct {
	parts, reads int
	closed       <-chan struct{}
	ended        atomic.Bool
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if b.reads++; b.reads > b.parts {
		b.ended.Store(true)
		return 0, io.EOF
	}
	if b.reads == 2 {
		<-b.closed
		time.Sleep(10 * time.Millisecond) // until the reset has arrived
	}
	return len(p), nil
}

// Guards against a response that is reset during the upload and taken for complete, since a
// write got the error of the connection, and against a response that ended in order before
// the connection was reset and is taken for a broken one.
func TestEndOfResponseDuringUpload(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for _, size := range []int{0, 1, 2000, 20_000} {
			for _, c := range []struct {
				how   closing
				parts int
			}{{closing{reset: true}, 2}, {closing{reset: true}, 100}, {closing{}, 2}, {closing{}, 100}} {
				t.Run(fmt.Sprintf("HTTP/%s/size=%d/reset=%t/parts=%d", version, size, c.how.reset, c.parts), func(t *testing.T) {
					t.Parallel()
					address, closed := startClosingServer(t, "HTTP/"+version+" 200 OK\r\n\r\n"+strings.Repeat("x", size), c.how)
					client := roundtrip.New(roundtrip.Options{})
					defer client.Close()
					body := &gatedBody{parts: c.parts, closed: closed}
					resp, err := client.Do(t.Context(), address, &roundtrip.Request{Method: "POST", URI: "/", Host: "h", Body: body, Length: -1})
					if err != nil && c.how.reset {
						return // the reset came before the header was read
					}
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(50 * time.Millisecond) // until a write has failed
					data, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if complete := err == nil; complete == c.how.reset || (complete && len(data) != size) {
						t.Errorf("got %d of %d bytes, error %v", len(data), size, err)
					}
				})
			}
		}
	}
}

// Guards against a response that is reset during the upload and taken for complete when the
// error of the write is known a moment after the end of the response was read.
func TestResetAtAnyMomentOfUpload(t *testing.T) {
	const tries = 20
	for _, size := range []int{0, 2000, 100_000, 900_000} {
		for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond} {
			address, _ := startClosingServer(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size), closing{reset: true, delay: delay})
			client := roundtrip.New(roundtrip.Options{})
			defer client.Close()
			complete := 0
			for range tries {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				resp, err := client.Do(ctx, address, &roundtrip.Request{Method: "POST", URI: "/", Host: "h", Body: strings.NewReader(strings.Repeat("x", 6<<20)), Length: -1})
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				if err == nil {
					complete++
				}
				cancel()
			}
			if complete > 0 {
				t.Errorf("size %d, reset after %s: %d of %d responses are taken for complete", size, delay, complete, tries)
			}
		}
	}
}
