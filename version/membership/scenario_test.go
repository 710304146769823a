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

// bothWays runs a scenario with a mechanism on and off. It must report the
// violation only when the mechanism is off.
func bothWays(t *testing.T, off Options, violated func(t *testing.T, o Options) bool) {
	t.Helper()
	if violated(t, Options{}) {
		t.Fatal("violation with the mechanism on")
	}
	if !violated(t, off) {
		t.Fatal("no violation with the mechanism off: the test shows nothing")
	}
}

// watch runs and reports whether the condition held at any time for any pair.
func (f *fleet) watch(d time.Duration, bad func(n *fleetNode, e *entry) bool) bool {
	seen := false
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(50 * time.Millisecond)
		for _, n := range f.nodes {
			for _, e := range n.entries {
				seen = seen || !n.stopped && bad(n, e)
			}
		}
	}
	return seen
}

// Guards against a crashed node that stays a candidate, and against a healthy
// one that is taken for dead.
func TestCrashedNodeIsDeadEverywhere(t *testing.T) {
	f := newRunningFleet(1, 27, 2, Options{})
	f.nodes[5].stopped = true
	took := f.until(t, 20*time.Second, "dead everywhere", func(n *fleetNode) bool { return n.sees("node-005") == NodeDead })
	t.Logf("dead everywhere after %s", took)
	if f.watch(time.Minute, func(n *fleetNode, e *entry) bool { return e.node != "node-005" && e.state() != NodeAlive }) {
		t.Fatal("a healthy node was suspected")
	}
	f.run(12 * time.Minute)
	if got := f.nodes[0].sees("node-005"); got != "" {
		t.Fatalf("tombstone is still kept: %s", got)
	}
}

// Guards against one node's lost path that makes others suspect its peer.
func TestOneWayPartitionIsUnreachable(t *testing.T) {
	bothWays(t, Options{noIndirect: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(2, 9, 1, o)
		a, b := f.nodes[0], f.nodes[1]
		f.cut = func(from, to *fleetNode) bool { return from == b && to == a }
		suspected := f.watch(time.Minute, func(_ *fleetNode, e *entry) bool { return e.claim != ClaimNone })
		if !suspected && a.sees("node-001") != NodeUnreachable {
			t.Fatalf("b is %s for a", a.sees("node-001"))
		}
		f.cut = nil
		f.run(15 * time.Second)
		return suspected || a.sees("node-001") != NodeAlive
	})
}

// Guards against a process that resumes after a pause, takes the others' silence
// during the pause for their failure, and declares them suspect.
func TestResumedNodeSuspectsNobody(t *testing.T) {
	bothWays(t, Options{noPauseCheck: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(3, 9, 1, o)
		n := f.nodes[4]
		for len(n.probes) == 0 {
			f.run(10 * time.Millisecond)
		}
		n.frozen = f.now.Add(4 * time.Second)
		return f.watch(30*time.Second, func(_ *fleetNode, e *entry) bool { return e.node != "node-004" && e.claim != ClaimNone })
	})
}

// Guards against a node that stays dead for the others after a long pause.
func TestWakingNodeRefutesItsDeath(t *testing.T) {
	bothWays(t, Options{noRefute: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(4, 9, 1, o)
		f.nodes[4].frozen = f.now.Add(time.Minute)
		f.run(59 * time.Second)
		if got := f.nodes[0].sees("node-004"); got != NodeDead {
			t.Fatalf("frozen node is %s", got)
		}
		f.run(time.Minute)
		return slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.sees("node-004") != NodeAlive })
	})
}

func cutRegion(region byte) func(from, to *fleetNode) bool {
	return func(from, to *fleetNode) bool {
		return (from.self.meta.Region[0] == region) != (to.self.meta.Region[0] == region)
	}
}

// Guards against regions that never find each other again, also when the
// tombstones are gone.
func TestRegionsJoinAgain(t *testing.T) {
	for _, cutFor := range []time.Duration{2 * time.Minute, 25 * time.Minute} {
		bothWays(t, Options{noRejoin: true}, func(t *testing.T, o Options) bool {
			f := newRunningFleet(5, 12, 1, o)
			f.cut = cutRegion('a')
			f.run(cutFor)
			if got := f.nodes[0].sees("node-001"); got != NodeDead && got != "" {
				t.Fatalf("node of the other region is %q", got)
			}
			f.cut = nil
			f.run(90 * time.Second)
			return slices.ContainsFunc(f.nodes, func(n *fleetNode) bool {
				return slices.ContainsFunc(f.nodes, func(o *fleetNode) bool { return n.sees(o.self.node) != NodeAlive })
			})
		})
	}
}

