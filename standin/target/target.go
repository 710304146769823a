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

// Options configure a Target.
type Options struct {
	ID      string
	Service string
	Slots   int
	TTL     time.Duration
	// Node is the URL of the node's announce listener.
	Node string
	// Address is where the gate reaches the target.
	Address string
	// Crash ends the process. The fault CrashOn calls it. Default: the target
	// closes the connection, takes a new start time and announces a new incarnation.
	Crash func()
	Seed  uint64
	// OnExecution is called when a request starts to run or crashes the target.
	OnExecution func(Execution)
	// Secret, unless empty, is a text that no header of a request may contain.
	Secret string
}

// Execution describes one run of a request, for a record outside the target.
type Execution struct {
	At      time.Time         `json:"at"`
	Target  string            `json:"target"`
	Method  string            `json:"method"`
	Request attempt.RequestID `json:"request"`
	Work    string            `json:"work,omitempty"`  // order key, or X-Work
	Crash   string            `json:"crash,omitempty"` // text of the request on which the target crashed
	Account string            `json:"account,omitempty"`
	// SecretIn is the name of a header that contains Options.Secret, or empty.
	SecretIn string `json:"secret_in,omitempty"`
	// Altered tells how the body of an upload differs from the one that its caller sent.
	// Such an execution is reported beside that of the run.
	Altered string `json:"altered,omitempty"`
}

// Counts are the counters of a target since its start.
type Counts struct {
	Requests   int64          `json:"requests"`
	Running    int            `json:"running"`
	MaxRunning int            `json:"max_running"`
	Cancelled  int64          `json:"cancelled"`
	Crashes    int64          `json:"crashes"`
	Executions map[string]int `json:"executions"`        // by order key
	Unkeyed    map[string]int `json:"unkeyed,omitempty"` // by X-Work
}

// Target is the stand-in for a target. It is safe for concurrent use.
type Target struct {
	options Options

	mu          sync.Mutex
	rand        *rand.Rand
	startedAt   time.Time
	incarnation attempt.Incarnation
	faults      Faults
	counts      Counts
	leaving     bool
}

// New returns a healthy target.
func New(o Options) *Target {
	t := &Target{options: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), startedAt: time.Now()}
	t.counts.Executions, t.counts.Unkeyed = map[string]int{}, map[string]int{}
	t.incarnation = attempt.NewIncarnation(t.startedAt, rand.New(rand.NewPCG(rand.Uint64(), 1)))
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

// ControlHandler serves the control interface: PUT /v1/faults, GET /v1/counts,
// POST /v1/drain.
func (t *Target) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		decoder := json.NewDecoder(io.LimitReader(r.Body, 64<<10))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(faults)
		writeJSON(w, faults)
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
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone
}

