package control_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

// callTimeout is the time after which a call that gets no response fails.
const callTimeout = time.Second

// partialTables is the view of one node on a log service that may not respond to it.
type partialTables struct {
	*logservice.Service
	mu     sync.Mutex
	silent chan struct{} // closed when the service responds again; nil while it does
	reads  int           // Follow calls begun
	newest int           // Newest calls begun
	lost   int           // those of them that get no response
	delay  time.Duration // of each response
}

// awaitResponse delays a response. It fails when the caller does not wait for it.
func (p *partialTables) awaitResponse(ctx context.Context) error {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	patience := cmp.Or(eventlog.CallOptionsOf(ctx).ResponseTimeout, callTimeout)
	select {
	case <-ctx.Done():
		return eventlog.ErrUnavailable
	case <-time.After(min(delay, patience)):
	}
	if delay > patience {
		return eventlog.ErrUnavailable
	}
	return nil
}

// silenceConnection lets a Follow call in progress get no response.
func (p *partialTables) silenceConnection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = p.reads
}

func (p *partialTables) beginRead() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.reads
}

func (p *partialTables) isLost(read int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return read <= p.lost
}

func (p *partialTables) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case silent && p.silent == nil:
		p.silent = make(chan struct{})
	case !silent && p.silent != nil:
		close(p.silent)
		p.silent = nil
	}
}

// await fails after the timeout of a call while the service is silent.
func (p *partialTables) await(ctx context.Context, wait time.Duration) error {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent == nil {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait + callTimeout):
	case <-silent:
	}
	return eventlog.ErrUnavailable
}

func (p *partialTables) Newest(ctx context.Context, table string) ([]eventlog.TableEntry, eventlog.Position, error) {
	p.mu.Lock()
	p.newest++
	p.mu.Unlock()
	if err := p.await(ctx, 0); err != nil {
		return nil, eventlog.Position{}, err
	}
	if err := p.awaitResponse(ctx); err != nil {
		return nil, eventlog.Position{}, err
	}
	return p.Service.Newest(ctx, table)
}

func (p *partialTables) Follow(ctx context.Context, table string, from eventlog.Position, wait time.Duration) ([]eventlog.TableEntry, eventlog.Position, error) {
	startedAt, read := time.Now(), p.beginRead()
	entries, next, err := p.Service.Follow(ctx, table, from, wait)
	if err := p.awaitResponse(ctx); err != nil {
		return nil, from, err
	}
	if p.isLost(read) {
		select {
		case <-ctx.Done():
		case <-time.After(wait + callTimeout - time.Since(startedAt)):
		}
		return nil, from, eventlog.ErrUnavailable
	}
	if silent := p.await(ctx, max(0, wait-time.Since(startedAt))); silent != nil {
		return nil, from, silent
	}
	return entries, next, err
}

// documentFleet is a fleet whose nodes know at once what the others report and do not
// forward documents.
type documentFleet struct {
	log   *logservice.Service
	nodes []*documentNode

	mu     sync.Mutex
	access map[string]distribute.Access
	frozen map[string]bool // nodes that report nothing any longer
}

type documentNode struct {
	*control.Documents
	fleet  *documentFleet
	peer   distribute.Peer
	tables *partialTables
	client *control.Client
}

func startDocumentFleet(t *testing.T, nodes, domains int) *documentFleet {
	t.Helper()
	f := newDocumentFleet(nodes, domains)
	f.serve(t, func(int) bool { return true })
	return f
}

func newDocumentFleet(nodes, domains int) *documentFleet {
	f := &documentFleet{log: logservice.New(logservice.Options{MaxRecordBytes: 1 << 20}), access: map[string]distribute.Access{}, frozen: map[string]bool{}}
	decode := func(data []byte) (*config.Config, error) {
		first, _, _ := strings.Cut(string(data), "\n")
		version, err := strconv.ParseInt(first, 10, 64)
		return &config.Config{Version: version}, err
	}
	for i := range nodes {
		n := &documentNode{fleet: f, tables: &partialTables{Service: f.log}, client: control.NewClient(control.ClientOptions{Token: "secret", Timeout: callTimeout})}
		n.peer = distribute.Peer{Node: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains), Address: "127.0.0.1:1"}
		n.Documents = control.NewDocuments(control.DocumentOptions{
			Core:   document.Options{Node: n.peer.Node, Domain: n.peer.Domain, Decode: decode},
			Source: control.DocumentSource{Tables: n.tables, Table: "op", Key: "config", Decode: decode},
			Client: n.client, Peers: f.peers, Random: rand.New(rand.NewPCG(uint64(i), 2)), Log: zerolog.Nop(),
			OnAccess: func(a distribute.Access) { f.setAccess(n.peer.Node, a) },
		})
		f.nodes = append(f.nodes, n)
	}
	return f
}

// serve runs the nodes that are chosen until the end of the test.
func (f *documentFleet) serve(t *testing.T, runs func(i int) bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i, n := range f.nodes {
		if runs(i) {
			wait.Go(func() { _ = n.Serve(ctx) }) // ends with the context's error
		}
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
		for _, n := range f.nodes {
			_ = n.client.Close()
		}
	})
}

func (f *documentFleet) setAccess(node string, a distribute.Access) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.frozen[node] {
		f.access[node] = a
	}
}

func (f *documentFleet) peers() ([]distribute.Peer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []distribute.Peer
	for _, n := range f.nodes {
		p := n.peer
		p.Access = f.access[p.Node]
		out = append(out, p)
	}
	return out, true
}

func (f *documentFleet) publish(t *testing.T, version int) {
	t.Helper()
	f.publishDocument(t, strconv.Itoa(version))
}

