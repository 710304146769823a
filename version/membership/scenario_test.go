package membership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

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

// watchFor runs the fleet and reports whether violated returned true at any step for
// any running node and any member that it knows.
func (f *fleet) watchFor(d time.Duration, violated func(n *fleetNode, member *memberState) bool) bool {
	seen := false
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(50 * time.Millisecond)
		for _, n := range f.nodes {
			for _, member := range n.members {
				seen = seen || !n.stopped && violated(n, member)
			}
		}
	}
	return seen
}

// Guards against a crashed node that stays a candidate, and against a healthy node
// that is suspected.
func TestCrashedNodeIsDeadEverywhere(t *testing.T) {
	f := newRunningFleet(1, 27, 2, Options{})
	f.nodes[5].stopped = true
	elapsed := f.runUntil(t, 20*time.Second, "dead everywhere", func(n *fleetNode) bool { return n.stateOf("node-005") == NodeDead })
	t.Logf("dead everywhere after %s", elapsed)
	if f.watchFor(time.Minute, func(n *fleetNode, member *memberState) bool {
		return member.node != "node-005" && member.nodeState() != NodeAlive
	}) {
		t.Fatal("a healthy node was suspected")
	}
	f.run(12 * time.Minute)
	if got := f.nodes[0].stateOf("node-005"); got != "" {
		t.Fatalf("tombstone was not removed: %s", got)
	}
}

// Guards against a path lost between two nodes that makes other nodes suspect one
// of them.
func TestOneWayPartitionIsUnreachable(t *testing.T) {
	testWithAndWithout(t, Options{noIndirect: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(2, 9, 1, o)
		a, b := f.nodes[0], f.nodes[1]
		f.partitioned = func(from, to *fleetNode) bool { return from == b && to == a }
		suspected := f.watchFor(time.Minute, func(_ *fleetNode, member *memberState) bool { return member.claim != ClaimNone })
		if !suspected && a.stateOf("node-001") != NodeUnreachable {
			t.Fatalf("b is %s for a", a.stateOf("node-001"))
		}
		f.partitioned = nil
		f.run(15 * time.Second)
		return suspected || a.stateOf("node-001") != NodeAlive
	})
}

// Guards against a process that resumes after a pause and declares other nodes suspect
// because it received nothing from them during the pause.
func TestResumedNodeSuspectsNobody(t *testing.T) {
	testWithAndWithout(t, Options{noPauseCheck: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(3, 9, 1, o)
		n := f.nodes[4]
		for len(n.probes) == 0 {
			f.run(10 * time.Millisecond)
		}
		n.pausedUntil = f.now.Add(4 * time.Second)
		return f.watchFor(30*time.Second, func(_ *fleetNode, member *memberState) bool {
			return member.node != "node-004" && member.claim != ClaimNone
		})
	})
}

// Guards against a node that other nodes still see as dead after it resumed from a
// long pause.
func TestResumedNodeRefutesDeadClaim(t *testing.T) {
	testWithAndWithout(t, Options{noRefute: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(4, 9, 1, o)
		f.nodes[4].pausedUntil = f.now.Add(time.Minute)
		f.run(59 * time.Second)
		if got := f.nodes[0].stateOf("node-004"); got != NodeDead {
			t.Fatalf("paused node is %s", got)
		}
		f.run(time.Minute)
		return slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.stateOf("node-004") != NodeAlive })
	})
}

func partitionRegion(region byte) func(from, to *fleetNode) bool {
	return func(from, to *fleetNode) bool {
		return (from.self.meta.Region[0] == region) != (to.self.meta.Region[0] == region)
	}
}

// Guards against regions that never rejoin after a partition, also when their
// tombstones have expired.
func TestPartitionedRegionsRejoin(t *testing.T) {
	for _, partitionTime := range []time.Duration{2 * time.Minute, 25 * time.Minute} {
		testWithAndWithout(t, Options{noRejoin: true}, func(t *testing.T, o Options) bool {
			f := newRunningFleet(5, 12, 1, o)
			f.partitioned = partitionRegion('a')
			f.run(partitionTime)
			if got := f.nodes[0].stateOf("node-001"); got != NodeDead && got != "" {
				t.Fatalf("node of the other region is %q", got)
			}
			f.partitioned = nil
			f.run(90 * time.Second)
			return slices.ContainsFunc(f.nodes, func(n *fleetNode) bool {
				return slices.ContainsFunc(f.nodes, func(o *fleetNode) bool { return n.stateOf(o.self.node) != NodeAlive })
			})
		})
	}
}

