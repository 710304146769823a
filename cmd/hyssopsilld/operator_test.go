package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
	"github.com/hyssopsill/hyssopsill/version/config"
)

// patience bounds waits that have no stated target.
const patience = 30 * time.Second

// inForceEverywhere is the stated bound of the invariant config-forward.
const inForceEverywhere = 5 * time.Second

// commandResult is the end of one run of the operators' command.
type commandResult struct {
	line           string
	code           int
	stdout, stderr string
}

func (r commandResult) String() string {
	return fmt.Sprintf("%s: exit code %d\n%s%s", r.line, r.code, r.stdout, r.stderr)
}

// operate runs hyssopsill as a process that knows the log and all nodes.
func (f *fleet) operate(args ...string) commandResult { return f.operateAt(f.logURL, args...) }

func (f *fleet) operateAt(logURL string, args ...string) commandResult {
	var nodes []string
	for _, n := range f.nodes {
		nodes = append(nodes, "http://"+n.admin)
	}
	return operator(logURL, nodes, args...)
}

func operator(logURL string, nodes []string, args ...string) commandResult {
	cmd := exec.Command(filepath.Join(binaries, "hyssopsill"), args...)
	cmd.Env = append(os.Environ(), "HYSSOPSILL_LOG="+logURL, "HYSSOPSILL_NODES="+strings.Join(nodes, ","), "USER=ana")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	r := commandResult{line: strings.Join(args, " "), stdout: stdout.String(), stderr: stderr.String()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		r.code = exit.ExitCode()
	} else if err != nil {
		r.code, r.stderr = -1, err.Error()
	}
	return r
}

// expect checks the exit code and the parts of the output.
func (r commandResult) expect(t testing.TB, code int, parts ...string) commandResult {
	t.Helper()
	if r.code != code {
		t.Errorf("want exit code %d: %s", code, r)
	}
	for _, part := range parts {
		if !strings.Contains(r.stdout+r.stderr, part) {
			t.Errorf("output lacks %q: %s", part, r)
		}
	}
	return r
}

func (r commandResult) decode(t testing.TB, out any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.stdout), out); err != nil {
		t.Errorf("%v: %s", err, r)
	}
}

// publishFile publishes a file by the command and returns the version.
func (f *fleet) publishFile(file string, args ...string) int64 {
	f.t.Helper()
	var v struct {
		Version  int64
		Accepted bool
	}
	f.operate(append([]string{"config", "publish", file, "--output", "json"}, args...)...).expect(f.t, 0).decode(f.t, &v)
	if !v.Accepted || v.Version == 0 {
		f.t.Fatalf("publish: %+v", v)
	}
	return v.Version
}

type statusOutput struct {
	LogVersion int64  `json:"log_version"`
	LogError   string `json:"log_error"`
	Nodes      []struct {
		Error  string
		Status struct {
			Ready         bool
			ConfigVersion int64 `json:"config_version"`
		}
	}
}

// inForce returns whether config status shows a version at all nodes, or a
// greater one.
func (f *fleet) inForce(version int64) bool {
	var s statusOutput
	f.operate("config", "status", "--output", "json").expect(f.t, 0).decode(f.t, &s)
	for _, n := range s.Nodes {
		if n.Error != "" || n.Status.ConfigVersion < version {
			return false
		}
	}
	return len(s.Nodes) == len(f.nodes)
}

// logFaults switches the faults of the log stand-in.
func (f *fleet) logFaults(text string) {
	f.t.Helper()
	req, _ := http.NewRequest(http.MethodPut, f.logURL+"/v1/faults", strings.NewReader(text))
	resp, err := client.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("faults %s: %s", text, resp.Status)
	}
}

// configFile writes a variant of a configuration.
func configFile(t testing.TB, text, old, replacement string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.toml")
	if old != "" && !strings.Contains(text, old) {
		t.Fatalf("the configuration lacks %q", old)
	}
	writeFile(t, file, strings.Replace(text, old, replacement, 1))
	return file
}

