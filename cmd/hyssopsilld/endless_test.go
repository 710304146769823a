package main_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const endlessConfig = testConfig + `[services.faulty]
[services.faulty.classes.read]
idempotent = true
deadline = "3s"
[services.faulty.classes.order]
deadline = "3s"
[[routes]]
id = "faulty"
path_prefix = "/faulty"
service = "faulty"
class = "read"
[[routes]]
id = "faulty-orders"
path_prefix = "/faulty-orders"
service = "faulty"
class = "order"
`

// maxHostKiB is the memory of a process on the users' hosts, 284 MB.
const maxHostKiB = 284 << 10

// endlessResponses are a start and a part that is repeated until the node closes the
// connection.
var endlessResponses = [][2]string{
	{"", "x"},
	{"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	{"HTTP/1.1 200 OK\r\nX-A: ", "b"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\n\r\n", "hello"},
	{"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "hello"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	{"HTTP/1.1 503 Service Unavailable\r\n\r\n", "hello"},
}

// announceEndlessTarget announces a target that sends bytes without end on each
// connection, each time those of another of endlessResponses.
func announceEndlessTarget(t *testing.T, n *nodeProcess) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go sendEndlessly(conn, endlessResponses[i%len(endlessResponses)])
		}
	}()
	put(t, "http://"+n.announce+"/v1/targets/endless", fmt.Sprintf(`{"service":"faulty","address":%q,"slots":64,"ttl_ms":60000}`, listener.Addr()))
}

func sendEndlessly(conn net.Conn, response [2]string) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	_, err := io.WriteString(conn, response[0])
	for part := strings.Repeat(response[1], 4096); err == nil; {
		_, err = io.WriteString(conn, part)
	}
}

// Guards against a node that keeps bytes without end of a faulty target in memory, and
// takes the requests to other targets down with it.
func TestBytesWithoutEndDoNotEndNode(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, false)
	f.publish(endlessConfig)
	f.addTarget(f.nodes[1], "t1", "shop")
	announceEndlessTarget(t, f.nodes[1])
	f.waitReady("t1", "endless")
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for i := range 30 {
		wait.Go(func() {
			for ctx.Err() == nil {
				f.nodes[0].requestEndless(ctx, i)
			}
		})
	}
	for ctx.Err() == nil {
		if resp := f.nodes[0].sendRequest("GET", "/kits", ""); resp.status != http.StatusOK {
			t.Errorf("a request to another target: %d %s %s", resp.status, resp.reason, resp.body)
		}
	}
	wait.Wait()
	for i, name := range []string{"entry", "gate"} {
		peak := peakMemory(t, f.nodes[i])
		t.Logf("%s: peak memory %d KiB", name, peak)
		if peak > maxHostKiB {
			t.Errorf("%s: peak memory %d KiB, a host has %d KiB", name, peak, maxHostKiB)
		}
	}
}

// requestEndless sends a request to the faulty target. Some callers read the whole
// response, some do not read, and some send an order with a key and leave.
func (n *nodeProcess) requestEndless(ctx context.Context, caller int) {
	method, path, limit := http.MethodGet, "/faulty", 4*time.Second
	if caller%3 == 0 {
		method, path, limit = http.MethodPost, "/faulty-orders", 500*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, nil)
	if method == http.MethodPost {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d-%d", caller, time.Now().UnixNano()))
	}
	resp, err := client.Do(req)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	if caller%3 == 1 {
		_, _ = io.Copy(io.Discard, resp.Body) // ends when the node gives up
	} else {
		<-ctx.Done()
	}
	_ = resp.Body.Close()
}
