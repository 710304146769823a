package target

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Options of a Target.
type Options struct {
	ID      string
	Service string
	Slots   int
	TTL     time.Duration
	// Node is the URL of the node's announce listener.
	Node string
	// Address under which the gate reaches the target.
	Address string
	// Crash ends the process. It is called by the fault CrashOn. Default: the
	// target closes the connection, forgets its state and announces a new
	// incarnation.
	Crash func()
	Seed  uint64
	// OnExecution is called when a request begins to run, or crashes the target.
	OnExecution func(Execution)
}

// Execution is one run of a request, as an effect outside the target keeps it.
type Execution struct {
	At      time.Time         `json:"at"`
	Target  string            `json:"target"`
	Method  string            `json:"method"`
	Request attempt.RequestID `json:"request"`
	Work    string            `json:"work,omitempty"`  // order key, or X-Work
	Crash   string            `json:"crash,omitempty"` // the text on which the target crashes
}

// Counts are what a target did since its start.
type Counts struct {
	Requests   int64          `json:"requests"`
	Running    int            `json:"running"`
	MaxRunning int            `json:"max_running"`
	Cancelled  int64          `json:"cancelled"`
	Crashes    int64          `json:"crashes"`
	Executions map[string]int `json:"executions"`        // by order key
	Unkeyed    map[string]int `json:"unkeyed,omitempty"` // by X-Work
}

// Target is the stand-in. It is safe for concurrent use.
type Target struct {
	o Options

	mu          sync.Mutex
	rand        *rand.Rand
	started     time.Time
	incarnation attempt.Incarnation
	faults      Faults
	counts      Counts
	leaving     bool
}

// New returns a healthy target.
func New(o Options) *Target {
	t := &Target{o: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), started: time.Now()}
	t.counts.Executions, t.counts.Unkeyed = map[string]int{}, map[string]int{}
	t.incarnation = attempt.NewIncarnation(t.started, rand.New(rand.NewPCG(rand.Uint64(), 1)))
	return t
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	t.faults = f
	t.mu.Unlock()
}

// Counts returns a copy of the counts.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Executions, c.Unkeyed = map[string]int{}, map[string]int{}
	for k, v := range t.counts.Executions {
		c.Executions[k] = v
	}
	for k, v := range t.counts.Unkeyed {
		c.Unkeyed[k] = v
	}
	return c
}

// ControlHandler serves the switches: PUT /v1/faults, GET /v1/counts.
func (t *Target) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		decoder := json.NewDecoder(io.LimitReader(r.Body, 64<<10))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(f)
		writeJSON(w, f)
	})
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Counts()) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, r *http.Request) {
		status, err := t.Drain(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		writeJSON(w, status)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client is gone when this fails
}

// ServeHTTP is the service itself. Query parameters: work_ms is the duration of
// the work, size the bytes of the answer, rate the bytes/s of a large answer.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, flapDown := t.currentFaults()
	if r.URL.Path == "/healthz" {
		t.serveHealth(w, f, flapDown)
		return
	}
	if f.Hang || !customerAllowed(f, r) {
		<-r.Context().Done()
		return
	}
	body, err := readRequest(r)
	if err != nil {
		return // the gate broke off the request
	}
	if f.CrashOn != "" && (strings.Contains(r.URL.String(), f.CrashOn) || strings.Contains(body.text, f.CrashOn)) {
		t.executed(r, f.CrashOn)
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !t.begin(r, f) {
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	defer t.end(r)
	t.executed(r, "")
	t.work(r, f)
	if f.Mute {
		<-r.Context().Done()
		return
	}
	if flapDown || t.chance(f.FailShare) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	t.answer(w, r, f, body)
}

func (t *Target) executed(r *http.Request, crash string) {
	if t.o.OnExecution == nil {
		return
	}
	work := r.Header.Get(attempt.HeaderIdempotencyKey)
	if work == "" {
		work = r.Header.Get("X-Work")
	}
	t.o.OnExecution(Execution{At: time.Now(), Target: t.o.ID, Method: r.Method, Work: work, Crash: crash,
		Request: attempt.RequestID(r.Header.Get(attempt.HeaderRequestID))})
}

func customerAllowed(f Faults, r *http.Request) bool {
	if len(f.OnlyCustomers) == 0 {
		return true
	}
	for _, c := range f.OnlyCustomers {
		if strings.HasPrefix(r.Header.Get("X-Customer"), c) {
			return true
		}
	}
	return false
}

func (t *Target) currentFaults() (Faults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	flapDown := f.FlapMS > 0 && (time.Since(t.started).Milliseconds()/f.FlapMS)%2 == 1
	return f, flapDown
}

func (t *Target) serveHealth(w http.ResponseWriter, f Faults, flapDown bool) {
	status := http.StatusOK
	if flapDown {
		status = http.StatusServiceUnavailable
	}
	if f.HealthStatus != 0 {
		status = f.HealthStatus
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "health\n")
}

// requestBody is what the answer repeats of a request's body.
type requestBody struct {
	text   string // first 64 KiB
	length int64
	sum    string
}

func readRequest(r *http.Request) (requestBody, error) {
	digest := attempt.NewBodyDigest()
	var text strings.Builder
	if _, err := io.Copy(io.MultiWriter(&text, digest), io.LimitReader(r.Body, 64<<10)); err != nil {
		return requestBody{}, err
	}
	if _, err := io.Copy(digest, r.Body); err != nil {
		return requestBody{}, err
	}
	return requestBody{text.String(), digest.Length(), digest.Sum()}, nil
}

func (t *Target) begin(r *http.Request, f Faults) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	if f.Shed > 0 && t.counts.Running >= f.Shed {
		return false
	}
	t.counts.Running++
	t.counts.MaxRunning = max(t.counts.MaxRunning, t.counts.Running)
	if key := r.Header.Get(attempt.HeaderIdempotencyKey); key != "" {
		t.counts.Executions[key]++
		if t.faults.RepeatOrders > 0 {
			t.faults.RepeatOrders--
			t.counts.Executions[key]++
		}
	}
	if work := r.Header.Get("X-Work"); work != "" {
		t.counts.Unkeyed[work]++
	}
	return true
}

func (t *Target) end(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Running--
	if r.Context().Err() != nil {
		t.counts.Cancelled++
	}
}

func (t *Target) work(r *http.Request, f Faults) {
	ms, _ := strconv.ParseInt(r.URL.Query().Get("work_ms"), 10, 64)
	d := time.Duration(ms+f.SlowMS) * time.Millisecond
	if f.ColdMS > 0 && time.Since(t.started) < time.Duration(f.ColdMS)*time.Millisecond {
		d += coldDelay
	}
	if d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
	}
}

