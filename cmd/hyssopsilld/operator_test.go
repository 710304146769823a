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

// maxWait limits waits that have no stated target.
const maxWait = 30 * time.Second

// configForwardBound is the stated time within which an accepted configuration is in
// force on all nodes.
const configForwardBound = 5 * time.Second

// commandResult is the result of one run of hyssopsill.
type commandResult struct {
	line           string
	code           int
	stdout, stderr string
}

func (r commandResult) String() string {
	return fmt.Sprintf("%s: exit code %d\n%s%s", r.line, r.code, r.stdout, r.stderr)
}

// runCommand runs hyssopsill as a process with the addresses of the log and all
// nodes.
func (f *fleet) runCommand(args ...string) commandResult {
	return f.runCommandWithLog(f.logURL, args...)
}

func (f *fleet) runCommandWithLog(logURL string, args ...string) commandResult {
	var nodes []string
	for _, n := range f.nodes {
		nodes = append(nodes, "http://"+n.admin)
	}
	return runOperatorCommand(logURL, nodes, args...)
}

func runOperatorCommand(logURL string, nodes []string, args ...string) commandResult {
	cmd := exec.Command(filepath.Join(binaries, "hyssopsill"), args...)
	cmd.Env = append(os.Environ(), "HYSSOPSILL_LOG="+logURL, "HYSSOPSILL_NODES="+strings.Join(nodes, ","), "USER=ana")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	result := commandResult{line: strings.Join(args, " "), stdout: stdout.String(), stderr: stderr.String()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		result.code = exit.ExitCode()
	} else if err != nil {
		result.code, result.stderr = -1, err.Error()
	}
	return result
}

// expect checks the exit code and that the output contains the parts.
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

// publishFile publishes a file with the command and returns the version.
func (f *fleet) publishFile(file string, args ...string) int64 {
	f.t.Helper()
	var out struct {
		Version  int64
		Accepted bool
	}
	f.runCommand(append([]string{"config", "publish", file, "--output", "json"}, args...)...).expect(f.t, 0).decode(f.t, &out)
	if !out.Accepted || out.Version == 0 {
		f.t.Fatalf("publish: %+v", out)
	}
	return out.Version
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

// statusShowsVersion reports whether config status shows the version or a greater
// one for all nodes.
func (f *fleet) statusShowsVersion(version int64) bool {
	var status statusOutput
	f.runCommand("config", "status", "--output", "json").expect(f.t, 0).decode(f.t, &status)
	for _, n := range status.Nodes {
		if n.Error != "" || n.Status.ConfigVersion < version {
			return false
		}
	}
	return len(status.Nodes) == len(f.nodes)
}

// setLogFaults sets the faults of the log stand-in.
func (f *fleet) setLogFaults(text string) {
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

// writeConfigVariant writes a configuration in which the first occurrence of old is
// replaced, and returns the name of the file.
func writeConfigVariant(t testing.TB, text, old, replacement string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.toml")
	if old != "" && !strings.Contains(text, old) {
		t.Fatalf("the configuration lacks %q", old)
	}
	writeFile(t, file, strings.Replace(text, old, replacement, 1))
	return file
}

// Guards against a questionnaire whose generated configuration is rejected, or is in
// force although a node does not serve each of its routes.
func TestQuestionnaireToServing(t *testing.T) {
	t.Parallel()
	for _, example := range []string{"sunbake", "anfb"} {
		t.Run(example, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, false)
			file := filepath.Join(t.TempDir(), "config.toml")
			answersFile := filepath.Join("..", "..", "examples", example, "questionnaire.toml")
			f.runCommand("questionnaire", "generate", answersFile, "--to", file).expect(t, 0)
			f.runCommand("config", "validate", file).expect(t, 0, "valid: 3 services")
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
			f.waitReady(ids...)
			eventually(t, maxWait, "config status shows the version at all nodes", func() bool { return f.statusShowsVersion(version) })
			for _, route := range generated.Routes {
				for _, n := range f.nodes {
					checkRoute(t, f, generated, route, n, targets)
				}
			}
		})
	}
}

