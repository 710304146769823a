package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/process/entry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// kind is a class of the demo's traffic.
type kind string

const (
	browse   kind = "browse"
	price    kind = "price"
	order    kind = "order"
	download kind = "download"
)

var kinds = []kind{browse, price, order, download}

// deadlines are those of the classes in the configuration. An answer within
// them is in time.
var deadlines = map[kind]time.Duration{
	browse: 2 * time.Second, price: time.Second, order: 2 * time.Second, download: 8 * time.Second,
}

// customerSlack is the time beyond a deadline after which a customer gives up.
const customerSlack = 2 * time.Second

// short work is everything but downloads.
func (k kind) short() bool { return k != download }

// result is what a customer knows of one request.
type result struct {
	kind    kind
	node    string
	begun   time.Time
	took    time.Duration
	outcome attempt.Outcome // empty without an answer
	reason  attempt.Reason
	key     string // of an order
	target  string // that answered
	broken  bool   // connection lost or answer not whole
	cause   error  // why it is broken
	wrong   string // how an answered body differs from what was asked for
}

func (r result) inTime() bool {
	return r.outcome == attempt.Answered && !r.broken && r.wrong == "" && r.took <= deadlines[r.kind]
}

// call is one request of a customer.
type call struct {
	kind     kind
	number   int64
	key      string
	work     string // identity of an order without a key
	customer string
}

// echo is unique, so that an answer to another request shows.
func (c call) echo() string { return fmt.Sprintf("%s-%d", c.kind, c.number) }

func (c call) request(ctx context.Context, address string) (*http.Request, error) {
	method, path, body := http.MethodGet, "/kits", ""
	switch c.kind {
	case price:
		path = "/prices"
	case order:
		method, path, body = http.MethodPost, "/orders", "order "+c.echo()
	case download:
		path = "/guides"
	}
	query := fmt.Sprintf("?echo=%s&work_ms=%d", c.echo(), work.Milliseconds())
	if c.kind == download {
		query = fmt.Sprintf("?echo=%s&size=%d&rate=%d", c.echo(), downloadBytes, downloadRate)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path+query, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Customer", c.customer)
	if c.key != "" {
		req.Header.Set(attempt.HeaderIdempotencyKey, c.key)
	}
	if c.work != "" {
		req.Header.Set("X-Work", c.work)
	}
	return req, nil
}

// send sends the call to a node and checks the answer.
func (c call) send(ctx context.Context, client *http.Client, l *ledger, n *fleetNode) result {
	r := result{kind: c.kind, node: n.name, begun: time.Now(), key: c.key}
	ctx, cancel := context.WithTimeout(ctx, deadlines[c.kind]+customerSlack)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(w httptrace.WroteRequestInfo) { l.sent(c.number, w.Err == nil) },
	})
	defer l.sent(c.number, false)
	defer func() { r.took = time.Since(r.begun) }()
	req, err := c.request(ctx, n.addresses.Caller)
	if err != nil {
		r.broken, r.cause = true, err
		return r
	}
	resp, err := client.Do(req)
	if err != nil {
		r.broken, r.cause = !errors.Is(err, context.DeadlineExceeded), err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.outcome = attempt.Outcome(resp.Header.Get(attempt.HeaderOutcome))
	if err != nil {
		r.broken, r.cause = !errors.Is(err, context.DeadlineExceeded), err
		return r
	}
	if resp.Header.Get("Content-Type") == attempt.ProblemContentType {
		var p attempt.Problem
		if json.Unmarshal(body, &p) == nil {
			r.reason = p.Reason
		}
		return r
	}
	if r.outcome == attempt.Answered && resp.StatusCode == http.StatusOK {
		r.wrong = c.check(body)
		r.target = answeringTarget(body)
	} else if r.outcome == attempt.Answered {
		r.reason = attempt.Reason("status-" + strconv.Itoa(resp.StatusCode))
		r.outcome = answeredError
	}
	return r
}

// answeredError marks a whole answer of a target with an error status.
const answeredError attempt.Outcome = "answered-error"

var pattern = target.Pattern(downloadBytes)

// check compares a body with what the call asked for.
func (c call) check(body []byte) string {
	if c.kind == download {
		if !bytes.Equal(body, pattern) {
			return fmt.Sprintf("download %d: %d bytes differ from the %d asked for", c.number, len(body), len(pattern))
		}
		return ""
	}
	var a target.Response
	if err := json.Unmarshal(body, &a); err != nil {
		return fmt.Sprintf("%s: body %.80q: %v", c.echo(), body, err)
	}
	sent := attempt.NewBodyDigest()
	if c.kind == order {
		_, _ = sent.Write([]byte("order " + c.echo()))
	}
	if a.Echo != c.echo() || a.Key != c.key || a.BodyDigest != sent.Sum() {
		return fmt.Sprintf("%s key %q digest %s: answer to %s key %q digest %s", c.echo(), c.key, sent.Sum(), a.Echo, a.Key, a.BodyDigest)
	}
	return ""
}

// issueKey asks a node for an order key.
func issueKey(ctx context.Context, client *http.Client, n *fleetNode, customer string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	address := "http://" + n.addresses.Caller + "/.hyssopsill/order-keys?service=" + service
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, http.NoBody)
	if err != nil {
		return "", err
	}
	req.Header.Set("X-Customer", customer)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var key entry.IssuedKey
	if err := json.NewDecoder(resp.Body).Decode(&key); err != nil {
		return "", err
	}
	if key.Key == "" {
		return "", errors.New("no key issued: " + resp.Status)
	}
	return key.Key, nil
}

// answeringTarget reads the target's name from an answer that carries it.
func answeringTarget(body []byte) string {
	var a target.Response
	if json.Unmarshal(body, &a) != nil {
		return "" // a download
	}
	return a.Target
}
