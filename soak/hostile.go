package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	hostileShare     = 0.5 // share of plans with hostile clients
	maxCrowds        = 3
	minCrowdTime     = 2 * time.Second
	crowdTimeRange   = 2 * time.Second
	crowdClients     = 50 // on each listener; with the largest heads these need more than the memory of a node
	slowByteInterval = time.Second
	// hostMemoryKiB is the memory of a node's host in plans with hostile clients. It is
	// below the 184 MB of the smallest hosts, so that fewer clients suffice to exceed it.
	hostMemoryKiB = 96 << 10
	hostileHead   = "GET /kits?size=250000 HTTP/1.1\r\nHost: h\r\n" + attempt.HeaderAccountKey + ": " + stableKey + "\r\n"
)

// hostileKinds are the patterns of a crowd of hostile clients.
var hostileKinds = []Kind{HostileLines, HostileHeads, HostileSlow, HostileSilent, HostileUnread}

// addHostileClients adds crowds of hostile clients to some plans. They have their own
// random source, as reloads do.
func (p *Plan) addHostileClients(random *rand.Rand) {
	if random.Float64() >= hostileShare {
		return
	}
	for range 1 + random.IntN(maxCrowds) {
		p.Events = append(p.Events, Event{At: time.Duration(random.Int64N(int64(p.Faults))), Kind: hostileKinds[random.IntN(len(hostileKinds))],
			Subject: random.IntN(p.Nodes), Duration: minCrowdTime + time.Duration(random.Int64N(int64(crowdTimeRange)))})
	}
}

// sendCrowd connects hostile clients to the listeners of a node and holds their
// connections for the duration d. Errors are expected: the node closes connections.
func (in *injector) sendCrowd(ctx context.Context, n *node, kind Kind, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, address := range []string{n.caller, n.data, n.announce, n.admin} {
		for i := range crowdClients {
			wg.Go(func() {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends writes too
				defer stop()
				sendHostile(ctx, conn, kind, i)
				<-ctx.Done()
			})
		}
	}
}

// sendHostile sends what the hostile client with this number sends, until a write fails.
func sendHostile(ctx context.Context, conn net.Conn, kind Kind, number int) {
	switch kind {
	case HostileLines: // half of the heads are complete and wait for a body
		text := "POST /orders HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n" + shortLines(30000)
		if number%2 == 0 {
			text += "\r\n"
		}
		_, _ = io.WriteString(conn, text)
	case HostileHeads: // a line without an end, or lines without an end
		part := strings.Repeat([]string{"x", "x: y\r\n"}[number%2], 1024)
		for _, err := io.WriteString(conn, hostileHead+"a: "); err == nil; {
			_, err = io.WriteString(conn, part)
		}
	case HostileSlow:
		for i := range hostileHead {
			if _, err := io.WriteString(conn, hostileHead[i:i+1]); err != nil || !sleep(ctx, slowByteInterval) {
				return
			}
		}
	case HostileSilent: // half send one request and nothing after it
		if number%2 == 0 {
			_, _ = io.WriteString(conn, hostileHead+"\r\n")
		}
	case HostileUnread:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4096)
		}
		_, _ = io.WriteString(conn, strings.Repeat(hostileHead+"\r\n", 20))
	}
}

// shortLines returns header lines of different short names with about size bytes.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+i/26/26%26, 'a'+i/26%26, 'a'+i%26)
	}
	return b.String()
}

// recordMemory records the memory of the nodes until ctx ends.
func (in *injector) recordMemory(ctx context.Context) {
	for sleep(ctx, viewInterval) {
		for _, n := range in.fleet.nodes {
			in.fleet.current(&n.process).recordMemory()
		}
	}
}

// recordMemory records the peak resident memory of the process. The kernel's figure at
// the end of a process cannot be used, since it includes that of its parent.
func (p *process) recordMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil || !p.running() {
		return
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	var kib int64
	if _, err := fmt.Sscanf(rest, "%d kB", &kib); err == nil {
		p.end.PeakKiB = max(p.end.PeakKiB, kib)
	}
}

// checkMemory compares the memory of the nodes with that in their settings.
func checkMemory(h *History) (out []string) {
	if !h.Plan.has(hostileKinds...) {
		return nil
	}
	for i := range h.Ends {
		if e := &h.Ends[i]; e.PeakKiB > hostMemoryKiB {
			out = append(out, fmt.Sprintf("process %s that ended at %s used %d KiB, its settings allow %d", e.Process, e.EndedAt.Sub(h.StartedAt), e.PeakKiB, hostMemoryKiB))
		}
	}
	return out
}