// Guards against the other region's tombstones, which would make the nodes of a
// region dead for their own side when the regions rejoin.
func TestRejoiningRegionsKeepTheirOwnNodes(t *testing.T) {
	testWithAndWithout(t, Options{noDeadCheck: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(6, 100, 1, o)
		f.partitioned = partitionRegion('a')
		f.run(90 * time.Second)
		f.partitioned = nil
		return f.watchFor(40*time.Second, func(n *fleetNode, member *memberState) bool {
			return member.isTombstone() && (n.self.meta.Region == "a") == (member.meta.Region == "a")
		})
	})
}

// Guards against entries that still send new work to a leaving target or node
// after 3 s.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	testWithAndWithout(t, Options{noUrgent: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(7, 400, 2, o)
		f.run(2 * time.Second)
		target, node := f.nodes[7], f.nodes[9]
		target.local.Targets = slices.Clone(target.local.Targets)
		target.local.Targets[0].Leaving = true
		target.SetLocal(f.now, target.local)
		node.local.Leaving = true
		node.SetLocal(f.now, node.local)
		f.run(3 * time.Second)
		missed := 0
		for _, n := range f.nodes {
			if !n.members["node-007"].targets[0].Leaving || n.stateOf("node-009") != NodeLeaving {
				missed++
			}
		}
		t.Logf("%d of 400 nodes do not know after 3 s", missed)
		return missed > 0
	})
}

// Guards against targets that stay idle after a restart of their node because the other
// nodes hear of them late.
func TestTargetIsKnownSoonAfterRestart(t *testing.T) {
	testWithAndWithout(t, Options{noUrgentNew: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(7, 107, 4, o)
		old := f.nodes[7]
		old.stopped = true
		n := f.start(old.self.node, old.self.meta.Domain, 0)
		f.run(500 * time.Millisecond)
		n.local.Targets = slices.Clone(old.local.Targets)
		n.SetLocal(f.now, n.local)
		f.run(2 * time.Second)
		missed := 0
		for _, other := range f.nodes {
			if len(other.members["node-007"].targets) == 0 {
				missed++
			}
		}
		t.Logf("%d of 107 nodes do not know the targets after 2 s", missed)
		return missed > 107/20
	})
}

// Guards against a change that a node never receives because it was isolated for less
// than the suspicion timeout.
func TestAntiEntropyRepairsWhatGossipMissed(t *testing.T) {
	testWithAndWithout(t, Options{noAntiEntropy: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(8, 9, 2, o)
		isolated, changed := f.nodes[3], f.nodes[5]
		f.partitioned = func(_, to *fleetNode) bool { return to == isolated }
		changed.local.Targets = changed.local.Targets[:1]
		changed.SetLocal(f.now, changed.local)
		f.run(time.Second)
		for _, n := range f.nodes { // as if the change had reached its maximum number of sends
			n.queue = newQueue()
		}
		f.partitioned = nil
		f.run(30 * time.Second)
		return len(isolated.members["node-005"].targets) != 1
	})
}

// Guards against a replacement with a lower incarnation than the process before it, as
// after a clock was set back, and against a process that resumes and continues after
// its replacement has started.
func TestDuplicateNodeName(t *testing.T) {
	f := newRunningFleet(9, 6, 1, Options{})
	old := f.nodes[2]
	old.local.Serving = true
	old.SetLocal(f.now, old.local)
	old.pausedUntil = f.now.Add(30 * time.Second)
	f.run(time.Second)
	f.incarnationOffsetMS = -time.Hour.Milliseconds() // the replacement's clock is behind
	replacement := f.start("node-002", "a2", 1)
	replacement.address = "replacement"
	f.run(20 * time.Second)
	if !replacement.Joined() || replacement.Incarnation().Compare(old.Incarnation()) <= 0 {
		t.Fatalf("incarnation %s, the process before had %s", replacement.Incarnation(), old.Incarnation())
	}
	f.run(time.Minute)
	if got := f.nodes[0].members["node-002"]; got.incarnation != replacement.Incarnation() || got.nodeState() != NodeAlive {
		t.Fatalf("others see %s, %s", got.incarnation, got.nodeState())
	}
	// The old process resumes. The response to its first ping shows that it was replaced.
	for _, response := range f.nodes[0].Receive(f.now, "node-002", old.message(KindPing, "node-000")) {
		old.Receive(f.now, "node-000", response.Message)
	}
	if !old.Superseded() || old.Tick(f.now) != nil {
		t.Fatal("the old process continues")
	}
}

