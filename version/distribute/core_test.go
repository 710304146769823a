package distribute

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// TestMain fixes the seed of the property tests unless the command line names
// one, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simNode struct {
	*Core
	peer          Peer
	knownVersions map[string]int64
	knownAccess   map[string]accessReport
	reported      Access // last urgent report
	pausedUntil   time.Time
	stopped       bool
	turnedAway    bool // the log does not respond to this node

	fixedPeers bool // keep the peers that the test has set
}

// accessReport is what a node reported about its access to the log.
type accessReport struct {
	at     time.Time
	access Access
}

// violations is an invariant reporter that counts the failed checks.
type violations struct{ count int }

func (v *violations) Check(_ invariant.Name, ok bool, _ string, _ ...any) {
	if !ok {
		v.count++
	}
}

// sim runs cores against the stand-in log in virtual time. Calls between nodes
// take 20 ms, calls to the log take logDelay.
type sim struct {
	services     int // that append adds to a change
	now          time.Time
	random       *rand.Rand
	reportRandom *rand.Rand
	log          *logservice.Service
	logState     *config.State // gives append the base version of each change
	logDelay     time.Duration
	nodes        []*simNode
	partitioned  func(a, b *simNode) bool
	options      Options
	events       []event
	violations   violations
}

type event struct {
	at  time.Time
	run func()
}

func newSim(seed uint64, nodes int, o Options) *sim {
	s := &sim{now: epoch, random: rand.New(rand.NewPCG(seed, 3)), reportRandom: rand.New(rand.NewPCG(seed, 5)), options: o, logState: config.NewState()}
	s.log = logservice.New(logservice.Options{Now: func() time.Time { return s.now }})
	for i := range nodes {
		s.add(fmt.Sprintf("node-%02d", i), fmt.Sprintf("%c%d", 'a'+i%3, i/3%3))
	}
	return s
}

func (s *sim) add(name, domain string) *simNode {
	o := s.options
	o.Node, o.Domain = name, domain
	n := &simNode{peer: Peer{Node: name, Domain: domain, Address: name}, knownVersions: map[string]int64{}, knownAccess: map[string]accessReport{}}
	n.Core = New(o, rand.New(rand.NewPCG(s.random.Uint64(), 4)), &s.violations)
	s.nodes = append(s.nodes, n)
	return n
}

func (s *sim) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, event{at, run})
}

func (s *sim) running(n *simNode) bool { return !n.stopped && !s.now.Before(n.pausedUntil) }

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			e := s.events[0]
			s.events = s.events[1:]
			e.run()
		}
		for i, n := range s.nodes {
			if !s.running(n) {
				continue
			}
			if (int(s.now.Sub(epoch)/(100*time.Millisecond))+i)%10 == 0 {
				s.gossip(n)
			}
			s.report(n)
			s.perform(n, n.Tick(s.now))
		}
	}
}

// urgentReportPeers is the number of peers that membership sends an urgent report to,
// in three rounds of four.
const urgentReportPeers = 12

// report simulates the urgent report of a changed access to the log.
func (s *sim) report(n *simNode) {
	if n.Access() == n.reported {
		return
	}
	n.reported = n.Access()
	for range urgentReportPeers {
		if p := s.nodes[s.reportRandom.IntN(len(s.nodes))]; s.canReach(n, p) {
			p.knownAccess[n.peer.Node] = accessReport{s.now, n.reported}
			s.setPeers(p)
		}
	}
}

// gossip simulates membership: each second the node learns one peer's version, and what
// that peer knows of the access of the nodes to the log.
func (s *sim) gossip(n *simNode) {
	if p := s.nodes[s.random.IntN(len(s.nodes))]; s.canReach(n, p) {
		n.knownVersions[p.peer.Node], _ = p.Version()
		n.knownAccess[p.peer.Node] = accessReport{s.now, p.Access()}
		for node, report := range p.knownAccess {
			if report.at.After(n.knownAccess[node].at) {
				n.knownAccess[node] = report
			}
		}
	}
	s.setPeers(n)
}

func (s *sim) setPeers(n *simNode) {
	var peers []Peer
	for _, p := range s.nodes {
		if !p.stopped && (s.partitioned == nil || !s.partitioned(n, p)) {
			peer := p.peer
			peer.Version, peer.Access = n.knownVersions[peer.Node], n.knownAccess[peer.Node].access
			peers = append(peers, peer)
		}
	}
	if !n.fixedPeers {
		n.SetPeers(peers)
	}
}

func (s *sim) canReach(a, b *simNode) bool {
	return a != b && s.running(b) && (s.partitioned == nil || !s.partitioned(a, b))
}

