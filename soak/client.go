package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

const (
	callerCount    = 12
	minThinkTime   = 5 * time.Millisecond
	thinkTimeRange = 25 * time.Millisecond
	maxOrderSends  = 3 // sends of one order with a key, including the first
	guideBytes     = 200 << 10

	uploadBytes        = 240 << 10
	uploadRespondAfter = 16 << 10
	uploadResponse     = 300 << 10 // larger than what a gate buffers
	uploadPiece        = 32 << 10
	uploadPause        = 5 * time.Millisecond // between pieces, so that the response begins during the upload

	workMS        = 10
	clientTimeout = 12 * time.Second // longer than all deadlines
)

// Call records one request of a caller and its result.
type Call struct {
	Caller     int               `json:"client"`
	Node       string            `json:"node"`
	Key        string            `json:"key,omitempty"` // API key, when the configuration has accounts
	Method     string            `json:"method"`
	Path       string            `json:"path"`
	Work       string            `json:"work,omitempty"` // identity of an order
	Upload     bool              `json:"upload,omitempty"`
	WrittenAt  time.Time         `json:"written,omitzero"`
	ResentAt   time.Time         `json:"resent,omitzero"` // when the transport wrote it again, after a closed connection
	EndedAt    time.Time         `json:"ended"`
	Request    attempt.RequestID `json:"request,omitempty"`
	Status     int               `json:"status,omitempty"`
	Outcome    attempt.Outcome   `json:"outcome,omitempty"`
	Reason     attempt.Reason    `json:"reason,omitempty"`
	Incomplete string            `json:"broken,omitempty"` // why no complete response arrived
	Mismatch   string            `json:"wrong,omitempty"`  // how the response differs from the expected one
}

// callers sends requests to the nodes and reports each result to record.
type callers struct {
	fleet  *fleet
	record func(Call)
}

// run sends requests as one caller, over persistent connections, until ctx ends.
func (c *callers) run(ctx context.Context, callerID int) {
	random := rand.New(rand.NewPCG(c.fleet.options.Seed, uint64(callerID)))
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	n := c.fleet.nodes[random.IntN(len(c.fleet.nodes))]
	minThink := minThinkTime
	if c.fleet.accounts && accountOfKey(keyOfCaller(callerID)) != openAccount {
		minThink += limitedThink
	}
	for i := 0; sleep(ctx, minThink+time.Duration(random.Float64()*float64(thinkTimeRange))); i++ {
		if random.IntN(20) == 0 {
			n = c.fleet.nodes[random.IntN(len(c.fleet.nodes))]
		}
		echo := fmt.Sprintf("c%d-%d", callerID, i)
		var last Call
		switch draw := random.IntN(20); {
		case draw < 1:
			path := fmt.Sprintf("/kits?echo=%s&size=%d&upload=%d&respond_after=%d", echo, uploadResponse, uploadBytes, uploadRespondAfter)
			last = c.send(client, Call{Caller: callerID, Node: n.name, Method: http.MethodPost, Path: path, Upload: true}, n)
		case draw < 12:
			last = c.send(client, Call{Caller: callerID, Node: n.name, Method: http.MethodGet, Path: fmt.Sprintf("/kits?echo=%s&work_ms=%d", echo, workMS)}, n)
		case draw < 16:
			last = c.sendOrder(client, callerID, echo, n, random)
		case draw < 19:
			last = c.send(client, Call{Caller: callerID, Node: n.name, Method: http.MethodPost, Path: fmt.Sprintf("/orders?echo=%s&work_ms=%d", echo, workMS), Work: echo}, n)
		default:
			last = c.send(client, Call{Caller: callerID, Node: n.name, Method: http.MethodGet, Path: fmt.Sprintf("/guides?echo=%s&size=%d", echo, guideBytes)}, n)
		}
		if last.Incomplete != "" || last.Reason == attempt.ReasonNotReady { // another node may be ready
			n = c.fleet.nodes[random.IntN(len(c.fleet.nodes))]
		}
	}
}

