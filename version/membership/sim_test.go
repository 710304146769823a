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
// one, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// callOverhead stands for what a call adds to its two messages: method name,
// token and drpc frames 120, headers of four packets 208, and opening and
// closing a connection 400, since pings go to a random node.
const callOverhead = 728

type fleetNode struct {
	*Membership
	address string
	local   Local
	frozen  time.Time // until then
	offset  time.Duration
	stopped bool
}

// fleet passes messages between real memberships in virtual time.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	nodes   []*fleetNode // in order of start
	byAddr  map[string]*fleetNode
	cut     func(from, to *fleetNode) bool
	options Options // switches and times of each node
	bytes   int64   // sent, with the overhead of calls
	byKind  [KindDeltas + 1]int64
	flight  []flight
	restart int64
}

type flight struct {
	at   time.Time
	to   *fleetNode
	from string
	data []byte
}

func newFleet(seed uint64) *fleet {
	return &fleet{now: epoch, random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*fleetNode{}}
}

func (f *fleet) start(name, domain string, targets int) *fleetNode {
	f.restart++
	o := f.options
	o.Seeds = slices.Clone(o.Seeds)
	o.Node, o.Region, o.Domain = name, domain[:1], domain
	o.DataAddress, o.ControlAddress = "10.0.0.1:7100/"+name, "10.0.0.1:7200/"+name
	o.Incarnation = attempt.Incarnation{StartedMS: f.now.UnixMilli() + f.restart, Random: f.random.Uint64()}
	for _, n := range f.nodes {
		if len(o.Seeds) < 3 && !n.stopped {
			o.Seeds = append(o.Seeds, n.address)
		}
	}
	n := &fleetNode{address: o.ControlAddress, offset: time.Duration(f.random.Int64N(int64(TickInterval)))}
	n.Membership = New(o, rand.New(rand.NewPCG(f.random.Uint64(), 2)), invariant.PanicReporter{})
	for i := range targets {
		n.local.Targets = append(n.local.Targets, Target{
			ID: fmt.Sprintf("%s-t%d", name, i), Service: fmt.Sprintf("service-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Slots: 6, Incarnation: o.Incarnation, AnnouncedAt: f.now,
		})
	}
	n.SetLocal(f.now, n.local)
	f.nodes = append(f.nodes, n)
	f.byAddr[n.address] = n
	return n
}

// run advances virtual time in steps of 10 ms; each node ticks in its own phase.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		due := 0
		for due < len(f.flight) && !f.flight[due].at.After(f.now) {
			due++
		}
		arrived := slices.Clone(f.flight[:due])
		f.flight = append(f.flight[:0], f.flight[due:]...)
		for _, a := range arrived {
			f.deliver(a)
		}
		for _, n := range f.nodes {
			phase := (f.now.Sub(epoch) - n.offset/step*step) % TickInterval
			if !n.stopped && phase == 0 && !f.now.Before(n.frozen) {
				f.send(n, n.Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver(a flight) {
	if a.to.stopped || f.now.Before(a.to.frozen) {
		return
	}
	msg, err := Decode(a.data)
	if err != nil {
		panic(err)
	}
	f.send(a.to, a.to.Receive(f.now, a.from, msg))
}

func (f *fleet) send(from *fleetNode, sends []OutgoingMessage) {
	for _, s := range sends {
		data := s.Message.Encode()
		// An answer travels in the response of the call; counting the overhead
		// for each message counts it at least once per call.
		f.bytes += int64(len(data)) + callOverhead/2
		f.byKind[s.Message.Kind] += int64(len(data))
		to, ok := f.byAddr[s.Address]
		if !ok && s.Address == "" {
			for _, n := range f.nodes {
				if n.self.node == s.To {
					to, ok = n, true
				}
			}
		}
		if ok && (f.cut == nil || !f.cut(from, to)) {
			f.flight = append(f.flight, flight{at: f.now.Add(10 * time.Millisecond), to: to, from: s.Message.From, data: data})
		}
	}
}

// acquaint makes all nodes know each other without the traffic of joining.
func (f *fleet) acquaint() {
	for _, n := range f.nodes {
		n.Membership.local = n.local
		n.self.targets, n.self.targetsVersion = n.local.Targets, n.self.version
	}
	for _, n := range f.nodes {
		n.names, n.entries = []string{n.self.node}, map[string]*entry{n.self.node: n.self}
		for _, other := range f.nodes {
			if n == other {
				continue
			}
			e := *other.self
			n.entries[e.node] = &e
			n.names = append(n.names, e.node)
		}
		slices.Sort(n.names)
		n.buckets = [bucketCount]uint64{}
		for _, e := range n.entries {
			n.buckets[bucketOf(e.node)] ^= e.hash()
		}
		n.queue, n.view, n.joined = newQueue(), nil, true
	}
}

// sees returns how node sees another one.
func (n *fleetNode) sees(name string) NodeState {
	if e, ok := n.entries[name]; ok {
		return e.state()
	}
	return ""
}

// until runs until the condition holds for all running nodes and returns the
// time that took.
func (f *fleet) until(t testing.TB, limit time.Duration, what string, cond func(n *fleetNode) bool) time.Duration {
	t.Helper()
	began := f.now
	for {
		all := true
		for _, n := range f.nodes {
			all = all && (n.stopped || cond(n))
		}
		if all {
			return f.now.Sub(began)
		}
		if f.now.Sub(began) > limit {
			t.Fatalf("%s: not within %s", what, limit)
		}
		f.run(100 * time.Millisecond)
	}
}

func domainOf(i int) string { return fmt.Sprintf("%c%d", 'a'+i%3, i/3%3) }

func newRunningFleet(seed uint64, n, targets int, o Options) *fleet {
	f := newFleet(seed)
	f.options = o
	for i := range n {
		f.start(fmt.Sprintf("node-%03d", i), domainOf(i), targets)
	}
	f.acquaint()
	return f
}