// call delivers a result after a delay unless the node has stopped by then. A
// paused node receives it when it resumes.
func (s *sim) call(n *simNode, delay time.Duration, result func() []Action) {
	s.after(delay, func() {
		if wait := n.pausedUntil.Sub(s.now); wait > 0 {
			s.call(n, wait, result)
		} else if !n.stopped {
			s.perform(n, result())
		}
	})
}

func (s *sim) perform(n *simNode, actions []Action) {
	ctx := context.Background()
	for _, a := range actions {
		if n.turnedAway && slices.Contains([]Kind{ReadLog, ReadSnapshot, WriteSnapshot, AppendChange}, a.Kind) {
			continue // the call times out
		}
		switch a.Kind {
		case ReadLog:
			page, err := s.log.Read(ctx, eventlog.StreamConfig, a.After+1, PageRecords)
			s.call(n, s.logDelay, func() []Action { return n.LogRead(s.now, page, err) })
		case ReadSnapshot:
			data, err := config.ReadSnapshot(ctx, s.log)
			s.call(n, s.logDelay, func() []Action { return n.SnapshotRead(s.now, data, err) })
		case WriteSnapshot:
			_, err := s.log.Append(ctx, eventlog.StreamSnapshots, a.Data)
			s.call(n, s.logDelay, func() []Action { return n.SnapshotWritten(s.now, a.After, err) })
		case AppendChange:
			_, err := s.log.Append(ctx, eventlog.StreamConfig, a.Data)
			s.call(n, s.logDelay, func() []Action { return n.ChangeAppended(s.now, err) })
		case Push, RequestRecords, RequestSnapshot:
			s.callPeer(n, a)
		}
	}
}

func (s *sim) callPeer(n *simNode, a Action) {
	i := slices.IndexFunc(s.nodes, func(p *simNode) bool { return p.peer.Node == a.Peer.Node })
	p := s.nodes[i]
	if !s.canReach(n, p) || !s.canReach(p, n) {
		if a.Kind == Push {
			s.call(n, PushTimeout, func() []Action { return n.PushFailed(a) })
			return
		}
		s.call(n, time.Second, func() []Action {
			if a.Kind == RequestSnapshot {
				return n.SnapshotReceived(s.now, a.Peer, nil, eventlog.ErrUnavailable)
			}
			return nil
		})
		return
	}
	switch a.Kind {
	case Push:
		s.call(p, 20*time.Millisecond, func() []Action { return p.RecordsReceived(s.now, n.peer, a.Records, false, nil) })
	case RequestRecords:
		records, trimmed := p.RecordsAfter(a.After, PageRecords)
		s.call(n, 20*time.Millisecond, func() []Action { return n.RecordsReceived(s.now, p.peer, records, trimmed, nil) })
	case RequestSnapshot:
		data := p.Snapshot(a.After)
		s.call(n, 20*time.Millisecond, func() []Action { return n.SnapshotReceived(s.now, p.peer, data, nil) })
	}
}

