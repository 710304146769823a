package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
)

// largeRoutes is the number of routes of a document of half a megabyte.
const largeRoutes = 2800

// largeDocument returns a document with many routes. All versions have the same routes
// but for one.
func largeDocument(version int) string {
	random := rand.New(rand.NewPCG(3, 4))
	var b strings.Builder
	fmt.Fprintln(&b, version)
	for i := range largeRoutes {
		change := 0
		if i == largeRoutes/2 {
			change = version
		}
		fmt.Fprintf(&b, `"r%x":{"host":"%x.example","pathPrefix":"/%x/","service":"s%d","kind":"idempotent","maxAttempts":3,"timeoutMs":8000,"targetLatencyMs":%d,"priority":1},`+"\n",
			random.Uint64(), random.Uint32(), random.Uint64(), random.IntN(4), 3000+change)
	}
	return b.String()
}

// narrowListener accepts connections that share the bandwidth of one link to send.
type narrowListener struct {
	net.Listener
	link *rate.Limiter // bytes/s
}

const linkBurst = 16 << 10 // bytes

func newNarrowListener(l net.Listener, bytesPerSecond int) *narrowListener {
	return &narrowListener{l, rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst)}
}

func (l *narrowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &narrowConn{conn, l.link}, nil
}

type narrowConn struct {
	net.Conn
	link *rate.Limiter
}

func (c *narrowConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		n := min(len(p), 4<<10)
		if err := c.link.WaitN(context.Background(), n); err != nil {
			return written, err
		}
		n, err = c.Conn.Write(p[:n])
		written, p = written+n, p[n:]
	}
	return written, err
}

// startNarrowFleet starts a fleet of which only the first node can read the log service.
// The links of all nodes have the same bandwidth.
func startNarrowFleet(t *testing.T, nodes, domains, bytesPerSecond int) *documentFleet {
	t.Helper()
	f := newDocumentFleet(nodes, domains)
	all := func(int) bool { return true }
	f.listenOn(t, all, func(l net.Listener) net.Listener { return newNarrowListener(l, bytesPerSecond) })
	for _, n := range f.nodes[1:] {
		n.tables.setSilent(true)
	}
	f.serve(t, all)
	return f
}

// Guards against a version that reaches nodes behind links of 10 Mbit/s late or not at all
// because its document is large.
func TestLargeDocumentReachesAllNodes(t *testing.T) {
	f := startNarrowFleet(t, 24, 4, 10e6/8)
	time.Sleep(500 * time.Millisecond) // at the start all nodes read, until the first version
	for version := 1; version <= 3; version++ {
		f.publishDocument(t, largeDocument(version))
		publishedAt := time.Now()
		for _, n := range f.nodes {
			waitFor(t, applyTime-time.Since(publishedAt), fmt.Sprint(n.peer.Node, " has version ", version), n.hasVersion(version))
		}
	}
}

// Guards against a transfer that is ended, and begun again from zero, although bytes arrive.
func TestSlowTransferOfDocumentIsNotEnded(t *testing.T) {
	f := startNarrowFleet(t, 2, 1, 64<<10)
	f.publishDocument(t, largeDocument(1))
	waitFor(t, 12*time.Second, "the other node has the version", f.nodes[1].hasVersion(1))
}

// Guards against bytes that are fetched again when the peer that sends them falls silent,
// and against a transfer from a silent peer that keeps others from beginning.
func TestChunksAreKeptWhenPeerFallsSilent(t *testing.T) {
	f := newDocumentFleet(3, 1)
	all := func(int) bool { return true }
	var listeners []*silentListener
	f.listenOn(t, all, func(l net.Listener) net.Listener {
		listeners = append(listeners, &silentListener{Listener: newNarrowListener(l, 64<<10)})
		return listeners[len(listeners)-1]
	})
	receiver := f.nodes[2]
	receiver.tables.setSilent(true)
	f.serve(t, func(i int) bool { return i < 2 })
	f.publishDocument(t, largeDocument(1))
	for _, n := range f.nodes[:2] {
		waitFor(t, 5*time.Second, n.peer.Node+" has the version", n.hasVersion(1))
	}
	time.Sleep(200 * time.Millisecond) // they have split it
	f.serve(t, func(i int) bool { return i == 2 })
	waitFor(t, 3*time.Second, "some chunks have arrived", func() bool { return receiver.LogStatus().Transfers.Running > 0 })
	time.Sleep(400 * time.Millisecond)
	arrived := receiver.LogStatus().Transfers
	if receiver.hasVersion(1)() {
		t.Fatal("the whole document has arrived before the silence")
	}
	for _, l := range listeners {
		l.silence()
	}
	waitFor(t, 3*time.Second, "the version is in force", receiver.hasVersion(1))
	time.Sleep(1200 * time.Millisecond) // the silent transfers end
	counts := receiver.LogStatus().Transfers
	t.Logf("before the silence %+v, in all %+v", arrived, counts)
	if counts.Bytes > 130<<10 {
		t.Errorf("%d bytes received, want little more than the 90 KB of the compressed document", counts.Bytes)
	}
}

// earlierHandler serves the calls of a program that sends no chunks.
type earlierHandler struct{ documentHandler }

func (earlierHandler) Document(context.Context, *controlpb.DocumentRequest, func(*controlpb.DocumentPart) error) error {
	return errors.New(`unknown rpc: "/hyssopsill.control.Control/Document"`)
}

// Guards against a node that gets no document while its peers run an earlier program.
func TestDocumentOfEarlierProgramIsFetchedWhole(t *testing.T) {
	f := newDocumentFleet(2, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.nodes[0].peer.Address, f.nodes[1].peer.Address = listener.Addr().String(), "127.0.0.1:1"
	server, err := control.NewServer(control.ServerOptions{Token: "secret"}, earlierHandler{documentHandler{documents: f.nodes[0].Documents}})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }() // ends with the test
	f.nodes[1].tables.setSilent(true)
	f.serve(t, func(int) bool { return true })
	f.publishDocument(t, largeDocument(1))
	waitFor(t, 5*time.Second, "the other node has the version", f.nodes[1].hasVersion(1))
}
