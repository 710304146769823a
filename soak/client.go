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
	workers     = 12
	pauseLeast  = 5 * time.Millisecond
	pauseRange  = 25 * time.Millisecond
	orderSends  = 3 // of an order with a key, the first included
	guideBytes  = 200 << 10
	workMS      = 10
	clientLimit = 12 * time.Second // beyond all deadlines
)

// Call is one request of a client and what came of it.
type Call struct {
	Client  int               `json:"client"`
	Node    string            `json:"node"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Work    string            `json:"work,omitempty"` // identity of an order
	Written time.Time         `json:"written,omitzero"`
	Ended   time.Time         `json:"ended"`
	Request attempt.RequestID `json:"request,omitempty"`
	Status  int               `json:"status,omitempty"`
	Outcome attempt.Outcome   `json:"outcome,omitempty"`
	Reason  attempt.Reason    `json:"reason,omitempty"`
	Broken  string            `json:"broken,omitempty"` // how the connection ended without a whole answer
	Wrong   string            `json:"wrong,omitempty"`  // how an answer differs from what was asked for
}

// callers send requests until ctx ends and keep their connections open.
type callers struct {
	f    *fleet
	note func(Call)
}

func (c *callers) run(ctx context.Context, id int) {
	r := rand.New(rand.NewPCG(c.f.o.Seed, uint64(id)))
	client := &http.Client{Timeout: clientLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	n := c.f.nodes[r.IntN(len(c.f.nodes))]
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pauseLeast + time.Duration(r.Float64()*float64(pauseRange))):
		}
		if r.IntN(20) == 0 {
			n = c.f.nodes[r.IntN(len(c.f.nodes))]
		}
		name := fmt.Sprintf("c%d-%d", id, i)
		var last Call
		switch k := r.IntN(20); {
		case k < 12:
			last = c.send(client, Call{Client: id, Node: n.name, Method: http.MethodGet, Path: fmt.Sprintf("/kits?echo=%s&work_ms=%d", name, workMS)}, n)
		case k < 16:
			last = c.order(client, id, name, n, r)
		case k < 19:
			last = c.send(client, Call{Client: id, Node: n.name, Method: http.MethodPost, Path: fmt.Sprintf("/orders?echo=%s&work_ms=%d", name, workMS), Work: name}, n)
		default:
			last = c.send(client, Call{Client: id, Node: n.name, Method: http.MethodGet, Path: fmt.Sprintf("/guides?echo=%s&size=%d", name, guideBytes)}, n)
		}
		if last.Broken != "" || last.Reason == attempt.ReasonNotReady { // another node may serve
			n = c.f.nodes[r.IntN(len(c.f.nodes))]
		}
	}
}

// order sends an order with a key again, at any node, while its outcome is in
// doubt.
func (c *callers) order(client *http.Client, id int, key string, n *node, r *rand.Rand) (last Call) {
	for range orderSends {
		last = c.send(client, Call{Client: id, Node: n.name, Method: http.MethodPost, Path: fmt.Sprintf("/orders?echo=%s&work_ms=%d", key, workMS), Work: "key " + key}, n)
		if last.Broken == "" && last.Outcome != attempt.Unknown {
			return last
		}
		n = c.f.nodes[r.IntN(len(c.f.nodes))]
	}
	return last
}

// send sends one request and notes what came of it.
func (c *callers) send(client *http.Client, call Call, n *node) Call {
	defer func() { call.Ended = time.Now(); c.note(call) }()
	body := io.Reader(http.NoBody)
	if call.Method == http.MethodPost {
		body = strings.NewReader("order " + call.Path)
	}
	written := make(chan time.Time, 4) // the transport may write a request again
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		select {
		case written <- time.Now():
		default:
		}
	}})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+n.caller+call.Path, body)
	if err != nil {
		call.Broken = err.Error()
		return call
	}
	if key, ok := strings.CutPrefix(call.Work, "key "); ok {
		req.Header.Set(attempt.HeaderIdempotencyKey, key)
	} else if call.Work != "" {
		req.Header.Set("X-Work", call.Work)
	}
	resp, err := client.Do(req)
	select {
	case call.Written = <-written:
	default:
	}
	if err != nil {
		call.Broken = err.Error()
		return call
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	call.Status, call.Outcome = resp.StatusCode, attempt.Outcome(resp.Header.Get(attempt.HeaderOutcome))
	call.Request = attempt.RequestID(resp.Header.Get(attempt.HeaderRequestID))
	if err != nil {
		call.Broken = err.Error()
		return call
	}
	call.judge(resp, data)
	return call
}

var pattern = target.Pattern(guideBytes)

// judge compares an answer with what was asked for.
func (c *Call) judge(resp *http.Response, data []byte) {
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
	if strings.HasPrefix(c.Path, "/guides") {
		if !bytes.Equal(data, pattern) {
			c.Wrong = fmt.Sprintf("%d bytes differ from the %d asked for", len(data), len(pattern))
		}
		return
	}
	var a target.Response
	echo, _, _ := strings.Cut(c.Path[strings.Index(c.Path, "echo=")+len("echo="):], "&")
	if err := json.Unmarshal(data, &a); err != nil || a.Echo != echo {
		c.Wrong = fmt.Sprintf("answer %.80q", data)
	}
}
