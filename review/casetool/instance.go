package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath  = "/health"
	queueLength = 52
	coldTime    = 3 * time.Second
	defaultWork = 150 * time.Millisecond
)

// run is one request that an instance began to work on.
type run struct {
	at       time.Time // when the request reached the instance
	instance string
	id       string
	method   string
}

// instance is one application instance, as the protocol page describes it.
type instance struct {
	machine  *machine
	id       string
	born     int64 // Unix milliseconds
	listener net.Listener
	slots    chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	// startContext ends with the case.
	startContext context.Context

	mu       sync.Mutex
	sequence int
	state    string // ready or draining
	silent   bool   // it sends no heartbeats any more
	runs     []run
	waiting  int
	conns    map[net.Conn]struct{}
	// extra, if set, returns bytes that the instance sends extraDelay after its answer to
	// a request, nil for none.
	extra func(id string) []byte
}

func newInstance(m *machine) (*instance, error) {
	l, err := net.Listen("tcp", m.address(appPort))
	if err != nil {
		return nil, err
	}
	i := &instance{machine: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), listener: l, slots: make(chan struct{}, slots), state: "ready", conns: map[net.Conn]struct{}{}}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	return i, nil
}

func (i *instance) start(ctx context.Context) {
	i.born, i.startContext = time.Now().UnixMilli(), ctx
	i.machine.fleet.rec.line("instance %s of %s starts on %s", i.id, i.machine.service, i.machine.name)
	go i.serve()
	go i.beat(ctx)
}

func (i *instance) serve() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[c] = struct{}{}
		i.mu.Unlock()
		go i.serveConn(c)
	}
}

func (i *instance) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		i.mu.Lock()
		delete(i.conns, c)
		i.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer := i.answer(req)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if id := req.Header.Get(headerRequestID); id != "" {
			i.sendExtra(c, id)
		}
	}
}

// answer runs a request and returns the bytes of its answer.
func (i *instance) answer(req *http.Request) []byte {
	id := req.Header.Get(headerRequestID)
	switch {
	case req.URL.Path == healthPath:
		i.mu.Lock()
		ready := i.state == "ready"
		i.mu.Unlock()
		if !ready {
			return formatAnswer(http.StatusServiceUnavailable, "", headerInstance, i.id)
		}
		return formatAnswer(http.StatusOK, "", headerInstance, i.id)
	case id == "":
		return formatAnswer(http.StatusBadRequest, "", headerNotExecuted, "1")
	case req.Header.Get(headerTarget) != "" && req.Header.Get(headerTarget) != i.id:
		return formatAnswer(http.StatusMisdirectedRequest, "", headerInstance, i.id, headerRequestID, id)
	}
	deadline, err := strconv.Atoi(req.Header.Get(headerDeadline))
	if err != nil {
		deadline = int(time.Minute.Milliseconds())
	}
	if !i.takeSlot(time.Duration(deadline) * time.Millisecond) {
		return formatAnswer(http.StatusServiceUnavailable, "", headerNotExecuted, "1", headerRequestID, id)
	}
	defer func() { <-i.slots }()
	i.mu.Lock()
	i.runs = append(i.runs, run{time.Now(), i.id, id, req.Method})
	i.mu.Unlock()
	i.machine.fleet.rec.line("run %s %s %s at %s of %s", req.Method, req.URL.Path, id, i.id, i.machine.service)
	if crashes := i.machine.fleet.crashes; crashes != nil && crashes(req) {
		i.crash(i.startContext)
		return nil
	}
	select {
	case <-time.After(i.machine.fleet.workTime):
	case <-i.ctx.Done():
		return nil
	}
	body := i.bodyFor(id)
	return formatAnswer(http.StatusOK, body, headerRequestID, id, headerSignature, signature(body))
}

// bodyFor returns the body of the answer to a request.
func (i *instance) bodyFor(id string) string {
	return fmt.Sprintf("request %s ran at %s of %s\n", id, i.id, i.machine.service)
}

// setExtra sets the source of extra bytes, nil for none.
func (i *instance) setExtra(next func(id string) []byte) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.extra = next
}

