package main_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcwire"

	"github.com/hyssopsill/hyssopsill/process/control"
)

// The tests of this file start one process each and do not run in parallel. They
// check only that the process lives, that its memory and descriptors stay within
// bounds, and that an ordinary request is answered while the other clients still
// hold their connections.
const (
	// untrustedClients is the number of clients of each listener. It is above
	// untrustedConnections, so that clients can occupy all connections.
	untrustedClients     = 100
	untrustedConnections = 80
	// untrustedHostKiB is the memory of the host. Hosts have 184 MB or more; the
	// smaller one makes faults show with few clients.
	untrustedHostKiB = 96 << 10
	// untrustedDescriptors is the connections of five listeners, and as many
	// descriptors for targets, the log and the runtime as a sixth listener has.
	untrustedDescriptors = 6 * untrustedConnections
	// untrustedHold is the time for which all clients hold their connections before
	// the process is measured. It is below every timeout of the process.
	untrustedHold = 2 * time.Second
	// untrustedWriteTime bounds how long a client sends.
	untrustedWriteTime = 3 * time.Second
)

// untrustedNode is a process with the lowered limits.
type untrustedNode struct {
	*nodeProcess
	target  *targetProcess
	metrics string
}

// listeners returns the addresses that any client can reach.
func (n *untrustedNode) listeners() map[string]string {
	return map[string]string{"caller": n.caller, "peer_data": n.data, "announce": n.announce, "admin": n.admin, "metrics": n.metrics}
}

func startUntrustedNode(t *testing.T) *untrustedNode {
	t.Helper()
	f := newFleet(t, 0, false)
	n := f.addNode("n1", "d1", false, `listen.metrics = "127.0.0.1:0"`,
		fmt.Sprintf("limits.connections = %d", untrustedConnections), fmt.Sprintf(`limits.memory = "%dKiB"`, untrustedHostKiB))
	f.publish(testConfig)
	target := f.addTarget(n, "t1", "shop")
	f.waitReady("t1")
	return &untrustedNode{nodeProcess: n, target: target, metrics: n.awaitOutput(t, `"metrics":"([^"]+)"`)}
}

// untrustedClient sends what one client sends on its connection. It returns when it
// has sent everything, or after a failed write.
type untrustedClient func(conn net.Conn, number int)

// checkUntrusted runs the clients against every listener of one process and checks
// the process.
func checkUntrusted(t *testing.T, client untrustedClient) {
	t.Helper()
	n := startUntrustedNode(t)
	n.checkCrowd(t, n.listeners(), client)
}

// checkCrowd runs the clients against the listeners of a process and checks it.
func (n *untrustedNode) checkCrowd(t *testing.T, listeners map[string]string, client untrustedClient) {
	t.Helper()
	var connections []net.Conn
	for name, address := range listeners {
		for range untrustedClients {
			conn, err := net.DialTimeout("tcp", address, untrustedWriteTime)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			connections = append(connections, conn)
		}
	}
	closeAll := func() {
		for _, conn := range connections {
			_ = conn.Close()
		}
	}
	defer closeAll()
	var wait sync.WaitGroup
	for i, conn := range connections {
		wait.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(untrustedWriteTime))
			client(conn, i)
		})
	}
	wait.Wait()
	time.Sleep(untrustedHold)
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	peak := peakMemory(t, n.nodeProcess)
	t.Logf("peak resident memory %d KiB, %d open descriptors", peak, len(descriptors))
	if peak > untrustedHostKiB {
		t.Errorf("peak resident memory %d KiB, the host has %d KiB", peak, untrustedHostKiB)
	}
	if len(descriptors) > untrustedDescriptors {
		t.Errorf("%d open descriptors, bound %d", len(descriptors), untrustedDescriptors)
	}
	// An ordinary caller tries again when it is refused or its connection closed.
	eventually(t, 40*time.Second, "an ordinary request is answered", func() bool {
		return n.sendRequest(http.MethodGet, "/kits", "").status == http.StatusOK
	})
	// So does a peer. It would be suspected after some seconds without an answer.
	peer := control.NewClient(control.ClientOptions{Token: fleetToken})
	defer func() { _ = peer.Close() }()
	eventually(t, 10*time.Second, "a call of a peer is answered", func() bool {
		_, err := peer.Status(context.Background(), n.control)
		return err == nil
	})
	select {
	case <-n.exited:
		t.Error("the process has ended")
	default:
	}
}

func send(conn net.Conn, parts ...string) bool {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return false
		}
	}
	return true
}

// shortLines returns header lines with different names, of at most size bytes.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+6 <= size; i++ {
		b.WriteByte(letters[i/26/26%26])
		b.WriteByte(letters[i/26%26])
		b.WriteByte(letters[i%26])
		b.WriteString(":\r\n")
	}
	return b.String()
}

