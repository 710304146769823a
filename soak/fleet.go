package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
)

const (
	service      = "shop"
	domains      = 3
	slots        = 4
	fleetToken   = "soak-fleet-token-0123456789"
	targetTTL    = 2 * time.Second
	adminTimeout = 2 * time.Second // of requests to admin and control listeners
)

// configText is the configuration. Each publication changes the deadline of the class
// browse.
const configText = `[services.shop]
floor = 0.5
slow_start = "100ms"
[services.shop.classes.browse]
idempotent = true
deadline = "%dms"
[services.shop.classes.order]
priority = "order"
deadline = "2s"
[services.shop.classes.guide]
priority = "background"
idempotent = true
long = true
deadline = "8s"
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
[[routes]]
id = "guides"
path_prefix = "/guides"
service = "shop"
class = "guide"
`

const baseDeadlineMS = 2000

// fleet holds the processes of the log service, the nodes and the targets.
type fleet struct {
	options Options
	log     *process
	logURL  string
	nodes   []*node
	targets []*targetProcess
	client  *http.Client
	// Parts that only some plans need.
	accounts    bool // the configuration has accounts
	memoryBound bool // the settings name the memory of the host

	publishing  sync.RWMutex // held for reading by publishes that keep the keys
	keysChanged bool         // whether configurations have the changed keys; guarded by publishing

	mu           sync.Mutex
	started      []*process
	publications int
}

// node is a node and the proxy between the other nodes and its gate.
type node struct {
	*process
	name, domain, settingsFile             string
	caller, data, control, announce, admin string
	proxy, logProxy                        *Proxy     // before its gate, and between it and the log service
	restartMu                              sync.Mutex // held while the process is restarted
}

// targetProcess is a target on the host of a node.
type targetProcess struct {
	*process
	id, address, control string
	node                 *node
	restartMu            sync.Mutex
}

var (
	logListenPattern    = regexp.MustCompile(`log: listening on (\S+)`)
	targetListenPattern = regexp.MustCompile(`target: listening on (\S+, control on \S+)`)
)

