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
	service    = "shop"
	domains    = 3
	slots      = 4
	fleetToken = "soak-fleet-token-0123456789"
	targetTTL  = 2 * time.Second
	callLimit  = 2 * time.Second // of calls to admin and control listeners
)

// configText is the configuration; the deadline of browsing changes with each
// publication.
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

const firstDeadline = 2000 // ms

// fleet is the log service, the nodes and the targets.
type fleet struct {
	o       Options
	log     *process
	logURL  string
	nodes   []*node
	targets []*targetProcess
	client  *http.Client

	mu      sync.Mutex
	started []*process
	changes int
}

// node is a node with the proxy between other nodes and its gate.
type node struct {
	*process
	name, domain, file                     string
	caller, data, control, announce, admin string
	proxy                                  *Proxy
	life                                   sync.Mutex // held while the process is replaced
}

// targetProcess is a target on the host of a node.
type targetProcess struct {
	*process
	id, address, control string
	node                 *node
	life                 sync.Mutex
}

var (
	logListens    = regexp.MustCompile(`log: listening on (\S+)`)
	targetListens = regexp.MustCompile(`target: listening on (\S+, control on \S+)`)
)

// startFleet starts all processes and waits until the nodes know all targets.
func startFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{o: o, client: &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if f.log, err = f.start("log", "hyssopsill-standin", "log", "--listen", anyPort); err != nil {
		return f, err
	}
	address, err := f.log.awaitOutput(ctx, 0, logListens)
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
		x := &targetProcess{id: fmt.Sprintf("t%d", i+1), node: n, address: anyPort, control: anyPort}
		f.targets = append(f.targets, x)
		if err := f.startTarget(ctx, x); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(ctx)
}

func (f *fleet) addNode(ctx context.Context, i int) error {
	proxy, err := NewProxy()
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("n%d", i+1), domain: fmt.Sprintf("d%d", i%domains+1), proxy: proxy,
		caller: anyPort, data: anyPort, control: anyPort, announce: anyPort, admin: anyPort}
	n.file = filepath.Join(f.o.Dir, n.name+".toml")
	f.nodes = append(f.nodes, n)
	return f.startNode(ctx, n)
}

// startNode starts the process of a node, at the addresses of the one before.
func (f *fleet) startNode(ctx context.Context, n *node) error {
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
`, n.name, n.domain, fleetToken, f.logURL, strings.Join(seeds, ", "), n.caller, n.data, n.control, n.announce, n.admin, n.proxy.Address())
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return err
	}
	offset := outputSize(filepath.Join(f.o.Dir, n.name+".log"))
	p, err := f.start(n.name, "hyssopsilld", "run", "--settings", n.file)
	if err != nil {
		return err
	}
	for key, to := range map[string]*string{"caller": &n.caller, "peer_data": &n.data, "peer_control": &n.control,
		"announce": &n.announce, "admin": &n.admin} {
		listens, err := p.awaitOutput(ctx, offset, regexp.MustCompile(`"`+key+`":"([^"]+)"`))
		if err != nil {
			return err
		}
		if *to != listens { // callers read it while the node starts again
			*to = listens
		}
	}
	n.proxy.SetTarget(n.data)
	f.mu.Lock()
	n.process = p
	f.mu.Unlock()
	return nil
}

func (f *fleet) startTarget(ctx context.Context, x *targetProcess) error {
	offset := outputSize(filepath.Join(f.o.Dir, x.id+".log"))
	p, err := f.start(x.id, "hyssopsill-standin", "target", "--id", x.id, "--service", service, "--node", "http://"+x.node.announce,
		"--ttl", targetTTL.String(), "--slots", strconv.Itoa(slots), "--listen", x.address, "--control", x.control,
		"--executions", f.executionsFile())
	if err != nil {
		return err
	}
	listens, err := p.awaitOutput(ctx, offset, targetListens)
	if err != nil {
		return err
	}
	if address, control, _ := strings.Cut(listens, ", control on "); address != x.address {
		x.address, x.control = address, control
	}
	f.mu.Lock()
	x.process = p
	f.mu.Unlock()
	return nil
}

func (f *fleet) executionsFile() string { return filepath.Join(f.o.Dir, "executions.jsonl") }

// publish publishes a new configuration by the operators' command.
func (f *fleet) publish(ctx context.Context) error {
	f.mu.Lock()
	f.changes++
	change := f.changes
	f.mu.Unlock()
	file := filepath.Join(f.o.Dir, fmt.Sprintf("config-%d.toml", change))
	if err := os.WriteFile(file, fmt.Appendf(nil, configText, firstDeadline+change), 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	args := []string{"config", "publish", "--author", "soak", "--log", f.logURL}
	for _, n := range f.nodes {
		args = append(args, "--node", "http://"+n.admin)
	}
	out, err := exec.CommandContext(ctx, filepath.Join(f.o.Binaries, "hyssopsill"), append(args, file)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("config publish: %w: %s", err, bytes.TrimSpace(out))
	}
	return nil
}

// of returns the process in a place, which may be replaced meanwhile.
func (f *fleet) of(place **process) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *place
}

// awaitReady waits until each node is ready and knows all targets in rotation.
func (f *fleet) awaitReady(ctx context.Context) error {
	last := ""
	for end := time.Now().Add(patience); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollTime) {
		if last = f.unready(ctx); last == "" {
			return nil
		}
	}
	return fmt.Errorf("the fleet is not ready within %s: %s", patience, last)
}

func (f *fleet) unready(ctx context.Context) string {
	for _, n := range f.nodes {
		var targets []telemetry.TargetStatus
		var status telemetry.Status
		if err := errors.Join(f.get(ctx, n.admin, "/v1/status", &status), f.get(ctx, n.admin, "/v1/targets", &targets)); err != nil {
			return n.name + ": " + err.Error()
		}
		well := 0
		for _, t := range targets {
			if !t.Ejected && !t.Leaving {
				well++
			}
		}
		if !status.Ready || well < f.o.Targets {
			return fmt.Sprintf("%s: ready %v, %d of %d targets in rotation", n.name, status.Ready, well, f.o.Targets)
		}
	}
	return ""
}

func (f *fleet) get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	return f.call(req, out)
}

func (f *fleet) call(req *http.Request, out any) error {
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

// send sends a switch to a stand-in.
func (f *fleet) send(ctx context.Context, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	var answer json.RawMessage
	return f.call(req, &answer)
}

// stop asks all nodes to stop and returns those that did not.
func (f *fleet) stop(ctx context.Context) (stuck []string) {
	for _, n := range f.nodes {
		if n.process != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGTERM)
		}
	}
	for _, n := range f.nodes {
		if n.process != nil && n.wait(ctx, patience) != nil {
			stuck = append(stuck, n.name)
		}
		n.proxy.Close()
	}
	return stuck
}

// kill ends all processes that the soak started.
func (f *fleet) kill() {
	f.mu.Lock()
	started := slices.Clone(f.started)
	f.mu.Unlock()
	for _, p := range started {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}