// Guards against deltas of members that did not change.
func TestQuietFleetSendsNoDeltas(t *testing.T) {
	f := newRunningFleet(15, 50, 9, Options{})
	f.run(time.Minute)
	f.byKind = [KindDeltas + 1]int64{}
	f.run(time.Minute)
	const pingBytes = 50
	if pings := f.byKind[KindPing] + f.byKind[KindAck]; pings > 50*60*2*pingBytes*11/10 || f.byKind[KindGossip]+f.byKind[KindList]+f.byKind[KindDeltas] > 0 {
		t.Fatalf("bytes by kind of message: %d", f.byKind)
	}
}

// Guards against an older pair that replaces a newer one, in whatever order
// and number the deltas arrive.
func TestLowerPairNeverReplacesHigher(t *testing.T) {
	check := func(o Options) (violated bool) {
		rapid.Check(t, func(rt *rapid.T) {
			o.Node = "self"
			m := New(o, rand.New(rand.NewPCG(1, 1)), invariant.PanicReporter{})
			var deltas []Delta
			for range rapid.IntRange(2, 6).Draw(rt, "n") {
				d := Delta{Node: "x", Declared: NodeAlive, Meta: &Meta{Domain: "d"}, HasTargets: true}
				d.Incarnation.StartedMS = int64(rapid.IntRange(1, 2).Draw(rt, "incarnation"))
				d.Version = uint64(rapid.IntRange(1, 4).Draw(rt, "version"))
				d.TargetsVersion = d.Version
				d.Targets = []Target{{ID: fmt.Sprint(d.Incarnation.StartedMS, d.Version), AnnouncedAt: epoch}}
				deltas = append(deltas, d)
			}
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(deltas)-1), 1, 20).Draw(rt, "order") {
				before := m.members["x"]
				var inc attempt.Incarnation
				var version uint64
				if before != nil {
					inc, version = before.incarnation, before.version
				}
				m.Receive(epoch, "y", Message{Kind: KindGossip, From: "y", Deltas: deltas[i : i+1]})
				after := m.members["x"]
				violated = violated || after.comparePair(inc, version) < 0 ||
					after.targets[0].ID != fmt.Sprint(after.incarnation.StartedMS, after.version)
			}
		})
		return violated
	}
	testWithAndWithout(t, Options{noPairCheck: true}, func(_ *testing.T, o Options) bool { return check(o) })
}

// Guards against views that stay different after any mix of pauses, partitions,
// crashes, restarts and changes of targets.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newRunningFleet(rapid.Uint64Range(1, 1000).Draw(rt, "seed"), 6, 2, Options{})
		for step := range rapid.IntRange(1, 6).Draw(rt, "steps") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")]
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				n.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second)
			case 1:
				f.partitioned = partitionRegion('a')
			case 2:
				f.partitioned = func(from, to *fleetNode) bool { return from == n }
			case 3:
				f.partitioned = nil
			case 4:
				if !n.stopped && n.self.node != "node-000" {
					n.stopped = true
					f.start(fmt.Sprintf("again-%d", step), n.self.meta.Domain, 1)
				}
			case 5:
				n.local.Targets = slices.Clone(n.local.Targets)
				n.local.Targets[0].Leaving = !n.local.Targets[0].Leaving
				if !n.stopped {
					n.SetLocal(f.now, n.local)
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "pause")) * time.Second)
		}
		f.partitioned = nil
		f.run(3 * time.Minute)
		for _, n := range f.nodes {
			for _, other := range f.nodes {
				if n.stopped {
					continue
				}
				member := n.members[other.self.node]
				switch {
				case other.stopped && member != nil && !member.isTombstone():
					rt.Fatalf("%s sees the stopped %s as %s", n.self.node, other.self.node, member.nodeState())
				case !other.stopped && (member == nil || member.nodeState() != NodeAlive):
					rt.Fatalf("%s sees the running %s as %s", n.self.node, other.self.node, n.stateOf(other.self.node))
				case !other.stopped && !reflect.DeepEqual(member.targets, other.self.targets):
					rt.Fatalf("%s has targets %v of %s, which has %v", n.self.node, member.targets, other.self.node, other.self.targets)
				}
			}
		}
	})
}