// Guards against answers of a questionnaire whose configuration is refused, or
// is in force without serving each of its routes at each node.
func TestQuestionnaireToServing(t *testing.T) {
	t.Parallel()
	for _, example := range []string{"sunbake", "anfb"} {
		t.Run(example, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, false)
			file := filepath.Join(t.TempDir(), "config.toml")
			answers := filepath.Join("..", "..", "examples", example, "questionnaire.toml")
			f.operate("questionnaire", "generate", answers, "--to", file).expect(t, 0)
			f.operate("config", "validate", file).expect(t, 0, "valid: 3 services")
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			generated, findings := config.Parse(file, text)
			if len(findings) > 0 {
				t.Fatal(findings)
			}
			var targets []*targetProcess
			var ids []string
			for service := range generated.Services {
				for _, n := range f.nodes {
					id := service + "-" + n.name
					targets, ids = append(targets, f.addTarget(n, id, service)), append(ids, id)
				}
			}
			version := f.publishFile(file)
			f.ready(ids...)
			eventually(t, patience, "config status shows the version at all nodes", func() bool { return f.inForce(version) })
			for _, route := range generated.Routes {
				for _, n := range f.nodes {
					serveRoute(t, f, generated, route, n, targets)
				}
			}
		})
	}
}

// serveRoute sends a request of the route at a node. An order is repeated at
// another node and must have run once.
func serveRoute(t *testing.T, f *fleet, c *config.Config, route config.Route, n *nodeProcess, targets []*targetProcess) {
	t.Helper()
	method := "GET"
	if len(route.Methods) > 0 {
		method = route.Methods[0]
	}
	header := []string{c.CustomerHeader, "school-7"}
	if c.Services[route.Service].Classes[route.Class].Idempotent {
		if a := n.do(method, route.PathPrefix, "", header...); a.status != 200 || a.outcome != "answered" || !strings.HasPrefix(a.target, route.Service) {
			t.Errorf("%s %s at %s: got %+v", method, route.PathPrefix, n.name, a)
		}
		return
	}
	key := n.do("POST", "/.hyssopsill/order-keys?service="+route.Service, "", header...).key
	if key == "" {
		t.Errorf("no order key of %s at %s", route.Service, n.name)
		return
	}
	for _, entry := range []*nodeProcess{n, f.nodes[0], f.nodes[1]} {
		if a := entry.do(method, route.PathPrefix, "one", append(header, "Idempotency-Key", key)...); a.status != 200 || a.outcome != "answered" || a.key != key {
			t.Errorf("%s %s at %s: got %+v", method, route.PathPrefix, entry.name, a)
		}
	}
	runs := 0
	for _, x := range targets {
		runs += x.counts(t).Executions[key]
	}
	if runs != 1 {
		t.Errorf("order %s of %s ran %d times", key, route.ID, runs)
	}
}

