package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, from sites/sunbake-mesh.toml.
const (
	drainTime         = 2 * time.Second // drainMs
	stabilityWindow   = 3 * time.Second // stabilityWindowMs
	configApply       = 2 * time.Second // configApplyMs
	heartbeatInterval = 1500 * time.Millisecond
	leadTime          = 8 * time.Second // from the start of the machines to the first request
	slots             = 5
)

const (
	nodeProgram      = "target/hyssopsilld"
	settingsTemplate = "deploy/settings.toml"
	restartDelay     = 800 * time.Millisecond
	endGrace         = 8 * time.Second
)

// Ports of each machine. Machines differ in their loopback addresses.
const (
	inboundPort  = 8300
	appPort      = 8301
	readyPort    = 8302
	outboundPort = 8304
	controlPort  = 8306
	internalPort = 7620
	metricsPort  = 9464
	storePort    = 8309
	proxyPort    = 8310
)

// fleet is a small deployment: a store, machines with one node and one instance each.
type fleet struct {
	rec      *recorder
	store    *store
	proxy    *proxy
	dir      string // of the settings files
	network  string // first three numbers of all addresses
	machines []*machine
	client   *http.Client
	startAt  time.Time
	closers  []func()
	workTime time.Duration // of each request at an instance
	// crashes, if set, reports whether a request crashes the instance that runs it.
	crashes func(*http.Request) bool
}

// machine is one host of the platform.
type machine struct {
	fleet    *fleet
	name, ip string
	zone     string
	service  string
	settings string // file name
	instance *instance

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ending  bool // the case ends the process itself
}

func newFleet(rec *recorder) (*fleet, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, store: newStore(), dir: dir, network: network, workTime: defaultWork,
		client: &http.Client{
			Transport:     &http.Transport{DisableCompression: true, DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(dir) })
	listener, err := net.Listen("tcp", f.address(250, storePort))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.store.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	if f.proxy, err = newProxy(f.address(250, proxyPort), f.address(250, storePort)); err != nil {
		return nil, err
	}
	f.closers = append(f.closers, f.proxy.close)
	return f, nil
}

// freeNetwork returns three numbers of a loopback network on which the ports of the
// deployment are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		free := true
		for _, port := range []int{inboundPort, appPort, readyPort, outboundPort, controlPort, internalPort, metricsPort, storePort, proxyPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no loopback network has the ports of the deployment free")
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.network, host, port) }

// addMachine adds a machine with an instance of a service, which is not started yet.
func (f *fleet) addMachine(service, zone string) (*machine, error) {
	host := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, host), ip: fmt.Sprintf("%s.%d", f.network, host), zone: zone, service: service}
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node}}", m.name, "{{region}}", "qld", "{{zone}}", zone, "{{platform.address}}", f.address(250, proxyPort),
		"{{service}}", service, "{{bounds.graceS}}", "6", "{{listen.outbound}}", m.address(outboundPort),
		"{{listen.inbound}}", m.address(inboundPort), "{{ip}}", m.ip, "{{internalPorts.0}}", fmt.Sprint(internalPort),
		"{{listen.control}}", m.address(controlPort), "{{listen.ready}}", m.address(readyPort), "{{bounds.floorShare}}", "0.7",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetSlack}}", "62", "{{bounds.budgetWindowS}}", "10",
	).Replace(string(template))
	if i := strings.Index(text, "{{"); i >= 0 {
		return nil, fmt.Errorf("%s has a placeholder that the case does not know: %.40s", settingsTemplate, text[i:])
	}
	m.settings = filepath.Join(f.dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	m.instance, err = newInstance(m)
	return m, err
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts all machines and waits until their nodes are ready and the lead time is
// over.
func (f *fleet) start(ctx context.Context) error {
	f.startAt = time.Now()
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
		m.instance.start(ctx)
	}
	for _, m := range f.machines {
		for !m.ready(ctx) {
			if time.Since(f.startAt) > 2*leadTime {
				return fmt.Errorf("%w: %s is not ready", errNotRun, m.name)
			}
			if err := wait(ctx, time.Now().Add(100*time.Millisecond)); err != nil {
				return err
			}
		}
	}
	f.rec.line("all nodes are ready")
	return wait(ctx, f.startAt.Add(leadTime))
}

// startNode starts the node of a machine with the command of the deploy file.
func (m *machine) startNode() error {
	output, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(nodeProgram, "mesh", "--settings", m.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HYSSOPSILL_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.ending = cmd, exited, false
	m.mu.Unlock()
	m.fleet.rec.line("node %s starts as process %d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		ending := m.ending
		m.mu.Unlock()
		if !ending {
			m.fleet.rec.line("node %s ended by itself: %v", m.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process, which the case started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.ending = m.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = m.process.Process.Signal(s) // fails only if it has ended
}

// kill kills the node and waits for its end.
func (m *machine) kill() {
	m.fleet.rec.line("node %s gets SIGKILL", m.name)
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// deploy/wire.toml maps the platform's call to this path.
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(readyPort)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := m.fleet.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins of the case.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.signal(syscall.SIGTERM)
	}
	deadline := time.After(endGrace)
	for _, m := range f.machines {
		if m.process == nil {
			continue
		}
		select {
		case <-m.exited:
		case <-deadline:
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	for _, m := range f.machines {
		m.mu.Lock()
		m.instance.exit()
		m.mu.Unlock()
	}
	for _, c := range f.closers {
		c()
	}
}
