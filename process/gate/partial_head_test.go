package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a response whose head ends early and that is taken for a whole one.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n\r\n", // the body ends with the connection
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Id: a\nX-Signature: s\n\n",
		"HTTP/1.1 204 No Content\r\nX-Id: a\r\nX-Signature: s\r\n\r\n",
	}
	profile := signingProfile
	profile.CloseDelimited = true
	var text string
	f := newConnFixture(t, profile, func(conn net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, text) // fails only if the gate is gone
		}
		_ = conn.Close()
	})
	for _, head := range heads {
		end := strings.TrimRight(head, "\r\n")
		for length := range len(head) {
			text = head[:length]
			r := f.send(attemptID("a"+strings.Repeat("x", length)), "/", 2*time.Second)
			if r.verdict == string(attempt.VerdictRan) {
				t.Errorf("%q (of a head of %d bytes without its last line ends) is taken for a response with status %d and body %q", text, len(end), r.status, r.body)
			}
		}
	}
}