// checkRoute sends a request of the route to a node. An order is sent again to other
// nodes with the same key and must have run once.
func checkRoute(t *testing.T, f *fleet, c *config.Config, route config.Route, n *nodeProcess, targets []*targetProcess) {
	t.Helper()
	method := "GET"
	if len(route.Methods) > 0 {
		method = route.Methods[0]
	}
	header := []string{c.CustomerHeader, "school-7"}
	if c.Services[route.Service].Classes[route.Class].Idempotent {
		if resp := n.sendRequest(method, route.PathPrefix, "", header...); resp.status != 200 || resp.outcome != "answered" || !strings.HasPrefix(resp.target, route.Service) {
			t.Errorf("%s %s at %s: got %+v", method, route.PathPrefix, n.name, resp)
		}
		return
	}
	key := n.sendRequest("POST", "/.hyssopsill/order-keys?service="+route.Service, "", header...).key
	if key == "" {
		t.Errorf("no order key of %s at %s", route.Service, n.name)
		return
	}
	for _, entry := range []*nodeProcess{n, f.nodes[0], f.nodes[1]} {
		if resp := entry.sendRequest(method, route.PathPrefix, "one", append(header, "Idempotency-Key", key)...); resp.status != 200 || resp.outcome != "answered" || resp.key != key {
			t.Errorf("%s %s at %s: got %+v", method, route.PathPrefix, entry.name, resp)
		}
	}
	executions := 0
	for _, p := range targets {
		executions += p.counts(t).Executions[key]
	}
	if executions != 1 {
		t.Errorf("order %s of %s ran %d times", key, route.ID, executions)
	}
}

// Guards against a published change, a rollback or a diff that disagrees with what
// the nodes serve, and against a change that takes longer than 5 s from its
// acceptance until it is in force on all nodes.
func TestPublishHistoryRollback(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.addTarget(f.nodes[1], "t1", "shop")
	first := f.publishFile(writeConfigVariant(t, testConfig, "", ""))
	f.waitReady("t1")
	changed := writeConfigVariant(t, testConfig, `path_prefix = "/kits"`, `path_prefix = "/boxes"`)
	f.runCommand("config", "diff", changed).expect(t, 0, "routes/browse", "- path_prefix = '/kits'", "+ path_prefix = '/boxes'")
	var slowest time.Duration
	awaitInForce := func(version int64) {
		t.Helper()
		accepted := time.Now()
		eventually(t, configForwardBound, fmt.Sprintf("version %d at all nodes", version), func() bool { return f.nodesReachVersion(version) })
		slowest = max(slowest, time.Since(accepted))
	}
	checkServed := func(path, unserved string) {
		t.Helper()
		for _, n := range f.nodes {
			if served, refused := n.sendRequest("GET", path, ""), n.sendRequest("GET", unserved, ""); served.status != 200 || refused.reason != "no-route" {
				t.Errorf("%s: %s gave %d %s, %s gave %d %s", n.name, path, served.status, served.reason, unserved, refused.status, refused.reason)
			}
		}
	}
	second := f.publishFile(changed, "--author", "rui", "--change-id", "rui-1")
	awaitInForce(second)
	checkServed("/boxes", "/kits")
	f.runCommand("config", "publish", changed, "--change-id", "rui-1").expect(t, 0, fmt.Sprintf("version %d is accepted", second))
	f.runCommand("config", "publish", changed, "--base", strconv.FormatInt(first, 10)).expect(t, 3, "configuration has changed")
	var rolledBack struct{ Version int64 }
	f.runCommand("config", "rollback", strconv.FormatInt(first, 10), "--output", "json").expect(t, 0).decode(t, &rolledBack)
	awaitInForce(rolledBack.Version)
	checkServed("/kits", "/boxes")
	var history []config.HistoryEntry
	f.runCommand("config", "history", "--output", "json").expect(t, 0).decode(t, &history)
	if len(history) != 3 || history[1].Author != "rui" || history[1].ChangeID != "rui-1" || history[2].Offset != rolledBack.Version {
		t.Errorf("history: %+v", history)
	}
	f.runCommand("config", "diff", writeConfigVariant(t, testConfig, "", "")).expect(t, 0, "nothing differs")
	for i := range 8 {
		awaitInForce(f.publishFile(writeConfigVariant(t, testConfig, "floor = 0.3", fmt.Sprintf("floor = 0.3%d", i+1))))
	}
	t.Logf("10 changes: at most %s from acceptance until in force on all nodes", slowest.Round(time.Millisecond))
}

// nodesReachVersion reports whether all nodes have the version or a greater one. It
// requests their status directly, as starting a process for each poll takes long.
func (f *fleet) nodesReachVersion(version int64) bool {
	for _, n := range f.nodes {
		var status struct {
			ConfigVersion int64 `json:"config_version"`
		}
		resp, err := client.Get("http://" + n.admin + "/v1/status")
		if err != nil {
			return false
		}
		err = json.NewDecoder(resp.Body).Decode(&status)
		_ = resp.Body.Close()
		if err != nil || status.ConfigVersion < version {
			return false
		}
	}
	return true
}

