package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// headOfLines returns the head of a request with n lines of different short names.
func headOfLines(n int) []byte {
	var b bytes.Buffer
	b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range n {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+i/676%26, 'a'+i/26%26, 'a'+i%26)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Guards against an estimate below what a parsed head and its copy for the next hop
// take.
func TestEstimateCoversParsedHead(t *testing.T) {
	for _, lines := range []int{60, 1000, 4000} {
		head := headOfLines(lines)
		const count = 40
		var held [2 * count]http.Header
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range count {
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
			if err != nil {
				t.Fatal(err)
			}
			held[i], held[count+i] = r.Header, http.Header{}
			roundtrip.CopyHeader(held[count+i], r.Header)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(&held)
		got, estimate := int64(after.HeapAlloc-before.HeapAlloc)/count, headCost(len(head), lines+3)
		t.Logf("%d lines: %d bytes on the heap, estimate %d", lines, got, estimate)
		if got > estimate {
			t.Errorf("%d lines: %d bytes on the heap, estimate %d", lines, got, estimate)
		}
	}
}

// startBoundedService runs a service whose connections are counted against a budget.
func startBoundedService(t *testing.T, memoryBytes settings.ByteSize, writeTimeout time.Duration, h http.Handler) (string, *memory) {
	t.Helper()
	inner := listenLoopback(t)
	limits := settings.Limits{HeaderBytes: 32 << 10, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, Memory: memoryBytes}
	m := newMemory(limits, 0, attempt.DefaultHTTPProfile, zerolog.Nop())
	l := limitConnections("caller", inner, 100, zerolog.Nop())
	l.memory, l.writeTimeout = m, writeTimeout
	startService(t, l, h, limits)
	return inner.Addr().String(), m
}

func dialService(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

func awaitMemory(t *testing.T, m *memory, description string, condition func(memoryMetric) bool) {
	t.Helper()
	for range 500 {
		if condition(m.metric().(memoryMetric)) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not reached: %+v", description, m.metric())
}

// Guards against heads that together take more than the budget, against a refusal
// without the status that promises that the request has not run, and against charges
// that stay after their connections.
func TestHeadsBeyondBudgetAreRefused(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	address, m := startBoundedService(t, 8<<20, 0, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.Host == "h" {
			<-release
		}
	}))
	head := headOfLines(4000) // estimated at about 1 MB, and 3 MB are for large heads
	const clients = 10
	responses := make(chan string, clients)
	var connections []net.Conn
	for range clients {
		conn := dialService(t, address)
		connections = append(connections, conn)
		_, _ = conn.Write(head)
		time.Sleep(20 * time.Millisecond)
		go func() {
			data, _ := io.ReadAll(conn)
			responses <- string(data)
		}()
	}
	awaitMemory(t, m, "most are refused", func(s memoryMetric) bool { return s.Reached && s.Refused+s.Closed >= clients-3 })
	resp, err := http.Get("http://" + address)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("an ordinary request: %v %v", resp, err)
	} else {
		_ = resp.Body.Close()
	}
	if n := runs.Load() - 1; n < 1 || n > 3 {
		t.Errorf("%d large requests run, want 1 to 3", n)
	}
	close(release)
	http.DefaultClient.CloseIdleConnections()
	for _, conn := range connections {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	refused := 0
	for range clients {
		if text := <-responses; strings.HasPrefix(text, "HTTP/1.1 503 ") {
			refused++
			if !strings.Contains(text, "Hyssopsill-Outcome: not-run\r\n") || !strings.Contains(text, "Connection: close\r\n") {
				t.Errorf("refusal %q", text)
			}
		}
	}
	t.Logf("%d of %d large heads got the refusal", refused, clients)
	awaitMemory(t, m, "all is released", func(s memoryMetric) bool { return s.UsedBytes == 0 && s.Connections == 0 && !s.Reached })
}

// Guards against a line for each of many changes of state.
func TestStateOfBudgetIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	m := newMemory(settings.Limits{Memory: 8 << 20}, 0, attempt.DefaultHTTPProfile, zerolog.New(&lines))
	for range 100 {
		c := &limitedConn{}
		c.holder.Value = c
		if m.update(c, 5<<20, false) {
			t.Fatal("a charge above the budget was admitted")
		}
		if !m.update(c, 1<<20, false) {
			t.Fatal("a charge within the budget was refused")
		}
		m.release(c)
	}
	if n := bytes.Count(lines.Bytes(), []byte{'\n'}); n != 1 {
		t.Errorf("%d lines for 100 changes:\n%s", n, lines.Bytes())
	}
}

// Guards against a response that occupies its handler for as long as the client reads
// nothing, and against ending one that is read slowly.
func TestWriteEndsWithoutReader(t *testing.T) {
	ended := make(chan error, 1)
	address, m := startBoundedService(t, 0, 300*time.Millisecond, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var err error
		for range 64 {
			if _, err = w.Write(make([]byte, 512<<10)); err != nil {
				break
			}
		}
		ended <- err
	}))
	silent := dialService(t, address)
	_, _ = io.WriteString(silent, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if err := <-ended; err == nil {
		t.Error("a response of 32 MiB was written without a reader")
	}
	awaitMemory(t, m, "the slow reader is counted", func(s memoryMetric) bool { return s.SlowReaders == 1 && s.Connections == 0 })
	slow := dialService(t, address)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	buffer, total := make([]byte, 1<<20), 0
	for {
		n, err := slow.Read(buffer)
		total += n
		if err != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := <-ended; err != nil || total < 32<<20 {
		t.Errorf("a slow reader got %d bytes: %v", total, err)
	}
}

// Guards against running a request that is behind a response which closes the
// connection.
func TestRequestBehindClosingResponseDoesNotRun(t *testing.T) {
	var runs atomic.Int64
	address, _ := startBoundedService(t, 0, time.Second, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header()["Connection"] = []string{"close"}
	}))
	conn := dialService(t, address)
	_, _ = io.WriteString(conn, strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 20))
	data, _ := io.ReadAll(conn)
	if runs.Load() != 1 || strings.Count(string(data), "HTTP/1.1 ") != 1 {
		t.Errorf("%d requests ran, response %q", runs.Load(), data)
	}
}

