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

// TestMain builds the programs once; the tests start them as processes.
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

// process is a program that the test started.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // a killed process ends with an error
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, tail(p.out.String(), 4000))
		}
	})
	return p
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

func (p *process) wait(t testing.TB, d time.Duration) {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(d):
		t.Fatalf("%s did not end within %s", p.name, d)
	}
}

// awaitOutput waits for a line that matches and returns its first group. The
// programs listen on ports that the system picks, so that tests never clash.
func (p *process) awaitOutput(t testing.TB, pattern string) string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var match []string
	eventually(t, 10*time.Second, p.name+" prints "+pattern, func() bool {
		match = re.FindStringSubmatch(p.out.String())
		return match != nil
	})
	return match[1]
}

// fleet is a log, nodes and targets as separate processes.
type fleet struct {
	t       testing.TB
	log     *process
	logURL  string
	changes int
	nodes   []*nodeProcess
}

type nodeProcess struct {
	*process
	name                                   string
	file                                   string
	caller, data, control, announce, admin string
	relay                                  *soak.Proxy // between other nodes and this node's gate, nil without
	domain                                 string
}

type targetProcess struct {
	*process
	id, address, control string
}

func newFleet(t testing.TB, nodes int, relays bool) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.log = start(t, "log", "hyssopsill-standin", "log", "--listen", "127.0.0.1:0")
	f.logURL = "http://" + f.log.awaitOutput(t, `log: listening on (\S+)`)
	for i := range nodes {
		f.addNode(fmt.Sprintf("n%d", i+1), fmt.Sprintf("d%d", i%3+1), relays)
	}
	return f
}

func (f *fleet) addNode(name, domain string, withRelay bool) *nodeProcess {
	f.t.Helper()
	any := "127.0.0.1:0"
	n := &nodeProcess{caller: any, data: any, control: any, announce: any, admin: any, domain: domain, name: name}
	if withRelay {
		relay, err := soak.NewProxy()
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(relay.Close)
		n.relay = relay
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
	if n.relay != nil {
		advertise = n.relay.Address()
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
[listen]
caller = %q
peer_data = %q
peer_control = %q
announce = %q
admin = %q
[advertise]
peer_data = %q
`, n.name, n.domain, fleetToken, f.logURL, strings.Join(seeds, ", "), n.caller, n.data, n.control, n.announce, n.admin, advertise))
	n.process = start(f.t, n.name, "hyssopsilld", "run", "--settings", n.file)
	for key, to := range map[string]*string{"caller": &n.caller, "peer_data": &n.data, "peer_control": &n.control,
		"announce": &n.announce, "admin": &n.admin} {
		*to = n.awaitOutput(f.t, `"`+key+`":"([^"]+)"`)
	}
	if n.relay != nil {
		n.relay.SetTarget(n.data)
	}
}

func writeFile(t testing.TB, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// restart starts a node again on the same addresses after it has ended.
func (f *fleet) restart(n *nodeProcess) {
	f.t.Helper()
	n.wait(f.t, 5*time.Second)
	f.startNode(n)
}

func (f *fleet) addTarget(n *nodeProcess, id, service string, extra ...string) *targetProcess {
	f.t.Helper()
	args := append([]string{"target", "--id", id, "--service", service, "--node", "http://" + n.announce, "--ttl", "2s"}, extra...)
	x := &targetProcess{process: start(f.t, id, "hyssopsill-standin", args...), id: id}
	x.address = x.awaitOutput(f.t, `target: listening on ([^,]+),`)
	x.control = x.awaitOutput(f.t, `control on (\S+)`)
	return x
}

func (x *targetProcess) faults(t testing.TB, text string) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPut, "http://"+x.control+"/v1/faults", strings.NewReader(text))
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("faults %s: %s", text, resp.Status)
	}
}

type counts struct {
	Requests   int64          `json:"requests"`
	Running    int            `json:"running"`
	MaxRunning int            `json:"max_running"`
	Cancelled  int64          `json:"cancelled"`
	Executions map[string]int `json:"executions"`
	Unkeyed    map[string]int `json:"unkeyed"`
}

func (x *targetProcess) counts(t testing.TB) counts {
	t.Helper()
	var c counts
	getJSON(t, "http://"+x.control+"/v1/counts", &c)
	return c
}

// client opens a new connection per request, as many customers do.
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

func eventually(t testing.TB, d time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %s: %s", d, what)
}

// publish appends the change from the configuration in force to text and
// returns its offset.
func (f *fleet) publish(text string) int64 {
	f.t.Helper()
	want, findings := config.Parse("test.toml", []byte(text))
	if len(findings) > 0 {
		f.t.Fatal(findings)
	}
	log, err := platform.NewStore(platform.StoreOptions{BaseURL: f.logURL})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx := context.Background()
	fold, err := config.Load(ctx, log)
	if err != nil {
		f.t.Fatal(err)
	}
	f.changes++
	change, err := fold.ChangeTo(want, fmt.Sprintf("test-%d", f.changes), "test")
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

// ready waits until every node is ready and knows the targets.
func (f *fleet) ready(targets ...string) {
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

// checkInvariants fails the test when a node that still runs has counted a
// violation.
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
		for name, c := range vars.Invariants.Counts {
			if c.Violations > 0 {
				f.t.Errorf("%s: invariant %s violated %d times in %d checks: %+v", n.name, name, c.Violations, c.Checks, vars.Invariants.Last)
			}
		}
	}
}

// answer is what a customer got.
type answer struct {
	status  int
	outcome string
	reason  string
	id      string
	target  string
	key     string
	body    []byte
	err     error
	took    time.Duration
}

func (n *nodeProcess) do(method, path, body string, header ...string) (a answer) {
	begun := time.Now()
	defer func() { a.took = time.Since(begun) }()
	req, err := http.NewRequest(method, "http://"+n.caller+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a = answer{status: resp.StatusCode, outcome: resp.Header.Get("Hyssopsill-Outcome"), id: resp.Header.Get("Hyssopsill-Request-Id")}
	a.body, a.err = io.ReadAll(resp.Body)
	var fields struct{ Target, Key, Reason string }
	if json.Unmarshal(a.body, &fields) == nil {
		a.target, a.key, a.reason = fields.Target, fields.Key, fields.Reason
	}
	return a
}