// Guards against reports that do not reach all nodes in time, urgent ones within 3 s,
// and against an oversized report that is published.
func TestReportsReachAllNodes(t *testing.T) {
	f := newRunningFleet(10, 27, 1, Options{})
	f.run(time.Second)
	n := f.nodes[3]
	n.local.Reports, n.local.UrgentReports = []byte("quarantine"), true
	n.SetLocal(f.now, n.local)
	elapsed := f.runUntil(t, 3*time.Second, "urgent report", func(o *fleetNode) bool { return string(o.members["node-003"].reports) == "quarantine" })
	t.Logf("urgent report everywhere after %s", elapsed)
	n.local.Reports, n.local.UrgentReports = make([]byte, MaxReports+1), false
	n.SetLocal(f.now.Add(time.Hour), n.local)
	if string(n.self.reports) != "quarantine" {
		t.Fatal("an oversized report was published")
	}
	f.nodes[4].local.Reports = []byte("share")
	f.nodes[4].SetLocal(f.now, f.nodes[4].local)
	elapsed = f.runUntil(t, 10*time.Second, "report", func(o *fleetNode) bool { return string(o.members["node-004"].reports) == "share" })
	t.Logf("report everywhere after %s", elapsed)
}

// FuzzDecode guards against a panic or a large allocation on a malformed message of a
// peer, and against a message that changes when it is decoded and encoded again.
func FuzzDecode(f *testing.F) {
	sim := newRunningFleet(11, 3, 2, Options{})
	n := sim.nodes[0]
	n.enqueueFull(n.self)
	for _, kind := range []Kind{KindPing, KindDigest, KindList, KindDeltas} {
		msg := n.message(kind, "")
		msg.Deltas = append(msg.Deltas, n.self.fullDelta())
		msg.Versions, msg.Requested = []MemberVersion{n.self.memberVersion()}, []string{"x"}
		if kind == KindDigest {
			msg.Buckets = n.buckets[:]
		}
		f.Add(msg.Encode())
		f.Add(msg.Encode()[:20])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := Decode(data)
		if err != nil {
			return
		}
		decodedAgain, err := Decode(msg.Encode())
		if err != nil || !reflect.DeepEqual(msg, decodedAgain) {
			t.Fatalf("%v\n%+v\n%+v", err, msg, decodedAgain)
		}
		m := newRunningFleet(12, 3, 1, Options{}).nodes[1]
		m.Receive(epoch, msg.From, msg)
		m.Tick(epoch.Add(time.Minute))
		for name := range m.members {
			if m.members[name].node != name {
				t.Fatal("member stored under another name")
			}
		}
		_ = m.View()
	})
}

func BenchmarkDigestAndExchange(b *testing.B) {
	for _, nodes := range []int{100, 400, 790} {
		f := newRunningFleet(13, nodes, 9, Options{})
		a, c := f.nodes[0], f.nodes[1]
		b.Run(fmt.Sprintf("digest/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				msg, _ := Decode(a.digestMessage(c.self.node, "").Message.Encode())
				c.handleDigest(msg)
			}
		})
		b.Run(fmt.Sprintf("exchange/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				newNode := newFleet(14).start("fresh", "a0", 0)
				for _, s := range c.Receive(epoch, "fresh", newNode.digestMessage(c.self.node, "").Message) {
					for _, s := range newNode.Receive(epoch, c.self.node, s.Message) {
						for _, s := range c.Receive(epoch, "fresh", s.Message) {
							newNode.Receive(epoch, c.self.node, s.Message)
						}
					}
				}
				if len(newNode.members) < nodes {
					b.Fatalf("%d members", len(newNode.members))
				}
				delete(c.members, "fresh")
				c.names = slices.DeleteFunc(c.names, func(s string) bool { return s == "fresh" })
			}
		})
		b.Run(fmt.Sprintf("tick/nodes=%d", nodes), func(b *testing.B) {
			now := epoch
			for b.Loop() {
				now = now.Add(TickInterval)
				a.Tick(now)
			}
		})
	}
}
