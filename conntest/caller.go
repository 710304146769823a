package conntest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hyssopsill/hyssopsill/conformance"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/peer"
)

const (
	smallWindowBytes = 4 << 10
	piecePause       = 6 * time.Millisecond
	// Pieces in which a caller sends a head and a body, promptly or slowly.
	promptHead, slowHead = 1, 3
	promptBody, slowBody = 4, 32
	// expectWait is how long a caller waits for 100 Continue before it sends its body.
	expectWait = 200 * time.Millisecond
	// callerPatience is how long a caller waits for all responses, well beyond the deadline
	// of its requests.
	callerPatience = 4*requestDeadline + 4*time.Second
	// sendPatience is how long a caller goes on sending once it has all responses.
	sendPatience = requestDeadline
	// surplusWait is how long a caller looks for bytes behind the last response.
	surplusWait = 30 * time.Millisecond
	// endWait is how long a caller that ends its connection in the stage "sent" waits for
	// its request to be on its way.
	endWait = 30 * time.Millisecond
	// maxRefusalBytes is how much of a refusal an observation holds.
	maxRefusalBytes = 400
)

// outgoing is a request as the caller sends it.
type outgoing struct {
	conformance.Request
	method string
	head   []byte
	body   []byte // encoded
	expect bool
}

// caller is the caller of a case.
type caller struct {
	c         Case
	begin     time.Time
	round     int
	requests  []*outgoing
	continued chan struct{} // an interim response arrived

	closeDelimited bool // the last response ended with the connection
	reset          bool // a write met a reset of the connection; send sets it

	mu   sync.Mutex
	conn *peer.Conn
	left time.Duration
}

// newCaller returns the caller of a round. The names of its requests tell the round.
func newCaller(c Case, begin time.Time, round int) *caller {
	s := &caller{c: c, begin: begin, round: round, continued: make(chan struct{}, 1)}
	count, _ := strconv.Atoi(c.value(callerRequests)) // a value of the dimension is valid
	for i := range count {
		s.requests = append(s.requests, s.request(i))
	}
	return s
}

// request returns request i. Only the first is an order or has a body.
func (s *caller) request(i int) *outgoing {
	r := &outgoing{Request: conformance.Request{ID: fmt.Sprintf("round%d-request%d", s.round, i+1), Idempotent: true}, method: http.MethodGet}
	prefix := "/kits/"
	if i == 0 && s.c.is(callerKind, "order") {
		prefix, r.method, r.Idempotent = "/orders/", http.MethodPost, false
	}
	version := s.c.value(callerVersion)
	fields := "Host: shop\r\n"
	if s.c.is(nodeProfile, requestIDs) {
		fields += fmt.Sprintf("%s: %s\r\n", attempt.HeaderRequestID, r.ID)
	}
	if upload := s.c.value(callerUpload); i == 0 && upload != "none" {
		size := sizes[s.c.value(bodySizes)].upload
		r.Upload = int64(size)
		r.body = peer.Body(r.ID, size)
		if upload == "chunks" && version == "1.1" {
			r.body = peer.Chunked(r.body, chunkBytes)
			fields += "Transfer-Encoding: chunked\r\n"
		} else {
			fields += fmt.Sprintf("Content-Length: %d\r\n", size)
		}
		if r.expect = upload == "expect" && version == "1.1"; r.expect {
			fields += "Expect: 100-continue\r\n"
		}
	}
	r.head = fmt.Appendf(nil, "%s %s%s HTTP/%s\r\n%s\r\n", r.method, prefix, r.ID, version, fields)
	return r
}

// play sends the requests and returns what the caller observed.
func (s *caller) play(ctx context.Context, address string) (conformance.Connection, error) {
	window := 0
	if !s.c.is(callerReading, "prompt") {
		window = smallWindowBytes
	}
	conn, err := peer.Dial(ctx, address, window)
	if err != nil {
		return conformance.Connection{}, err
	}
	s.conn = conn
	defer conn.End(peer.Closes)
	_ = conn.SetReadDeadline(time.Now().Add(callerPatience)) // a connection that was just made takes one
	var sending sync.WaitGroup
	sending.Go(s.send)
	out := s.receive()
	if s.leaveTime() == 0 { // nothing more is to come
		_ = conn.SetWriteDeadline(time.Now().Add(sendPatience)) // fails only if the connection is closed
	}
	sending.Wait()
	conn.End(peer.Closes)
	s.noteReset(&out)
	out.Left = s.leaveTime()
	for _, r := range s.requests {
		out.Requests = append(out.Requests, r.Request)
	}
	return out, nil
}

// noteReset takes the last response for broken off if it seemed to end with the connection
// and a write has met a reset: the kernel reports a reset to one call, so the read saw none.
func (s *caller) noteReset(out *conformance.Connection) {
	if last := len(out.Responses) - 1; s.reset && s.closeDelimited && last >= 0 {
		out.Responses[last].Complete, out.Responses[last].Error = false, "a write met a reset"
	}
}

