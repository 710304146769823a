package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/quota"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	maxPeerBodyBytes = 256 << 10
	maxAttemptIDs    = 1000
	probeTimeout     = time.Second
	// probeResultTTL is the time for which entries share the result of one probe,
	// so that many entries do not probe one target at once.
	probeResultTTL = time.Second
)

// PeerQuota answers the messages about rate limits of accounts that other nodes send.
// Report is called at an owner, Push at an entry.
type PeerQuota struct {
	Report func(quota.Report) quota.Verdicts
	Push   func(quota.Verdicts)
}

// QuotaMessage is the body of POST /v1/quota: a report of an entry to an owner or a push
// of an owner to an entry. The response holds the verdicts for a report.
type QuotaMessage struct {
	Report *quota.Report   `json:"report,omitempty"`
	Push   *quota.Verdicts `json:"push,omitempty"`
}

// StatusRequest is the body of a status query.
type StatusRequest struct {
	Attempts []string `json:"attempts"`
}

// WithdrawRequest is the body of a request that withdraws attempts.
type WithdrawRequest struct {
	Attempts []Withdrawal `json:"attempts"`
}

// Withdrawal names an attempt that its entry cancels.
type Withdrawal struct {
	Attempt string `json:"attempt"`
	Gate    string `json:"gate"`            // gate incarnation that the attempt was sent to
	Order   string `json:"order,omitempty"` // as in HeaderOrder of the attempt
	AgeMS   int64  `json:"age_ms"`          // time since the entry sent the attempt
}

func (w Withdrawal) parse(node string) (order.Withdrawal, error) {
	parsed := order.Withdrawal{Age: time.Duration(w.AgeMS) * time.Millisecond}
	var err error
	if parsed.Attempt, err = attempt.ParseID(w.Attempt); err != nil {
		return parsed, err
	}
	parsed.Gate.Node = node
	if parsed.Gate.Incarnation, err = attempt.ParseIncarnation(w.Gate); err != nil {
		return parsed, err
	}
	if w.Order != "" {
		parsed.Key, err = ParseOrderKey(w.Order)
	}
	return parsed, err
}

// WithdrawStatus is what the gate knows of a withdrawn attempt.
type WithdrawStatus string

// Values of WithdrawStatus. After never-started the attempt cannot start. not-proved
// means that nothing is known, as after a restart of the gate.
const (
	WithdrawNeverStarted WithdrawStatus = "never-started"
	WithdrawStarted      WithdrawStatus = "started"
	WithdrawFinished     WithdrawStatus = "finished"
	WithdrawNotProved    WithdrawStatus = "not-proved"
)

// WithdrawResponse holds the status of each withdrawn attempt.
type WithdrawResponse struct {
	Attempts map[string]WithdrawStatus `json:"attempts"`
}

// StatusResponse reports for each attempt whether it is queued or running (active).
type StatusResponse struct {
	Active map[string]bool `json:"active"`
	// ServiceUS is the time, in microseconds, since a running attempt was sent
	// to its target. Queued attempts are left out.
	ServiceUS map[string]int64 `json:"service_us,omitempty"`
	// OtherAttempts is the number of other attempts that the same target has been
	// running for at least half of that time.
	OtherAttempts map[string]int `json:"others,omitempty"`
}

// ProbeResult is the result of a probe of a target.
type ProbeResult struct {
	Status     int     `json:"status"` // 0 without a whole response
	DurationMS float64 `json:"duration_ms"`
	Error      string  `json:"error,omitempty"`
}

func (g *Gate) newPeerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/withdraw", g.serveWithdraw)
	mux.HandleFunc("POST /v1/status", g.serveStatus)
	mux.HandleFunc("GET /v1/probe", g.serveProbe)
	mux.HandleFunc("POST /v1/quota", g.serveQuota)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		attempt.NewProblem("", attempt.NotRun, attempt.ReasonBadRequest,
			fmt.Sprintf("%s: header %s is missing", r.URL.Path, attempt.HeaderAttempt), 0).Write(w)
	})
	return mux
}

