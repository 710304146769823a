package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a response to a probe that breaks off and is taken for the health of its
// target.
func TestBrokenResponseToProbeIsNoHealth(t *testing.T) {
	for _, c := range []struct {
		response string
		reset    bool
		healthy  bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", false, true},
		{"HTTP/1.1 200 OK\r\n\r\nfine", false, true},
		{"HTTP/1.1 204 No Content\r\n\r\n", false, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi", false, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n", false, false},
		{"HTTP/1.1 200 OK\r\n\r\nfi", true, false},
		{"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfine", false, false},
		{"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nfine", false, false},
	} {
		f := newConnFixture(t, attempt.DefaultHTTPProfile, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, c.response) // fails only if the gate is gone
			}
			if c.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
		target := f.gate.targets["t1"]
		result := f.gate.cachedProbe(target, target.Address, "/health")
		if healthy := result.Status != 0; healthy != c.healthy {
			t.Errorf("%q, reset %t: got %+v from the probe", c.response, c.reset, result)
		}
		f.gate.readHealthEndpoint(t.Context(), target, &url.URL{Host: target.Address, Path: "/health"})
		if target.unhealthy == c.healthy {
			t.Errorf("%q, reset %t: its health endpoint makes the target unhealthy: %t", c.response, c.reset, target.unhealthy)
		}
	}
}

// Guards against a target that is held unhealthy since it ended a kept connection when the
// next read of its health arrived.
func TestEndOfKeptConnectionIsNoHealth(t *testing.T) {
	for _, reset := range []bool{false, true} {
		f := newConnFixture(t, attempt.DefaultHTTPProfile, func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine") // fails only if the gate is gone
			}
			_, _ = http.ReadRequest(reader) // the next one gets no response
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
		target := f.gate.targets["t1"]
		for number := range 4 {
			f.gate.readHealthEndpoint(t.Context(), target, &url.URL{Host: target.Address, Path: "/health"})
			if target.unhealthy {
				t.Errorf("reset %t: read %d makes the target unhealthy", reset, number)
			}
		}
	}
}