func (t *Target) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rand.Float64() < p
}

// crash calls Options.Crash, or forgets the state as a restart would.
func (t *Target) crash() {
	if t.o.Crash != nil {
		t.o.Crash()
		return
	}
	t.mu.Lock()
	t.counts.Crashes++
	t.started = time.Now()
	t.incarnation = attempt.NewIncarnation(t.started, t.rand)
	t.mu.Unlock()
}

// Response is the JSON answer of a target without a size parameter.
type Response struct {
	Target     string `json:"target"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Echo       string `json:"echo"`        // query parameter echo
	Key        string `json:"key"`         // order key
	BodyBytes  int64  `json:"body_bytes"`  // of the request
	BodyDigest string `json:"body_digest"` // xxhash64 of the request's body
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f Faults, body requestBody) {
	if size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64); err == nil && size > 0 {
		t.answerLarge(w, r, f, size)
		return
	}
	data, err := json.Marshal(Response{
		Target: t.o.ID, Method: r.Method, Path: r.URL.Path, Echo: r.URL.Query().Get("echo"),
		Key: r.Header.Get(attempt.HeaderIdempotencyKey), BodyBytes: body.length, BodyDigest: body.sum,
	})
	if err != nil { // an Answer has only fields that always marshal
		panic(err)
	}
	sum := sha256.Sum256(data)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if t.chance(f.WrongShare) {
		data = []byte(strings.ToUpper(string(data)))
	} else {
		if t.chance(f.WrongDigestShare) {
			sum[0]++
		}
		h.Set("Content-Digest", fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(sum[:])))
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if t.chance(f.TruncateShare) {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

const blockBytes = 64 << 10

// answerLarge sends size bytes of a fixed pattern.
func (t *Target) answerLarge(w http.ResponseWriter, r *http.Request, f Faults, size int64) {
	rate, _ := strconv.ParseInt(r.URL.Query().Get("rate"), 10, 64)
	end := size
	if t.chance(f.TruncateShare) {
		end = size / 2
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	block := Pattern(blockBytes)
	if t.chance(f.WrongDigestShare) {
		w.Header().Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(make([]byte, sha256.Size))+":")
	}
	for sent := int64(0); sent < end; {
		n := min(blockBytes, end-sent)
		if _, err := w.Write(block[:n]); err != nil {
			return
		}
		sent += n
		if rate > 0 {
			time.Sleep(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
		}
	}
	if end < size {
		panic(http.ErrAbortHandler)
	}
}

// Pattern returns the first n bytes of the pattern of large answers, which
// repeats every 64 KiB.
func Pattern(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(i % blockBytes * 31 >> 3)
	}
	return out
}