// append writes a change of the customers object on top of the log's newest state.
func (s *sim) append(t testing.TB, id string) int64 {
	t.Helper()
	if err := s.logState.Advance(context.Background(), s.log, nil); err != nil {
		t.Fatal(err)
	}
	edit := config.Edit{Object: config.ObjectCustomers, BaseVersion: s.logState.ObjectVersion(config.ObjectCustomers), Value: "customer_header = \"X-" + id + "\""}
	edits := []config.Edit{edit}
	for i := range s.services { // of 60 KB each
		edits = append(edits, config.Edit{Object: fmt.Sprint("services/s", i), Value: "max_rate = 1.0\n[classes.c]\n#" + strings.Repeat("x", 60<<10)})
	}
	data, err := config.Change{ChangeID: id, Author: "ana", Edits: edits}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	offset, err := s.log.Append(context.Background(), eventlog.StreamConfig, data)
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

// nodesBehind returns the running nodes below a version.
func (s *sim) nodesBehind(version int64) []string {
	var out []string
	for _, n := range s.nodes {
		if v, _ := n.Version(); v < version && s.running(n) {
			out = append(out, n.peer.Node)
		}
	}
	return out
}

// testWithAndWithout runs a scenario with a mechanism on and off. The scenario must
// report a violation only when the mechanism is off.
func testWithAndWithout(t *testing.T, off Options, violated func(t *testing.T, o Options) bool) {
	t.Helper()
	if violated(t, Options{}) {
		t.Fatal("violation with the mechanism on")
	}
	if !violated(t, off) {
		t.Fatal("no violation with the mechanism off: the test does not cover the mechanism")
	}
}

// Guards against a change that is not in force on all nodes within 5 s when only a
// few nodes read the log often.
func TestChangeIsInForceWithinFiveSeconds(t *testing.T) {
	testWithAndWithout(t, Options{noFanOut: true, noGapFill: true}, func(t *testing.T, o Options) bool {
		s := newSim(1, 90, o)
		s.append(t, "first")
		s.run(time.Minute)
		s.log.SetFaults(logservice.Faults{DuplicateReads: true})
		before := s.log.Counts().Reads
		version := s.append(t, "second")
		s.run(5 * time.Second)
		reads := s.log.Counts().Reads - before
		t.Logf("%d of 90 nodes behind after 5 s, %d reads", len(s.nodesBehind(version)), reads)
		if limit := int64(9*3*10 + 90); reads > limit {
			t.Fatalf("%d reads in 5 s, at most %d", reads, limit)
		}
		return len(s.nodesBehind(version)) > 0
	})
}

// Guards against a change that reaches few of the nodes that run when most are lost, since
// pushes to lost nodes are not replaced.
func TestChangeReachesRunningNodesWhenMostAreLost(t *testing.T) {
	for _, services := range []int{0, 3} { // the change has 60 KB for each
		testWithAndWithout(t, Options{noReplacement: true}, func(t *testing.T, o Options) bool {
			s := newSim(5, 90, o)
			s.append(t, "first")
			s.run(time.Minute)
			reader := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.IsReader() })
			for i, n := range s.nodes {
				if i != reader && i%8 > 0 {
					n.pausedUntil = s.now.Add(time.Minute) // membership still reports it
				}
			}
			s.services = services
			version := s.append(t, "second")
			s.run(5 * time.Second)
			t.Logf("%d services: %d of %d running nodes behind after 5 s", services, len(s.nodesBehind(version)), len(slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return !s.running(n) })))
			return len(s.nodesBehind(version)) > 0
		})
	}
}

// Guards against a node that stays behind because no push reached it or because it
// was paused while the records were pushed.
func TestGapIsFilled(t *testing.T) {
	testWithAndWithout(t, Options{noGapFill: true}, func(t *testing.T, o Options) bool {
		s := newSim(2, 40, o)
		s.append(t, "first")
		s.run(time.Minute)
		i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return !n.IsReader() })
		n := s.nodes[i]
		n.nextRead = s.now.Add(time.Hour)
		n.pausedUntil = s.now.Add(20 * time.Second)
		for i := range 3 {
			s.append(t, fmt.Sprint("change", i))
			s.run(3 * time.Second)
		}
		s.run(15 * time.Second)
		return len(s.nodesBehind(4)) > 0
	})
}

// Guards against a node that stays behind or skips changes when neither the log nor
// its peers have the records that it missed.
func TestPausedNodeCatchesUpAfterTrimming(t *testing.T) {
	s := newSim(3, 9, Options{SnapshotChanges: 20})
	s.append(t, "first")
	s.run(time.Minute)
	n := s.nodes[4]
	n.pausedUntil = s.now.Add(10 * time.Minute)
	var version int64
	for i := range maxRecentRecords + 60 {
		version = s.append(t, fmt.Sprint("change", i))
		s.run(200 * time.Millisecond)
	}
	s.run(time.Minute)
	s.log.Trim(eventlog.StreamConfig, version-5)
	s.run(10 * time.Minute)
	if behind := s.nodesBehind(version); len(behind) > 0 || s.violations.count > 0 {
		t.Fatalf("behind %v, %d violations", behind, s.violations.count)
	}
}

// Guards against a new node that becomes ready with an old configuration, or never
// becomes ready, when the log is down and half of its peers are unreachable.
func TestStartWithoutTheLog(t *testing.T) {
	testWithAndWithout(t, Options{noPeerStart: true}, func(t *testing.T, o Options) bool {
		s := newSim(4, 12, Options{})
		s.append(t, "first")
		s.run(time.Minute)
		s.log.SetFaults(logservice.Faults{Outage: true})
		for _, n := range s.nodes[:6] {
			n.stopped = false
		}
		unreachable := s.nodes[:6]
		s.options = o
		newNode := s.add("fresh", "a0")
		s.partitioned = func(a, b *simNode) bool {
			return a == newNode && slices.Contains(unreachable, b) || b == newNode && slices.Contains(unreachable, a)
		}
		s.run(30 * time.Second)
		if version, _ := newNode.Version(); newNode.Ready() && version != 1 {
			t.Fatalf("ready at version %d", version)
		}
		return !newNode.Ready()
	})
	isolated := newSim(5, 1, Options{})
	isolated.log.SetFaults(logservice.Faults{Outage: true})
	isolated.run(time.Minute)
	if isolated.nodes[0].Ready() {
		t.Fatal("ready without log and peers")
	}
}