// publishDocument publishes a document whose first line is its version.
func (f *documentFleet) publishDocument(t *testing.T, document string) {
	t.Helper()
	if err := f.log.Put(context.Background(), "op", "config", []byte(document)); err != nil {
		t.Fatal(err)
	}
}

func (f *documentFleet) readers() []*documentNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *documentNode) bool { return !n.LogStatus().Reader })
}

func (n *documentNode) hasVersion(version int) func() bool {
	return func() bool {
		got, _ := n.Version()
		return got >= int64(version)
	}
}

// Guards against a version that is in force nowhere, although the log service serves
// one node of a small fleet, because that node's name does not make it a reader.
func TestServedNodeReadsWhenAllOthersAreTurnedAway(t *testing.T) {
	f := startDocumentFleet(t, 12, 3)
	f.publish(t, 1)
	for _, n := range f.nodes {
		waitFor(t, 5*time.Second, n.peer.Node+" has the first version", n.hasVersion(1))
	}
	time.Sleep(500 * time.Millisecond) // until nodes that are no readers know that
	for i, served := range f.nodes {
		for _, n := range f.nodes {
			n.tables.setSilent(n != served)
		}
		f.publish(t, i+2)
		waitFor(t, 2*time.Second, served.peer.Node+" has the version that only it can read", served.hasVersion(i+2))
		for _, n := range f.nodes {
			n.tables.setSilent(false)
		}
		for _, n := range f.nodes {
			waitFor(t, 10*time.Second, n.peer.Node+" can read again", n.hasVersion(i+2))
		}
	}
}

// Guards against reads that are ended, and begun again, although the log service responds
// to them late.
func TestSlowLogServiceIsFollowed(t *testing.T) {
	f := startReadingFleet(t, 3, 3)
	for _, n := range f.nodes {
		n.tables.mu.Lock()
		n.tables.delay = 2200 * time.Millisecond
		n.tables.mu.Unlock()
	}
	for version := 2; version <= 4; version++ {
		f.publish(t, version)
		waitFor(t, 6*time.Second, fmt.Sprint("version ", version, " has been read"), f.hasVersion(version))
	}
}

// Guards against readers of a large fleet that keep their duty while the log service
// does not respond to them, and others could read.
func TestOtherNodesReadInPlaceOfSilentReaders(t *testing.T) {
	f := startDocumentFleet(t, 48, 2)
	time.Sleep(500 * time.Millisecond) // at the start all nodes read, until the first version
	f.publish(t, 1)
	waitFor(t, 10*time.Second, "32 nodes are readers", func() bool { return len(f.readers()) == 32 })
	for _, n := range f.readers() {
		n.tables.setSilent(true)
	}
	f.publish(t, 2)
	waitFor(t, 5*time.Second, "a node that is served has the version", f.hasVersion(2))
}

// silenceConnections lets the reads in progress of all nodes get no response, while new
// ones get one.
func (f *documentFleet) silenceConnections() {
	for _, n := range f.nodes {
		n.tables.silenceConnection()
	}
}

// Guards against a version that no node reads in time after all connections to the log
// service went silent, because each node waits long for its read to end.
func TestVersionIsReadSoonAfterConnectionsWentSilent(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{1, 1}, {3, 3}, {4, 1}, {24, 4}} {
		t.Run(fmt.Sprintf("%d nodes in %d domains", size.nodes, size.domains), func(t *testing.T) {
			t.Parallel()
			f := startDocumentFleet(t, size.nodes, size.domains)
			f.publish(t, 1)
			for _, n := range f.nodes {
				waitFor(t, 5*time.Second, n.peer.Node+" has the first version", n.hasVersion(1))
			}
			for version := 2; version <= 5; version++ {
				time.Sleep(700 * time.Millisecond) // most reads are in progress
				f.silenceConnections()
				time.Sleep(time.Second)
				f.publish(t, version)
				waitFor(t, 2*time.Second, "a node has read the version", f.hasVersion(version))
			}
		})
	}
}

// Guards against a node that waits long for a read although the nodes that detected
// silent connections are gone.
func TestReadEndsWhenNodeBecomesWatcher(t *testing.T) {
	for i := range 4 { // a long read may end in time by chance
		t.Run(fmt.Sprint("fleet ", i), func(t *testing.T) {
			t.Parallel()
			f := startDocumentFleet(t, 12, 1)
			f.publish(t, 1)
			for _, n := range f.nodes {
				waitFor(t, 5*time.Second, n.peer.Node+" has the first version", n.hasVersion(1))
			}
			gone := f.watchers()
			for _, n := range gone {
				n.tables.setSilent(true)
			}
			waitFor(t, 6*time.Second, "other nodes are watchers", func() bool { return !slices.ContainsFunc(gone, (*documentNode).isWatcher) })
			f.silenceConnections()
			time.Sleep(time.Second)
			f.publish(t, 2)
			waitFor(t, 2*time.Second, "a node has read the version", f.hasVersion(2))
		})
	}
}

// hasVersion returns a condition that holds when a node has the version.
func (f *documentFleet) hasVersion(version int) func() bool {
	return func() bool {
		return slices.ContainsFunc(f.nodes, func(n *documentNode) bool { return n.hasVersion(version)() })
	}
}

func (n *documentNode) isWatcher() bool { return slices.Contains(n.fleet.watchers(), n) }

func (f *documentFleet) watchers() []*documentNode {
	peers, _ := f.peers()
	var out []*documentNode
	for i, n := range f.nodes {
		if document.Readers.Role(peers[i], peers).Watcher {
			out = append(out, n)
		}
	}
	return out
}
