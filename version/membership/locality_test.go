package membership

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// uniformPeers are the options of a node of the earlier version, without locality.
var uniformPeers = Options{noLocality: true, noSourceCheck: true}

// domainsOf returns a function that spreads nodes evenly over n domains.
func domainsOf(n int) func(int) string {
	return func(i int) string { return fmt.Sprintf("%c%d", 'a'+i%n%3, i%n/3) }
}

// trafficOf is the traffic per node and second.
type trafficOf struct {
	within, cross float64
	content       map[string]float64
	known         []time.Duration // from a change to each node's knowledge of it, sorted
}

// measureDomains runs a fleet whose reports change each second. With restarts, 5 % of
// its nodes leave, end and start again, one each second.
func measureDomains(nodes, reportBytes int, d time.Duration, restarts bool, o Options, domainOf func(int) string) trafficOf {
	f := newFleetInDomains(uint64(nodes), nodes, 9, o, domainOf)
	setReports := func(round int) {
		for i, n := range f.nodes {
			if !n.stopped && reportBytes > 0 {
				n.local.Reports = fmt.Appendf(nil, "%0*d", reportBytes, round*len(f.nodes)+i)
				n.SetLocal(f.now, n.local)
			}
		}
	}
	for second := range 20 {
		setReports(second)
		f.run(time.Second)
	}
	f.bytes, f.crossBytes, f.byContent = 0, 0, map[string]int64{}
	result := trafficOf{content: map[string]float64{}}
	var leaving, ended *fleetNode
	var leftAt time.Time
	unaware := map[*fleetNode]bool{}
	restarted := 0
	for tick := range int(d / (100 * time.Millisecond)) {
		if tick%10 == 0 {
			setReports(1000 + tick)
		}
		if restarts && tick%10 == 0 {
			if ended != nil {
				f.start(ended.self.node, ended.self.meta.Domain, 9)
				ended = nil
			}
			if leaving != nil {
				leaving.local.Left = true
				leaving.SetLocal(f.now, leaving.local)
				f.run(100 * time.Millisecond)
				leaving.stopped, ended, leaving = true, leaving, nil
			}
			if ended == nil && restarted < max(1, nodes/20) {
				leaving, leftAt = f.nodes[restarted*7], f.now
				restarted++
				leaving.local.Leaving = true
				leaving.SetLocal(f.now, leaving.local)
				unaware = map[*fleetNode]bool{}
				for _, n := range f.nodes {
					unaware[n] = n != leaving && !n.stopped
				}
			}
		}
		f.run(100 * time.Millisecond)
		if leaving != nil {
			for n := range unaware {
				if state := n.stateOf(leaving.self.node); unaware[n] && (state == NodeLeaving || state == NodeLeft) {
					unaware[n] = false
					result.known = append(result.known, f.now.Sub(leftAt))
				}
			}
		}
	}
	perNode := 1 / d.Seconds() / float64(nodes)
	result.cross = float64(f.crossBytes) * perNode
	result.within = float64(f.bytes-f.crossBytes) * perNode
	for content, n := range f.byContent {
		result.content[content] = float64(n) * perNode
	}
	slices.Sort(result.known)
	return result
}

// BenchmarkDomainTraffic measures the bytes that each node sends, with reports of
// 1,000 bytes, with uniform peers and with locality.
func BenchmarkDomainTraffic(b *testing.B) {
	for _, nodes := range []int{30, 97, 234, 790} {
		domains := 4
		if nodes == fullNodes {
			domains = 9
		}
		for _, restarts := range []bool{false, true} {
			for name, o := range map[string]Options{"uniform": uniformPeers, "locality": {}} {
				b.Run(fmt.Sprintf("%s/restarts=%v/nodes=%d", name, restarts, nodes), func(b *testing.B) {
					for b.Loop() {
						r := measureDomains(nodes, 1000, 10*time.Second, restarts, o, domainsOf(domains))
						b.ReportMetric(r.within, "within-bytes/s/node")
						b.ReportMetric(r.cross, "cross-bytes/s/node")
						for content, n := range r.content {
							b.ReportMetric(n, content+"-bytes/s/node")
						}
						if n := len(r.known); n > 0 {
							b.ReportMetric(r.known[n/2].Seconds(), "known-p50-s")
							b.ReportMetric(r.known[n-1].Seconds(), "known-p100-s")
						}
					}
				})
			}
		}
	}
}

// Guards against control traffic that crosses domain boundaries more than it has to,
// and against a reduction there that raises the total.
func TestMostBytesStayInTheDomain(t *testing.T) {
	uniform := measureDomains(97, 1000, 20*time.Second, true, uniformPeers, domainsOf(4))
	r := measureDomains(97, 1000, 20*time.Second, true, Options{}, domainsOf(4))
	t.Logf("within %.0f, cross %.0f, with uniform peers %.0f and %.0f bytes/s per node", r.within, r.cross, uniform.within, uniform.cross)
	if r.cross > 0.37*uniform.cross || r.cross+r.within > 1.03*(uniform.cross+uniform.within) {
		t.Error("more than 0.37 of the bytes between domains, or more than 1.03 of all bytes")
	}
}

