package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
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

// callOverhead is the number of bytes that a call adds to its two messages: 120 for
// method name, token and drpc frames, 208 for the headers of four packets, and 400
// for opening and closing a connection, since pings go to random nodes.
const callOverhead = 728

type fleetNode struct {
	*Membership
	address     string
	local       Local
	pausedUntil time.Time
	tickOffset  time.Duration
	stopped     bool
}

// fleet runs memberships and delivers their messages in virtual time.
type fleet struct {
	now                 time.Time
	random              *rand.Rand
	nodes               []*fleetNode // in order of start
	nodesByAddress      map[string]*fleetNode
	partitioned         func(from, to *fleetNode) bool
	options             Options // switches and times of each node
	bytes               int64   // sent, including callOverhead
	byKind              [KindDeltas + 1]int64
	crossBytes          int64            // the part of bytes sent to another failure domain
	byContent           map[string]int64 // bytes, by what they consist of
	inFlight            []delivery
	incarnationOffsetMS int64
}

type delivery struct {
	at   time.Time
	to   *fleetNode
	from string
	data []byte
}

func newFleet(seed uint64) *fleet {
	return &fleet{now: epoch, random: rand.New(rand.NewPCG(seed, 1)), nodesByAddress: map[string]*fleetNode{}, byContent: map[string]int64{}}
}