const (
	untrustedHead = "GET /kits HTTP/1.1\r\nHost: h\r\n"
	unfinishedPut = "POST /orders HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n"
)

// Guards against memory that grows with the number of header lines of many requests:
// a parsed line needs many times its bytes. Half of the heads are complete and wait
// for a body, the others lack their end.
func TestUntrustedManyShortLines(t *testing.T) {
	lines := shortLines(30000)
	checkUntrusted(t, func(conn net.Conn, number int) {
		if number%2 == 0 {
			send(conn, untrustedHead, lines)
			return
		}
		send(conn, unfinishedPut, lines, "\r\n")
	})
}

// Guards against header lines that the parser treats differently from ordinary ones:
// without a colon, without a name, and with repeated names.
func TestUntrustedUnusualLines(t *testing.T) {
	patterns := []string{"a\r\n", ":\r\n", "a:\r\n", ": b\r\n", "a:\n", " a\r\n", "\x00:\r\n"}
	checkUntrusted(t, func(conn net.Conn, number int) {
		line := patterns[number%len(patterns)]
		send(conn, unfinishedPut, strings.Repeat(line, 30000/len(line)))
	})
}

// Guards against a line without an end that is kept in memory.
func TestUntrustedEndlessLine(t *testing.T) {
	starts := []string{"", "GET /", untrustedHead + "a: ", untrustedHead}
	checkUntrusted(t, func(conn net.Conn, number int) {
		part := strings.Repeat("x", 4096)
		for ok, i := send(conn, starts[number%len(starts)]), 0; ok && i < 256; i++ {
			ok = send(conn, part)
		}
	})
}

// Guards against empty lines before a request that are read for as long as they come.
func TestUntrustedEmptyLinesBeforeRequest(t *testing.T) {
	checkUntrusted(t, func(conn net.Conn, number int) {
		line := []string{"\r\n", "\n"}[number%2]
		part := strings.Repeat(line, 4096)
		for ok, i := true, 0; ok && i < 64; i++ {
			ok = send(conn, part)
		}
	})
}