// Guards against a published change, a rollback or a difference that disagrees
// with what the nodes do, and against a change that takes longer than 5 s from
// its acceptance until it is in force on all nodes.
func TestPublishHistoryRollback(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.addTarget(f.nodes[1], "t1", "shop")
	first := f.publishFile(configFile(t, testConfig, "", ""))
	f.ready("t1")
	changed := configFile(t, testConfig, `path_prefix = "/kits"`, `path_prefix = "/boxes"`)
	f.operate("config", "diff", changed).expect(t, 0, "routes/browse", "- path_prefix = '/kits'", "+ path_prefix = '/boxes'")
	var slowest time.Duration
	follow := func(version int64) {
		t.Helper()
		accepted := time.Now()
		eventually(t, inForceEverywhere, fmt.Sprintf("version %d at all nodes", version), func() bool { return f.versionsReach(version) })
		slowest = max(slowest, time.Since(accepted))
	}
	serves := func(path, not string) {
		t.Helper()
		for _, n := range f.nodes {
			if a, b := n.do("GET", path, ""), n.do("GET", not, ""); a.status != 200 || b.reason != "no-route" {
				t.Errorf("%s: %s gave %d %s, %s gave %d %s", n.name, path, a.status, a.reason, not, b.status, b.reason)
			}
		}
	}
	second := f.publishFile(changed, "--author", "rui", "--change-id", "rui-1")
	follow(second)
	serves("/boxes", "/kits")
	f.operate("config", "publish", changed, "--change-id", "rui-1").expect(t, 0, fmt.Sprintf("version %d is accepted", second))
	f.operate("config", "publish", changed, "--base", strconv.FormatInt(first, 10)).expect(t, 3, "configuration has changed")
	var back struct{ Version int64 }
	f.operate("config", "rollback", strconv.FormatInt(first, 10), "--output", "json").expect(t, 0).decode(t, &back)
	follow(back.Version)
	serves("/kits", "/boxes")
	var history []config.HistoryEntry
	f.operate("config", "history", "--output", "json").expect(t, 0).decode(t, &history)
	if len(history) != 3 || history[1].Author != "rui" || history[1].ChangeID != "rui-1" || history[2].Offset != back.Version {
		t.Errorf("history: %+v", history)
	}
	f.operate("config", "diff", configFile(t, testConfig, "", "")).expect(t, 0, "nothing differs")
	for i := range 8 {
		follow(f.publishFile(configFile(t, testConfig, "floor = 0.3", fmt.Sprintf("floor = 0.3%d", i+1))))
	}
	t.Logf("10 changes: at most %s from acceptance until in force on all nodes", slowest.Round(time.Millisecond))
}

// versionsReach asks the nodes without the cost of a process.
func (f *fleet) versionsReach(version int64) bool {
	for _, n := range f.nodes {
		var s struct {
			ConfigVersion int64 `json:"config_version"`
		}
		resp, err := client.Get("http://" + n.admin + "/v1/status")
		if err != nil {
			return false
		}
		err = json.NewDecoder(resp.Body).Decode(&s)
		_ = resp.Body.Close()
		if err != nil || s.ConfigVersion < version {
			return false
		}
	}
	return true
}

// meetAtAppend passes calls on to the log and holds each append until want of
// them have arrived, so that as many operators hold the same version.
func meetAtAppend(t *testing.T, logURL string, want int) string {
	var mu sync.Mutex
	arrived, all := 0, make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a short body is refused by the log
		if r.Method == http.MethodPost {
			mu.Lock()
			if arrived++; arrived == want {
				close(all)
			}
			mu.Unlock()
			select {
			case <-all:
			case <-r.Context().Done():
				return
			}
		}
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, logURL+r.URL.String(), bytes.NewReader(body))
		req.Header = r.Header.Clone()
		resp, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body) // the caller sees a short body
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against two operators who change one object from the same version and
// both believe, or neither does, that their change is in force.
func TestTwoOperatorProcesses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.publishFile(configFile(t, testConfig, "", ""))
	meeting := meetAtAppend(t, f.logURL, 2)
	results := make([]commandResult, 2)
	var wg sync.WaitGroup
	for i := range results {
		file := configFile(t, testConfig, "floor = 0.3", fmt.Sprintf("floor = 0.%d", 4+i))
		wg.Go(func() {
			results[i] = f.operateAt(meeting, "config", "publish", file, "--author", fmt.Sprint("operator", i))
		})
	}
	wg.Wait()
	won, lost := results[0], results[1]
	if won.code != 0 {
		won, lost = lost, won
	}
	won.expect(t, 0, "is accepted")
	lost.expect(t, 3, "services/shop", "- floor = 0.", "+ floor = 0.", "rejected at offset")
	f.operate("config", "history").expect(t, 0, "operator")
}

