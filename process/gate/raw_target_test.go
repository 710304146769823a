package gate

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// signingProfile is a profile with targets that repeat the request ID, sign their
// responses and mark refusals.
var signingProfile = attempt.HTTPProfile{RequestID: "X-Id", Timeout: "X-Deadline-Ms", NotExecuted: "X-Not-Executed", ResponseSignature: "X-Signature",
	CallerRequestIDs: true, StrictStatus: true}

// newConnFixture returns a gate whose target handles each connection with serve.
func newConnFixture(t *testing.T, profile attempt.HTTPProfile, serve func(net.Conn)) *fixture {
	t.Helper()
	g := New(Options{Node: "g1", Token: testToken, HeaderBytes: 32 << 10, Now: time.Now, HTTPProfile: profile,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}})
	g.Start(testIncarnation)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	peerServer := httptest.NewServer(g.PeerHandler())
	t.Cleanup(func() {
		peerServer.Close()
		g.Close()
		_ = l.Close()
	})
	if _, err := g.Announce("t1", Announcement{Service: "shop", Address: l.Addr().String(), Slots: 4, Incarnation: testIncarnation.String()}); err != nil {
		t.Fatal(err)
	}
	return &fixture{t: t, gate: g, peerURL: peerServer.URL}
}

// newRawFixture returns a gate whose target responds to each request with the text that
// serve returns. serve gets the number of the request on its connection, from 0.
func newRawFixture(t *testing.T, serve func(r *http.Request, number int) string) *fixture {
	t.Helper()
	return newConnFixture(t, signingProfile, func(conn net.Conn) { serveRaw(conn, serve) })
}

func serveRaw(conn net.Conn, serve func(r *http.Request, number int) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := serve(r, number)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func rawRefusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + rawID(id) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

func rawAnswer(id string) string {
	return "HTTP/1.1 200 OK\r\n" + rawID(id) + "X-Signature: s\r\nContent-Length: 4\r\n\r\ndone"
}

func rawID(id string) string {
	if id == "" {
		return ""
	}
	return fmt.Sprintf("X-Id: %s\r\n", id)
}