// holdAppends starts a proxy of the log that delays each append until want of them
// have arrived, so that as many operators start from the same version.
func holdAppends(t *testing.T, logURL string, want int) string {
	var mu sync.Mutex
	arrived, allArrived := 0, make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // the log refuses a short body
		if r.Method == http.MethodPost {
			mu.Lock()
			if arrived++; arrived == want {
				close(allArrived)
			}
			mu.Unlock()
			select {
			case <-allArrived:
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
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against concurrent changes of one object from the same version of which both
// or neither are reported as accepted.
func TestConcurrentPublishByTwoProcesses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.publishFile(writeConfigVariant(t, testConfig, "", ""))
	holdingLogURL := holdAppends(t, f.logURL, 2)
	results := make([]commandResult, 2)
	var wg sync.WaitGroup
	for i := range results {
		file := writeConfigVariant(t, testConfig, "floor = 0.3", fmt.Sprintf("floor = 0.%d", 4+i))
		wg.Go(func() {
			results[i] = f.runCommandWithLog(holdingLogURL, "config", "publish", file, "--author", fmt.Sprint("operator", i))
		})
	}
	wg.Wait()
	accepted, rejected := results[0], results[1]
	if accepted.code != 0 {
		accepted, rejected = rejected, accepted
	}
	accepted.expect(t, 0, "is accepted")
	rejected.expect(t, 3, "services/shop", "- floor = 0.", "+ floor = 0.", "rejected at offset")
	f.runCommand("config", "history").expect(t, 0, "operator")
}

// Guards against a change that is appended twice or reported as failed because the
// response to the append was lost, against a publish command that does not report an
// outage of the log, and against nodes that lose an accepted change during one.
func TestPublishDuringLogFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.addTarget(f.nodes[0], "t1", "shop")
	f.publishFile(writeConfigVariant(t, testConfig, "", ""))
	f.waitReady("t1")
	f.setLogFaults(`{"lose_appends":-1}`)
	version := f.publishFile(writeConfigVariant(t, testConfig, "floor = 0.3", "floor = 0.4"), "--change-id", "answer-lost")
	f.setLogFaults(`{}`)
	if n := f.configRecords("answer-lost"); n != 1 {
		t.Errorf("the log contains the change %d times", n)
	}
	eventually(t, configForwardBound, "the change at all nodes", func() bool { return f.nodesReachVersion(version) })
	f.setLogFaults(`{"outage":true}`)
	third := writeConfigVariant(t, testConfig, "floor = 0.3", "floor = 0.45")
	result := f.runCommand("--timeout", "2s", "config", "publish", third, "--change-id", "outage").expect(t, 1, "unavailable")
	if strings.Contains(result.stdout, "accepted") {
		t.Errorf("published during the outage: %s", result)
	}
	f.setLogFaults(`{}`)
	if n := f.configRecords("outage"); n != 0 {
		t.Errorf("the log contains the failed change %d times", n)
	}
	f.log.signal(syscall.SIGKILL)
	f.log.waitExit(t, maxWait)
	checkInForce := func(description string) {
		t.Helper()
		eventually(t, maxWait, description, func() bool { return f.statusShowsVersion(version) })
		for _, n := range f.nodes {
			eventually(t, maxWait, description+": served by "+n.name, func() bool { return n.sendRequest("GET", "/kits", "").status == 200 })
		}
	}
	checkInForce("in force without the log")
	f.runCommand("config", "status").expect(t, 0, "log: ")
	n := f.nodes[2]
	n.signal(syscall.SIGKILL)
	f.restart(n)
	waitHTTP(t, "http://"+n.admin+"/readyz", maxWait)
	if !f.statusShowsVersion(version) {
		t.Errorf("ready without version %d: %s", version, f.runCommand("config", "status"))
	}
	checkInForce("in force after a restart without the log")
}

// configRecords counts the records of a change in the log.
func (f *fleet) configRecords(changeID string) (n int) {
	f.t.Helper()
	log, err := platform.NewStore(platform.StoreOptions{BaseURL: f.logURL, Timeout: setupTimeout})
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

// explanation is the JSON output of explain and report.
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

// explain runs the command with both kinds of output, checks the text and returns
// the JSON.
func (f *fleet) explain(id string, parts ...string) (explained explanation) {
	f.t.Helper()
	f.runCommand("explain", id).expect(f.t, 0, append(parts, id)...)
	f.runCommand("explain", id, "--output", "json").expect(f.t, 0).decode(f.t, &explained)
	if len(explained.Records) != 1 {
		f.t.Errorf("%s: got %d records, want 1", id, len(explained.Records))
	}
	return explained
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

// Guards against missing or wrong explanations of answered, retried, refused and
// unknown requests and of an ejection, also after the node that recorded them was
// killed.
func TestExplainWholeFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, false)
	f.publishFile(writeConfigVariant(t, explainConfig, "", ""))
	t1 := f.addTarget(f.nodes[1], "t1", "shop")
	f.addTarget(f.nodes[1], "t2", "shop")
	f.addTarget(f.nodes[2], "t3", "shop")
	pay := f.addTarget(f.nodes[3], "p1", "pay")
	f.waitReady("t1", "t2", "t3", "p1")
	n := f.nodes[0]

	answered := n.sendRequest("GET", "/kits", "")
	f.explain(answered.requestID, "was answered with status 200", "Attempt 1 went to target "+answered.target, "Configuration version 1 was in force")
	refused := n.sendRequest("GET", "/void", "")
	if refused.outcome != "not-run" {
		t.Errorf("a service without targets: got %+v", refused)
	}
	f.explain(refused.requestID, "was refused", "did not run", "No attempt was made")

	unknown := f.killGateDuringOrder(n, f.nodes[3], pay)
	explained := f.explain(unknown.requestID, "without a known outcome", "may have run", "target p1", "Missing", "http://"+f.nodes[3].admin+" did not respond")
	if len(explained.Records) == 1 && (explained.Records[0].Request.Outcome != "unknown" || len(explained.Missing) != 1) {
		t.Errorf("unknown order: %+v", explained)
	}

	t1.setFaults(t, `{"fail_share":1}`)
	var retried response
	eventually(t, maxWait, "a retried request and the ejection of t1", func() bool {
		if resp := n.sendRequest("GET", "/kits", ""); retried.requestID == "" {
			var explained explanation
			getJSON(t, "http://"+n.admin+"/v1/explain?request="+resp.requestID, &explained)
			if len(explained.Records) == 1 && len(explained.Records[0].Request.Attempts) > 1 && resp.status == 200 {
				retried = resp
			}
		}
		return retried.requestID != "" && f.ejectionExplained("t1")
	})
	f.explain(retried.requestID, "was answered with status 200", "went to target t1", "Attempt 2 went to target")
	f.runCommand("explain", "--target", "t1", "--from", "10m", "--to", "0s").expect(t, 0, "Target t1 of service shop at node n2 was ejected", retried.requestID)
	f.checkReport(t, refused.requestID, unknown.requestID, retried.requestID)

	// The node is killed once the records of the refused, unknown and retried requests
	// and of the ejection have reached the log.
	for _, id := range []string{refused.requestID, unknown.requestID, retried.requestID} {
		eventually(t, maxWait, id+" is in the log", func() bool { return runOperatorCommand(f.logURL, nil, "explain", id).code == 0 })
	}
	const ejection = "Target t1 of service shop at node n2 was ejected"
	eventually(t, maxWait, "the ejection is in the log", func() bool {
		return strings.Contains(runOperatorCommand(f.logURL, nil, "explain", "--target", "t1", "--from", "10m").stdout, ejection)
	})
	n.signal(syscall.SIGKILL)
	n.waitExit(t, maxWait)
	deadNodeSentence := "http://" + n.admin + " did not respond"
	f.explain(refused.requestID, "was refused", deadNodeSentence)
	f.explain(unknown.requestID, "without a known outcome", deadNodeSentence)
	f.explain(retried.requestID, "Attempt 2 went to target", deadNodeSentence)
	f.runCommand("explain", "0123456789abcdef-none").expect(t, 1, deadNodeSentence, "no record of 0123456789abcdef-none")
	f.runCommand("explain", "--target", "t1", "--from", "10m").expect(t, 0, ejection, deadNodeSentence)
}

// killGateDuringOrder sends an order with a key and kills the node of its target while
// the order runs.
func (f *fleet) killGateDuringOrder(entry, gate *nodeProcess, p *targetProcess) response {
	f.t.Helper()
	key := entry.sendRequest("POST", "/.hyssopsill/order-keys?service=pay", "", "X-Customer", "c").key
	responses := make(chan response, 1)
	go func() {
		responses <- entry.sendRequest("POST", "/pay?work_ms=15000", "x", "Idempotency-Key", key, "X-Customer", "c")
	}()
	eventually(f.t, maxWait, "the order runs", func() bool { return p.counts(f.t).Running == 1 })
	gate.signal(syscall.SIGKILL)
	resp := <-responses
	if resp.outcome != "unknown" {
		f.t.Errorf("an order whose gate was killed: got %+v", resp)
	}
	return resp
}

// ejectionExplained reports whether explain shows an ejection of the target.
func (f *fleet) ejectionExplained(target string) bool {
	result := f.runCommand("explain", "--target", target, "--from", "10m", "--output", "json")
	var explained explanation
	if result.code != 0 {
		return false
	}
	result.decode(f.t, &explained)
	for _, record := range explained.Records {
		if record.Change.Subject == target && record.Kind == "ejection" {
			return true
		}
	}
	return false
}

// externalReference matches markup that makes a browser load other files.
var externalReference = regexp.MustCompile(`(?i)\b(src|href|action|data)\s*=|url\(|@import|<(script|link|iframe|object|embed|img)\b`)

// checkReport checks the report as HTML and as JSON.
func (f *fleet) checkReport(t *testing.T, ids ...string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "report.html")
	f.runCommand("report", "--from", "10m", "--title", "Failing t1", "--file", file).expect(t, 0)
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if found := externalReference.FindString(string(page)); found != "" {
		t.Errorf("the report refers to another file: %s", found)
	}
	var asJSON explanation
	result := f.runCommand("report", "--from", "10m", "--output", "json").expect(t, 0)
	result.decode(t, &asJSON)
	for _, want := range append(ids, "<svg", "Target t1 of service shop at node n2 was ejected", "did not respond") {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	for _, id := range ids {
		if !strings.Contains(result.stdout, id) {
			t.Errorf("the report as JSON lacks %s", id)
		}
	}
}

// Guards against a drain and a configuration change at the same time of which one
// undoes the other, a request is interrupted, or an order runs twice.
func TestDrainDuringPublish(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.publishFile(writeConfigVariant(t, testConfig, "", ""))
	var targets []*targetProcess
	var ids []string
	for i, n := range f.nodes {
		id := fmt.Sprintf("t%d", i+1)
		targets, ids = append(targets, f.addTarget(n, id, "shop", "--slots", "40")), append(ids, id)
	}
	f.waitReady(ids...)
	leaving := f.nodes[1]
	const size = 6 << 20
	downloads := make(chan response, 6)
	for i := range 6 { // half of them enter at the leaving node, any gate may run them
		go func() {
			downloads <- f.nodes[i%2].sendRequest("GET", fmt.Sprintf("/guides/g?size=%d&rate=%d", size, 2<<20), "")
		}()
	}
	eventually(t, maxWait, "downloads run", func() bool {
		running := 0
		for _, p := range targets {
			running += p.counts(t).Running
		}
		return running == 6
	})
	load := startLoad(t, f, 4, f.nodes[0], f.nodes[2])
	changed := writeConfigVariant(t, testConfig, `deadline = "3s"`, `deadline = "4s"`)
	published := make(chan commandResult, 1)
	go func() { published <- f.runCommand("config", "publish", changed, "--output", "json") }()
	leaving.signal(syscall.SIGTERM)
	result := <-published
	var out struct{ Version int64 }
	result.expect(t, 0).decode(t, &out)
	for i := range 6 {
		if resp := <-downloads; resp.err != nil || resp.status != 200 || !patternOK(resp.body, size) {
			t.Errorf("download %d interrupted: %d %s, %d bytes, %v", i, resp.status, resp.reason, len(resp.body), resp.err)
		}
	}
	leaving.waitExit(t, maxWait)
	if code := leaving.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the drained node exited with status %d", code)
	}
	f.nodes = []*nodeProcess{f.nodes[0], f.nodes[2]}
	if !f.statusShowsVersion(out.Version) {
		t.Errorf("version %d: %s", out.Version, f.runCommand("config", "status"))
	}
	before := targets[1].counts(t).Requests
	time.Sleep(500 * time.Millisecond)
	if after := targets[1].counts(t).Requests; after != before {
		t.Errorf("%d requests reached the target of the drained node", after-before)
	}
	load.stopAndCheck(targets)
	if load.succeeded != load.sent {
		t.Errorf("%d of %d requests failed during drain and change", load.sent-load.succeeded, load.sent)
	}
}