// Guards against a configuration that goes back to an older version when a stale
// peer or a late response delivers an old state.
func TestOldVersionFromStalePeerIsIgnored(t *testing.T) {
	testWithAndWithout(t, Options{noNewerCheck: true}, func(t *testing.T, o Options) bool {
		s := newSim(6, 3, o)
		s.append(t, "first")
		s.run(10 * time.Second)
		stale := s.nodes[1].Snapshot(0)
		old, _ := s.nodes[1].RecordsAfter(0, 10)
		s.append(t, "second")
		s.run(40 * time.Second)
		n := s.nodes[0]
		n.RecordsReceived(s.now, s.nodes[1].peer, old, false, nil)
		n.SnapshotReceived(s.now, s.nodes[1].peer, stale, nil)
		n.SnapshotRead(s.now, stale, nil)
		version, _ := n.Version()
		if (version < 2) != (s.violations.count > 0) {
			t.Fatalf("version %d, %d violations reported", version, s.violations.count)
		}
		return s.violations.count > 0
	})
}

// Guards against a new node that cannot start from the snapshots after both sides of
// a partition wrote them, or after the response to a write was lost.
func TestTwoSnapshotWriters(t *testing.T) {
	s := newSim(7, 6, Options{SnapshotChanges: 5})
	s.partitioned = func(a, b *simNode) bool { return (a.peer.Domain[0] == 'a') != (b.peer.Domain[0] == 'a') }
	for i := range 12 {
		s.append(t, fmt.Sprint("change", i))
		if i == 4 { // the next append is a snapshot
			s.log.SetFaults(logservice.Faults{LoseAppends: 1})
		}
		s.run(time.Second)
	}
	s.run(time.Minute)
	page, err := s.log.Read(context.Background(), eventlog.StreamSnapshots, 1, 100)
	if err != nil {
		t.Fatal(err)
	}
	copies := map[string]int{}
	for _, r := range page.Records {
		copies[string(r.Data)]++
	}
	if len(copies) == len(page.Records) {
		t.Fatalf("%d snapshots, no two alike: there were no two writers", len(page.Records))
	}
	s.partitioned = nil
	s.log.Trim(eventlog.StreamConfig, 11)
	newNode := s.add("fresh", "b0")
	s.run(5 * time.Second)
	if version, _ := newNode.Version(); version != 12 || !newNode.Ready() {
		t.Fatalf("new node is at version %d, ready %v", version, newNode.Ready())
	}
}

// Guards against a version that goes back, and against nodes that stay at different
// versions, under any mix of outages, slow calls, duplicate reads, trimming, pauses,
// partitions and restarts.
func TestVersionOnlyMovesForwardUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64Range(1, 1000).Draw(rt, "seed"), 6, Options{SnapshotChanges: 3})
		s.append(t, "first")
		s.run(10 * time.Second)
		version := int64(1)
		for step := range rapid.IntRange(1, 8).Draw(rt, "steps") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")]
			switch rapid.IntRange(0, 7).Draw(rt, "fault") {
			case 0:
				s.log.SetFaults(logservice.Faults{Outage: true})
			case 1:
				s.log.SetFaults(logservice.Faults{DuplicateReads: true, LoseAppends: 2})
			case 2:
				s.logDelay = time.Duration(rapid.IntRange(0, 8000).Draw(rt, "delay")) * time.Millisecond
			case 3:
				n.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "frozen")) * time.Second)
			case 4:
				s.partitioned = func(a, b *simNode) bool { return a == n || b == n }
			case 5:
				n.stopped = true
				s.add(fmt.Sprint("again", step), n.peer.Domain)
			case 6:
				s.log.SetFaults(logservice.Faults{})
				if data, _ := config.ReadSnapshot(context.Background(), s.log); data != nil {
					covers, _ := config.SnapshotCovers(data)
					s.log.Trim(eventlog.StreamConfig, covers)
				}
			case 7:
				s.log.SetFaults(logservice.Faults{})
				version = s.append(t, fmt.Sprint("change", step))
			}
			s.run(time.Duration(rapid.IntRange(1, 90).Draw(rt, "pause")) * time.Second)
		}
		s.partitioned, s.logDelay = nil, 0
		s.log.SetFaults(logservice.Faults{})
		s.run(3 * time.Minute)
		for _, n := range s.nodes {
			if v, _ := n.Version(); !n.stopped && (v != version || !n.Ready()) {
				rt.Fatalf("%s is at version %d, ready %v; the log is at %d", n.peer.Node, v, n.Ready(), version)
			}
		}
		if s.violations.count > 0 {
			rt.Fatalf("%d violations", s.violations.count)
		}
	})
}