// Guards against a head whose bytes come one at a time and keep the connection open.
func TestUntrustedHeadByteByByte(t *testing.T) {
	checkUntrusted(t, func(conn net.Conn, _ int) {
		head := untrustedHead + shortLines(150)
		for i := range head {
			if !send(conn, head[i:i+1]) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Guards against heads above the limit that are read to their end or kept.
func TestUntrustedHeadOverLimit(t *testing.T) {
	checkUntrusted(t, func(conn net.Conn, number int) {
		lines := shortLines(64 << 10)
		if number%2 == 0 {
			lines = strings.Repeat("x-long: "+strings.Repeat("v", 1000)+"\r\n", 1000)
		}
		send(conn, unfinishedPut, lines, "\r\n")
	})
}

// Guards against chunk extensions and trailers without an end.
func TestUntrustedChunkExtensionsAndTrailers(t *testing.T) {
	start := "POST /guides/upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	parts := [][2]string{
		{start + "5;", "x"},
		{start, "1;xxxxxxxxxx\r\na\r\n"},
		{start, "1\r\na\r\n"},
		{start + "0\r\n", "a:\r\n"},
		{start + "0\r\na: ", "x"},
	}
	checkUntrusted(t, func(conn net.Conn, number int) {
		p := parts[number%len(parts)]
		repeated := strings.Repeat(p[1], 4096/len(p[1]))
		for ok, i := send(conn, p[0]), 0; ok && i < 256; i++ {
			ok = send(conn, repeated)
		}
	})
}

// Guards against clients that occupy all connections of a listener: some send
// nothing, others send one request and nothing after it.
func TestUntrustedSilentConnections(t *testing.T) {
	checkUntrusted(t, func(conn net.Conn, number int) {
		if number%2 == 0 {
			send(conn, untrustedHead, "\r\n")
		}
	})
}

// Guards against bodies that begin and do not end.
func TestUntrustedUnfinishedBodies(t *testing.T) {
	starts := []string{
		"POST /guides/upload HTTP/1.1\r\nHost: h\r\nContent-Length: 64000000\r\n\r\n",
		"POST /guides/upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3000000\r\n",
		"POST /orders HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n",
	}
	checkUntrusted(t, func(conn net.Conn, number int) {
		send(conn, starts[number%len(starts)], strings.Repeat("b", 512<<10))
	})
}

// Guards against requests that are sent without reading the responses, which are read
// ahead or answered into memory.
func TestUntrustedPipelinedRequests(t *testing.T) {
	request := untrustedHead + "\r\n"
	checkUntrusted(t, func(conn net.Conn, _ int) {
		part := strings.Repeat(request, 100)
		for ok, i := true, 0; ok && i < 500; i++ {
			ok = send(conn, part)
		}
	})
}

// Guards against responses that the client does not read and that hold memory and
// connections of the process for as long as the client likes.
func TestUntrustedResponsesNeverRead(t *testing.T) {
	sizes := []int{250000, 100 << 20}
	paths := []string{"/kits?size=%d", "/debug/vars?size=%d", "/v1/targets?size=%d"}
	checkUntrusted(t, func(conn net.Conn, number int) {
		path := fmt.Sprintf(paths[number%3], sizes[number%2])
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		send(conn, strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n", 200))
	})
}

// checkControlCrowd runs clients without the fleet token against peer_control.
func checkControlCrowd(t *testing.T, client untrustedClient) {
	t.Helper()
	n := startUntrustedNode(t)
	n.checkCrowd(t, map[string]string{"peer_control": n.control}, client)
}

// controlFrame returns a frame of the first call of a connection to peer_control.
func controlFrame(kind drpcwire.Kind, message uint64, done bool, data []byte) string {
	return string(drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind, Done: done, Data: data,
	}))
}

// Guards against control messages of an unauthenticated client that are buffered, decoded or echoed
// before the fleet token is checked: a message without its end, in one frame or in
// many, thousands of metadata pairs, a huge method name, and a huge message of a call
// without the token.
func TestUntrustedControlMessages(t *testing.T) {
	const size = control.MaxRequestBytes - 1024
	pairs := map[string]string{}
	for i := range size / 12 {
		pairs[strconv.FormatInt(int64(i), 36)] = ""
	}
	metadata, err := drpcmetadata.Encode(nil, pairs)
	if err != nil || len(metadata) > control.MaxRequestBytes {
		t.Fatalf("metadata of %d bytes: %v", len(metadata), err)
	}
	data := make([]byte, size)
	invoke := controlFrame(drpcwire.KindInvoke, 1, true, []byte("/hyssopsill.Control/Exchange"))
	whole := controlFrame(drpcwire.KindInvoke, 1, true, data)
	patterns := []string{
		whole[:len(whole)-1],
		strings.Repeat(controlFrame(drpcwire.KindInvoke, 1, false, data[:60<<10]), size/(60<<10)),
		controlFrame(drpcwire.KindInvokeMetadata, 1, true, metadata) + invoke,
		whole,
		invoke + controlFrame(drpcwire.KindMessage, 2, false, data),
	}
	checkControlCrowd(t, func(conn net.Conn, number int) { send(conn, patterns[number%len(patterns)]) })
}

// Guards against an endless sequence of metadata, each part of which is within the
// bounds of a message.
func TestUntrustedControlEndlessMetadata(t *testing.T) {
	metadata, err := drpcmetadata.Encode(nil, map[string]string{"key": strings.Repeat("v", 32<<10)})
	if err != nil {
		t.Fatal(err)
	}
	checkControlCrowd(t, func(conn net.Conn, _ int) {
		for ok, i := true, uint64(1); ok && i < 64; i++ {
			ok = send(conn, controlFrame(drpcwire.KindInvokeMetadata, i, true, metadata))
		}
	})
}

// Guards against unauthenticated clients that occupy all connections of peer_control: some send
// nothing, others the beginning of a frame.
func TestUntrustedControlSilentConnections(t *testing.T) {
	checkControlCrowd(t, func(conn net.Conn, number int) {
		if number%2 == 0 {
			send(conn, controlFrame(drpcwire.KindInvoke, 1, true, make([]byte, 100))[:50])
		}
	})
}

// Guards against bounds that refuse a legal request: 16 KB of very short lines, when
// nothing else is going on.
func TestSingleHeadOfShortLinesIsServed(t *testing.T) {
	n := startUntrustedNode(t)
	for _, lines := range []string{shortLines(16000), strings.Repeat("a:\n", 16000/3)} {
		conn, err := net.DialTimeout("tcp", n.caller, untrustedWriteTime)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		send(conn, untrustedHead, "Connection: close\r\n", lines, "\r\n")
		response, _ := io.ReadAll(conn)
		_ = conn.Close()
		if !strings.HasPrefix(string(response), "HTTP/1.1 200 ") {
			t.Errorf("response %.200q", response)
		}
	}
}

// Guards against a client that reads nothing of a streamed response and so occupies a
// slot of the target until the deadline, 40 s later.
func TestResponseNotReadFreesSlot(t *testing.T) {
	n := startUntrustedNode(t)
	running := func() int { return n.target.counts(t).Running }
	conn, err := net.DialTimeout("tcp", n.caller, untrustedWriteTime)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	send(conn, "GET /guides/g?size=200000000 HTTP/1.1\r\nHost: h\r\n\r\n")
	eventually(t, 10*time.Second, "the request runs", func() bool { return running() == 1 })
	eventually(t, 25*time.Second, "the slot is free", func() bool { return running() == 0 })
}
