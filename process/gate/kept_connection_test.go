package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a gate that closes the connection of an entry after each request with a
// body of which nothing was sent, as its target refuses connections.
func TestConnectionIsKeptWhenNothingWasSent(t *testing.T) {
	f := newConnFixture(t, attempt.DefaultHTTPProfile, func(net.Conn) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close() // its address refuses connections
	for number := range 3 {
		if _, err := f.gate.Announce("t1", Announcement{Service: "shop", Address: l.Addr().String(), Slots: 4, Incarnation: testIncarnation.String()}); err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequest(http.MethodPost, f.peerURL+"/", strings.NewReader("work"))
		if err != nil {
			t.Fatal(err)
		}
		for name, value := range map[string]string{attempt.HeaderFleet: testToken, attempt.HeaderAttempt: attemptID(fmt.Sprint("a", number)), attempt.HeaderTarget: "t1", attempt.HeaderTimeoutMS: "5000"} {
			req.Header.Set(name, value)
		}
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			if info.Reused != (number > 0) {
				t.Errorf("request %d: connection reused %t", number, info.Reused)
			}
		}}
		resp, err := http.DefaultClient.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the client reuses the connection only then
		_ = resp.Body.Close()
		if reason := resp.Header.Get(attempt.HeaderReason); reason != string(attempt.ReasonTargetCrashed) {
			t.Errorf("request %d: got reason %q", number, reason)
		}
	}
}
