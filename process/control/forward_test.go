package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
)

// applyTime is the time within which a version must be in force on all nodes that run.
const applyTime = 2500 * time.Millisecond

// documentHandler serves the configuration calls of other nodes.
type documentHandler struct {
	control.Handler
	documents *control.Documents
}

func (h documentHandler) Configuration(ctx context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	return h.documents.Configuration(ctx, r)
}

func (h documentHandler) Document(ctx context.Context, r *controlpb.DocumentRequest, send func(*controlpb.DocumentPart) error) error {
	return h.documents.Document(ctx, r, send)
}

// silentListener accepts connections that can go silent: nothing is read from them any
// longer, and nothing sent.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &silentConn{Conn: conn}
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
}

// Read drops what arrives on a silent connection.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// listen gives each node a control address. Those that run serve it; the others accept
// connections and send nothing, as a frozen process does.
func (f *documentFleet) listen(t *testing.T, runs func(i int) bool) []*silentListener {
	t.Helper()
	var listeners []*silentListener
	f.listenOn(t, runs, func(plain net.Listener) net.Listener {
		listeners = append(listeners, &silentListener{Listener: plain})
		return listeners[len(listeners)-1]
	})
	return listeners
}

// listenOn is listen with the listeners of nodes that run replaced by others.
func (f *documentFleet) listenOn(t *testing.T, runs func(i int) bool, wrap func(net.Listener) net.Listener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i, n := range f.nodes {
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n.peer.Address = plain.Addr().String()
		if !runs(i) {
			t.Cleanup(func() { _ = plain.Close() })
			continue
		}
		server, err := control.NewServer(control.ServerOptions{Token: "secret"}, documentHandler{documents: n.Documents})
		if err != nil {
			t.Fatal(err)
		}
		listener := wrap(plain)
		wait.Go(func() { _ = server.Serve(ctx, listener) }) // ends with the context's error
	}
	t.Cleanup(func() { cancel(); wait.Wait() })
}

// Guards against a version that does not reach a node in time, because all that announce
// it chose peers that are lost.
func TestVersionReachesRunningNodesWhenMostAreLost(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newDocumentFleet(96, 4)
			order := rand.New(rand.NewPCG(seed, 1)).Perm(len(f.nodes))
			running := map[int]bool{}
			for _, i := range order[:12] {
				running[i] = true
			}
			f.listen(t, func(i int) bool { return running[i] })
			f.serve(t, func(i int) bool { return running[i] })
			time.Sleep(500 * time.Millisecond) // at the start all nodes read, until the first version
			f.publish(t, 1)
			for i := range running {
				waitFor(t, 15*time.Second, f.nodes[i].peer.Node+" has the first version", f.nodes[i].hasVersion(1))
			}
			f.publish(t, 2)
			publishedAt := time.Now()
			for i := range running {
				waitFor(t, applyTime-time.Since(publishedAt), f.nodes[i].peer.Node+" has the second version", f.nodes[i].hasVersion(2))
			}
		})
	}
}

// Guards against a version that comes into force late on some nodes, because the kept
// connections between nodes have gone silent and their timeouts add up.
func TestVersionReachesAllNodesAfterConnectionsBetweenThemWentSilent(t *testing.T) {
	f := newDocumentFleet(48, 4)
	all := func(int) bool { return true }
	listeners := f.listen(t, all)
	f.serve(t, all)
	time.Sleep(500 * time.Millisecond) // at the start all nodes read, until the first version
	for version := 1; version <= 6; version++ {
		for _, l := range listeners {
			l.silence()
		}
		f.publish(t, version)
		publishedAt, limit := time.Now(), applyTime/2 // the other half is for reading it from the log service
		if version == 1 {
			limit = 15 * time.Second // nodes without a version ask their peers in turn
		}
		for _, n := range f.nodes {
			waitFor(t, limit-time.Since(publishedAt), fmt.Sprint(n.peer.Node, " has version ", version), n.hasVersion(version))
		}
		time.Sleep(200 * time.Millisecond) // the calls of this version end and leave connections
	}
}

// startReadingFleet starts a fleet whose readers have version 1 and have just begun to wait
// for the next one.
func startReadingFleet(t *testing.T, nodes, domains int) *documentFleet {
	t.Helper()
	f := startDocumentFleet(t, nodes, domains)
	time.Sleep(500 * time.Millisecond) // until the nodes know their roles
	f.publish(t, 1)
	for _, n := range f.nodes {
		waitFor(t, 5*time.Second, n.peer.Node+" has the first version", n.hasVersion(1))
	}
	time.Sleep(50 * time.Millisecond)
	return f
}

// Guards against a version that no watcher reads in time after all connections to the log
// service went silent while their reads had just begun.
func TestSilentReadEndsSoonAfterChange(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{1, 1}, {3, 3}, {24, 4}} {
		for fleet := range 3 { // reads wait for random times
			t.Run(fmt.Sprintf("%d nodes in %d domains, fleet %d", size.nodes, size.domains, fleet), func(t *testing.T) {
				t.Parallel()
				f := startReadingFleet(t, size.nodes, size.domains)
				f.silenceConnections()
				f.publish(t, 2)
				waitFor(t, applyTime*3/5, "a node has read the next version", f.hasVersion(2))
			})
		}
	}
}

// Guards against readers that wait up to 21 s on silent connections, and are counted on as
// readers, although a version that a peer sent shows that their read should have ended.
func TestReaderReadsAgainWhenPeerHasNewerVersion(t *testing.T) {
	f := startReadingFleet(t, 12, 1)
	f.silenceConnections()
	publishedAt := time.Now()
	f.publish(t, 2)
	for _, n := range f.nodes {
		request := &controlpb.ConfigurationRequest{From: "n", Entries: []*controlpb.Entry{{Offset: 2, Data: []byte("2")}}}
		if _, err := n.Configuration(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range f.nodes {
		waitFor(t, applyTime, n.peer.Node+" reads the log service again", func() bool { return n.LogStatus().LastRead.After(publishedAt) })
	}
}

// Guards against a version that no node reads in time when the watchers are frozen, all
// connections to the log service have gone silent, and the other readers have just begun
// to wait for the next change.
func TestVersionIsReadWhileWatchersAreFrozen(t *testing.T) {
	for fleet := range 8 { // reads wait for random times
		t.Run(fmt.Sprint("fleet ", fleet), func(t *testing.T) {
			t.Parallel()
			f := startReadingFleet(t, 24, 1)
			frozen := slices.Concat(f.watchers(), f.nodes)[:12] // membership has not noticed it
			for _, n := range frozen {
				f.mu.Lock()
				f.frozen[n.peer.Node] = true
				f.mu.Unlock()
				n.tables.setSilent(true)
			}
			f.silenceConnections()
			f.publish(t, 2)
			running := slices.DeleteFunc(slices.Clone(f.nodes), func(n *documentNode) bool { return slices.Contains(frozen, n) })
			waitFor(t, applyTime, "a node that runs has read the version", func() bool {
				return slices.ContainsFunc(running, func(n *documentNode) bool { return n.hasVersion(2)() })
			})
		})
	}
}