// ServeHTTP serves the requests of callers. Query parameters: work_ms is the
// duration of the work, size the number of bytes of a large response, rate its
// bytes/s. upload is the size of a patterned body and respond_after the number of its bytes
// after which the target responds.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults, flapDown := t.currentFaults()
	if faults.TakesRate > 0 {
		w.Header().Set(attempt.HeaderTakesRate, strconv.FormatFloat(faults.TakesRate, 'f', -1, 64))
	}
	if r.URL.Path == "/healthz" {
		t.serveHealth(w, faults, flapDown)
		return
	}
	if faults.Hang || !customerAllowed(faults, r) {
		<-r.Context().Done()
		return
	}
	upload, _ := strconv.ParseInt(r.URL.Query().Get("upload"), 10, 64) // 0: none
	var body requestBody
	if upload == 0 {
		var err error
		if body, err = readRequest(r); err != nil {
			return // the gate interrupted the request
		}
	}
	if faults.crashesOn(r, body.text) {
		t.reportExecution(r, faults.CrashOn)
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !t.begin(r, faults) {
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	defer t.end(r)
	t.reportExecution(r, "")
	t.simulateWork(r, faults)
	if faults.Mute {
		<-r.Context().Done()
		return
	}
	if flapDown || t.chance(faults.FailShare) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if upload > 0 {
		t.serveUpload(w, r, faults, upload)
		return
	}
	t.writeResponse(w, r, faults, body)
}

// reportExecution passes one run of a request to OnExecution. Crash is the text
// on which the target crashes, or empty.
func (t *Target) reportExecution(r *http.Request, crash string) {
	t.report(r, Execution{Crash: crash})
}

// reportAltered passes a body that is not the caller's to OnExecution.
func (t *Target) reportAltered(r *http.Request, how string) { t.report(r, Execution{Altered: how}) }

// report completes an execution and passes it to OnExecution.
func (t *Target) report(r *http.Request, run Execution) {
	if t.options.OnExecution == nil {
		return
	}
	workID := r.Header.Get(attempt.HeaderIdempotencyKey)
	if workID == "" {
		workID = r.Header.Get("X-Work")
	}
	run.At, run.Target, run.Method, run.Work = time.Now(), t.options.ID, r.Method, workID
	run.Request, run.Account, run.SecretIn = attempt.RequestID(r.Header.Get(attempt.HeaderRequestID)), r.Header.Get(attempt.HeaderAccountName), t.secretHeader(r)
	t.options.OnExecution(run)
}

// secretHeader returns the name of a header that contains Options.Secret, or "".
func (t *Target) secretHeader(r *http.Request) string {
	if t.options.Secret == "" {
		return ""
	}
	for name, values := range r.Header {
		if strings.Contains(name+": "+strings.Join(values, ","), t.options.Secret) {
			return name
		}
	}
	return ""
}

func customerAllowed(faults Faults, r *http.Request) bool {
	if len(faults.OnlyCustomers) == 0 {
		return true
	}
	for _, prefix := range faults.OnlyCustomers {
		if strings.HasPrefix(r.Header.Get("X-Customer"), prefix) {
			return true
		}
	}
	return false
}

// currentFaults returns the faults and whether FlapMS makes the target fail now.
func (t *Target) currentFaults() (Faults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	flapDown := f.FlapMS > 0 && (time.Since(t.startedAt).Milliseconds()/f.FlapMS)%2 == 1
	return f, flapDown
}

func (t *Target) serveHealth(w http.ResponseWriter, faults Faults, flapDown bool) {
	status := http.StatusOK
	if flapDown {
		status = http.StatusServiceUnavailable
	}
	if faults.HealthStatus != 0 {
		status = faults.HealthStatus
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "health\n")
}

// requestBody describes a request's body.
type requestBody struct {
	text   string // first 64 KiB
	length int64
	digest string
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

// begin counts a request and reports whether it may run; the fault Shed limits
// the running ones.
func (t *Target) begin(r *http.Request, faults Faults) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	if faults.Shed > 0 && t.counts.Running >= faults.Shed {
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

// simulateWork waits for the duration of the work and the delays of the faults.
func (t *Target) simulateWork(r *http.Request, faults Faults) {
	ms, _ := strconv.ParseInt(r.URL.Query().Get("work_ms"), 10, 64)
	delay := time.Duration(ms+faults.SlowMS) * time.Millisecond
	if faults.ColdMS > 0 && time.Since(t.startedAt) < time.Duration(faults.ColdMS)*time.Millisecond {
		delay += coldDelay
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
	}
}

// chance reports true with probability p.
func (t *Target) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rand.Float64() < p
}

// crash calls Options.Crash. Without it, crash takes a new start time and a new
// incarnation as a restart would.
func (t *Target) crash() {
	if t.options.Crash != nil {
		t.options.Crash()
		return
	}
	t.mu.Lock()
	t.counts.Crashes++
	t.startedAt = time.Now()
	t.incarnation = attempt.NewIncarnation(t.startedAt, t.rand)
	t.mu.Unlock()
}

// Response is the JSON body of a response to a request without the parameter size.
type Response struct {
	Target     string `json:"target"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Echo       string `json:"echo"`        // query parameter echo
	Key        string `json:"key"`         // order key
	BodyBytes  int64  `json:"body_bytes"`  // of the request
	BodyDigest string `json:"body_digest"` // xxhash64 of the request's body
}

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, faults Faults, body requestBody) {
	if size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64); err == nil && size > 0 {
		t.writeLargeResponse(w, r, faults, size)
		return
	}
	data, err := json.Marshal(Response{
		Target: t.options.ID, Method: r.Method, Path: r.URL.Path, Echo: r.URL.Query().Get("echo"),
		Key: r.Header.Get(attempt.HeaderIdempotencyKey), BodyBytes: body.length, BodyDigest: body.digest,
	})
	if err != nil { // a Response has only fields that always marshal
		panic(err)
	}
	sum := sha256.Sum256(data)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if t.chance(faults.WrongShare) {
		data = []byte(strings.ToUpper(string(data)))
	} else {
		if t.chance(faults.WrongDigestShare) {
			sum[0]++
		}
		h.Set("Content-Digest", fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(sum[:])))
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if t.chance(faults.TruncateShare) {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

const blockBytes = 64 << 10

// writeLargeResponse sends the first size bytes of the pattern, at the rate of the
// request if it has one.
func (t *Target) writeLargeResponse(w http.ResponseWriter, r *http.Request, faults Faults, size int64) {
	rate, _ := strconv.ParseInt(r.URL.Query().Get("rate"), 10, 64)
	end := size
	if t.chance(faults.TruncateShare) {
		end = size / 2
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	block := Pattern(blockBytes)
	if t.chance(faults.WrongDigestShare) {
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

// Pattern returns the first n bytes of the pattern of large responses, which
// repeats every 64 KiB.
func Pattern(n int) []byte {
	pattern := make([]byte, n)
	for i := range pattern {
		pattern[i] = byte(i % blockBytes * 31 >> 3)
	}
	return pattern
}