// Guards against the other region's tombstones, which would make the nodes of
// a region dead for their own side when the regions join again.
func TestJoiningRegionsKeepTheirOwnNodes(t *testing.T) {
	bothWays(t, Options{noDeadCheck: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(6, 100, 1, o)
		f.cut = cutRegion('a')
		f.run(90 * time.Second)
		f.cut = nil
		return f.watch(40*time.Second, func(n *fleetNode, e *entry) bool {
			return e.gone() && (n.self.meta.Region == "a") == (e.meta.Region == "a")
		})
	})
}

// Guards against entries that still send new work to a leaving target or node
// after 3 s.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	bothWays(t, Options{noUrgent: true}, func(t *testing.T, o Options) bool {
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
			if !n.entries["node-007"].targets[0].Leaving || n.sees("node-009") != NodeLeaving {
				missed++
			}
		}
		t.Logf("%d of 400 nodes do not know after 3 s", missed)
		return missed > 0
	})
}

// Guards against a change that a node never received because it was cut off
// for less than the suspicion timeout.
func TestAntiEntropyRepairsWhatGossipMissed(t *testing.T) {
	bothWays(t, Options{noAntiEntropy: true}, func(t *testing.T, o Options) bool {
		f := newRunningFleet(8, 9, 2, o)
		lonely, changed := f.nodes[3], f.nodes[5]
		f.cut = func(_, to *fleetNode) bool { return to == lonely }
		changed.local.Targets = changed.local.Targets[:1]
		changed.SetLocal(f.now, changed.local)
		f.run(time.Second)
		for _, n := range f.nodes { // the change was passed on often enough elsewhere
			n.queue = newQueue()
		}
		f.cut = nil
		f.run(30 * time.Second)
		return len(lonely.entries["node-005"].targets) != 1
	})
}

// Guards against two processes under one name with the lower incarnation in
// force, as after a clock that was set back, and against a process that
// resumes after its replacement has started.
func TestDuplicateNodeName(t *testing.T) {
	f := newRunningFleet(9, 6, 1, Options{})
	old := f.nodes[2]
	old.local.Serving = true
	old.SetLocal(f.now, old.local)
	old.frozen = f.now.Add(30 * time.Second)
	f.run(time.Second)
	f.restart = -time.Hour.Milliseconds() // the replacement's clock is behind
	replacement := f.start("node-002", "a2", 1)
	replacement.address = "replacement"
	f.run(20 * time.Second)
	if !replacement.Joined() || replacement.Incarnation().Compare(old.Incarnation()) <= 0 {
		t.Fatalf("incarnation %s, the process before had %s", replacement.Incarnation(), old.Incarnation())
	}
	f.run(time.Minute)
	if got := f.nodes[0].entries["node-002"]; got.incarnation != replacement.Incarnation() || got.state() != NodeAlive {
		t.Fatalf("others see %s, %s", got.incarnation, got.state())
	}
	// The old process resumes. The answer to its first ping shows that it was replaced.
	for _, answer := range f.nodes[0].Receive(f.now, "node-002", old.message(KindPing, "node-000")) {
		old.Receive(f.now, "node-000", answer.Message)
	}
	if !old.Superseded() || old.Tick(f.now) != nil {
		t.Fatal("the old process goes on")
	}
}

// Guards against traffic for members that did not change.
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
				before := m.entries["x"]
				var inc attempt.Incarnation
				var version uint64
				if before != nil {
					inc, version = before.incarnation, before.version
				}
				m.Receive(epoch, "y", Message{Kind: KindGossip, From: "y", Deltas: deltas[i : i+1]})
				after := m.entries["x"]
				violated = violated || after.comparePair(inc, version) < 0 ||
					after.targets[0].ID != fmt.Sprint(after.incarnation.StartedMS, after.version)
			}
		})
		return violated
	}
	bothWays(t, Options{noPairCheck: true}, func(_ *testing.T, o Options) bool { return check(o) })
}

