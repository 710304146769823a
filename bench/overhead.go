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

// OverheadOptions tune the overhead case.
type OverheadOptions struct {
	// Binaries is the folder with hyssopsilld and hyssopsill-standin. Empty:
	// both are built by the go command into a temporary folder.
	Binaries string
	// OpenLog returns the log service at a URL.
	OpenLog func(url string) (eventlog.Log, error)
	// Requests of each kind, after a warm-up. Default 5,000.
	Requests int
	// Throughput is the time of the measurement of requests/s. Default 3 s.
	Throughput time.Duration
}

const (
	overheadBound     = 0.6 // ms added at the 99th percentile
	overheadWarmup    = 500
	overheadClients   = 16
	overheadReadyTime = 10 * time.Second
	overheadConfig    = `[services.shop]
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

// RunOverhead measures what an entry and a gate in separate processes add to a
// request, against direct access to the same target in turns of one run.
func RunOverhead(ctx context.Context, o OverheadOptions) (res Result, err error) {
	if o.Requests <= 0 {
		o.Requests = 5000
	}
	if o.Throughput <= 0 {
		o.Throughput = 3 * time.Second
	}
	res = Result{Deployment: "loopback", Case: CaseOverhead, Seeds: 1}
	dir, err := os.MkdirTemp("", "hyssopsill-bench")
	if err != nil {
		return res, fmt.Errorf("overhead: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	l := &launcher{ctx: ctx, dir: dir, binaries: o.Binaries, openLog: o.OpenLog}
	defer l.stop()
	fleet, err := l.fleet()
	if err != nil {
		return res, err
	}
	return fleet.measure(o, res)
}

// launcher starts the processes of the case and ends them.
type launcher struct {
	ctx           context.Context
	dir, binaries string
	openLog       func(url string) (eventlog.Log, error)
	started       []*child
}

type child struct {
	cmd  *exec.Cmd
	out  output
	done chan struct{}
}

// output collects what a process prints.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
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
		return fmt.Errorf("overhead: build the programs, or name their folder: %w\n%s", err, out)
	}
	l.binaries = l.dir
	return nil
}

func (l *launcher) start(program string, args ...string) (*child, error) {
	c := &child{cmd: exec.CommandContext(l.ctx, filepath.Join(l.binaries, program), args...), done: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = &c.out, &c.out
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("overhead: start %s: %w", program, err)
	}
	go func() {
		_ = c.cmd.Wait() // it is killed at the end
		close(c.done)
	}()
	l.started = append(l.started, c)
	return c, nil
}

func (l *launcher) stop() {
	for _, c := range l.started {
		_ = c.cmd.Process.Kill() // it may have ended
		<-c.done
	}
}

// printed waits for output that matches and returns its first group.
func (c *child) printed(pattern string) (string, error) {
	re := regexp.MustCompile(pattern)
	var match []string
	err := until(overheadReadyTime, func() bool {
		match = re.FindStringSubmatch(c.out.String())
		return match != nil
	})
	if err != nil {
		return "", fmt.Errorf("overhead: %s did not print %s:\n%s", filepath.Base(c.cmd.Path), pattern, c.out.String())
	}
	return match[1], nil
}

var errNotInTime = errors.New("not in time")

func until(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errNotInTime
}

// overheadFleet is an entry, a gate and a target as separate processes.
type overheadFleet struct {
	entry, gate   *child
	direct, fleet string // URLs
	admin         []string
}

func (l *launcher) fleet() (*overheadFleet, error) {
	if err := l.build(); err != nil {
		return nil, err
	}
	log, err := l.start("hyssopsill-standin", "log", "--listen", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address, err := log.printed(`log: listening on (\S+)`)
	if err != nil {
		return nil, err
	}
	logURL := "http://" + address
	if err := publish(l.ctx, l.openLog, logURL); err != nil {
		return nil, err
	}
	entry, err := l.node("entry", "a", logURL, "")
	if err != nil {
		return nil, err
	}
	gate, err := l.node("gate", "b", logURL, entry.control)
	if err != nil {
		return nil, err
	}
	target, err := l.start("hyssopsill-standin", "target", "--id", "t1", "--service", "shop", "--node", "http://"+gate.announce)
	if err != nil {
		return nil, err
	}
	direct, err := target.printed(`target: listening on ([^,]+),`)
	if err != nil {
		return nil, err
	}
	f := &overheadFleet{entry: entry.child, gate: gate.child, direct: "http://" + direct + "/", fleet: "http://" + entry.caller + "/",
		admin: []string{entry.admin, gate.admin}}
	client := &http.Client{Timeout: time.Second}
	err = until(overheadReadyTime, func() bool { return get(client, f.fleet) == nil })
	if err != nil {
		return nil, fmt.Errorf("overhead: the fleet does not answer:\n%s", entry.out.String())
	}
	return f, nil
}

type nodeChild struct {
	*child
	caller, control, announce, admin string
}

func (l *launcher) node(name, domain, logURL, seed string) (*nodeChild, error) {
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
	n := &nodeChild{child: c}
	for key, to := range map[string]*string{"caller": &n.caller, "peer_control": &n.control, "announce": &n.announce, "admin": &n.admin} {
		if *to, err = c.printed(`"` + key + `":"([^"]+)"`); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func publish(ctx context.Context, open func(string) (eventlog.Log, error), logURL string) error {
	want, findings := config.Parse("overhead.toml", []byte(overheadConfig))
	if err := findings.Err(); err != nil {
		return err
	}
	log, err := open(logURL)
	if err != nil {
		return err
	}
	change, err := config.NewState().ChangeTo(want, "overhead", "bench")
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