// write sends data in pieces. It reports false when the connection has ended.
func (s *caller) write(data []byte, pieces int) bool {
	err := s.conn.SendPieces(data, pieces, piecePause)
	if errors.Is(err, syscall.ECONNRESET) {
		s.reset = true
	}
	return err == nil
}

func (s *caller) leaveTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// endAt ends the connection if the case says so at a stage.
func (s *caller) endAt(stage string) {
	end, at := s.c.end(callerEnd)
	if at != stage {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == 0 {
		s.conn.End(end)
		s.left = time.Since(s.begin)
	}
}

func (s *caller) endsAt(stage string) bool {
	_, at := s.c.end(callerEnd)
	return at == stage
}

// send sends the requests, up to the end that the case says or the end of the connection.
func (s *caller) send() {
	for i, r := range s.requests {
		if i == 0 && s.endsAt("head") {
			s.write(r.head[:len(r.head)/2], 1)
			s.endAt("head")
			return
		}
		if !s.write(r.head, s.pieces(promptHead, slowHead)) || !s.sendBody(i, r) {
			return
		}
		r.Whole = true
	}
	switch s.c.value(callerBehind) {
	case "empty-line":
		s.write([]byte("\r\n"), 1)
	case "part":
		s.write([]byte("GET /kits/part HTTP/1.1\r\nHo"), 1)
	}
	if s.endsAt("sent") {
		time.Sleep(endWait)
		s.endAt("sent")
	}
}

// pieces returns the number of pieces for the pace of the caller.
func (s *caller) pieces(prompt, slow int) int {
	if s.c.is(callerPace, "slow") {
		return slow
	}
	return prompt
}

// sendBody reports whether the whole body was sent.
func (s *caller) sendBody(i int, r *outgoing) bool {
	if r.expect {
		select {
		case <-s.continued:
		case <-time.After(expectWait):
		}
	}
	if i == 0 && s.endsAt("upload") {
		s.write(r.body[:len(r.body)/2], s.pieces(promptBody, slowBody)/2)
		s.endAt("upload")
		r.Whole = len(r.body) == 0
		return false
	}
	return len(r.body) == 0 || s.write(r.body, s.pieces(promptBody, slowBody))
}

// receive reads responses until the connection ends or nothing more is expected.
func (s *caller) receive() conformance.Connection {
	var out conformance.Connection
	for i := 0; i < len(s.requests); {
		resp, err := http.ReadResponse(s.conn.Reader, &http.Request{Method: s.requests[i].method})
		if err != nil {
			out.Stuck = errors.Is(err, os.ErrDeadlineExceeded)
			return out
		}
		if resp.StatusCode < http.StatusOK {
			select {
			case s.continued <- struct{}{}:
			default: // one is enough
			}
			continue
		}
		response := s.readBody(resp)
		out.Responses = append(out.Responses, response)
		out.Stuck = errors.Is(err, os.ErrDeadlineExceeded)
		if !response.Complete || response.Closes {
			s.countSurplus(&out)
			return out
		}
		i++
	}
	s.countSurplus(&out)
	return out
}

func (s *caller) readBody(resp *http.Response) conformance.Response {
	response := conformance.Response{Status: resp.StatusCode, Outcome: conformance.Outcome(resp.Header.Get(attempt.HeaderOutcome)),
		Run: resp.Header.Get(headerRun), Closes: resp.Close}
	s.closeDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	var body []byte
	var err error
	first := make([]byte, 1)
	if n, readErr := io.ReadFull(resp.Body, first); readErr == nil {
		body = first[:n]
		s.endAt("response")
	}
	if s.c.is(callerReading, "slow") {
		var rest []byte
		rest, err = peer.ReadPaced(resp.Body, slowReadBytes, slowReadPause)
		body = append(body, rest...)
	} else {
		var rest []byte
		rest, err = io.ReadAll(resp.Body)
		body = append(body, rest...)
	}
	if err != nil {
		response.Error = err.Error()
	}
	if response.Outcome != conformance.Answered {
		response.Refusal = string(body[:min(len(body), maxRefusalBytes)])
	}
	response.Complete = err == nil
	response.Body = conformance.Content{Bytes: int64(len(body)), Digest: peer.Digest(body)}
	return response
}

// countSurplus counts the bytes behind the last response. An empty line or a part of a
// request behind the last one may get a refusal, which is none.
func (s *caller) countSurplus(out *conformance.Connection) {
	if s.leaveTime() > 0 {
		return
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(surplusWait)) // fails only if the connection is closed
	rest, err := io.ReadAll(s.conn.Reader)
	var timeout net.Error
	if len(rest) == 0 || (err != nil && !errors.As(err, &timeout)) {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(rest)), nil)
	if err == nil && s.c.is(callerBehind, "part") && (resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestTimeout) {
		return
	}
	out.Surplus = int64(len(rest))
}
