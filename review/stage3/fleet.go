package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the sheet of sites/sunbake-mesh states them.
const (
	stabilityWindow   = 3 * time.Second
	configApply       = 2 * time.Second
	graceSeconds      = 6
	heartbeatInterval = 1500 * time.Millisecond
)

// fleet is a store and some machines, each with one node of the project.
type fleet struct {
	dir     string
	network string // first three octets of the machines' addresses
	started time.Time
	store   *process
	storeAt string
	nodes   []*node

	mu     sync.Mutex
	record *os.File

	closing sync.Once
}

// newFleet starts the stand-in of the store.
func newFleet(recordFile string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-stage3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: record, started: time.Now(), network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))}
	ports, err := freePorts(f.network+".250", 1)
	if err != nil {
		return nil, err
	}
	f.storeAt = ports[0]
	if f.store, err = startProcess(filepath.Join(dir, "store.log"), nil, "target/hyssopsill-standin", "log", "--listen", f.storeAt); err != nil {
		return nil, err
	}
	return f, waitFor(10*time.Second, "the store", func() bool {
		res, err := http.Get("http://" + f.storeAt + wire.Newest)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// note appends a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the fleet started.
func (f *fleet) close() { f.closing.Do(f.end) }

func (f *fleet) end() {
	for _, n := range f.nodes {
		n.process.kill()
	}
	f.store.kill()
	_ = os.RemoveAll(f.dir) // a temporary folder
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Close()
}

// put writes the operator's configuration to the store, whose answer acknowledges it.
func (f *fleet) put(config map[string]any) (time.Time, error) {
	value, err := json.Marshal(config)
	if err != nil {
		return time.Time{}, err
	}
	record := append([]byte{byte(len("config"))}, append([]byte("config"), value...)...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
	res, err := http.Post("http://"+f.storeAt+wire.Append, "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("the store answers %s", res.Status)
	}
	f.note("operator: the store acknowledges op/config %s", value)
	return time.Now(), nil
}

// route returns a route of the operator's configuration.
func route(prefix, kind, service string) map[string]any {
	return map[string]any{"host": "kits.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 6000, "targetLatencyMs": 2500,
		"priority": 1, "service": service, "maxAttempts": 2, "public": false}
}

// configuration returns a configuration document.
func configuration(version int, routes map[string]any, services ...string) map[string]any {
	s := map[string]any{}
	for _, name := range services {
		s[name] = map[string]any{"healthPath": "/health"}
	}
	return map[string]any{"version": version, "routes": routes, "services": s,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000}}
}

// node is one machine with a process of the project.
type node struct {
	fleet    *fleet
	settings map[string]any
	file     string
	log      string
	process  *process

	name, ip, outbound, control, ready string
}

// addNode writes the settings file of a machine whose instance belongs to a service, and
// starts its process.
func (f *fleet) addNode(service string) (*node, error) {
	i := len(f.nodes) + 1
	n := &node{fleet: f, name: fmt.Sprintf("sidecar-%d", i), ip: fmt.Sprintf("%s.%d", f.network, i)}
	ports, err := freePorts(n.ip, 6)
	if err != nil {
		return nil, err
	}
	n.outbound, n.control, n.ready = ports[1], ports[2], ports[3]
	internal, _ := strconv.Atoi(ports[4][strings.LastIndexByte(ports[4], ':')+1:]) // a port of freePorts
	n.settings = map[string]any{
		"node": n.name, "region": "qld", "zone": "qld-a", "service": service, "ip": n.ip, "app": ports[5],
		"platform": map[string]any{"address": f.storeAt}, "internalPorts": []int{internal, internal + 1},
		"listen": map[string]any{"inbound": ports[0], "outbound": n.outbound, "control": n.control, "ready": n.ready},
		"limits": map[string]any{"memoryMb": 284},
		"bounds": map[string]any{"graceS": graceSeconds, "floorShare": 0.7, "retryBudgetRatio": 0.2, "retryBudgetSlack": 62, "budgetWindowS": 10},
	}
	n.file, n.log = filepath.Join(f.dir, n.name+".settings"), filepath.Join(f.dir, n.name+".log")
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, n.start()
}

// writeSettings fills in the template of the deploy file.
func (n *node) writeSettings() error {
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, []byte(render(string(template), n.settings)), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z.0-9]+)\}\}(.*?)\{\{/[A-Za-z.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
)

// render fills in the placeholders and sections that the template uses.
func render(template string, values map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookup(values, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return fmt.Sprint(lookup(values, placeholder.FindStringSubmatch(s)[1]))
	})
}

func lookup(values any, path string) any {
	for _, key := range strings.Split(path, ".") {
		switch v := values.(type) {
		case map[string]any:
			values = v[key]
		case []int:
			index, err := strconv.Atoi(key)
			if err != nil || index >= len(v) {
				return nil
			}
			values = v[index]
		default:
			return nil
		}
	}
	return values
}

// start runs the command of the deploy file.
func (n *node) start() (err error) {
	n.process, err = startProcess(n.log, []string{"HYSSOPSILL_CONFIG=" + n.file}, "target/hyssopsilld", "mesh", "--settings", n.file)
	n.fleet.note("platform: %s is started", n.name)
	return err
}

// isReady asks the node once, as the platform does each second.
func (n *node) isReady() bool {
	res, err := probeClient.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// waitReady waits until all nodes are ready.
func (f *fleet) waitReady() error {
	for _, n := range f.nodes {
		if err := waitFor(20*time.Second, n.name+" to be ready", n.isReady); err != nil {
			log, _ := os.ReadFile(n.log) // may be absent
			f.note("log of %s: %s", n.name, log)
			return err
		}
	}
	f.note("platform: all nodes are ready")
	return nil
}

// process is a process that this program started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(logFile string, env []string, name string, args ...string) (*process, error) {
	out, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(name, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the exit status tells nothing here
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

func (p *process) kill() {
	if p == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freePorts returns addresses with different free ports of one IP address.
func freePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // once all have been chosen, so that they differ
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

var errTimeout = errors.New("timeout")

func waitFor(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%w: waited %s for %s", errTimeout, limit, what)
}

// run is one request that an instance ran.
type run struct {
	reached               time.Time // when its head had arrived
	at                    time.Time // when the instance began to run it
	id, method, uri, body string
	caller                string
}

// instance is an application instance with its heartbeats.
type instance struct {
	fleet           *fleet
	node            *node
	id, service     string
	slots           int
	born            int64
	work            time.Duration
	handler         func(w http.ResponseWriter, r *http.Request) bool // optional; true when it has answered
	server          *http.Server
	sequence        atomic.Int64
	beating         atomic.Bool
	mu              sync.Mutex
	runs            []run
	address         string
	slotsInUse      chan struct{}
	heartbeatClient *http.Client
}

// Slots of an instance, as the sheets of the deployments state them.
const (
	smallSlots = 5  // sites/sunbake-mesh
	grownSlots = 11 // demands/zaemko-prod-grown and bordfailte-mesh-grown
)

// addInstance starts the instance beside a node.
func (f *fleet) addInstance(n *node, id, service string, slots int, work time.Duration) (*instance, error) {
	i := &instance{fleet: f, node: n, id: id, service: service, slots: slots, born: time.Now().UnixMilli(), work: work,
		address: n.settings["app"].(string), heartbeatClient: &http.Client{Timeout: time.Second}}
	i.slotsInUse = make(chan struct{}, i.slots)
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return nil, err
	}
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(l) }() // ends with the instance
	i.beating.Store(true)
	go i.beat()
	f.note("instance %s of %s starts at %s beside %s", id, service, i.address, n.name)
	return i, nil
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set(wire.Instance, i.id)
		return
	}
	if target := r.Header.Get(wire.Target); target != "" && target != i.id {
		h.Set(wire.Instance, i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reached, id := time.Now(), r.Header.Get(wire.RequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // not begun
	}
	i.slotsInUse <- struct{}{}
	defer func() { <-i.slotsInUse }()
	run := run{reached: reached, at: time.Now(), id: id, method: r.Method, uri: r.RequestURI, body: string(body),
		caller: r.Header.Get(wire.Caller)}
	i.mu.Lock()
	i.runs = append(i.runs, run)
	i.mu.Unlock()
	i.fleet.note("instance %s runs %s %s %s, caller service %q", i.id, id, r.Method, r.RequestURI, run.caller)
	h.Set(wire.RequestID, id)
	if i.handler != nil && i.handler(w, r) {
		return
	}
	time.Sleep(i.work)
	h.Set(wire.Signature, "s."+i.id)
	fmt.Fprintf(w, "answer of %s to %s", i.id, id)
}

// ranSince returns the runs from a time on.
func (i *instance) ranSince(from time.Time) []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []run
	for _, r := range i.runs {
		if !r.at.Before(from) {
			out = append(out, r)
		}
	}
	return out
}

// heartbeat returns the body of the next heartbeat.
func (i *instance) heartbeat() []byte {
	body, _ := json.Marshal(map[string]any{ // always marshals
		"address": i.address, "born": i.born,
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.node.settings["zone"], "slots": i.slots},
		"status": map[string]any{"state": "ready", "sequence": i.sequence.Add(1), wire.Cold: 0},
	})
	return body
}

// send sends a heartbeat and reports whether it was acknowledged.
func (i *instance) send(body []byte) bool {
	res, err := i.heartbeatClient.Post("http://"+i.node.control+wire.Heartbeat+url.PathEscape(i.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode/100 == 2
}

func (i *instance) beat() {
	for ; ; time.Sleep(heartbeatInterval) {
		if i.beating.Load() {
			i.send(i.heartbeat())
		}
	}
}

// answer is what a client got.
type answer struct {
	id, path, signature, body string
	sent, ended               time.Time
	status                    int
	header                    http.Header
	err                       error
}

// client sends requests to one machine's outbound address over kept connections.
type client struct {
	fleet *fleet
	node  *node
	http  *http.Client
	count atomic.Int64
	name  string
}

func (f *fleet) newClient(n *node) *client {
	return &client{fleet: f, node: n, name: fmt.Sprintf("%08x", rand.Uint32()), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 100, IdleConnTimeout: 40 * time.Second, DisableCompression: true}}}
}

// do sends one request. Extra header lines are given as pairs.
func (c *client) do(method, path, body string, header ...string) answer {
	a := answer{path: path, id: fmt.Sprintf("%s%08x", c.name, c.count.Add(1)), sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+c.node.outbound+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "kits.example"
	req.Header.Set(wire.RequestID, a.id)
	req.Header.Set(wire.Deadline, "6000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	a.id = req.Header.Get(wire.RequestID)
	c.fleet.note("client at %s sends %s %s %s", c.node.name, a.id, method, path)
	res, err := c.http.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.status, a.header, a.body, a.signature = res.StatusCode, res.Header, string(text), res.Header.Get(wire.Signature)
	}
	a.err, a.ended = err, time.Now()
	if err != nil {
		c.fleet.note("client at %s: %s ends without an answer: %v", c.node.name, a.id, err)
	} else {
		c.fleet.note("client at %s: %s gets %d, signature %q", c.node.name, a.id, a.status, a.signature)
	}
	return a
}
