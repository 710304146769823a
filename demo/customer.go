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

// deadlines holds the deadlines of the classes in the configuration. A response
// within its deadline is in time.
var deadlines = map[kind]time.Duration{
	browse: 2 * time.Second, price: time.Second, order: 2 * time.Second, download: 8 * time.Second,
}

// customerSlack is how long a customer waits beyond the deadline.
const customerSlack = 2 * time.Second

// isShort reports whether k is short work, that is, anything but a download.
func (k kind) isShort() bool { return k != download }

// result is what a customer observed of one request.
type result struct {
	kind       kind
	node       string
	startedAt  time.Time
	duration   time.Duration
	outcome    attempt.Outcome // empty without a response
	reason     attempt.Reason
	key        string // of an order
	target     string // that responded
	incomplete bool   // connection lost or response truncated
	cause      error  // error that ended the request
	mismatch   string // how an answered body differs from the expected one
}

// isInTime reports whether the request was answered correctly within its deadline.
func (r result) isInTime() bool {
	return r.outcome == attempt.Answered && !r.incomplete && r.mismatch == "" && r.duration <= deadlines[r.kind]
}

// call is one request of a customer.
type call struct {
	kind     kind
	number   int64
	key      string
	workID   string // identity of an order without a key
	customer string
}

// echo returns a text that is unique to the call, so that a response to another request
// is detected.
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
	query := fmt.Sprintf("?echo=%s&work_ms=%d", c.echo(), workDuration.Milliseconds())
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
	if c.workID != "" {
		req.Header.Set("X-Work", c.workID)
	}
	return req, nil
}

// send sends the call to a node and checks the response.
func (c call) send(ctx context.Context, client *http.Client, ledger *ledger, n *fleetNode) result {
	r := result{kind: c.kind, node: n.name, startedAt: time.Now(), key: c.key}
	ctx, cancel := context.WithTimeout(ctx, deadlines[c.kind]+customerSlack)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(w httptrace.WroteRequestInfo) { ledger.setWritten(c.number, w.Err == nil) },
	})
	defer ledger.setWritten(c.number, false)
	defer func() { r.duration = time.Since(r.startedAt) }()
	req, err := c.request(ctx, n.addresses.Caller)
	if err != nil {
		r.incomplete, r.cause = true, err
		return r
	}
	resp, err := client.Do(req)
	if err != nil {
		r.incomplete, r.cause = !errors.Is(err, context.DeadlineExceeded), err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.outcome = attempt.Outcome(resp.Header.Get(attempt.HeaderOutcome))
	if err != nil {
		r.incomplete, r.cause = !errors.Is(err, context.DeadlineExceeded), err
		return r
	}
	if resp.Header.Get("Content-Type") == attempt.ProblemContentType {
		var problem attempt.Problem
		if json.Unmarshal(body, &problem) == nil {
			r.reason = problem.Reason
		}
		return r
	}
	if r.outcome == attempt.Answered && resp.StatusCode == http.StatusOK {
		r.mismatch = c.checkBody(body)
		r.target = respondingTarget(body)
	} else if r.outcome == attempt.Answered {
		r.reason = attempt.Reason("status-" + strconv.Itoa(resp.StatusCode))
		r.outcome = answeredError
	}
	return r
}

// answeredError marks a complete response of a target with an error status.
const answeredError attempt.Outcome = "answered-error"

var downloadBody = target.Pattern(downloadBytes)

// checkBody describes how a body differs from the expected one; it returns "" when the
// body is correct.
func (c call) checkBody(body []byte) string {
	if c.kind == download {
		if !bytes.Equal(body, downloadBody) {
			return fmt.Sprintf("download %d: %d bytes differ from the %d requested", c.number, len(body), len(downloadBody))
		}
		return ""
	}
	var response target.Response
	if err := json.Unmarshal(body, &response); err != nil {
		return fmt.Sprintf("%s: body %.80q: %v", c.echo(), body, err)
	}
	digest := attempt.NewBodyDigest()
	if c.kind == order {
		_, _ = digest.Write([]byte("order " + c.echo()))
	}
	if response.Echo != c.echo() || response.Key != c.key || response.BodyDigest != digest.Sum() {
		return fmt.Sprintf("%s with key %q and digest %s got a response to %s with key %q and digest %s", c.echo(), c.key, digest.Sum(), response.Echo, response.Key, response.BodyDigest)
	}
	return ""
}

// fetchOrderKey requests an order key from a node.
func fetchOrderKey(ctx context.Context, client *http.Client, n *fleetNode, customer string) (string, error) {
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
	var issued entry.IssuedKey
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil {
		return "", err
	}
	if issued.Key == "" {
		return "", errors.New("no key issued: " + resp.Status)
	}
	return issued.Key, nil
}

// respondingTarget returns the target that a response names. Downloads name none.
func respondingTarget(body []byte) string {
	var response target.Response
	if json.Unmarshal(body, &response) != nil {
		return "" // a download
	}
	return response.Target
}