func (f *fleet) start(name, domain string, targets int) *fleetNode {
	f.incarnationOffsetMS++
	o := f.options
	o.Seeds = slices.Clone(o.Seeds)
	o.Node, o.Region, o.Domain = name, domain[:1], domain
	o.DataAddress, o.ControlAddress = "10.0.0.1:7100/"+name, "10.0.0.1:7200/"+name
	o.Incarnation = attempt.Incarnation{StartedMS: f.now.UnixMilli() + f.incarnationOffsetMS, Random: f.random.Uint64()}
	for _, n := range f.nodes {
		if len(o.Seeds) < 3 && !n.stopped {
			o.Seeds = append(o.Seeds, n.address)
		}
	}
	n := &fleetNode{address: o.ControlAddress, tickOffset: time.Duration(f.random.Int64N(int64(TickInterval)))}
	n.Membership = New(o, rand.New(rand.NewPCG(f.random.Uint64(), 2)), invariant.PanicReporter{})
	for i := range targets {
		n.local.Targets = append(n.local.Targets, Target{
			ID: fmt.Sprintf("%s-t%d", name, i), Service: fmt.Sprintf("service-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Slots: 6, Incarnation: o.Incarnation, AnnouncedAt: f.now,
		})
	}
	n.SetLocal(f.now, n.local)
	f.nodes = append(f.nodes, n)
	f.nodesByAddress[n.address] = n
	return n
}

// run advances virtual time in steps of 10 ms; each node ticks at its own offset.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		due := 0
		for due < len(f.inFlight) && !f.inFlight[due].at.After(f.now) {
			due++
		}
		arrived := slices.Clone(f.inFlight[:due])
		f.inFlight = append(f.inFlight[:0], f.inFlight[due:]...)
		for _, a := range arrived {
			f.deliver(a)
		}
		for _, n := range f.nodes {
			phase := (f.now.Sub(epoch) - n.tickOffset/step*step) % TickInterval
			if !n.stopped && phase == 0 && !f.now.Before(n.pausedUntil) {
				f.send(n, n.Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver(d delivery) {
	if d.to.stopped || f.now.Before(d.to.pausedUntil) {
		return
	}
	msg, err := Decode(d.data)
	if err != nil {
		panic(err)
	}
	f.send(d.to, d.to.Receive(f.now, d.from, msg))
}

func (f *fleet) send(from *fleetNode, sends []OutgoingMessage) {
	for _, s := range sends {
		data := s.Message.Encode()
		// A response message is part of the call's response, so a call has up to two
		// messages. Half the overhead is counted for each.
		f.bytes += int64(len(data)) + callOverhead/2
		f.byKind[s.Message.Kind] += int64(len(data))
		to, ok := f.nodesByAddress[s.Address]
		if !ok && s.Address == "" {
			for _, n := range f.nodes {
				if n.self.node == s.To {
					to, ok = n, true
				}
			}
		}
		f.countContent(&s.Message, len(data))
		if ok && to.self.meta.Domain != from.self.meta.Domain {
			f.crossBytes += int64(len(data)) + callOverhead/2
		}
		if ok && (f.partitioned == nil || !f.partitioned(from, to)) {
			f.inFlight = append(f.inFlight, delivery{at: f.now.Add(10 * time.Millisecond), to: to, from: s.Message.From, data: data})
		}
	}
}

// countContent counts the bytes of one message by what they consist of.
func (f *fleet) countContent(m *Message, size int) {
	reports, targets, state := 0, 0, 0
	for _, d := range m.Deltas {
		all, reportBytes := deltaBytes(&d), 0
		if d.Reports != nil {
			reportBytes = len(d.Reports.Data)
		}
		d.Reports = nil
		targetBytes := deltaBytes(&d)
		d.Meta, d.Targets, d.HasTargets, d.Patch = nil, nil, false, nil
		targetBytes -= deltaBytes(&d)
		reports, targets, state = reports+reportBytes, targets+targetBytes, state+all-reportBytes-targetBytes
	}
	digests := 8 * len(m.Buckets)
	for _, v := range m.Versions {
		w := &writer{}
		w.memberVersion(v)
		digests += len(w.b)
	}
	for content, n := range map[string]int{
		"reports": reports, "targets": targets, "states": state, "digests": digests,
		"headers": size - reports - targets - state - digests, "calls": callOverhead / 2,
	} {
		f.byContent[content] += int64(n)
	}
}

// joinWithoutTraffic makes all nodes know each other without the traffic of joining.
func (f *fleet) joinWithoutTraffic() {
	for _, n := range f.nodes {
		n.Membership.local = n.local
		n.self.targets, n.self.targetsVersion = n.local.Targets, n.self.version
	}
	for _, n := range f.nodes {
		n.names, n.members = []string{n.self.node}, map[string]*memberState{n.self.node: n.self}
		for _, other := range f.nodes {
			if n == other {
				continue
			}
			member := *other.self
			n.members[member.node] = &member
			n.names = append(n.names, member.node)
		}
		slices.Sort(n.names)
		n.buckets = [bucketCount]uint64{}
		for _, member := range n.members {
			n.buckets[bucketOf(member.node)] ^= member.hash()
		}
		n.queue, n.view, n.joined = newQueue(), nil, true
	}
}

// stateOf returns another node's state in the view of n.
func (n *fleetNode) stateOf(name string) NodeState {
	if member, ok := n.members[name]; ok {
		return member.nodeState()
	}
	return ""
}

// runUntil runs the fleet until the condition holds for all running nodes and returns
// the time that took.
func (f *fleet) runUntil(t testing.TB, limit time.Duration, what string, cond func(n *fleetNode) bool) time.Duration {
	t.Helper()
	startedAt := f.now
	for {
		all := true
		for _, n := range f.nodes {
			all = all && (n.stopped || cond(n))
		}
		if all {
			return f.now.Sub(startedAt)
		}
		if f.now.Sub(startedAt) > limit {
			t.Fatalf("%s: not within %s", what, limit)
		}
		f.run(100 * time.Millisecond)
	}
}

func newRunningFleet(seed uint64, n, targets int, o Options) *fleet {
	return newFleetInDomains(seed, n, targets, o, domainsOf(9))
}

func newFleetInDomains(seed uint64, n, targets int, o Options, domainOf func(int) string) *fleet {
	f := newFleet(seed)
	f.options = o
	for i := range n {
		f.start(fmt.Sprintf("node-%03d", i), domainOf(i), targets)
	}
	f.joinWithoutTraffic()
	return f
}