// decodeAttempts decodes the body into request and checks the number of attempts,
// which count returns. It responds itself and returns false on an error.
func decodeAttempts(w http.ResponseWriter, r *http.Request, request any, count func() int) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBodyBytes)).Decode(request)
	if err == nil && (count() == 0 || count() > maxAttemptIDs) {
		err = fmt.Errorf("attempts: want 1 to %d, got %d", maxAttemptIDs, count())
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
	var request WithdrawRequest
	if !decodeAttempts(w, r, &request, func() int { return len(request.Attempts) }) {
		return
	}
	withdrawals := make([]order.Withdrawal, len(request.Attempts))
	for i, withdrawal := range request.Attempts {
		var err error
		if withdrawals[i], err = withdrawal.parse(g.options.Node); err != nil {
			peerProblem(w, r, err)
			return
		}
	}
	response := WithdrawResponse{Attempts: map[string]WithdrawStatus{}}
	g.mu.Lock()
	for i, withdrawal := range withdrawals {
		res, waiting := g.orders.Withdraw(g.now(), withdrawal)
		g.wakeRetries(waiting)
		status := WithdrawNotProved
		switch res {
		case order.NeverStarted:
			status = WithdrawNeverStarted
		case order.Started:
			status = WithdrawStarted
		case order.Finished:
			status = WithdrawFinished
		}
		response.Attempts[request.Attempts[i].Attempt] = status
	}
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, response)
}

func (g *Gate) serveStatus(w http.ResponseWriter, r *http.Request) {
	var request StatusRequest
	if !decodeAttempts(w, r, &request, func() int { return len(request.Attempts) }) {
		return
	}
	response := StatusResponse{Active: map[string]bool{}, ServiceUS: map[string]int64{}, OtherAttempts: map[string]int{}}
	for _, text := range request.Attempts {
		id, err := attempt.ParseID(text)
		if err != nil {
			peerProblem(w, r, err)
			return
		}
		g.mu.Lock()
		e, ok := g.active[id]
		response.Active[text] = ok
		if ok {
			if serviceTime := e.serviceTime(g.now()); serviceTime > 0 {
				response.ServiceUS[text] = serviceTime.Microseconds()
				response.OtherAttempts[text] = g.runningSince(e, serviceTime/2)
			}
		}
		g.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, response)
}

// serveQuota passes a message about accounts to the entry of this node, which owns the
// counts. The caller has the fleet token.
func (g *Gate) serveQuota(w http.ResponseWriter, r *http.Request) {
	var message QuotaMessage
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBodyBytes)).Decode(&message)
	handlers := g.quota.Load()
	switch {
	case err != nil:
		peerProblem(w, r, err)
	case handlers == nil || (message.Report == nil) == (message.Push == nil):
		peerProblem(w, r, errors.New("want either a report or a push"))
	case message.Report != nil:
		writeJSON(w, http.StatusOK, handlers.Report(*message.Report))
	default:
		handlers.Push(*message.Push)
		writeJSON(w, http.StatusOK, quota.Verdicts{Owner: g.options.Node})
	}
}

// SetQuota sets the functions that answer messages about rate limits of accounts.
func (g *Gate) SetQuota(q PeerQuota) { g.quota.Store(&q) }

// runningSince counts the other exchanges with the target of e that have run for at
// least d. The caller holds g.mu.
func (g *Gate) runningSince(e *exchange, d time.Duration) int {
	now, n := g.now(), 0
	for _, other := range g.active {
		if other != e && other.targetID == e.targetID && other.serviceTime(now) >= d {
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
	// Concurrent requests share one probe.
	result, _, _ := g.probes.Do(id, func() (any, error) { return g.cachedProbe(t, address, path), nil })
	writeJSON(w, http.StatusOK, result)
}

// cachedProbe returns the last result within probeResultTTL and probes otherwise.
func (g *Gate) cachedProbe(t *target, address, path string) ProbeResult {
	g.mu.Lock()
	recent := g.now().Sub(t.probedAt) < probeResultTTL
	result := t.lastProbe
	g.mu.Unlock()
	if recent {
		return result
	}
	g.countProbe(g.now(), t.ID)
	result = g.probeTarget(context.Background(), address, path)
	g.mu.Lock()
	t.lastProbe, t.probedAt = result, g.now()
	g.mu.Unlock()
	return result
}

func (g *Gate) probeTarget(ctx context.Context, address, path string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started := g.now()
	req := &roundtrip.Request{Method: http.MethodGet, URI: path, Host: address}
	resp, err := g.client.Do(ctx, address, req)
	if roundtrip.KeptConnectionEnded(err) {
		req.NewConnection = true
		resp, err = g.client.Do(ctx, address, req)
	}
	result := ProbeResult{}
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxPeerBodyBytes))
		_ = resp.Body.Close()
	}
	if err != nil {
		result.Error = err.Error()
	} else {
		result.Status = resp.StatusCode
	}
	result.DurationMS = float64(g.now().Sub(started)) / float64(time.Millisecond)
	return result
}
