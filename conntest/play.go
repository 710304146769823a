package conntest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/conformance"
	"github.com/hyssopsill/hyssopsill/standin/peer"
)

// Result is what a play of a case showed.
type Result struct {
	Case        Case                    `json:"case"`
	Violations  []conformance.Violation `json:"violations,omitempty"`
	Observation conformance.Observation `json:"observation"`
	Seconds     float64                 `json:"seconds"`
}

// breaks reports whether a rule was violated.
func (r *Result) breaks(rule conformance.Rule) bool {
	for _, v := range r.Violations {
		if v.Rule == rule {
			return true
		}
	}
	return false
}

// rounds is how often the caller of a case without a disruption plays its part, each time on
// a new connection. The start of the nodes takes longer than a round.
const rounds = 3

// Play plays a case with nodes of its own. An error means that it could not be played.
func Play(ctx context.Context, c Case) (Result, error) {
	started := time.Now()
	result := Result{Case: c}
	observations, err := observe(ctx, c)
	if err != nil {
		return result, fmt.Errorf("conntest: %s: %w", c, err)
	}
	for _, o := range observations {
		result.Observation, result.Violations = o, conformance.Check(o)
		if len(result.Violations) > 0 {
			break
		}
	}
	result.Seconds = time.Since(started).Seconds()
	return result, nil
}

const (
	// targetEndWait bounds the wait for a target to end after the nodes have ended.
	targetEndWait = time.Second
	// lateWait is how long a play waits for what must not arrive any more, beyond the time
	// at which it might still.
	lateWait = 50 * time.Millisecond
)

// observe plays a case and returns what was observed in each round.
func observe(ctx context.Context, c Case) ([]conformance.Observation, error) {
	listenAddress := newAddress()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	ended := make(chan struct{})
	begin := time.Now()
	callers := newCallers(c, begin)
	d := &disrupter{c: c}
	t := &target{c: c, begin: begin, uploads: uploads(callers), caseEnded: ended, onRun: func() { d.at("run") }, onAnswer: func() { d.at("answer") }}
	var serving sync.WaitGroup
	go peer.Serve(listener, func(conn *peer.Conn) { serving.Go(func() { t.serve(conn) }) })
	f, err := startFleet(ctx, c, listenAddress, listener.Addr().String())
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.prepare(ctx, c); err != nil {
		return nil, err
	}
	d.ctx, d.fleet = ctx, f
	d.at("start")
	out := make([]conformance.Observation, len(callers))
	for i, s := range callers {
		out[i].Cut = c.disrupted(cutEntry, cutGate, memoryRefused, pathReset, pathSilent)
		out[i].Connection, err = s.play(ctx, f.entry.Addresses().Caller)
		if err != nil && !c.disrupted(drainEntry, cutEntry, drainGate, cutGate) { // the listener may be closed
			return nil, err
		}
	}
	if left := out[len(out)-1].Connection.Left; left > 0 {
		time.Sleep(time.Until(begin.Add(left + conformance.MaxAfterLeave + lateWait)))
	}
	f.stop()
	close(ended)
	waitAtMost(&serving, targetEndWait) // all but deliveries is known without it
	assignRuns(out, t.observed())
	return out, d.failure()
}

func newCallers(c Case, begin time.Time) []*caller {
	count := rounds
	if c.disrupted(disruptions[1:]...) {
		count = 1
	}
	var out []*caller
	for i := range count {
		out = append(out, newCaller(c, begin, i+1))
	}
	return out
}

// uploads returns the bodies of all requests.
func uploads(callers []*caller) map[string][]byte {
	out := map[string][]byte{}
	for _, s := range callers {
		for _, r := range s.requests {
			out[r.ID] = peer.Body(r.ID, int(r.Upload))
		}
	}
	return out
}

// assignRuns adds each run to the round of its request. The first round gets those of
// requests that nobody sent.
func assignRuns(out []conformance.Observation, runs []conformance.Run) {
	roundOf := map[string]int{}
	for i, o := range out {
		for _, r := range o.Connection.Requests {
			roundOf[r.ID] = i
		}
	}
	for _, run := range runs {
		round := &out[roundOf[run.RequestID]]
		round.Runs = append(round.Runs, run)
	}
}

func waitAtMost(wg *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// disrupter puts the disruptions of a case in force.
type disrupter struct {
	c     Case
	ctx   context.Context
	fleet *fleet
	once  sync.Once
	mu    sync.Mutex
	err   error
}

// at puts the first disruption in force at the start, and the second at the moment that
// the case says, or the first one too where there is no second.
func (d *disrupter) at(moment string) {
	second := d.c.value(nodeSecond)
	if moment == "start" && second != noDisruption {
		d.disrupt(d.c.value(nodeFirst))
	}
	if !d.c.is(nodeWhen, moment) {
		return
	}
	d.once.Do(func() {
		if second == noDisruption {
			second = d.c.value(nodeFirst)
		}
		d.disrupt(second)
	})
}

func (d *disrupter) disrupt(disruption string) {
	if err := d.fleet.disrupt(d.ctx, disruption); err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.err = err
	}
}

func (d *disrupter) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}