// sendOrder sends an order with a key, and sends it again to a random node while no
// complete response arrives or the outcome is unknown.
func (c *callers) sendOrder(client *http.Client, callerID int, key string, n *node, random *rand.Rand) (last Call) {
	for range maxOrderSends {
		last = c.send(client, Call{Caller: callerID, Node: n.name, Method: http.MethodPost, Path: fmt.Sprintf("/orders?echo=%s&work_ms=%d", key, workMS), Work: "key " + key}, n)
		if last.Incomplete == "" && last.Outcome != attempt.Unknown {
			return last
		}
		n = c.fleet.nodes[random.IntN(len(c.fleet.nodes))]
	}
	return last
}

// send sends one request and records its result.
func (c *callers) send(client *http.Client, call Call, n *node) Call {
	defer func() { call.EndedAt = time.Now(); c.record(call) }()
	if c.fleet.accounts && call.Key == "" {
		call.Key = keyOfCaller(call.Caller)
	}
	body := io.Reader(http.NoBody)
	switch {
	case call.Upload:
		body = &slowUpload{rest: target.Pattern(uploadBytes)}
	case call.Method == http.MethodPost:
		body = strings.NewReader("order " + call.Path)
	}
	written := make(chan write, 4) // the transport may write a request again
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		select {
		case written <- write{time.Now(), w.Err}:
		default:
		}
	}})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+n.caller+call.Path, body)
	if err != nil {
		call.Incomplete = err.Error()
		return call
	}
	if call.Upload && call.Caller%2 == 0 {
		req.ContentLength = uploadBytes // else it is sent in chunks
	}
	if key, ok := strings.CutPrefix(call.Work, "key "); ok {
		req.Header.Set(attempt.HeaderIdempotencyKey, key)
	} else if call.Work != "" {
		req.Header.Set("X-Work", call.Work)
	}
	if call.Key != "" {
		req.Header.Set(attempt.HeaderAccountKey, call.Key)
		req.Header.Set(attempt.HeaderAccountName, "forged") // must not reach targets
	}
	resp, err := client.Do(req)
	if !call.Upload { // its response may begin before it has been written
		call.recordWrites(written)
	}
	if err != nil {
		call.Incomplete = err.Error()
		return call
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	call.Status, call.Outcome = resp.StatusCode, attempt.Outcome(resp.Header.Get(attempt.HeaderOutcome))
	call.Request = attempt.RequestID(resp.Header.Get(attempt.HeaderRequestID))
	if err != nil {
		call.Incomplete = err.Error()
		return call
	}
	call.checkResponse(resp, data)
	return call
}

// slowUpload is a request body that arrives piece by piece.
type slowUpload struct{ rest []byte }

func (u *slowUpload) Read(p []byte) (int, error) {
	if len(u.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(uploadPause)
	n := copy(p[:min(len(p), uploadPiece)], u.rest)
	u.rest = u.rest[n:]
	return n, nil
}

// write is one attempt of the transport to write a request.
type write struct {
	at  time.Time
	err error
}

// recordWrites records when the request was first written and when it was written again
// after a complete write. Such a request was in progress when its connection closed.
func (c *Call) recordWrites(written <-chan write) {
	complete := false
	for len(written) > 0 {
		w := <-written
		if c.WrittenAt.IsZero() {
			c.WrittenAt = w.at
		}
		if complete && c.ResentAt.IsZero() {
			c.ResentAt = w.at
		}
		complete = complete || w.err == nil
	}
}

var (
	guideBody          = target.Pattern(guideBytes)
	uploadResponseBody = target.Pattern(uploadResponse)
)

// checkResponse records the reason of a refusal, or how the response differs from the
// expected one.
func (c *Call) checkResponse(resp *http.Response, data []byte) {
	if resp.Header.Get("Content-Type") == attempt.ProblemContentType {
		var p attempt.Problem
		if json.Unmarshal(data, &p) == nil {
			c.Reason = p.Reason
		}
		return
	}
	if c.Status != http.StatusOK {
		return
	}
	if strings.HasPrefix(c.Path, "/guides") || c.Upload {
		want := guideBody
		if c.Upload {
			want = uploadResponseBody
		}
		if !bytes.Equal(data, want) {
			c.Mismatch = fmt.Sprintf("%d bytes differ from the %d requested", len(data), len(want))
		}
		return
	}
	var response target.Response
	echo, _, _ := strings.Cut(c.Path[strings.Index(c.Path, "echo=")+len("echo="):], "&")
	if err := json.Unmarshal(data, &response); err != nil || response.Echo != echo {
		c.Mismatch = fmt.Sprintf("unexpected response %.80q", data)
	}
}
