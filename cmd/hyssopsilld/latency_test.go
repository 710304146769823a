package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const benchConfig = `[services.shop]
floor = 0.5
[services.shop.classes.browse]
idempotent = true
[[routes]]
id = "shop"
path_prefix = "/"
service = "shop"
class = "browse"
`

// BenchmarkAddedLatency compares requests through an entry and a gate in separate
// processes with direct requests to the same target. Both alternate within one run,
// each over one client connection. Allocations are measured for both nodes.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, 2, false)
	f.publish(benchConfig)
	shopTarget := f.addTarget(f.nodes[1], "t1", "shop")
	f.waitReady("t1")
	direct, fleet := dialClient(b, shopTarget.address), dialClient(b, f.nodes[0].caller)
	for range 500 {
		direct.get(b)
		fleet.get(b)
	}
	before := [2]memoryStats{readMemoryStats(b, f.nodes[0]), readMemoryStats(b, f.nodes[1])}
	cpuBefore := [3]time.Duration{cpuTime(b, f.nodes[0].process), cpuTime(b, f.nodes[1].process), cpuTime(b, shopTarget.process)}
	if dir := os.Getenv("PROFILE_DIR"); dir != "" { // CPU and heap profiles on request
		defer startProfiles(b, f, dir)()
	}
	var directTimes, fleetTimes []time.Duration
	for b.Loop() {
		directTimes = append(directTimes, direct.get(b))
		fleetTimes = append(fleetTimes, fleet.get(b))
	}
	after := [2]memoryStats{readMemoryStats(b, f.nodes[0]), readMemoryStats(b, f.nodes[1])}
	for i, p := range []*process{f.nodes[0].process, f.nodes[1].process, shopTarget.process} {
		used := cpuTime(b, p) - cpuBefore[i]
		requests := float64(len(fleetTimes))
		if p == shopTarget.process {
			requests *= 2 // the target serves the direct requests too
		}
		b.ReportMetric(float64(used.Microseconds())/requests, []string{"entry", "gate", "target"}[i]+"-cpu-us/req")
	}
	for _, p := range []struct {
		name  string
		share float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		directTime, fleetTime := percentile(directTimes, p.share), percentile(fleetTimes, p.share)
		b.ReportMetric(float64(directTime.Microseconds()), p.name+"-direct-us")
		b.ReportMetric(float64(fleetTime.Microseconds()), p.name+"-fleet-us")
		b.ReportMetric(float64((fleetTime - directTime).Microseconds()), p.name+"-added-us")
	}
	for i, name := range []string{"entry", "gate"} {
		b.ReportMetric(float64(after[i].TotalAlloc-before[i].TotalAlloc)/float64(len(fleetTimes)), name+"-B/req")
		b.ReportMetric(float64(after[i].Mallocs-before[i].Mallocs)/float64(len(fleetTimes)), name+"-allocs/req")
	}
}

// startProfiles saves CPU profiles of both nodes while the benchmark runs. The
// function that it returns waits for them and saves heap profiles.
func startProfiles(b *testing.B, f *fleet, dir string) func() {
	var wg sync.WaitGroup
	saveProfile := func(n *nodeProcess, name, query string) {
		resp, err := client.Get("http://" + n.admin + "/debug/pprof/" + name + query)
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		writeFile(b, filepath.Join(dir, n.name+"."+name), string(data))
	}
	for _, n := range f.nodes {
		wg.Go(func() { saveProfile(n, "profile", "?seconds=4") })
	}
	return func() {
		wg.Wait()
		for _, n := range f.nodes {
			saveProfile(n, "allocs", "")
		}
	}
}

func percentile(times []time.Duration, share float64) time.Duration {
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// rawClient repeats one fixed request over one persistent connection.
type rawClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(t testing.TB, address string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &rawClient{conn, bufio.NewReader(conn)}
}

var rawRequest = []byte("GET /kits?echo=x HTTP/1.1\r\nHost: shop\r\n\r\n")

func (c *rawClient) get(t testing.TB) time.Duration {
	t.Helper()
	startedAt := time.Now()
	if _, err := c.conn.Write(rawRequest); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %v: %s", resp.Status, err, body)
	}
	return time.Since(startedAt)
}

// cpuTime returns the processor time of a process so far, in ticks of 10 ms.
func cpuTime(t testing.TB, p *process) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	if err := errors.Join(errUser, errSystem); err != nil {
		t.Fatal(err)
	}
	return time.Duration(user+system) * 10 * time.Millisecond
}

type memoryStats struct{ TotalAlloc, Mallocs, HeapInuse uint64 }

func readMemoryStats(t testing.TB, n *nodeProcess) memoryStats {
	t.Helper()
	resp, err := client.Get("http://" + n.admin + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Memstats memoryStats `json:"memstats"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	return vars.Memstats
}
