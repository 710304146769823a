package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	peerBodyBytes = 256 << 10
	maxAttemptIDs = 1000
	probeTimeout  = time.Second
	// probeKept is the time for which entries get the result of one probe, so
	// that many entries do not probe one target at once.
	probeKept = time.Second
)

// StatusRequest is the body of a status query.
type StatusRequest struct {
	Attempts []string `json:"attempts"`
}

// WithdrawRequest is the body of a withdrawal.
type WithdrawRequest struct {
	Attempts []Withdrawal `json:"attempts"`
}

// Withdrawal names an attempt that its entry cancels.
type Withdrawal struct {
	Attempt string `json:"attempt"`
	Gate    string `json:"gate"`            // gate incarnation that the attempt was sent to
	Order   string `json:"order,omitempty"` // as in the attempt's header
	AgeMS   int64  `json:"age_ms"`          // since the attempt was sent
}

func (m Withdrawal) parse(node string) (order.Withdrawal, error) {
	w := order.Withdrawal{Age: time.Duration(m.AgeMS) * time.Millisecond}
	var err error
	if w.Attempt, err = attempt.ParseID(m.Attempt); err != nil {
		return w, err
	}
	w.Gate.Node = node
	if w.Gate.Incarnation, err = attempt.ParseIncarnation(m.Gate); err != nil {
		return w, err
	}
	if m.Order != "" {
		w.Key, err = ParseOrderKey(m.Order)
	}
	return w, err
}

// WithdrawStatus is the gate's answer about a withdrawn attempt.
type WithdrawStatus string

// Answers to a withdrawal. After never-started the attempt cannot start.
const (
	WithdrawNeverStarted WithdrawStatus = "never-started"
	WithdrawStarted      WithdrawStatus = "started"
	WithdrawFinished     WithdrawStatus = "finished"
	WithdrawNotProved    WithdrawStatus = "not-proved"
)

// WithdrawResponse answers a withdrawal by attempt.
type WithdrawResponse struct {
	Attempts map[string]WithdrawStatus `json:"attempts"`
}

// StatusResponse tells for each attempt whether it is queued or running.
type StatusResponse struct {
	Active map[string]bool `json:"active"`
	// ServiceUS is the time, in microseconds, since a running attempt was sent
	// to its target. It has no entry for a queued one.
	ServiceUS map[string]int64 `json:"service_us,omitempty"`
	// OtherAttempts is the number of other attempts that the same target has been
	// running for at least half of that time.
	OtherAttempts map[string]int `json:"others,omitempty"`
}

// ProbeResult is the result of a probe of a target.
type ProbeResult struct {
	Status     int     `json:"status"` // 0 without an answer
	DurationMS float64 `json:"duration_ms"`
	Error      string  `json:"error,omitempty"`
}

func (g *Gate) peerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/withdraw", g.serveWithdraw)
	mux.HandleFunc("POST /v1/status", g.serveStatus)
	mux.HandleFunc("GET /v1/probe", g.serveProbe)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		attempt.NewProblem("", attempt.NotRun, attempt.ReasonBadRequest,
			fmt.Sprintf("%s: header %s is missing", r.URL.Path, attempt.HeaderAttempt), 0).Write(w)
	})
	return mux
}

// readList decodes a message of n attempts into list.
func readList(w http.ResponseWriter, r *http.Request, list any, n func() int) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, peerBodyBytes)).Decode(list)
	if err == nil && (n() == 0 || n() > maxAttemptIDs) {
		err = fmt.Errorf("attempts: want 1 to %d, got %d", maxAttemptIDs, n())
	}
	if err != nil {
		peerProblem(w, r, err)
	}
	return err == nil
}

func peerProblem(w http.ResponseWriter, r *http.Request, err error) {
	attempt.NewProblem("", attempt.NotRun, attempt.ReasonBadRequest, r.URL.Path+": "+err.Error(), 0).Write(w)
}

