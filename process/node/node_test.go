package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/standin/target"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const testConfig = `[services.shop]
floor = 0.3
slow_start = "50ms"
[services.shop.classes.browse]
idempotent = true
hedge = true
[services.shop.classes.order]
priority = "order"
[[routes]]
id = "browse"
path_prefix = "/kits"
service = "shop"
class = "browse"
[[routes]]
id = "orders"
path_prefix = "/orders"
service = "shop"
class = "order"
`

// testNode is a node that runs in the test process. A violated invariant panics.
type testNode struct {
	*Node
	cancel context.CancelFunc
	done   chan error
}

// startTestNode starts a node, with changed settings if change is given.
func startTestNode(t testing.TB, name, domain string, log eventlog.Store, change ...func(*settings.Settings)) *testNode {
	t.Helper()
	return newTestNode(t, name, domain, log, change...).start(t)
}

func newTestNode(t testing.TB, name, domain string, log eventlog.Store, change ...func(*settings.Settings)) *testNode {
	t.Helper()
	return newProfileNode(t, attempt.DefaultHTTPProfile, name, domain, log, change...)
}

func newProfileNode(t testing.TB, profile attempt.HTTPProfile, name, domain string, log eventlog.Store, change ...func(*settings.Settings)) *testNode {
	t.Helper()
	any := "127.0.0.1:0"
	s := settings.Settings{Node: name, Domain: domain, FleetToken: "token-of-the-test", LogURL: "http://127.0.0.1:1",
		Listen: settings.Listen{Caller: any, PeerData: any, PeerControl: any, Announce: any, Admin: any},
		Limits: settings.Limits{HeaderBytes: 32 << 10, BodyBytes: 1 << 20, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute, Connections: 1000}}
	for _, f := range change {
		f(&s)
	}
	n, err := New(Options{Settings: s, Log: zerolog.Nop(), LogService: log, HTTPProfile: profile, PanicOnViolation: true})
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{Node: n, done: make(chan error, 1)}
}

// start runs the node until the test ends.
func (n *testNode) start(t testing.TB) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.done <- n.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-n.done; err != nil {
			t.Errorf("%s ended with %v", n.options.Settings.Node, err)
		}
	})
	return n
}

func startTarget(t testing.TB, node *testNode, id string) *target.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	standinTarget := target.New(target.Options{ID: id, Service: "shop", Slots: 6, TTL: time.Second, Node: "http://" + node.Addresses().Announce, Address: l.Addr().String()})
	server := &http.Server{Handler: standinTarget, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = standinTarget.Serve(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait(); _ = server.Close() })
	return standinTarget
}

func publishConfig(t testing.TB, log eventlog.Store, text string) {
	t.Helper()
	parsed, findings := config.Parse("test.toml", []byte(text))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	change, err := config.NewState().ChangeTo(parsed, "c1", "test")
	if err != nil {
		t.Fatal(err)
	}
	data, err := change.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), eventlog.StreamConfig, data); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", description)
}

// Guards, with the race detector, against data races between nodes of one
// process, against violated invariants while a target fails grayly, and against
// gossip that does not carry quarantines or demand.
func TestSeveralNodesInOneProcess(t *testing.T) {
	log := logservice.New(logservice.Options{})
	publishConfig(t, log, strings.Replace(testConfig, "floor = 0.3", "floor = 0.3\nmax_rate = 100000", 1)) // demand is reported where limits need it
	var nodes []*testNode
	var targets []*target.Target
	for i := range 3 {
		node := startTestNode(t, fmt.Sprintf("n%d", i+1), fmt.Sprintf("d%d", i+1), log)
		nodes = append(nodes, node)
		targets = append(targets, startTarget(t, node, fmt.Sprintf("t%d", i+1)), startTarget(t, node, fmt.Sprintf("u%d", i+1)))
	}
	eventually(t, "all nodes know all targets", func() bool {
		for _, node := range nodes {
			if ok, _ := node.ready(); !ok || len(node.entry.Targets()) != len(targets) {
				return false
			}
		}
		return true
	})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { sendCustomerRequests(t, nodes, i, 60) })
	}
	for _, faults := range []target.Faults{{TruncateShare: 0.5}, {WrongDigestShare: 0.5}, {FailShare: 0.5}, {SlowMS: 200}, {}} {
		targets[0].SetFaults(faults)
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	eventually(t, "all nodes report their demand", func() bool {
		for _, m := range nodes[0].fleet.gossip.View().Members {
			if r, err := decodeReports(m.Node, time.Now(), m.Reports); err != nil || len(r.demand) == 0 {
				return false
			}
		}
		return true
	})
	for _, standinTarget := range targets {
		standinTarget.SetFaults(target.Faults{CrashOn: "poison"})
	}
	for range 3 {
		_, _, _ = get(nodes[0], "/kits/poison")
	}
	eventually(t, "all nodes know the quarantine", func() bool {
		for _, node := range nodes {
			if _, outcome, _ := get(node, "/kits/poison"); outcome != "not-run" {
				return false
			}
		}
		return true
	})
}

func get(node *testNode, path string) (status int, outcome, body string) {
	resp, err := http.Get("http://" + node.Addresses().Caller + path)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Hyssopsill-Outcome"), string(data)
}

// sendCustomerRequests sends requests and orders to the nodes in turn, and checks
// that each response belongs to its request.
func sendCustomerRequests(t *testing.T, nodes []*testNode, id, requests int) {
	for i := range requests {
		node := nodes[(id+i)%len(nodes)]
		if i%3 == 0 {
			key := fmt.Sprintf("key-%d-%d", id, i)
			req, _ := http.NewRequest(http.MethodPost, "http://"+node.Addresses().Caller+"/orders", strings.NewReader("one kit"))
			req.Header.Set("Idempotency-Key", key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			var response target.Response
			if err := json.NewDecoder(resp.Body).Decode(&response); resp.StatusCode == http.StatusOK && (err != nil || response.Key != key) {
				t.Errorf("order %s got %+v, %v", key, response, err)
			}
			_ = resp.Body.Close()
			continue
		}
		path := fmt.Sprintf("/kits/%d-%d", id, i)
		if status, _, body := get(node, path); status == http.StatusOK && !strings.Contains(body, `"`+path+`"`) {
			t.Errorf("%s got %s", path, body)
		}
	}
}

// Guards against loads that do not reach other nodes with share_loads, that reach them from
// another failure domain, or that are sent while the setting is off.
func TestNodesShareLoads(t *testing.T) {
	for _, share := range []bool{true, false} {
		t.Run(fmt.Sprint("share_loads=", share), func(t *testing.T) {
			log := logservice.New(logservice.Options{})
			publishConfig(t, log, testConfig)
			var nodes []*testNode
			for i, domain := range []string{"d1", "d1", "d1", "d2"} {
				node := startTestNode(t, fmt.Sprint("n", i+1), domain, log, func(s *settings.Settings) { s.Defaults.ShareLoads = share })
				nodes = append(nodes, node)
				startTarget(t, node, fmt.Sprint("t", i+1))
			}
			eventually(t, "all nodes know all targets", func() bool {
				for _, node := range nodes {
					if ok, _ := node.ready(); !ok || len(node.entry.Targets()) != len(nodes) {
						return false
					}
				}
				return true
			})
			for i := range 120 {
				if status, _, body := get(nodes[i%len(nodes)], "/kits/a"); status != http.StatusOK {
					t.Fatalf("status %d: %s", status, body)
				}
			}
			for i, node := range nodes {
				counts := node.entry.LoadCounts()
				if counts.Bad != 0 || counts.Unknown != 0 || (counts.Fresher+counts.NotFresher > 0) != (share && i < 3) {
					t.Errorf("%s: %+v", node.options.Settings.Node, counts)
				}
			}
		})
	}
}
