package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
)

// startUploadNode starts a node whose only target handles each connection with serve.
func startUploadNode(t *testing.T, serve func(net.Conn)) *testNode {
	t.Helper()
	return startConnNode(t, attempt.DefaultHTTPProfile, serve)
}

func startConnNode(t *testing.T, profile attempt.HTTPProfile, serve func(net.Conn)) *testNode {
	t.Helper()
	log := logservice.New(logservice.Options{})
	publishConfig(t, log, strings.Replace(testConfig, `priority = "order"`, "priority = \"order\"\nmax_body = 4194304", 1))
	node := newProfileNode(t, profile, "n1", "d1", log, func(s *settings.Settings) { s.Limits.BodyBytes = 4 << 20 }).start(t)
	l := listenLoopback(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	eventually(t, "the target is known", func() bool {
		_, err := node.gate.Announce("t1", gate.Announcement{Service: "shop", Address: l.Addr().String(), Slots: 4, TTLMS: time.Minute.Milliseconds()})
		ready, _ := node.ready()
		return err == nil && ready && len(node.entry.Targets()) == 1
	})
	return node
}

// bytesBeforeResponse is how much of a body the targets of these tests read before they
// respond.
const bytesBeforeResponse = 16 << 10

// earlyResponse is the response that a target of these tests gives to a request before it
// has read the whole body.
type earlyResponse struct {
	status int
	first  int // bytes of the body that it sends before it reads on
	rest   int // bytes that it sends once it has read the request to its end
}

func (e earlyResponse) writeFirst(conn net.Conn) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n", e.status, e.first+e.rest)
	_, _ = conn.Write(make([]byte, e.first)) // fails only if the gate is gone
}

// path returns a path for which serveEarly gives the response.
func (e earlyResponse) path() string {
	return fmt.Sprintf("/orders?status=%d&first=%d&rest=%d", e.status, e.first, e.rest)
}

func responseFor(r *http.Request) earlyResponse {
	number := func(name string) int {
		n, _ := strconv.Atoi(r.URL.Query().Get(name)) // 0 for other paths
		return n
	}
	return earlyResponse{status: number("status"), first: number("first"), rest: number("rest")}
}

// upload is what a target has read of the body of a request.
type upload struct {
	body []byte
	err  error
}

// serveEarly serves a connection of a target that responds early and reads on.
func serveEarly(conn net.Conn, responded chan<- struct{}, read chan<- upload) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		begin := make([]byte, bytesBeforeResponse)
		n, _ := io.ReadFull(r.Body, begin) // an error shows again below
		written := make(chan struct{})
		go func() {
			defer close(written)
			responseFor(r).writeFirst(conn)
		}()
		responded <- struct{}{}
		rest, err := io.ReadAll(r.Body)
		<-written
		_, _ = conn.Write(make([]byte, responseFor(r).rest)) // fails only if the gate is gone
		read <- upload{body: append(begin[:n], rest...), err: err}
	}
}

// pacedBody is a request body that arrives piece by piece, so that the response begins
// while it is on its way. After first bytes it waits until the target has responded.
type pacedBody struct {
	rest      []byte
	first     int
	responded <-chan struct{}
}

