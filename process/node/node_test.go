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

// embedded is a node in this process. A violated invariant panics.
type embedded struct {
	*Node
	cancel context.CancelFunc
	done   chan error
}

func startEmbedded(t *testing.T, name, domain string, log eventlog.Store) *embedded {
	t.Helper()
	any := "127.0.0.1:0"
	s := settings.Settings{Node: name, Domain: domain, FleetToken: "token-of-the-test", LogURL: "http://127.0.0.1:1",
		Listen: settings.Listen{Caller: any, PeerData: any, PeerControl: any, Announce: any, Admin: any},
		Limits: settings.Limits{HeaderBytes: 32 << 10, BodyBytes: 1 << 20, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute, Connections: 1000}}
	n, err := New(Options{Settings: s, Log: zerolog.Nop(), LogService: log, PanicOnViolation: true})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &embedded{Node: n, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- n.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-e.done; err != nil {
			t.Errorf("%s ended with %v", name, err)
		}
	})
	return e
}

func startTarget(t *testing.T, e *embedded, id string) *target.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := target.New(target.Options{ID: id, Service: "shop", Slots: 6, TTL: time.Second, Node: "http://" + e.Addresses().Announce, Address: l.Addr().String()})
	server := &http.Server{Handler: x, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = x.Serve(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait(); _ = server.Close() })
	return x
}

func publish(t *testing.T, log eventlog.Store, text string) {
	t.Helper()
	want, findings := config.Parse("test.toml", []byte(text))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	change, err := config.NewState().ChangeTo(want, "c1", "test")
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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}

// Guards, with the race detector, against nodes that disturb each other in one
// process, against violated invariants under gray failures, and against a
// quarantine or demand that gossip does not carry.
func TestSeveralNodesInOneProcess(t *testing.T) {
	log := logservice.New(logservice.Options{})
	publish(t, log, testConfig)
	var nodes []*embedded
	var targets []*target.Target
	for i := range 3 {
		e := startEmbedded(t, fmt.Sprintf("n%d", i+1), fmt.Sprintf("d%d", i+1), log)
		nodes = append(nodes, e)
		targets = append(targets, startTarget(t, e, fmt.Sprintf("t%d", i+1)), startTarget(t, e, fmt.Sprintf("u%d", i+1)))
	}
	eventually(t, "all nodes know all targets", func() bool {
		for _, e := range nodes {
			if ok, _ := e.ready(); !ok || len(e.entry.Targets()) != len(targets) {
				return false
			}
		}
		return true
	})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { customer(t, nodes, i, 60) })
	}
	for _, f := range []target.Faults{{TruncateShare: 0.5}, {WrongDigestShare: 0.5}, {FailShare: 0.5}, {SlowMS: 200}, {}} {
		targets[0].SetFaults(f)
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	eventually(t, "demand is shared", func() bool {
		for _, m := range nodes[0].fleet.gossip.View().Members {
			if r, err := decodeReports(m.Node, time.Now(), m.Reports); err != nil || len(r.demand) == 0 {
				return false
			}
		}
		return true
	})
	for _, x := range targets {
		x.SetFaults(target.Faults{CrashOn: "poison"})
	}
	for range 3 {
		_, _, _ = get(nodes[0], "/kits/poison")
	}
	eventually(t, "the quarantine is known everywhere", func() bool {
		for _, e := range nodes {
			if _, outcome, _ := get(e, "/kits/poison"); outcome != "not-run" {
				return false
			}
		}
		return true
	})
}

func get(e *embedded, path string) (status int, outcome, body string) {
	resp, err := http.Get("http://" + e.Addresses().Caller + path)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Hyssopsill-Outcome"), string(data)
}

// customer sends requests and checks that each answer is its own.
func customer(t *testing.T, nodes []*embedded, id, requests int) {
	for i := range requests {
		e := nodes[(id+i)%len(nodes)]
		if i%3 == 0 {
			key := fmt.Sprintf("key-%d-%d", id, i)
			req, _ := http.NewRequest(http.MethodPost, "http://"+e.Addresses().Caller+"/orders", strings.NewReader("one kit"))
			req.Header.Set("Idempotency-Key", key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			var a target.Response
			if err := json.NewDecoder(resp.Body).Decode(&a); resp.StatusCode == http.StatusOK && (err != nil || a.Key != key) {
				t.Errorf("order %s got %+v, %v", key, a, err)
			}
			_ = resp.Body.Close()
			continue
		}
		path := fmt.Sprintf("/kits/%d-%d", id, i)
		if status, _, body := get(e, path); status == http.StatusOK && !strings.Contains(body, `"`+path+`"`) {
			t.Errorf("%s got %s", path, body)
		}
	}
}