// Guards against a change that counts twice, or is reported as failed, because
// the log lost the append's answer, against a publish that is silent about an
// outage of the log, and against an accepted change that nodes lose with it.
func TestPublishWithFaultsOfTheLog(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.addTarget(f.nodes[0], "t1", "shop")
	f.publishFile(configFile(t, testConfig, "", ""))
	f.ready("t1")
	f.logFaults(`{"lose_appends":-1}`)
	version := f.publishFile(configFile(t, testConfig, "floor = 0.3", "floor = 0.4"), "--change-id", "answer-lost")
	f.logFaults(`{}`)
	if n := f.configRecords("answer-lost"); n != 1 {
		t.Errorf("the log holds the change %d times", n)
	}
	eventually(t, inForceEverywhere, "the change at all nodes", func() bool { return f.versionsReach(version) })
	f.logFaults(`{"outage":true}`)
	third := configFile(t, testConfig, "floor = 0.3", "floor = 0.45")
	r := f.operate("--timeout", "2s", "config", "publish", third, "--change-id", "outage").expect(t, 1, "unavailable")
	if strings.Contains(r.stdout, "accepted") {
		t.Errorf("published during the outage: %s", r)
	}
	f.logFaults(`{}`)
	if n := f.configRecords("outage"); n != 0 {
		t.Errorf("the log holds the refused change %d times", n)
	}
	f.log.signal(syscall.SIGKILL)
	f.log.wait(t, patience)
	inForce := func(what string) {
		t.Helper()
		eventually(t, patience, what, func() bool { return f.inForce(version) })
		for _, n := range f.nodes {
			eventually(t, patience, what+": served by "+n.name, func() bool { return n.do("GET", "/kits", "").status == 200 })
		}
	}
	inForce("in force without the log")
	f.operate("config", "status").expect(t, 0, "log: ")
	n := f.nodes[2]
	n.signal(syscall.SIGKILL)
	f.restart(n)
	waitHTTP(t, "http://"+n.admin+"/readyz", patience)
	if !f.inForce(version) {
		t.Errorf("ready without version %d: %s", version, f.operate("config", "status"))
	}
	inForce("in force after a restart without the log")
}

// configRecords counts the records of a change in the log.
func (f *fleet) configRecords(changeID string) (n int) {
	f.t.Helper()
	log, err := platform.NewStore(platform.StoreOptions{BaseURL: f.logURL})
	if err != nil {
		f.t.Fatal(err)
	}
	page, err := log.Read(context.Background(), eventlog.StreamConfig, 1, eventlog.MaxPageRecords)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range page.Records {
		if bytes.Contains(r.Data, []byte(`"`+changeID+`"`)) {
			n++
		}
	}
	return n
}

// explanation is what explain prints as JSON.
type explanation struct {
	Records []struct {
		Kind    string
		Request struct {
			Outcome, Reason string
			Attempts        []struct{ Target string }
		}
		Change struct{ Subject, To string }
	}
	Missing []string
}

// explain runs the command in both forms, checks the text, and returns the JSON.
func (f *fleet) explain(id string, parts ...string) (e explanation) {
	f.t.Helper()
	f.operate("explain", id).expect(f.t, 0, append(parts, id)...)
	f.operate("explain", id, "--output", "json").expect(f.t, 0).decode(f.t, &e)
	if len(e.Records) != 1 {
		f.t.Errorf("%s: got %d records, want 1", id, len(e.Records))
	}
	return e
}

const explainConfig = testConfig + `[services.pay]
floor = 0
[services.pay.classes.order]
priority = "order"
deadline = "20s"
[services.void]
[services.void.classes.browse]
idempotent = true
[[routes]]
id = "pay"
path_prefix = "/pay"
service = "pay"
class = "order"
[[routes]]
id = "void"
path_prefix = "/void"
service = "void"
class = "browse"
`