// startFleet starts all processes and waits until the nodes know all targets.
func startFleet(ctx context.Context, o Options, plan *Plan) (*fleet, error) {
	f := &fleet{options: o, accounts: plan.has(KeyChange), memoryBound: plan.has(hostileKinds...),
		client: &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if f.log, err = f.start("log", "hyssopsill-standin", "log", "--listen", anyPort); err != nil {
		return f, err
	}
	address, err := f.log.waitForOutput(ctx, logListenPattern)
	if err != nil {
		return f, err
	}
	f.logURL = "http://" + address
	for i := range o.Nodes {
		if err := f.addNode(ctx, i); err != nil {
			return f, err
		}
	}
	if err := f.publish(ctx); err != nil {
		return f, err
	}
	for i := range o.Targets {
		n := f.nodes[i%len(f.nodes)]
		target := &targetProcess{id: fmt.Sprintf("t%d", i+1), node: n, address: anyPort, control: anyPort}
		f.targets = append(f.targets, target)
		if err := f.startTarget(ctx, target); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(ctx)
}

func (f *fleet) addNode(ctx context.Context, i int) error {
	proxy, err := NewProxy()
	if err != nil {
		return err
	}
	logProxy, err := NewProxy()
	if err != nil {
		return err
	}
	logProxy.SetTarget(strings.TrimPrefix(f.logURL, "http://"))
	n := &node{name: fmt.Sprintf("n%d", i+1), domain: fmt.Sprintf("d%d", i%domains+1), proxy: proxy, logProxy: logProxy,
		caller: anyPort, data: anyPort, control: anyPort, announce: anyPort, admin: anyPort}
	n.settingsFile = filepath.Join(f.options.Dir, n.name+".toml")
	f.nodes = append(f.nodes, n)
	return f.startNode(ctx, n, nil)
}

// startNode starts the process of a node and sends it SIGHUP at the given times after
// its start. After a restart it listens on the addresses of the previous process.
func (f *fleet) startNode(ctx context.Context, n *node, reloads []time.Duration) error {
	var seeds []string
	for _, other := range f.nodes {
		if other != n {
			seeds = append(seeds, strconv.Quote(other.control))
		}
	}
	text := fmt.Sprintf(`node = %q
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
`, n.name, n.domain, fleetToken, "http://"+n.logProxy.Address(), strings.Join(seeds, ", "), n.caller, n.data, n.control, n.announce, n.admin, n.proxy.Address())
	if f.memoryBound {
		text += fmt.Sprintf("[limits]\nmemory = \"%dKiB\"\n", hostMemoryKiB)
	}
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := f.start(n.name, "hyssopsilld", "run", "--settings", n.settingsFile)
	if err != nil {
		return err
	}
	var reloading sync.WaitGroup
	defer reloading.Wait()
	reloading.Go(func() { sendReloads(ctx, p, time.Now(), reloads) })
	for key, address := range map[string]*string{"caller": &n.caller, "peer_data": &n.data, "peer_control": &n.control,
		"announce": &n.announce, "admin": &n.admin} {
		listenAddress, err := p.waitForOutput(ctx, regexp.MustCompile(`"`+key+`":"([^"]+)"`))
		if err != nil {
			return err
		}
		if *address != listenAddress { // avoids a write on restart, when callers read the address
			*address = listenAddress
		}
	}
	n.proxy.SetTarget(n.data)
	f.mu.Lock()
	n.process = p
	f.mu.Unlock()
	return nil
}

// startTarget starts the process of a target, after a restart on its previous addresses.
func (f *fleet) startTarget(ctx context.Context, target *targetProcess) error {
	p, err := f.start(target.id, "hyssopsill-standin", "target", "--id", target.id, "--service", service, "--node", "http://"+target.node.announce,
		"--ttl", targetTTL.String(), "--slots", strconv.Itoa(slots), "--listen", target.address, "--control", target.control,
		"--executions", f.executionsFile(), "--secret", keyPrefix)
	if err != nil {
		return err
	}
	listening, err := p.waitForOutput(ctx, targetListenPattern)
	if err != nil {
		return err
	}
	if address, control, _ := strings.Cut(listening, ", control on "); address != target.address {
		target.address, target.control = address, control
	}
	f.mu.Lock()
	target.process = p
	f.mu.Unlock()
	return nil
}

func (f *fleet) executionsFile() string { return filepath.Join(f.options.Dir, "executions.jsonl") }

// publish publishes a new configuration that keeps the keys.
func (f *fleet) publish(ctx context.Context) error {
	f.publishing.RLock()
	defer f.publishing.RUnlock()
	return f.publishConfig(ctx)
}

// publishConfig publishes a new configuration with the command that operators use and
// the given options.
func (f *fleet) publishConfig(ctx context.Context, options ...string) error {
	f.mu.Lock()
	f.publications++
	number := f.publications
	f.mu.Unlock()
	file := filepath.Join(f.options.Dir, fmt.Sprintf("config-%d.toml", number))
	text := fmt.Appendf(nil, configText, baseDeadlineMS+number)
	if f.accounts {
		text = append(text, accountsConfig(f.keysChanged)...)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	args := append([]string{"config", "publish", "--author", "soak", "--log", f.logURL}, options...)
	for _, n := range f.nodes {
		args = append(args, "--node", "http://"+n.admin)
	}
	out, err := exec.CommandContext(ctx, filepath.Join(f.options.Binaries, "hyssopsill"), append(args, file)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("config publish: %w: %s", err, bytes.TrimSpace(out))
	}
	return nil
}

// current returns the process that field holds. A restart may replace it concurrently.
func (f *fleet) current(field **process) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *field
}

// waitReady waits until every node is ready and has all targets in rotation.
func (f *fleet) waitReady(ctx context.Context) error {
	reason := ""
	for end := time.Now().Add(maxWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if reason = f.unreadyReason(ctx); reason == "" {
			return nil
		}
	}
	return fmt.Errorf("the fleet is not ready within %s: %s", maxWait, reason)
}

// unreadyReason describes the first node that is not ready or lacks targets in rotation;
// it is empty when there is none.
func (f *fleet) unreadyReason(ctx context.Context) string {
	for _, n := range f.nodes {
		var targets []telemetry.TargetStatus
		var status telemetry.Status
		if err := errors.Join(f.getJSON(ctx, n.admin, "/v1/status", &status), f.getJSON(ctx, n.admin, "/v1/targets", &targets)); err != nil {
			return n.name + ": " + err.Error()
		}
		inRotation := 0
		for _, t := range targets {
			if !t.Ejected && !t.Leaving {
				inRotation++
			}
		}
		if !status.Ready || inRotation < f.options.Targets {
			return fmt.Sprintf("%s: ready %v, %d of %d targets in rotation", n.name, status.Ready, inRotation, f.options.Targets)
		}
	}
	return ""
}

func (f *fleet) getJSON(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	return f.doJSON(req, out)
}

// doJSON sends a request and decodes the JSON response into out.
func (f *fleet) doJSON(req *http.Request, out any) error {
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", req.URL, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// sendToStandin sends a request to the control listener of a stand-in.
func (f *fleet) sendToStandin(ctx context.Context, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	var response json.RawMessage
	return f.doJSON(req, &response)
}

// stop sends SIGTERM to all nodes and returns those that did not exit in time.
func (f *fleet) stop(ctx context.Context) (stuck []string) {
	for _, n := range f.nodes {
		if n.process != nil {
			n.recordMemory()
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGTERM)
		}
	}
	for _, n := range f.nodes {
		if n.process != nil && n.wait(ctx, maxWait) != nil {
			stuck = append(stuck, n.name)
		}
		n.proxy.Close()
		n.logProxy.Close()
	}
	return stuck
}

// ends returns how the processes ended that have ended so far.
func (f *fleet) ends() (out []ProcessEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.started {
		if !p.running() {
			out = append(out, p.end)
		}
	}
	return out
}

// killAll kills all processes that the soak started and waits for their end.
func (f *fleet) killAll() {
	f.mu.Lock()
	started := slices.Clone(f.started)
	f.mu.Unlock()
	for _, p := range started {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}