// Guards against views that stay different after any mix of pauses, cuts,
// crashes, restarts and changes of targets.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newRunningFleet(rapid.Uint64Range(1, 1000).Draw(rt, "seed"), 6, 2, Options{})
		for step := range rapid.IntRange(1, 6).Draw(rt, "steps") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")]
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				n.frozen = f.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second)
			case 1:
				f.cut = cutRegion('a')
			case 2:
				f.cut = func(from, to *fleetNode) bool { return from == n }
			case 3:
				f.cut = nil
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
		f.cut = nil
		f.run(3 * time.Minute)
		for _, n := range f.nodes {
			for _, other := range f.nodes {
				if n.stopped {
					continue
				}
				e := n.entries[other.self.node]
				switch {
				case other.stopped && e != nil && !e.gone():
					rt.Fatalf("%s sees the stopped %s as %s", n.self.node, other.self.node, e.state())
				case !other.stopped && (e == nil || e.state() != NodeAlive):
					rt.Fatalf("%s sees the running %s as %s", n.self.node, other.self.node, n.sees(other.self.node))
				case !other.stopped && !reflect.DeepEqual(e.targets, other.self.targets):
					rt.Fatalf("%s has targets %v of %s, which has %v", n.self.node, e.targets, other.self.node, other.self.targets)
				}
			}
		}
	})
}

// Guards against a report that fills the budget, or an urgent one that waits.
func TestReports(t *testing.T) {
	f := newRunningFleet(10, 27, 1, Options{})
	f.run(time.Second)
	n := f.nodes[3]
	n.local.Reports, n.local.UrgentReports = []byte("quarantine"), true
	n.SetLocal(f.now, n.local)
	took := f.until(t, 3*time.Second, "urgent report", func(o *fleetNode) bool { return string(o.entries["node-003"].reports) == "quarantine" })
	t.Logf("urgent report everywhere after %s", took)
	n.local.Reports, n.local.UrgentReports = make([]byte, MaxReports+1), false
	n.SetLocal(f.now.Add(time.Hour), n.local)
	if string(n.self.reports) != "quarantine" {
		t.Fatal("an oversized report was published")
	}
	f.nodes[4].local.Reports = []byte("share")
	f.nodes[4].SetLocal(f.now, f.nodes[4].local)
	took = f.until(t, 10*time.Second, "report", func(o *fleetNode) bool { return string(o.entries["node-004"].reports) == "share" })
	t.Logf("report everywhere after %s", took)
}

// FuzzDecode guards against a panic, or a large allocation, on a malformed
// message of a peer, and against a message that changes when passed on.
func FuzzDecode(f *testing.F) {
	sim := newRunningFleet(11, 3, 2, Options{})
	n := sim.nodes[0]
	n.enqueueFull(n.self)
	for _, kind := range []Kind{KindPing, KindDigest, KindList, KindDeltas} {
		msg := n.message(kind, "")
		msg.Deltas = append(msg.Deltas, n.self.fullDelta())
		msg.Versions, msg.Requested = []MemberVersion{n.self.item()}, []string{"x"}
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
		again, err := Decode(msg.Encode())
		if err != nil || !reflect.DeepEqual(msg, again) {
			t.Fatalf("%v\n%+v\n%+v", err, msg, again)
		}
		m := newRunningFleet(12, 3, 1, Options{}).nodes[1]
		m.Receive(epoch, msg.From, msg)
		m.Tick(epoch.Add(time.Minute))
		for i := range m.entries {
			if m.entries[i].node != i {
				t.Fatal("entry under another name")
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
				msg, _ := Decode(a.digest(c.self.node, "").Message.Encode())
				c.list(msg)
			}
		})
		b.Run(fmt.Sprintf("exchange/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				fresh := newFleet(14).start("fresh", "a0", 0)
				for _, s := range c.Receive(epoch, "fresh", fresh.digest(c.self.node, "").Message) {
					for _, s := range fresh.Receive(epoch, c.self.node, s.Message) {
						for _, s := range c.Receive(epoch, "fresh", s.Message) {
							fresh.Receive(epoch, c.self.node, s.Message)
						}
					}
				}
				if len(fresh.entries) < nodes {
					b.Fatalf("%d entries", len(fresh.entries))
				}
				delete(c.entries, "fresh")
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
