package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = slowReaders }

const (
	slowMemoryMB  = 184 // memoryMb of the smaller machines
	slowClients   = 300 // at each of two machines
	slowWaves     = 3
	slowDeadline  = 8 * time.Second
	slowPiece     = 20_000 // bytes that a slow client reads at once
	slowPause     = time.Second
	slowCheck     = 20 * time.Millisecond
	slowRestart   = 500 * time.Millisecond
	guideBytes    = 540_000 // bytes of the largest guide
	allowedEnds   = 2       // of processes of one machine, in a day
	allowedHosts  = 1       // on which more processes end
	clientBuffer  = 4096    // receive buffer of a client's connection
	fullReadBytes = 1 << 20
)

// slowReaders plays clients that read their downloads slowly. Like the platform, the
// stage kills a process that exceeds the memory of its machine and starts it again.
func slowReaders(s *stage) {
	s.memoryMB = slowMemoryMB
	hosts := []*node{s.addNode(1, "qld-a", "shopfront"), s.addNode(2, "qld-b", "shopfront")}
	for i := 3; i <= 6; i++ {
		in := s.addNode(i, "qld-c", "library").addInstance(fmt.Sprintf("i-%d", i), func(_ *instance, w http.ResponseWriter, r *http.Request) {
			if r.Host == "recipe.example" {
				time.Sleep(orderWork)
				_, _ = io.WriteString(w, "recipe") // fails only if the caller is gone
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(guideBytes))
			_, _ = w.Write(make([]byte, guideBytes)) // the same
		})
		in.mu.Lock()
		in.slots = 11
		in.mu.Unlock()
	}
	s.store.publish(map[string]any{
		"version": 3,
		"routes": map[string]any{
			"r-guide":  route("guide.example", "/guide/", "download", "library", int(slowDeadline.Milliseconds())),
			"r-recipe": route("recipe.example", "/recipe/", "idempotent", "library", int(slowDeadline.Milliseconds())),
		},
		"services": services("library", "shopfront"), "limits": limits,
	})
	s.awaitReady()
	time.Sleep(4 * time.Second) // announcements and gossip
	ends := make([]int, len(hosts))
	var lost atomic.Int64
	var done sync.WaitGroup
	for i, host := range hosts {
		done.Go(func() {
			for range slowWaves {
				if host.wave(&lost) {
					ends[i]++
				}
			}
		})
	}
	done.Wait()
	crashing := 0
	for i, host := range hosts {
		s.note("%s: its process ended %d times in %d waves of %d clients", host.name, ends[i], slowWaves, slowClients)
		if ends[i] > allowedEnds {
			crashing++
		}
	}
	s.note("%d ordinary requests ended without an answer", lost.Load())
	if crashing > allowedHosts {
		s.breach("Fault: on %d of %d machines processes exceeded %d MB and ended %d times or more", crashing, len(s.nodes), slowMemoryMB, allowedEnds+1)
	}
}

// wave lets the clients of a machine fetch a guide each, beside a few ordinary requests. It
// reports whether the process was killed because of its memory, and starts it again.
func (n *node) wave(lost *atomic.Int64) (killed bool) {
	s := n.stage
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range slowClients {
		clients.Go(func() { n.fetchGuide(stop) })
	}
	for range 10 {
		clients.Go(func() {
			client := newClient(slowDeadline)
			for range 4 {
				got := n.send(client, request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, host: "recipe.example", path: "/recipe/2f", deadline: slowDeadline})
				if got.status == 0 {
					lost.Add(1)
					return
				}
			}
		})
	}
	largest := int64(0)
	for end := time.Now().Add(slowDeadline); time.Now().Before(end) && !killed; time.Sleep(slowCheck) {
		memory := n.residentMemory()
		largest = max(largest, memory)
		if memory > slowMemoryMB*1_000_000 {
			s.note("%s holds %d MB, more than the %d MB of its machine, and is killed", n.name, memory/1_000_000, slowMemoryMB)
			n.kill()
			killed = true
		}
	}
	s.note("%s held up to %d MB in this wave", n.name, largest/1_000_000)
	close(stop)
	clients.Wait()
	if killed {
		time.Sleep(slowRestart)
		n.launch()
		s.until(20*time.Second, n.name+" is ready again", n.ready)
	}
	time.Sleep(stability)
	return killed
}

// fetchGuide fetches a guide, and reads it slowly when the disruption takes place.
func (n *node) fetchGuide(stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", n.address(outboundPort), time.Second)
	if err != nil {
		return // the process was killed
	}
	defer func() { _ = conn.Close() }()
	size, pause := fullReadBytes, time.Duration(0)
	if n.stage.trouble {
		size, pause = slowPiece, slowPause
		_ = conn.(*net.TCPConn).SetReadBuffer(clientBuffer) // the system's choice is as well
	}
	_ = conn.SetDeadline(time.Now().Add(slowDeadline))
	fmt.Fprintf(conn, "GET /guide/2f HTTP/1.1\r\nHost: guide.example\r\n%s: %016x\r\n%s: %d\r\nConnection: close\r\n\r\n", wire.RequestID, rand.Uint64(), wire.Deadline, slowDeadline.Milliseconds())
	buffer := make([]byte, size)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// residentMemory returns the resident memory of the process in bytes, 0 when it has ended.
func (n *node) residentMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64) // written by the kernel
			return kilobytes << 10
		}
	}
	return 0
}