func (b *pacedBody) Read(p []byte) (int, error) {
	const piece, pause = 32 << 10, 4 * time.Millisecond
	switch {
	case len(b.rest) == 0:
		return 0, io.EOF
	case b.first > 0:
		n := copy(p[:min(len(p), b.first)], b.rest)
		b.rest, b.first = b.rest[n:], b.first-n
		return n, nil
	case b.responded != nil:
		<-b.responded
		b.responded = nil
	}
	time.Sleep(pause)
	n := copy(p[:min(len(p), piece)], b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// checkUploads sends bodies of some sizes to a target that responds early, and checks
// that the target reads them as they were sent and that the caller gets the response.
func checkUploads(t *testing.T, responses []earlyResponse) {
	responded, read := make(chan struct{}, 1), make(chan upload, 1)
	node := startUploadNode(t, func(conn net.Conn) { serveEarly(conn, responded, read) })
	for _, chunked := range []bool{true, false} {
		for _, bodyBytes := range []int{240 << 10, 1536 << 10} {
			for _, want := range responses {
				t.Run(fmt.Sprintf("chunked=%t/body=%d/response=%d", chunked, bodyBytes, want.first+want.rest), func(t *testing.T) {
					sent := make([]byte, bodyBytes)
					_, _ = rand.NewChaCha8([32]byte{}).Read(sent) // never fails
					r, err := http.NewRequest(http.MethodPost, "http://"+node.Addresses().Caller+want.path(), &pacedBody{rest: sent, first: 128 << 10, responded: responded})
					if err != nil {
						t.Fatal(err)
					}
					if !chunked {
						r.ContentLength = int64(bodyBytes)
					}
					resp, err := http.DefaultClient.Do(r)
					if err != nil {
						t.Fatal(err)
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err != nil || resp.StatusCode != want.status || len(body) != want.first+want.rest {
						t.Errorf("the caller got %s, %d bytes, %v; want %+v", resp.Status, len(body), err, want)
					}
					select {
					case got := <-read:
						if got.err != nil || !bytes.Equal(got.body, sent) {
							t.Errorf("the target read %d bytes, %v; want the %d bytes that were sent", len(got.body), got.err, len(sent))
						}
					case <-time.After(5 * time.Second):
						t.Error("the target has not read the request to its end")
					}
				})
			}
		}
	}
}

// Guards against a target that gets a request body with a gap, since a part of it was
// dropped when the response began.
func TestUploadHasNoGapAfterEarlyResponse(t *testing.T) {
	checkUploads(t, []earlyResponse{{status: http.StatusOK, first: 300_000, rest: 240_000}})
}

// Guards against a target that gets only a part of a request body because its response
// was complete first.
func TestUploadIsWholeAfterCompleteResponse(t *testing.T) {
	checkUploads(t, []earlyResponse{{status: http.StatusOK}, {status: http.StatusOK, first: 400}, {status: http.StatusOK, first: 200_000}, {status: http.StatusOK, first: 540_000}})
}

// Guards against the rest of a request body that is taken for a further request when the
// target responds and does not read it.
func TestRestOfUnreadUploadIsNoRequest(t *testing.T) {
	const second = "GET /kits/second HTTP/1.1\r\nHost: x\r\n\r\n"
	paths, done := make(chan string, 100), make(chan struct{})
	defer close(done)
	node := startUploadNode(t, func(conn net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			paths <- r.URL.Path
			_, _ = io.CopyN(io.Discard, r.Body, bytesBeforeResponse) // an error shows in the response
			responseFor(r).writeFirst(conn)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		<-done
		_ = conn.Close()
	})
	for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
		for _, responseBytes := range []int{400, 540_000} {
			want := earlyResponse{status: status, first: responseBytes}
			t.Run(fmt.Sprintf("status=%d/response=%d", status, responseBytes), func(t *testing.T) {
				conn, err := net.Dial("tcp", node.Addresses().Caller)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", want.path(), 256<<10, strings.Repeat("x", 128<<10))
				reader := bufio.NewReader(conn)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode != status || len(body) != responseBytes {
					t.Errorf("the caller got %s, %d bytes, %v; want %+v", resp.Status, len(body), err, want)
				}
				_, _ = io.WriteString(conn, second) // fails if the node has closed the connection
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				if resp, err := http.ReadResponse(reader, nil); err == nil {
					t.Errorf("got a second response, %s", resp.Status)
				}
				for len(paths) > 0 {
					if path := <-paths; path != "/orders" {
						t.Errorf("the target got a request for %s, which is a part of the body", path)
					}
				}
			})
		}
	}
}

// Guards against an order that is lost on a connection which its node closes without having
// said so, as it has not read the body before to its end: that of the caller, or the one
// between entry and gate.
func TestUnreadUploadEndsItsConnections(t *testing.T) {
	const rounds, size = 20, 4 << 20 // more than the kernel takes
	node := startUploadNode(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			responseFor(r).writeFirst(conn)
			if r.ContentLength > 0 {
				time.Sleep(100 * time.Millisecond) // until the gate has read the response
				return
			}
		}
	})
	rejected := earlyResponse{status: http.StatusRequestEntityTooLarge, first: 20_000}.path()
	next := func(conn net.Conn, reader *bufio.Reader) error {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n\r\n", earlyResponse{status: http.StatusOK}.path()) // an error shows below
		resp, err := http.ReadResponse(reader, nil)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = errors.New(resp.Status)
		}
		return err
	}
	for range rounds {
		conn, reader := dialNode(t, node)
		go func() { // ends with the connection
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", rejected, size)
			_, _ = conn.Write(make([]byte, size))
		}()
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // an error shows in the next response
		if err := next(dialNode(t, node)); err != nil {
			t.Errorf("an order on a new connection behind a rejected upload: %v", err)
		}
		if resp.Close {
			continue
		}
		if err := next(conn, reader); err != nil {
			t.Errorf("an order on the connection of a rejected upload, which was not said to end: %v", err)
		}
	}
}

func dialNode(t *testing.T, node *testNode) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", node.Addresses().Caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}
