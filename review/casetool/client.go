package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// exchangeResult is what a client saw of one request.
type exchangeResult struct {
	id        string
	method    string
	sentAt    time.Time
	endedAt   time.Time
	status    int // 0: no complete answer
	signature string
	body      string
	err       error
}

// send sends one request to the outbound address of a machine, as its clients do.
func (m *machine) send(ctx context.Context, client *http.Client, method, host, path string, deadline time.Duration) exchangeResult {
	r := exchangeResult{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("kit=1&deposit=20")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(outboundPort)+path, body)
	if err != nil {
		r.err = err
		return r
	}
	req.Host = host
	req.Header[headerRequestID] = []string{r.id}
	req.Header[headerDeadline] = []string{fmt.Sprint(deadline.Milliseconds())}
	m.fleet.rec.line("send %s %s %s to %s", method, path, r.id, m.name)
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			r.status, r.signature, r.body = resp.StatusCode, resp.Header.Get(headerSignature), string(data)
		}
	}
	r.err, r.endedAt = err, time.Now()
	m.fleet.rec.line("answer %s: status %d, error %v, %q", r.id, r.status, r.err, firstLine(r.body))
	return r
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line[:min(len(line), 160)]
}

// traffic sends requests at a steady rate to the machines in turn.
type traffic struct {
	stop func()
	done chan struct{}

	mu      sync.Mutex
	results []exchangeResult
}

// startTraffic sends requests to all machines until stop is called.
func (f *fleet) startTraffic(ctx context.Context, perSecond float64, method, host, path string, deadline time.Duration) *traffic {
	return f.startTrafficAt(ctx, f.machines, perSecond, method, host, path, deadline)
}

// startTrafficAt sends requests to some machines until stop is called.
func (f *fleet) startTrafficAt(ctx context.Context, machines []*machine, perSecond float64, method, host, path string, deadline time.Duration) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	t := &traffic{stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		var wg sync.WaitGroup
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				wg.Wait()
				return
			case <-ticker.C:
			}
			m := machines[n%len(machines)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := m.send(context.WithoutCancel(ctx), f.client, method, host, path, deadline)
				t.mu.Lock()
				t.results = append(t.results, r)
				t.mu.Unlock()
			}()
		}
	}()
	return t
}

// end stops the traffic and returns the results of all requests by their identity.
func (t *traffic) end() map[string]exchangeResult {
	t.stop()
	<-t.done
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[string]exchangeResult, len(t.results))
	for _, r := range t.results {
		byID[r.id] = r
	}
	return byID
}