// sendExtra sends the extra bytes after the answer to a request, if there are any.
func (i *instance) sendExtra(c net.Conn, id string) {
	i.mu.Lock()
	extra := i.extra
	i.mu.Unlock()
	if extra == nil {
		return
	}
	if data := extra(id); data != nil {
		time.AfterFunc(extraDelay, func() { _, _ = c.Write(data) }) // fails only if the connection is closed
	}
}

// takeSlot waits for a slot. It reports false when the queue is full or the deadline
// passes.
func (i *instance) takeSlot(limit time.Duration) bool {
	i.mu.Lock()
	full := i.waiting >= queueLength
	if !full {
		i.waiting++
	}
	i.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case i.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

func signature(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:8])
}

// formatAnswer returns a response with the header fields given as names and values.
func formatAnswer(status int, body string, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k := 0; k+1 < len(fields); k += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[k], fields[k+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// heartbeat is the body of a heartbeat. Fields whose value is nil are left out.
type heartbeat map[string]any

// nextHeartbeat returns the next heartbeat of the instance.
func (i *instance) nextHeartbeat() heartbeat {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	cold := max(0, coldTime-time.Since(time.UnixMilli(i.born)))
	return heartbeat{
		"address": i.machine.address(appPort),
		"born":    i.born,
		"info":    map[string]any{"service": i.machine.service, "version": "v1", "zone": i.machine.zone, "slots": slots},
		"status":  map[string]any{"state": i.state, "sequence": i.sequence, wire.Heartbeat.Cold: cold.Milliseconds()},
	}
}

// beat sends heartbeats until the instance exits.
func (i *instance) beat(ctx context.Context) {
	for {
		i.mu.Lock()
		silent := i.silent
		i.mu.Unlock()
		if !silent {
			i.sendHeartbeat(ctx, i.nextHeartbeat())
		}
		select {
		case <-i.ctx.Done():
			return
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat delivers a heartbeat to the node of the machine and reports whether it
// was acknowledged.
func (i *instance) sendHeartbeat(ctx context.Context, hb heartbeat) bool {
	body, err := json.Marshal(hb)
	if err != nil {
		panic(err) // a heartbeat has only values that always marshal
	}
	return i.call(ctx, wire.Calls.Heartbeat+i.id, body) == nil
}

// drain reports that the instance leaves, and returns the time of the acknowledgement.
func (i *instance) drain(ctx context.Context) (time.Time, error) {
	i.mu.Lock()
	i.state = "draining"
	i.mu.Unlock()
	if !i.sendHeartbeat(ctx, i.nextHeartbeat()) {
		return time.Time{}, fmt.Errorf("%w: the node does not acknowledge that %s leaves", errNotRun, i.id)
	}
	at := time.Now()
	i.machine.fleet.rec.line("instance %s: state draining is acknowledged", i.id)
	return at, nil
}

// deregister deregisters the instance, which sends no heartbeats from then on, and
// returns the time of the acknowledgement.
func (i *instance) deregister(ctx context.Context) (time.Time, error) {
	i.mu.Lock()
	i.state, i.silent = "draining", true
	i.mu.Unlock()
	body := fmt.Sprintf(`{"born":%d}`, i.born)
	if err := i.call(ctx, wire.Calls.Deregister+i.id, []byte(body)); err != nil {
		return time.Time{}, fmt.Errorf("%w: deregistration of %s: %w", errNotRun, i.id, err)
	}
	at := time.Now()
	i.machine.fleet.rec.line("instance %s: deregistration is acknowledged", i.id)
	return at, nil
}

// call calls the node of the machine. An answer other than 2xx, or none within a
// second, is an error.
func (i *instance) call(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.machine.address(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := i.machine.fleet.client.Do(req)
	if err != nil {
		i.machine.fleet.rec.line("call %s %s: %v", path, body, err)
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10)) // only for the record
	if resp.StatusCode/100 != 2 {
		i.machine.fleet.rec.line("call %s %s: status %d %s", path, body, resp.StatusCode, bytes.TrimSpace(text))
		return errors.New(resp.Status)
	}
	return nil
}

// exit ends the instance with its connections.
func (i *instance) exit() {
	i.cancel()
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as when the process ends with unread bytes
		}
		_ = c.Close()
	}
}

// runsAfter returns the runs of requests that reached the instance after t.
func (i *instance) runsAfter(t time.Time) []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	var after []run
	for _, r := range i.runs {
		if r.at.After(t) {
			after = append(after, r)
		}
	}
	return after
}
