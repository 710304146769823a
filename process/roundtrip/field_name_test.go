package roundtrip_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
)

// Guards against a response with a malformed field name that is returned: the field does not
// take effect, so that the body may have other bounds than the peer gave it.
func TestMalformedFieldNameFailsTheExchange(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	heads := []string{ // with the name in place of %
		status + "%: a\r\nContent-Length: 4\r\n\r\nbody",
		status + "Content-Length: 4\r\n%: a\r\n\r\nbody",
		status + "%: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		status + "%: a\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\n%: a\r\n\r\nbody",
		"HTTP/1.1 204 X\r\n%: a\r\n\r\n",
		"HTTP/1.1 103 X\r\n%: a\r\n\r\n" + status + "Content-Length: 4\r\n\r\nbody",
		status + "X-Id: other\r\n%: a\r\nContent-Length: 4\r\n\r\nbody" + status + "Content-Length: 4\r\n\r\nbody",
		status + "%: 4\r\n\r\nbody",
		status + "%: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	}
	names := []string{"X-Note ", "X Note", "Content-Length ", "Content Length", "Transfer-Encoding ", "Transfer Encoding",
		"X-\x00Note", "X-\x01Note", "X-\x1fNote", "X\tNote", "X-Note\t", "X-\x7fNote", "X-N\xc3\xb6te", "X-(Note)", ""}
	address, responses := serveResponses(t)
	client := roundtrip.New(roundtrip.Options{})
	defer client.Close()
	send := func(response string) (*roundtrip.Response, error) {
		responses <- response
		request := newGet("/")
		request.NewConnection = true
		request.IsResponse = func(h http.Header) bool { return h.Get("X-Id") != "other" }
		return client.Do(t.Context(), address, request)
	}
	for _, head := range heads {
		for _, name := range names {
			if resp, err := send(strings.Replace(head, "%", name, 1)); err == nil {
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				t.Errorf("field name %q in %q: got %s with body %q", name, head, resp.Status, body)
			}
		}
		resp, err := send(strings.Replace(head, "%", "!#$%&'*+-.^_`|~09azAZ", 1))
		if err != nil {
			t.Errorf("valid field name in %q: %v", head, err)
			continue
		}
		_ = resp.Body.Close()
	}
}

// serveResponses answers the request of each connection with the next text that is sent to
// the channel, and closes the connection.
func serveResponses(t *testing.T) (address string, responses chan<- string) {
	texts := make(chan string, 1)
	return serveConns(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, <-texts) // fails only if the client is gone
		}
	}), texts
}