// Guards against outcomes that cannot be explained, or are explained wrongly:
// answered, retried, refused and unknown requests, an ejection, and all of them
// once more after the node that decided was killed.
func TestExplainWholeFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, false)
	f.publishFile(configFile(t, explainConfig, "", ""))
	t1 := f.addTarget(f.nodes[1], "t1", "shop")
	f.addTarget(f.nodes[1], "t2", "shop")
	f.addTarget(f.nodes[2], "t3", "shop")
	pay := f.addTarget(f.nodes[3], "p1", "pay")
	f.ready("t1", "t2", "t3", "p1")
	n := f.nodes[0]

	answered := n.do("GET", "/kits", "")
	f.explain(answered.id, "was answered with status 200", "Attempt 1 went to target "+answered.target, "Configuration version 1 was in force")
	refused := n.do("GET", "/void", "")
	if refused.outcome != "not-run" {
		t.Errorf("a service without targets: got %+v", refused)
	}
	f.explain(refused.id, "was refused", "did not run", "No attempt was made")

	unknown := f.loseOrder(n, f.nodes[3], pay)
	e := f.explain(unknown.id, "without a known outcome", "may have run", "target p1", "Missing", "http://"+f.nodes[3].admin+" did not answer")
	if len(e.Records) == 1 && (e.Records[0].Request.Outcome != "unknown" || len(e.Missing) != 1) {
		t.Errorf("unknown order: %+v", e)
	}

	t1.faults(t, `{"fail_share":1}`)
	var retried answer
	eventually(t, patience, "a retried request and the ejection of t1", func() bool {
		if a := n.do("GET", "/kits", ""); retried.id == "" {
			var e explanation
			getJSON(t, "http://"+n.admin+"/v1/explain?request="+a.id, &e)
			if len(e.Records) == 1 && len(e.Records[0].Request.Attempts) > 1 && a.status == 200 {
				retried = a
			}
		}
		return retried.id != "" && f.ejected("t1")
	})
	f.explain(retried.id, "was answered with status 200", "went to target t1", "Attempt 2 went to target")
	f.operate("explain", "--target", "t1", "--from", "10m", "--to", "0s").expect(t, 0, "Target t1 of service shop at node n2 was ejected", retried.id)
	f.checkReport(t, refused.id, unknown.id, retried.id)

	// Refusals, unknowns, retries and state changes reach the log; then the
	// node is killed.
	for _, id := range []string{refused.id, unknown.id, retried.id} {
		eventually(t, patience, id+" is in the log", func() bool { return operator(f.logURL, nil, "explain", id).code == 0 })
	}
	const ejection = "Target t1 of service shop at node n2 was ejected"
	eventually(t, patience, "the ejection is in the log", func() bool {
		return strings.Contains(operator(f.logURL, nil, "explain", "--target", "t1", "--from", "10m").stdout, ejection)
	})
	n.signal(syscall.SIGKILL)
	n.wait(t, patience)
	dead := "http://" + n.admin + " did not answer"
	f.explain(refused.id, "was refused", dead)
	f.explain(unknown.id, "without a known outcome", dead)
	f.explain(retried.id, "Attempt 2 went to target", dead)
	f.operate("explain", "0123456789abcdef-none").expect(t, 1, dead, "no record of 0123456789abcdef-none")
	f.operate("explain", "--target", "t1", "--from", "10m").expect(t, 0, ejection, dead)
}

// loseOrder sends an order with a key and kills the node of its target while it runs.
func (f *fleet) loseOrder(entry, owner *nodeProcess, x *targetProcess) answer {
	f.t.Helper()
	key := entry.do("POST", "/.hyssopsill/order-keys?service=pay", "", "X-Customer", "c").key
	result := make(chan answer, 1)
	go func() {
		result <- entry.do("POST", "/pay?work_ms=15000", "x", "Idempotency-Key", key, "X-Customer", "c")
	}()
	eventually(f.t, patience, "the order runs", func() bool { return x.counts(f.t).Running == 1 })
	owner.signal(syscall.SIGKILL)
	a := <-result
	if a.outcome != "unknown" {
		f.t.Errorf("an order whose gate was killed: got %+v", a)
	}
	return a
}

