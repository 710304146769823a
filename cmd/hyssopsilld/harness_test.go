package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/platform"
	"github.com/hyssopsill/hyssopsill/soak"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const fleetToken = "e2e-fleet-token-0123"

var binaries string

// TestMain builds the programs that the tests start as processes.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hyssopsill-e2e")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../hyssopsilld", "../hyssopsill-standin", "../hyssopsill")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program that the test started.
type process struct {
	name   string
	cmd    *exec.Cmd
	out    *lockedBuffer
	exited chan struct{}
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, out: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // a killed process ends with an error
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, tail(p.out.String(), 4000))
		}
	})
	return p
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

func (p *process) waitExit(t testing.TB, d time.Duration) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(d):
		t.Fatalf("%s did not exit within %s", p.name, d)
	}
}

// awaitOutput waits for output that matches the pattern and returns its first group.
// The programs listen on ports that the system picks, so that parallel tests do not
// compete for ports.
func (p *process) awaitOutput(t testing.TB, pattern string) string {
	t.Helper()
	expression := regexp.MustCompile(pattern)
	var match []string
	eventually(t, 10*time.Second, p.name+" prints "+pattern, func() bool {
		match = expression.FindStringSubmatch(p.out.String())
		return match != nil
	})
	return match[1]
}

// fleet runs a log, nodes and targets as separate processes.
type fleet struct {
	t         testing.TB
	log       *process
	logURL    string
	published int // number of changes, for their ids
	nodes     []*nodeProcess
}

type nodeProcess struct {
	*process
	name                                   string
	file                                   string
	caller, data, control, announce, admin string
	proxy                                  *soak.Proxy // between the other nodes and this node's gate; may be nil
	domain                                 string
	settings                               string // further lines of the settings, with dotted keys
}

type targetProcess struct {
	*process
	id, address, control string
}

func newFleet(t testing.TB, nodes int, withProxies bool) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.log = startProcess(t, "log", "hyssopsill-standin", "log", "--listen", "127.0.0.1:0")
	f.logURL = "http://" + f.log.awaitOutput(t, `log: listening on (\S+)`)
	for i := range nodes {
		f.addNode(fmt.Sprintf("n%d", i+1), fmt.Sprintf("d%d", i%3+1), withProxies)
	}
	return f
}

func (f *fleet) addNode(name, domain string, withProxy bool, settings ...string) *nodeProcess {
	f.t.Helper()
	any := "127.0.0.1:0"
	n := &nodeProcess{caller: any, data: any, control: any, announce: any, admin: any, domain: domain, name: name, settings: strings.Join(settings, "\n")}
	if withProxy {
		proxy, err := soak.NewProxy()
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(proxy.Close)
		n.proxy = proxy
	}
	n.file = filepath.Join(f.t.TempDir(), name+".toml")
	f.startNode(n)
	f.nodes = append(f.nodes, n)
	return n
}

// startNode starts a node and reads the addresses that it listens on.
func (f *fleet) startNode(n *nodeProcess) {
	f.t.Helper()
	advertise := ""
	if n.proxy != nil {
		advertise = n.proxy.Address()
	}
	var seeds []string
	for _, other := range f.nodes {
		if other != n {
			seeds = append(seeds, strconv.Quote(other.control))
		}
	}
	writeFile(f.t, n.file, fmt.Sprintf(`node = %q
domain = %q
fleet_token = %q
log_url = %q
seeds = [%s]
listen.caller = %q
listen.peer_data = %q
listen.peer_control = %q
listen.announce = %q
listen.admin = %q
advertise.peer_data = %q
%s
`, n.name, n.domain, fleetToken, f.logURL, strings.Join(seeds, ", "), n.caller, n.data, n.control, n.announce, n.admin, advertise, n.settings))
	n.process = startProcess(f.t, n.name, "hyssopsilld", "run", "--settings", n.file)
	for key, address := range map[string]*string{"caller": &n.caller, "peer_data": &n.data, "peer_control": &n.control,
		"announce": &n.announce, "admin": &n.admin} {
		*address = n.awaitOutput(f.t, `"`+key+`":"([^"]+)"`)
	}
	if n.proxy != nil {
		n.proxy.SetTarget(n.data)
	}
}

func writeFile(t testing.TB, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// restart waits until a node has exited and starts it again on the same addresses.
func (f *fleet) restart(n *nodeProcess) {
	f.t.Helper()
	n.waitExit(f.t, 5*time.Second)
	f.startNode(n)
}

func (f *fleet) addTarget(n *nodeProcess, id, service string, extra ...string) *targetProcess {
	f.t.Helper()
	args := append([]string{"target", "--id", id, "--service", service, "--node", "http://" + n.announce, "--ttl", "2s"}, extra...)
	p := &targetProcess{process: startProcess(f.t, id, "hyssopsill-standin", args...), id: id}
	p.address = p.awaitOutput(f.t, `target: listening on ([^,]+),`)
	p.control = p.awaitOutput(f.t, `control on (\S+)`)
	return p
}

func (p *targetProcess) setFaults(t testing.TB, text string) {
	t.Helper()
	put(t, "http://"+p.control+"/v1/faults", text)
}

func put(t testing.TB, url, body string) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s %s: %s", url, body, resp.Status)
	}
}

