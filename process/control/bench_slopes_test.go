package control_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/standin/logservice"
)

// BenchmarkIdleFleet runs the control services of nodes over loopback sockets, all
// in this process, for ten seconds per iteration. There are no targets and no
// changes. It reports the bytes that a node receives and sends, and the
// processor time of the process divided by the number of nodes.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			log := logservice.New(logservice.Options{})
			var nodes []*node
			var seeds []string
			for i := range n {
				member := startNode(b, fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%9), seeds, log)
				if len(seeds) < 3 {
					seeds = append(seeds, member.address)
				}
				nodes = append(nodes, member)
			}
			waitFor(b, 30*time.Second, "all nodes know each other", func() bool {
				for _, member := range nodes {
					if len(member.View().Members) < n {
						return false
					}
				}
				return true
			})
			time.Sleep(3 * time.Second) // until gossip about the joins has ended
			bytesBefore, cpuBefore, startedAt := totalBytes(nodes), processorTime(), time.Now()
			for b.Loop() {
				time.Sleep(10 * time.Second)
			}
			nodeSeconds := time.Since(startedAt).Seconds() * float64(n)
			b.ReportMetric(float64(totalBytes(nodes)-bytesBefore)/nodeSeconds, "bytes/s/node")
			b.ReportMetric(100*(processorTime()-cpuBefore).Seconds()/nodeSeconds, "%core/node")
		})
	}
}

func totalBytes(nodes []*node) int64 {
	var total int64
	for _, n := range nodes {
		total += n.meter.Bytes()
	}
	return total
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
