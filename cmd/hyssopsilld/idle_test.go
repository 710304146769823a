package main_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// processUsage is the usage of resources that the kernel reports for a process.
type processUsage struct {
	cpuSeconds    float64
	residentBytes float64
	ioBytes       float64 // of all reads and writes, including sockets
}

func readUsage(b *testing.B, p *process) processUsage {
	b.Helper()
	read := func(name string) string {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
		if err != nil {
			b.Fatal(err)
		}
		return string(data)
	}
	parseNumber := func(text string) float64 {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			b.Fatal(err)
		}
		return v
	}
	const ticksPerSecond = 100
	_, stat, _ := strings.Cut(read("stat"), ") ")
	fields := strings.Fields(stat)
	u := processUsage{cpuSeconds: (parseNumber(fields[11]) + parseNumber(fields[12])) / ticksPerSecond}
	for _, line := range strings.Split(read("status")+read("io"), "\n") {
		switch f := strings.Fields(line); {
		case len(f) > 1 && f[0] == "VmRSS:":
			u.residentBytes = parseNumber(f[1]) * 1024
		case len(f) > 1 && (f[0] == "rchar:" || f[0] == "wchar:"):
			u.ioBytes += parseNumber(f[1])
		}
	}
	return u
}

// BenchmarkIdleNodes runs nodes as processes without targets or requests for 20
// seconds per iteration. It measures the resources that one node uses and the
// requests of all nodes to the log.
func BenchmarkIdleNodes(b *testing.B) {
	for _, n := range []int{1, 4, 9, 12} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newFleet(b, n, false)
			f.publish(benchConfig)
			f.waitReady()
			for b.Loop() {
				var before, after processUsage
				readCounts := func() (appends, reads int64) {
					var counts struct{ Appends, Reads int64 }
					getJSON(b, f.logURL+"/v1/counts", &counts)
					return counts.Appends, counts.Reads
				}
				totalUsage := func() (sum processUsage) {
					for _, node := range f.nodes {
						nodeUsage := readUsage(b, node.process)
						sum.cpuSeconds, sum.residentBytes, sum.ioBytes = sum.cpuSeconds+nodeUsage.cpuSeconds, sum.residentBytes+nodeUsage.residentBytes, sum.ioBytes+nodeUsage.ioBytes
					}
					return sum
				}
				appends, reads := readCounts()
				before = totalUsage()
				startedAt := time.Now()
				time.Sleep(20 * time.Second)
				after = totalUsage()
				seconds := time.Since(startedAt).Seconds()
				appendsAfter, readsAfter := readCounts()
				perNode := float64(n) * seconds
				b.ReportMetric(100*(after.cpuSeconds-before.cpuSeconds)/perNode, "%core/node")
				b.ReportMetric(after.residentBytes/float64(n)/1e6, "MB/node")
				b.ReportMetric((after.ioBytes-before.ioBytes)/perNode, "bytes/s/node")
				b.ReportMetric(float64(appendsAfter-appends)/seconds, "appends/s")
				b.ReportMetric(float64(readsAfter-reads)/seconds, "reads/s")
			}
		})
	}
}