// Guards against a lost domain whose members are found dead one by one, since nodes
// seldom ping into other domains.
func TestLostDomainIsFoundSoon(t *testing.T) {
	testWithAndWithout(t, Options{noDomainProbes: true}, func(t *testing.T, o Options) bool {
		f := newFleetInDomains(1, 97, 1, o, domainsOf(4))
		f.run(2 * time.Second)
		for _, n := range f.nodes {
			n.stopped = n.self.meta.Domain == "a0"
		}
		f.run(6 * time.Second)
		missed := 0
		for _, n := range f.nodes {
			for name, member := range n.members {
				if !n.stopped && f.nodesByAddress["10.0.0.1:7200/"+name].stopped && member.claim == ClaimNone {
					missed++
				}
			}
		}
		t.Logf("%d of %d entries lack the suspicion", missed, 72*25)
		return missed > 72*25/10 // uniform peers: 315 to 431 of 1,800
	})
}

// Guards against domains of unequal size, a domain that is restarted or partitioned,
// and fleets of both versions in which a node is not known everywhere.
func TestFleetsOfUnequalDomainsConverge(t *testing.T) {
	unequal := func(i int) string {
		switch {
		case i < 1:
			return "a0"
		case i < 4:
			return "b0"
		}
		return "c0"
	}
	for name, isEarlier := range map[string]func(int) bool{
		"all new":                              func(int) bool { return false },
		"mixed":                                func(i int) bool { return i%2 == 0 },
		"earlier version in the small domains": func(i int) bool { return i < 4 },
		"new version in the single node":       func(i int) bool { return i > 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3)
			start := func(i int) {
				f.options = Options{}
				if isEarlier(i) {
					f.options = uniformPeers
				}
				f.start(fmt.Sprintf("node-%03d", i), unequal(i), 2)
			}
			for i := range 94 {
				start(i)
			}
			f.joinWithoutTraffic()
			f.run(2 * time.Second)
			allAlive := func(n *fleetNode) bool {
				for _, other := range f.nodes {
					if member := n.members[other.self.node]; !other.stopped && (member == nil || member.nodeState() != NodeAlive || member.incarnation != other.Incarnation()) {
						return false
					}
				}
				return true
			}
			for i, n := range f.nodes[:4] { // all nodes of both small domains
				n.stopped = true
				start(i)
			}
			t.Logf("restarted nodes known after %s", f.runUntil(t, 30*time.Second, "restarted domains", allAlive))
			f.partitioned = func(from, to *fleetNode) bool {
				return (from.self.meta.Domain == "b0") != (to.self.meta.Domain == "b0")
			}
			f.run(time.Minute)
			if got := f.nodes[50].stateOf("node-002"); got != NodeDead {
				t.Fatalf("a node of the partitioned domain is %s", got)
			}
			f.partitioned = nil
			t.Logf("rejoined after %s", f.runUntil(t, 90*time.Second, "partitioned domain", allAlive))
			leaving := f.nodes[20]
			leaving.local.Leaving = true
			leaving.SetLocal(f.now, leaving.local)
			f.runUntil(t, 3*time.Second, "leaving", func(n *fleetNode) bool { return n.stateOf("node-020") == NodeLeaving })
		})
	}
}

// Guards against a change of the message format, which nodes of the earlier version
// could not read: these are bytes that such a node wrote.
func TestMessageFormatIsThatOfTheEarlierVersion(t *testing.T) {
	const earlier = "0101026e31070000000000000008090a0000000001026e3205000000000000000603b8020172016403613a3103613a32010174017303613a33060000000000000000000080d0eab6b733010178"
	msg := Message{Kind: KindPing, From: "n1", Incarnation: attempt.Incarnation{StartedMS: 7, Random: 8}, ConfigVersion: 9, Seq: 10, Deltas: []Delta{{
		Node: "n2", Incarnation: attempt.Incarnation{StartedMS: 5, Random: 6}, Version: 3, Declared: NodeLeaving, TargetsVersion: 2,
		Meta: &Meta{Region: "r", Domain: "d", DataAddress: "a:1", ControlAddress: "a:2"}, HasTargets: true,
		Targets: []Target{{ID: "t", Service: "s", Address: "a:3", Slots: 6, AnnouncedAt: epoch}},
		Reports: &Reports{Version: 1, Data: []byte("x")},
	}}}
	if got := hex.EncodeToString(msg.Encode()); got != earlier {
		t.Fatalf("%s", got)
	}
	if got, err := Decode(msg.Encode()); err != nil || !reflect.DeepEqual(got, msg) {
		t.Fatalf("%v, %+v", err, got)
	}
}