func (g *Gate) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	var list WithdrawRequest
	if !readList(w, r, &list, func() int { return len(list.Attempts) }) {
		return
	}
	ws := make([]order.Withdrawal, len(list.Attempts))
	for i, m := range list.Attempts {
		var err error
		if ws[i], err = m.parse(g.o.Node); err != nil {
			peerProblem(w, r, err)
			return
		}
	}
	answer := WithdrawResponse{Attempts: map[string]WithdrawStatus{}}
	g.mu.Lock()
	for i, withdrawal := range ws {
		res, woken := g.orders.Withdraw(g.now(), withdrawal)
		g.wake(woken)
		status := WithdrawNotProved
		switch res {
		case order.NeverStarted:
			status = WithdrawNeverStarted
		case order.Started:
			status = WithdrawStarted
		case order.Finished:
			status = WithdrawFinished
		}
		answer.Attempts[list.Attempts[i].Attempt] = status
	}
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func (g *Gate) serveStatus(w http.ResponseWriter, r *http.Request) {
	var list StatusRequest
	if !readList(w, r, &list, func() int { return len(list.Attempts) }) {
		return
	}
	answer := StatusResponse{Active: map[string]bool{}, ServiceUS: map[string]int64{}, OtherAttempts: map[string]int{}}
	for _, text := range list.Attempts {
		id, err := attempt.ParseID(text)
		if err != nil {
			peerProblem(w, r, err)
			return
		}
		g.mu.Lock()
		x, ok := g.active[id]
		answer.Active[text] = ok
		if ok {
			if service := x.service(g.now()); service > 0 {
				answer.ServiceUS[text] = service.Microseconds()
				answer.OtherAttempts[text] = g.runningSince(x, service/2)
			}
		}
		g.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, answer)
}

// runningSince counts the other exchanges with the target of x that have run for
// at least d. The caller holds the lock.
func (g *Gate) runningSince(x *exchange, d time.Duration) int {
	now, n := g.now(), 0
	for _, other := range g.active {
		if other != x && other.target == x.target && other.service(now) >= d {
			n++
		}
	}
	return n
}

func (g *Gate) serveProbe(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("target")
	g.mu.Lock()
	t := g.targets[id]
	if t == nil {
		g.mu.Unlock()
		attempt.NewProblem("", attempt.NotRun, attempt.ReasonNoTarget, "target "+id+" is not announced here", 0).Write(w)
		return
	}
	address, path := t.Address, config.DefaultProbePath
	if g.config != nil && g.config.Services[t.Service].ProbePath != "" {
		path = g.config.Services[t.Service].ProbePath
	}
	g.mu.Unlock()
	// Entries that ask at the same moment share one probe.
	result, _, _ := g.probes.Do(id, func() (any, error) { return g.freshProbe(t, address, path), nil })
	writeJSON(w, http.StatusOK, result)
}

// freshProbe returns the result of the last probe unless it is old.
func (g *Gate) freshProbe(t *target, address, path string) ProbeResult {
	g.mu.Lock()
	recent := g.now().Sub(t.probedAt) < probeKept
	result := t.probe
	g.mu.Unlock()
	if recent {
		return result
	}
	result = g.probeTarget(context.Background(), address, path)
	g.mu.Lock()
	t.probe, t.probedAt = result, g.now()
	g.mu.Unlock()
	return result
}

func (g *Gate) probeTarget(ctx context.Context, address, path string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	begun := g.now()
	resp, err := g.client.Do(ctx, address, &roundtrip.Request{Method: http.MethodGet, URI: path, Host: address})
	result := ProbeResult{}
	if err == nil {
		result.Status = resp.StatusCode
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, peerBodyBytes))
		_ = resp.Body.Close()
	}
	if err != nil {
		result.Error = err.Error()
	}
	result.DurationMS = float64(g.now().Sub(begun)) / float64(time.Millisecond)
	return result
}
