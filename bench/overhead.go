package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// OverheadOptions are the settings of the overhead case.
type OverheadOptions struct {
	// Binaries is the directory of hyssopsilld and hyssopsill-standin. If it is
	// empty, the go command builds both into a temporary directory.
	Binaries string
	// OpenLog returns a client of the log service at a URL.
	OpenLog func(url string) (eventlog.Log, error)
	// Requests is the number of direct requests, and of requests through the fleet,
	// that are measured after a warm-up. Default 5,000.
	Requests int
	// ThroughputTime is how long each measurement of requests/s takes. Default 3 s.
	ThroughputTime time.Duration
}

const (
	overheadP99BoundMS     = 0.6
	overheadWarmupRequests = 500
	overheadClients        = 16
	overheadReadyTimeout   = 10 * time.Second
	overheadConfig         = `[services.shop]
floor = 0.5
[services.shop.classes.browse]
idempotent = true
[[routes]]
id = "shop"
path_prefix = "/"
service = "shop"
class = "browse"
`
)

// RunOverhead measures the latency that an entry and a gate in separate processes
// add to a request. Requests through the fleet alternate with direct requests to
// the same target.
func RunOverhead(ctx context.Context, options OverheadOptions) (res Result, err error) {
	if options.Requests <= 0 {
		options.Requests = 5000
	}
	if options.ThroughputTime <= 0 {
		options.ThroughputTime = 3 * time.Second
	}
	res = Result{Deployment: "loopback", Case: CaseOverhead, Seeds: 1}
	dir, err := os.MkdirTemp("", "hyssopsill-bench")
	if err != nil {
		return res, fmt.Errorf("overhead: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	processes := &launcher{ctx: ctx, dir: dir, binaries: options.Binaries, openLog: options.OpenLog}
	defer processes.stop()
	fleet, err := processes.startFleet()
	if err != nil {
		return res, err
	}
	return fleet.measure(options, res)
}

// launcher starts the processes of the overhead case and kills them at its end.
type launcher struct {
	ctx           context.Context
	dir, binaries string
	openLog       func(url string) (eventlog.Log, error)
	started       []*childProcess
}

type childProcess struct {
	cmd    *exec.Cmd
	output outputBuffer
	done   chan struct{}
}

// outputBuffer collects the standard output and standard error of a process.
type outputBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

func (l *launcher) build() error {
	if l.binaries != "" {
		return nil
	}
	const module = "github.com/hyssopsill/hyssopsill/cmd/"
	cmd := exec.CommandContext(l.ctx, "go", "build", "-o", l.dir, module+"hyssopsilld", module+"hyssopsill-standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("overhead: build hyssopsilld and hyssopsill-standin (or name a directory that contains both): %w\n%s", err, out)
	}
	l.binaries = l.dir
	return nil
}

func (l *launcher) start(program string, args ...string) (*childProcess, error) {
	c := &childProcess{cmd: exec.CommandContext(l.ctx, filepath.Join(l.binaries, program), args...), done: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = &c.output, &c.output
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("overhead: start %s: %w", program, err)
	}
	go func() {
		_ = c.cmd.Wait() // stop kills it, so its exit status is no failure
		close(c.done)
	}()
	l.started = append(l.started, c)
	return c, nil
}

func (l *launcher) stop() {
	for _, c := range l.started {
		_ = c.cmd.Process.Kill() // the process may have exited already
		<-c.done
	}
}

// waitForOutput waits until the output of the process matches the regular
// expression pattern and returns the match of its first group.
func (c *childProcess) waitForOutput(pattern string) (string, error) {
	re := regexp.MustCompile(pattern)
	var match []string
	err := waitUntil(overheadReadyTimeout, func() bool {
		match = re.FindStringSubmatch(c.output.String())
		return match != nil
	})
	if err != nil {
		return "", fmt.Errorf("overhead: %s did not print %s:\n%s", filepath.Base(c.cmd.Path), pattern, c.output.String())
	}
	return match[1], nil
}

var errWaitTimeout = errors.New("timed out")

// waitUntil polls condition until it is true, or returns errWaitTimeout.
func waitUntil(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errWaitTimeout
}

// overheadFleet is a fleet of one entry, one gate and one target in separate
// processes.
type overheadFleet struct {
	entry, gate         *childProcess
	directURL, fleetURL string
	adminAddresses      []string
}

func (l *launcher) startFleet() (*overheadFleet, error) {
	if err := l.build(); err != nil {
		return nil, err
	}
	log, err := l.start("hyssopsill-standin", "log", "--listen", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	logAddress, err := log.waitForOutput(`log: listening on (\S+)`)
	if err != nil {
		return nil, err
	}
	logURL := "http://" + logAddress
	if err := publishConfig(l.ctx, l.openLog, logURL); err != nil {
		return nil, err
	}
	entry, err := l.startNode("entry", "a", logURL, "")
	if err != nil {
		return nil, err
	}
	gate, err := l.startNode("gate", "b", logURL, entry.controlAddress)
	if err != nil {
		return nil, err
	}
	target, err := l.start("hyssopsill-standin", "target", "--id", "t1", "--service", "shop", "--node", "http://"+gate.announceAddress)
	if err != nil {
		return nil, err
	}
	targetAddress, err := target.waitForOutput(`target: listening on ([^,]+),`)
	if err != nil {
		return nil, err
	}
	f := &overheadFleet{entry: entry.childProcess, gate: gate.childProcess, directURL: "http://" + targetAddress + "/", fleetURL: "http://" + entry.callerAddress + "/",
		adminAddresses: []string{entry.adminAddress, gate.adminAddress}}
	client := &http.Client{Timeout: time.Second}
	err = waitUntil(overheadReadyTimeout, func() bool { return get(client, f.fleetURL) == nil })
	if err != nil {
		return nil, fmt.Errorf("overhead: the fleet does not respond; output of the entry:\n%s", entry.output.String())
	}
	return f, nil
}

type nodeProcess struct {
	*childProcess
	callerAddress, controlAddress, announceAddress, adminAddress string
}

func (l *launcher) startNode(name, domain, logURL, seed string) (*nodeProcess, error) {
	seeds := ""
	if seed != "" {
		seeds = fmt.Sprintf("%q", seed)
	}
	text := fmt.Sprintf(`node = %q
domain = %q
fleet_token = "overhead-bench-token"
log_url = %q
seeds = [%s]
[listen]
caller = "127.0.0.1:0"
peer_data = "127.0.0.1:0"
peer_control = "127.0.0.1:0"
announce = "127.0.0.1:0"
admin = "127.0.0.1:0"
`, name, domain, logURL, seeds)
	file := filepath.Join(l.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	c, err := l.start("hyssopsilld", "run", "--settings", file)
	if err != nil {
		return nil, err
	}
	n := &nodeProcess{childProcess: c}
	for key, address := range map[string]*string{"caller": &n.callerAddress, "peer_control": &n.controlAddress, "announce": &n.announceAddress, "admin": &n.adminAddress} {
		if *address, err = c.waitForOutput(`"` + key + `":"([^"]+)"`); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func publishConfig(ctx context.Context, openLog func(string) (eventlog.Log, error), logURL string) error {
	desired, findings := config.Parse("overhead.toml", []byte(overheadConfig))
	if err := findings.Err(); err != nil {
		return err
	}
	log, err := openLog(logURL)
	if err != nil {
		return err
	}
	change, err := config.NewState().ChangeTo(desired, "overhead", "bench")
	if err != nil {
		return err
	}
	data, err := change.Encode()
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, eventlog.StreamConfig, data)
	return err
}

func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}

func (f *overheadFleet) measure(options OverheadOptions, res Result) (Result, error) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: overheadClients}}
	direct, fleet, err := f.measureLatencies(client, options.Requests)
	if err != nil {
		return res, err
	}
	for _, p := range []float64{0.5, 0.99} {
		directLatency, fleetLatency := percentile(direct, p), percentile(fleet, p)
		figure := Figure{Name: fmt.Sprintf("p%g added by entry and gate", p*100), Unit: "ms", Value: fleetLatency - directLatency}
		if p == 0.99 {
			figure.Bound = atMost(overheadP99BoundMS)
		}
		res.Figures = append(res.Figures, figure)
		res.add(fmt.Sprintf("p%g of a request", p*100), "ms", fleetLatency, directLatency, nil)
	}
	allocatedBefore, err := f.allocatedBytes(client)
	if err != nil {
		return res, err
	}
	cpuBefore, err := f.cpuTime()
	if err != nil {
		return res, err
	}
	fleetRequests, err := countRequests(client, f.fleetURL, options.ThroughputTime)
	if err != nil {
		return res, err
	}
	allocatedAfter, err := f.allocatedBytes(client)
	if err != nil {
		return res, err
	}
	cpuAfter, err := f.cpuTime()
	if err != nil {
		return res, err
	}
	directRequests, err := countRequests(client, f.directURL, options.ThroughputTime)
	if err != nil {
		return res, err
	}
	res.add(fmt.Sprintf("requests/s of %d clients", overheadClients), "1/s", float64(fleetRequests)/options.ThroughputTime.Seconds(), float64(directRequests)/options.ThroughputTime.Seconds(), nil)
	res.Figures = append(res.Figures,
		Figure{Name: "requests/s per core of entry and gate", Unit: "1/s", Value: float64(fleetRequests) / (cpuAfter - cpuBefore).Seconds()},
		Figure{Name: "bytes allocated per request, entry and gate", Unit: "B", Value: float64(allocatedAfter-allocatedBefore) / float64(fleetRequests)})
	return res, nil
}

// measureLatencies sends n direct requests and n requests through the fleet
// alternately, after a warm-up, and returns their latencies in milliseconds, sorted.
func (f *overheadFleet) measureLatencies(client *http.Client, n int) (direct, fleet []float64, err error) {
	for i := range n + overheadWarmupRequests {
		for _, route := range []struct {
			url       string
			latencies *[]float64
		}{{f.directURL, &direct}, {f.fleetURL, &fleet}} {
			startedAt := time.Now()
			if err := get(client, route.url); err != nil {
				return nil, nil, fmt.Errorf("overhead: %w", err)
			}
			if i >= overheadWarmupRequests {
				*route.latencies = append(*route.latencies, float64(time.Since(startedAt).Microseconds())/1000)
			}
		}
	}
	slices.Sort(direct)
	slices.Sort(fleet)
	return direct, fleet, nil
}

// countRequests counts the requests that overheadClients clients finish within a
// duration.
func countRequests(client *http.Client, url string, duration time.Duration) (int, error) {
	var wg sync.WaitGroup
	counts, errs := make([]int, overheadClients), make([]error, overheadClients)
	end := time.Now().Add(duration)
	for i := range overheadClients {
		wg.Go(func() {
			for time.Now().Before(end) && errs[i] == nil {
				errs[i] = get(client, url)
				counts[i]++
			}
		})
	}
	wg.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	return total, errors.Join(errs...)
}

// allocatedBytes returns the bytes that both nodes together have allocated since
// their start.
func (f *overheadFleet) allocatedBytes(client *http.Client) (uint64, error) {
	total := uint64(0)
	for _, admin := range f.adminAddresses {
		resp, err := client.Get("http://" + admin + "/debug/vars")
		if err != nil {
			return 0, fmt.Errorf("overhead: %w", err)
		}
		var vars struct {
			Memstats struct{ TotalAlloc uint64 } `json:"memstats"`
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		_ = resp.Body.Close()
		if err != nil {
			return 0, fmt.Errorf("overhead: %s: %w", admin, err)
		}
		total += vars.Memstats.TotalAlloc
	}
	return total, nil
}

// clockTick is the unit of processor times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that both nodes together have used since
// their start.
func (f *overheadFleet) cpuTime() (time.Duration, error) {
	total := time.Duration(0)
	for _, c := range []*childProcess{f.entry, f.gate} {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
		if err != nil {
			return 0, fmt.Errorf("overhead: processor time: %w", err)
		}
		// User and system time are the 12th and 13th field after the process name,
		// which stands in parentheses and may contain blanks.
		text := string(data)
		var user, system int64
		fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
		if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
			return 0, fmt.Errorf("overhead: processor time: %w", err)
		}
		total += time.Duration(user+system) * clockTick
	}
	return total, nil
}