// Fuzzes the reads and the requests of a connection: between requests only what may be
// in the server's buffer stays charged.
func FuzzConnCharge(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), []byte{0, 3, 9})
	f.Fuzz(func(t *testing.T, data, steps []byte) {
		most := headCost(serverBufferBytes, serverBufferBytes) // a full read buffer, each byte a line end
		var c connCharge
		inHead, first, buffered := true, true, 0
		for _, step := range steps {
			n := min(int(step&63), len(data))
			size := serverBufferBytes - buffered
			if size <= n || step&64 != 0 {
				size, buffered = serverBufferBytes, 0
			}
			before := c.total()
			c.noteRead(data[:n], size, inHead, first)
			buffered += n
			if first && size == serverBufferBytes {
				before = connectionBytes
			}
			if c.total() < before || (inHead && c.total() < before+headCost(n, bytes.Count(data[:n], []byte{'\n'}))) {
				t.Fatalf("total %d after %d bytes, %d before", c.total(), n, before)
			}
			data, first = data[n:], false
			if step&128 != 0 {
				if inHead = !inHead; inHead {
					first = true
					c.endRequest()
					if left := c.total() - connectionBytes; left > most {
						t.Fatalf("%d bytes stay charged", left)
					}
				}
			}
		}
	})
}

// Guards against clients that send requests without a pause, or nothing, on all
// connections of a listener, so that no other client gets a connection.
func TestBusyAndSilentConnectionsMakeRoom(t *testing.T) {
	for _, busy := range []bool{true, false} {
		t.Run(fmt.Sprint("busy=", busy), func(t *testing.T) {
			inner := listenLoopback(t)
			limits := settings.Limits{HeaderBytes: 32 << 10, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Millisecond) })
			startService(t, limitConnections("caller", inner, 3, zerolog.Nop()), handler, limits)
			for range 3 {
				conn := dialService(t, inner.Addr().String())
				if busy {
					go func() { _, _ = io.Copy(io.Discard, conn) }()
					go func() {
						for range 100000 {
							if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
								return
							}
						}
					}()
				}
			}
			time.Sleep(50 * time.Millisecond) // all slots are taken
			other := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
			resp, err := other.Get("http://" + inner.Addr().String())
			if err != nil {
				t.Error(err)
			} else {
				_ = resp.Body.Close()
			}
		})
	}
}
