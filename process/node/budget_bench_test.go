package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/standin/logservice"
)

// BenchmarkMemoryBudget compares requests through an entry and a gate whose connections
// are counted against the memory budget with requests through two that have none.
// Blocks of both alternate within one run, each over one connection.
func BenchmarkMemoryBudget(b *testing.B) {
	const block = 200
	withBudget, without := dialBudgetFleet(b, true), dialBudgetFleet(b, false)
	var times [2][]time.Duration
	for b.Loop() {
		for i, get := range []func() time.Duration{withBudget, without} {
			for range block {
				times[i] = append(times[i], get())
			}
		}
	}
	var rates, p99 [2]float64
	for i, name := range []string{"with", "without"} {
		total := time.Duration(0)
		for _, d := range times[i] {
			total += d
		}
		slices.Sort(times[i])
		rates[i] = float64(len(times[i])) / total.Seconds()
		p99[i] = float64(times[i][len(times[i])*99/100].Microseconds())
		b.ReportMetric(rates[i], name+"-req/s")
		b.ReportMetric(p99[i], name+"-p99-us")
	}
	b.ReportMetric(rates[0]/rates[1], "req/s-ratio")
	b.ReportMetric(p99[0]/p99[1], "p99-ratio")
}

// dialBudgetFleet starts an entry and a gate and returns a function that sends one
// request and returns its time.
func dialBudgetFleet(b *testing.B, budget bool) func() time.Duration {
	b.Helper()
	log := logservice.New(logservice.Options{})
	publishConfig(b, log, testConfig)
	entry, gate := newTestNode(b, "n1", "d1", log), newTestNode(b, "n2", "d2", log)
	for _, n := range []*testNode{entry, gate} {
		if !budget {
			n.listeners.caller.memory, n.listeners.peerData.memory = nil, nil
		}
		n.start(b)
	}
	startTarget(b, gate, "t1")
	address := entry.Addresses().Caller
	for range 200 {
		response, err := http.Get("http://" + address + "/kits")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	return func() time.Duration {
		startedAt := time.Now()
		_, _ = io.WriteString(conn, "GET /kits HTTP/1.1\r\nHost: shop\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response.Status, err)
		}
		return time.Since(startedAt)
	}
}
