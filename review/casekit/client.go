package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a client got. Status 0 means that the connection ended without a
// complete response.
type answer struct {
	status int
	signed string
	body   []byte
	failed error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete response: %v", a.failed)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, digest %s", a.status, a.signed, len(a.body), digest(a.body))
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	body                   io.Reader // sent in chunks unless length is known
	length                 int64
}

// send sends a request to the node on the client's machine.
func (n *node) send(client *http.Client, q request) answer {
	r, err := http.NewRequest(q.method, "http://"+n.address(outboundPort)+q.path, q.body)
	if err != nil {
		n.stage.fail("request: %v", err)
	}
	if q.body != nil {
		r.ContentLength = q.length
	}
	r.Host = q.host
	r.Header.Set(wire.RequestID, q.id)
	r.Header.Set(wire.Deadline, fmt.Sprint(q.deadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return answer{failed: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{failed: err}
	}
	return answer{status: response.StatusCode, signed: response.Header.Get(wire.Signature), body: body}
}

// newClient returns a client that gives up shortly after the deadline.
func newClient(deadline time.Duration) *http.Client {
	return &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
}
