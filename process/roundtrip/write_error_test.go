package roundtrip

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a reset that is taken for the end of a response because the write that got
// its error has not returned when that end is read.
func TestEndOfResponseAwaitsWriteInProgress(t *testing.T) {
	for _, c := range []struct {
		err      error // of the write
		complete bool
	}{{nil, true}, {syscall.EPIPE, true}, {syscall.ECONNRESET, false}, {syscall.ETIMEDOUT, false}} {
		address, _ := startEndlessServer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x")
		client := New(Options{})
		defer client.Close()
		resp, err := client.Do(t.Context(), address, &Request{Method: http.MethodGet, URI: "/", Host: "shop"})
		if err != nil {
			t.Fatal(err)
		}
		body := resp.Body.(*responseBody)
		body.original = io.NopCloser(strings.NewReader("")) // the end of the connection
		body.cn.writeMu.Lock()
		time.AfterFunc(20*time.Millisecond, func() {
			body.cn.writeError = c.err
			body.cn.writeMu.Unlock()
		})
		_, err = resp.Body.Read(make([]byte, 1))
		if complete := err == io.EOF; complete != c.complete || (!complete && !errors.Is(err, c.err)) {
			t.Errorf("with the write error %v, the end of the response is read as %v", c.err, err)
		}
		_ = resp.Body.Close()
	}
}