func (f *fleet) ejected(target string) bool {
	r := f.operate("explain", "--target", target, "--from", "10m", "--output", "json")
	var e explanation
	if r.code != 0 {
		return false
	}
	r.decode(f.t, &e)
	for _, record := range e.Records {
		if record.Change.Subject == target && record.Kind == "ejection" {
			return true
		}
	}
	return false
}

// outside matches what makes a browser load something else.
var outside = regexp.MustCompile(`(?i)\b(src|href|action|data)\s*=|url\(|@import|<(script|link|iframe|object|embed|img)\b`)

// checkReport checks the page in both forms.
func (f *fleet) checkReport(t *testing.T, ids ...string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "report.html")
	f.operate("report", "--from", "10m", "--title", "Failing t1", "--file", file).expect(t, 0)
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if found := outside.FindString(string(page)); found != "" {
		t.Errorf("the report refers to something outside: %s", found)
	}
	var asJSON explanation
	r := f.operate("report", "--from", "10m", "--output", "json").expect(t, 0)
	r.decode(t, &asJSON)
	for _, want := range append(ids, "<svg", "Target t1 of service shop at node n2 was ejected", "did not answer") {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	for _, id := range ids {
		if !strings.Contains(r.stdout, id) {
			t.Errorf("the report as JSON lacks %s", id)
		}
	}
}

// Guards against a drain and a configuration change at the same time that undo
// one another, cut a request, or run an order twice.
func TestDrainDuringPublish(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.publishFile(configFile(t, testConfig, "", ""))
	var targets []*targetProcess
	var ids []string
	for i, n := range f.nodes {
		id := fmt.Sprintf("t%d", i+1)
		targets, ids = append(targets, f.addTarget(n, id, "shop", "--slots", "40")), append(ids, id)
	}
	f.ready(ids...)
	leaving := f.nodes[1]
	const size = 6 << 20
	long := make(chan answer, 6)
	for i := range 6 { // some enter at the leaving node, any gate may run them
		go func() { long <- f.nodes[i%2].do("GET", fmt.Sprintf("/guides/g?size=%d&rate=%d", size, 2<<20), "") }()
	}
	eventually(t, patience, "downloads run", func() bool {
		running := 0
		for _, x := range targets {
			running += x.counts(t).Running
		}
		return running == 6
	})
	c := startCustomers(t, f, 4, f.nodes[0], f.nodes[2])
	changed := configFile(t, testConfig, `deadline = "3s"`, `deadline = "4s"`)
	published := make(chan commandResult, 1)
	go func() { published <- f.operate("config", "publish", changed, "--output", "json") }()
	leaving.signal(syscall.SIGTERM)
	r := <-published
	var v struct{ Version int64 }
	r.expect(t, 0).decode(t, &v)
	for i := range 6 {
		if a := <-long; a.err != nil || a.status != 200 || !patternOK(a.body, size) {
			t.Errorf("download %d cut: %d %s, %d bytes, %v", i, a.status, a.reason, len(a.body), a.err)
		}
	}
	leaving.wait(t, patience)
	if code := leaving.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the drained node ended with status %d", code)
	}
	f.nodes = []*nodeProcess{f.nodes[0], f.nodes[2]}
	if !f.inForce(v.Version) {
		t.Errorf("version %d: %s", v.Version, f.operate("config", "status"))
	}
	before := targets[1].counts(t).Requests
	time.Sleep(500 * time.Millisecond)
	if after := targets[1].counts(t).Requests; after != before {
		t.Errorf("%d requests reached the target of the drained node", after-before)
	}
	c.finish(targets)
	if c.good != c.sent {
		t.Errorf("%d of %d requests failed during drain and change", c.sent-c.good, c.sent)
	}
}