type targetCounts struct {
	Requests   int64          `json:"requests"`
	Running    int            `json:"running"`
	MaxRunning int            `json:"max_running"`
	Cancelled  int64          `json:"cancelled"`
	Executions map[string]int `json:"executions"`
	Unkeyed    map[string]int `json:"unkeyed"`
}

func (p *targetProcess) counts(t testing.TB) targetCounts {
	t.Helper()
	var c targetCounts
	getJSON(t, "http://"+p.control+"/v1/counts", &c)
	return c
}

// waitRunning waits until the target runs n requests.
func (p *targetProcess) waitRunning(t testing.TB, n int) {
	t.Helper()
	eventually(t, 5*time.Second, fmt.Sprintf("%s runs %d requests", p.id, n), func() bool { return p.counts(t).Running == n })
}

// client opens a new connection for each request, as callers of many customers do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

func getJSON(t testing.TB, url string, out any) {
	t.Helper()
	resp, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Fatalf("%s: %v", url, err)
	}
}

func waitHTTP(t testing.TB, url string, d time.Duration) {
	t.Helper()
	eventually(t, d, url, func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func eventually(t testing.TB, d time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached within %s: %s", d, description)
}

// setupTimeout bounds a call of the harness itself to the log. All tests start their
// processes at the same time, and one that reads the log with the default of 1 s fails under load.
const setupTimeout = 10 * time.Second

// publish appends the change from the configuration in force to the one in text and
// returns its offset.
func (f *fleet) publish(text string) int64 {
	f.t.Helper()
	proposed, findings := config.Parse("test.toml", []byte(text))
	if len(findings) > 0 {
		f.t.Fatal(findings)
	}
	log, err := platform.NewStore(platform.StoreOptions{BaseURL: f.logURL, Timeout: setupTimeout})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx := context.Background()
	state, err := config.Load(ctx, log)
	if err != nil {
		f.t.Fatal(err)
	}
	f.published++
	change, err := state.ChangeTo(proposed, fmt.Sprintf("test-%d", f.published), "test")
	if err != nil {
		f.t.Fatal(err)
	}
	data, err := change.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	offset, err := log.Append(ctx, eventlog.StreamConfig, data)
	if err != nil {
		f.t.Fatal(err)
	}
	return offset
}

// waitReady waits until every node is ready and knows the targets. When the test
// ends, the invariants of the nodes are checked.
func (f *fleet) waitReady(targets ...string) {
	f.t.Helper()
	f.t.Cleanup(f.checkInvariants)
	for _, n := range f.nodes {
		waitHTTP(f.t, "http://"+n.admin+"/readyz", 10*time.Second)
		eventually(f.t, 10*time.Second, n.name+" knows "+strings.Join(targets, " "), func() bool {
			resp, err := client.Get("http://" + n.admin + "/v1/targets")
			if err != nil {
				return false
			}
			defer func() { _ = resp.Body.Close() }()
			data, _ := io.ReadAll(resp.Body)
			for _, id := range targets {
				if !bytes.Contains(data, []byte(`"`+id+`"`)) {
					return false
				}
			}
			return true
		})
	}
}

// checkInvariants fails the test when a node that still runs has counted a violation
// of an invariant.
func (f *fleet) checkInvariants() {
	for _, n := range f.nodes {
		resp, err := client.Get("http://" + n.admin + "/debug/vars")
		if err != nil {
			continue // the test ended the node
		}
		var vars struct {
			Invariants struct {
				Counts map[string]struct{ Checks, Violations int64 }
				Last   []struct{ Name, Detail string }
			}
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		_ = resp.Body.Close()
		if err != nil || len(vars.Invariants.Counts) == 0 {
			f.t.Errorf("%s: invariants not exported: %v", n.name, err)
		}
		for name, count := range vars.Invariants.Counts {
			if count.Violations > 0 {
				f.t.Errorf("%s: invariant %s violated %d times in %d checks: %+v", n.name, name, count.Violations, count.Checks, vars.Invariants.Last)
			}
		}
	}
}

// response is the response that a caller received, or the error.
type response struct {
	status    int
	outcome   string
	reason    string
	requestID string
	target    string
	key       string
	body      []byte
	err       error
	duration  time.Duration
}

// sendRequest sends a request to the node's caller listener. The header is given as
// pairs of names and values.
func (n *nodeProcess) sendRequest(method, path, body string, header ...string) (result response) {
	startedAt := time.Now()
	defer func() { result.duration = time.Since(startedAt) }()
	req, err := http.NewRequest(method, "http://"+n.caller+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	result = response{status: resp.StatusCode, outcome: resp.Header.Get("Hyssopsill-Outcome"), requestID: resp.Header.Get("Hyssopsill-Request-Id")}
	result.body, result.err = io.ReadAll(resp.Body)
	var fields struct{ Target, Key, Reason string }
	if json.Unmarshal(result.body, &fields) == nil {
		result.target, result.key, result.reason = fields.Target, fields.Key, fields.Reason
	}
	return result
}