func (f *overheadFleet) measure(o OverheadOptions, res Result) (Result, error) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: overheadClients}}
	direct, fleet, err := f.latencies(client, o.Requests)
	if err != nil {
		return res, err
	}
	for _, p := range []float64{0.5, 0.99} {
		d, v := percentile(direct, p), percentile(fleet, p)
		figure := Figure{Name: fmt.Sprintf("p%g added by entry and gate", p*100), Unit: "ms", Value: v - d}
		if p == 0.99 {
			figure.Bound = atMost(overheadBound)
		}
		res.Figures = append(res.Figures, figure)
		res.add(fmt.Sprintf("p%g of a request", p*100), "ms", v, d, nil)
	}
	before, err := f.allocated(client)
	if err != nil {
		return res, err
	}
	cpu, err := f.cpu()
	if err != nil {
		return res, err
	}
	n, err := throughput(client, f.fleet, o.Throughput)
	if err != nil {
		return res, err
	}
	after, err := f.allocated(client)
	if err != nil {
		return res, err
	}
	used, err := f.cpu()
	if err != nil {
		return res, err
	}
	plain, err := throughput(client, f.direct, o.Throughput)
	if err != nil {
		return res, err
	}
	res.add(fmt.Sprintf("requests/s of %d clients", overheadClients), "1/s", float64(n)/o.Throughput.Seconds(), float64(plain)/o.Throughput.Seconds(), nil)
	res.Figures = append(res.Figures,
		Figure{Name: "requests/s per core of entry and gate", Unit: "1/s", Value: float64(n) / (used - cpu).Seconds()},
		Figure{Name: "bytes allocated per request, entry and gate", Unit: "B", Value: float64(after-before) / float64(n)})
	return res, nil
}

// latencies returns sorted times in milliseconds of requests sent in turns.
func (f *overheadFleet) latencies(client *http.Client, n int) (direct, fleet []float64, err error) {
	for i := range n + overheadWarmup {
		for _, way := range []struct {
			url string
			to  *[]float64
		}{{f.direct, &direct}, {f.fleet, &fleet}} {
			begun := time.Now()
			if err := get(client, way.url); err != nil {
				return nil, nil, fmt.Errorf("overhead: %w", err)
			}
			if i >= overheadWarmup {
				*way.to = append(*way.to, float64(time.Since(begun).Microseconds())/1000)
			}
		}
	}
	slices.Sort(direct)
	slices.Sort(fleet)
	return direct, fleet, nil
}

// throughput counts the requests that several clients finish in a time.
func throughput(client *http.Client, url string, length time.Duration) (int, error) {
	var wg sync.WaitGroup
	counts, errs := make([]int, overheadClients), make([]error, overheadClients)
	end := time.Now().Add(length)
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

// allocated returns the bytes that both nodes allocated so far.
func (f *overheadFleet) allocated(client *http.Client) (uint64, error) {
	total := uint64(0)
	for _, admin := range f.admin {
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

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// cpu returns the processor time that both nodes used so far.
func (f *overheadFleet) cpu() (time.Duration, error) {
	total := time.Duration(0)
	for _, c := range []*child{f.entry, f.gate} {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
		if err != nil {
			return 0, fmt.Errorf("overhead: processor time: %w", err)
		}
		// The fields after the name in parentheses; user and system time are
		// the 12th and 13th of them.
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
