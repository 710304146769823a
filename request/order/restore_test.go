package order

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// restorableLog is a stream in memory that may come back from an older copy.
type restorableLog struct {
	records  [][]byte
	copied   int // number of records in the copy
	era      int64
	noHeader bool // pages do not state the era
}

func (l *restorableLog) restore() {
	l.records = l.records[:l.copied:l.copied]
	l.era++
}

func (l *restorableLog) read(from int64, limit int) (eventlog.Page, error) {
	page := eventlog.Page{First: 1, Next: int64(len(l.records)) + 1}
	if !l.noHeader {
		page.Era = l.era
	}
	if from > page.Next {
		return page, eventlog.ErrRestored
	}
	for offset := from; offset < page.Next && offset < from+int64(limit); offset++ {
		page.Records = append(page.Records, eventlog.Record{Offset: offset, Data: l.records[offset-1]})
	}
	return page, nil
}

// lateAppend is an append that may reach the log after its node has given it up.
type lateAppend struct {
	bindings *Bindings
	data     []byte
	given    bool // the node was told that it failed
}

// observedBinding is a binding by which a node would run an order.
type observedBinding struct {
	key  Key
	node string
}

// restoreSimulation is a fleet of Bindings over a log that is restored at random.
type restoreSimulation struct {
	opts       BindingsOptions
	membership bool // the nodes know each other
	now        time.Time
	random     *rand.Rand
	log        restorableLog
	nodes      []*Bindings
	partial    bool             // a node that starts knows only itself until it has joined
	joined     []bool           // by node
	pages      []*eventlog.Page // read and not yet applied, by node
	appends    []*lateAppend
	started    int
	observed   map[KeyID][]observedBinding
	violations []string
	restores   int
}

const restoreNodes, restoreKeys = 3, 6

func newRestoreSimulation(opts BindingsOptions, membership bool, seed uint64) *restoreSimulation {
	s := &restoreSimulation{opts: opts, membership: membership, now: epoch, random: rand.New(rand.NewPCG(seed, 1)), observed: map[KeyID][]observedBinding{},
		nodes: make([]*Bindings, restoreNodes), joined: make([]bool, restoreNodes), pages: make([]*eventlog.Page, restoreNodes)}
	for i := range s.nodes {
		s.restart(i)
		s.settle(i)
	}
	s.log.copied = len(s.log.records)
	return s
}

func (s *restoreSimulation) restart(i int) {
	s.started++
	self := Owner{Node: fmt.Sprint("n", i), Incarnation: attempt.Incarnation{StartedMS: s.now.UnixMilli(), Random: uint64(s.started)}}
	s.nodes[i], s.pages[i], s.joined[i] = NewBindings(s.opts, self), nil, !s.partial
}

// settle appends and reads at one node until it has nothing more to append.
func (s *restoreSimulation) settle(i int) {
	for range 20 {
		for !s.readPage(i, 100) {
		}
		s.now = s.now.Add(300 * time.Millisecond)
		data, ok := s.nodes[i].NextBatch(s.now)
		if !ok {
			continue
		}
		s.log.records = append(s.log.records, data)
		s.nodes[i].Appended(s.now, true)
	}
}

// readPage reads and applies one page and reports whether the end was reached.
func (s *restoreSimulation) readPage(i, limit int) bool {
	b := s.nodes[i]
	s.setMembers(i)
	page, err := s.log.read(b.Next(), limit)
	if err != nil {
		b.Restored(s.now, page.Era)
		return false
	}
	return s.applyPage(i, page)
}

func (s *restoreSimulation) applyPage(i int, page eventlog.Page) bool {
	b := s.nodes[i]
	if _, restored := b.ObserveEra(s.now, page.Era); restored {
		return false
	}
	for _, r := range page.Records {
		if _, err := b.Apply(s.now, r); err != nil {
			s.violations = append(s.violations, err.Error())
		}
	}
	if b.Next() < page.Next {
		return false
	}
	b.CaughtUp(s.now)
	return true
}

func (s *restoreSimulation) setMembers(i int) {
	if !s.membership {
		return
	}
	var members []Owner
	for j, b := range s.nodes {
		if b != nil && (s.joined[i] || j == i) {
			members = append(members, b.self)
		}
	}
	s.nodes[i].SetMembers(members)
}

func (s *restoreSimulation) key(n int) KeyID { return testKey(n, epoch).ID }

func (s *restoreSimulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(200)) * time.Millisecond)
	i := s.random.IntN(restoreNodes)
	b := s.nodes[i]
	switch n := s.random.IntN(100); {
	case n < 25:
		id := s.key(s.random.IntN(restoreKeys))
		if state, _ := b.Lookup(s.now, id, "s"); state == Unbound {
			b.Propose(s.now, id, Owner{Node: fmt.Sprint("g", s.random.IntN(4))})
		}
	case n < 40:
		if data, ok := b.NextBatch(s.now); ok {
			s.appends = append(s.appends, &lateAppend{bindings: b, data: data})
		}
	case n < 58:
		if len(s.appends) > 0 {
			a := s.appends[s.random.IntN(len(s.appends))]
			s.log.records = append(s.log.records, a.data)
			s.end(a, s.random.IntN(3) > 0)
			if s.random.IntN(4) > 0 { // otherwise it reaches the log once more
				s.forget(a)
			}
		}
	case n < 61:
		if len(s.appends) > 0 {
			s.end(s.appends[s.random.IntN(len(s.appends))], false)
		}
	case n < 76:
		if s.partial && s.random.IntN(8) == 0 {
			s.joined[i] = true
		}
		s.setMembers(i)
		if page, err := s.log.read(b.Next(), 1+s.random.IntN(5)); err != nil {
			s.pages[i] = nil
			b.Restored(s.now, page.Era)
		} else {
			s.pages[i] = &page
		}
	case n < 92:
		if page := s.pages[i]; page != nil {
			s.pages[i] = nil
			s.applyPage(i, *page)
		}
	case n < 95:
		s.log.copied = len(s.log.records)
	case n < 97:
		if s.restores < 3 {
			s.restores++
			s.log.restore()
		}
	case n < 98:
		s.restart(i)
	case n < 99:
		for !s.readPage(i, 100) {
		}
		s.pages[i] = nil
	default:
		if s.random.IntN(10) == 0 {
			s.now = s.now.Add(time.Duration(s.random.IntN(10)) * time.Hour)
		}
	}
	s.observe()
}

func (s *restoreSimulation) end(a *lateAppend, ok bool) {
	if !a.given {
		a.given = true
		a.bindings.Appended(s.now, ok)
	}
}

func (s *restoreSimulation) forget(a *lateAppend) {
	for i := range s.appends {
		if s.appends[i] == a {
			s.appends = append(s.appends[:i:i], s.appends[i+1:]...)
			return
		}
	}
}

// observe records the bindings by which the nodes would run an order now.
func (s *restoreSimulation) observe() {
	for n := range restoreKeys {
		id := s.key(n)
		for i, b := range s.nodes {
			state, key := b.Lookup(s.now, id, "s")
			if state != Bound {
				continue
			}
			known := false
			for _, other := range s.observed[id] {
				if other.key.Owner != key.Owner && s.now.Before(other.key.ExpiresAt) {
					s.violations = append(s.violations, fmt.Sprintf("key %d is bound to %s at n%d and was to %s at %s", n, key.Owner.Node, i, other.key.Owner.Node, other.node))
				}
				known = known || other.key == key
			}
			if !known {
				s.observed[id] = append(s.observed[id], observedBinding{key, fmt.Sprint("n", i)})
			}
		}
	}
}

func runRestoreSimulation(opts BindingsOptions, membership, partial bool, seed uint64) *restoreSimulation {
	s := newRestoreSimulation(opts, membership, seed)
	s.partial = partial
	for i := range s.joined {
		s.joined[i] = !partial || s.random.IntN(2) == 0
	}
	for range 600 {
		s.step()
	}
	return s
}

// Guards against a customer key that two nodes bind to two gates, and whose order runs
// twice, when the log comes back from an older copy. Histories combine restores with
// late and duplicate appends, half-read streams, restarts and pauses.
func TestRestoredLogBindsNoKeyTwice(t *testing.T) {
	const seeds = 300
	failed, failedWithoutEra, recoveries := 0, 0, 0
	for seed := range uint64(seeds) {
		for _, views := range []struct{ membership, partial bool }{{false, false}, {true, false}, {true, true}} {
			s := runRestoreSimulation(BindingsOptions{}, views.membership, views.partial, seed)
			if len(s.violations) > 0 {
				failed++
				t.Errorf("seed %d, membership %t, partial %t: %s", seed, views.membership, views.partial, s.violations[0])
			}
			for _, b := range s.nodes {
				if b.restored && b.allDone() {
					recoveries++
				}
			}
		}
		if len(runRestoreSimulation(BindingsOptions{ignoreEra: true}, false, false, seed).violations) > 0 {
			failedWithoutEra++
		}
	}
	t.Logf("histories that bind a key twice: %d of %d, %d with ignoreEra; %d nodes at the end of a complete recovery", failed, 3*seeds, failedWithoutEra, recoveries)
	if recoveries == 0 {
		t.Error("no history completes a recovery")
	}
	if failedWithoutEra == 0 {
		t.Error("no history detects that the era is ignored")
	}
}

// bind proposes a key at one node and lets it append and read.
func (s *restoreSimulation) bind(i, n int) LookupState {
	for !s.readPage(i, 100) {
	}
	if state, _ := s.nodes[i].Lookup(s.now, s.key(n), "s"); state == Unbound {
		s.nodes[i].Propose(s.now, s.key(n), Owner{Node: fmt.Sprint("g", i)})
	}
	s.settle(i)
	state, _ := s.nodes[i].Lookup(s.now, s.key(n), "s")
	return state
}

// Guards against new customer keys that are unavailable although the log was never
// restored, on a log of any era, and after the lost bindings have ended.
func TestBindingsWithoutLostRecords(t *testing.T) {
	for _, era := range []int64{0, 1, 7} {
		s := newRestoreSimulation(BindingsOptions{}, false, 1)
		s.log = restorableLog{era: era}
		for i := range s.nodes {
			s.restart(i)
			if s.settle(i); s.bind(i, i) != Bound {
				t.Errorf("era %d: node %d binds no key", era, i)
			}
		}
		s.restart(0)
		if s.settle(0); s.bind(0, 1) != Bound || s.bind(0, 3) != Bound {
			t.Errorf("era %d: a restarted node binds no key", era)
		}
		s.log.restore()
		if state := s.bind(1, 4); state != Unavailable {
			t.Errorf("era %d: state %d after a restore, want unavailable", era, state)
		}
		s.now = s.now.Add(24*time.Hour + maxClockDifference)
		s.settle(1)
		s.restart(2)
		if s.settle(2); s.bind(1, 4) != Bound || s.bind(2, 5) != Bound {
			t.Errorf("era %d: no key is bound after the lost bindings ended", era)
		}
	}
}

// Guards against a binding that a node which started after the restore takes as
// unknown although another node still knows it, and against nodes that all write the
// same bindings again.
func TestLostBindingsAreWrittenAgain(t *testing.T) {
	s := newRestoreSimulation(BindingsOptions{BatchSize: 2}, false, 1)
	for n := range restoreKeys {
		s.bind(n%restoreNodes, n)
	}
	for i := range s.nodes {
		s.settle(i)
	}
	s.log.restore()
	s.restart(2)
	s.settle(2)
	if state := s.bind(2, 0); state != Unavailable {
		t.Errorf("state %d at a node that started after the restore, want unavailable", state)
	}
	total := 0
	for i := range 2 {
		s.settle(i)
		total += s.nodes[i].Rewritten()
	}
	if total != restoreKeys {
		t.Errorf("%d bindings were written again, want %d", total, restoreKeys)
	}
	s.settle(2)
	for n := range restoreKeys {
		if state, key := s.nodes[2].Lookup(s.now, s.key(n), "s"); state != Bound || key.Owner.Node != fmt.Sprint("g", n%restoreNodes) {
			t.Errorf("key %d: state %d, owner %v", n, state, key.Owner)
		}
	}
}

// Guards against a proposal of the earlier era that is appended after the restore and
// takes effect, although the log may have lost a binding of its key.
func TestLateProposalOfEarlierEra(t *testing.T) {
	s := newRestoreSimulation(BindingsOptions{}, false, 1)
	s.nodes[1].Propose(s.now, s.key(0), Owner{Node: "g1"})
	late, _ := s.nodes[1].NextBatch(s.now)
	if s.bind(0, 0) != Bound {
		t.Fatal("key is not bound")
	}
	s.log.restore()
	s.log.records = append(s.log.records, late)
	s.restart(2)
	for _, i := range []int{1, 2} {
		s.settle(i)
		if state, _ := s.nodes[i].Lookup(s.now, s.key(0), "s"); state != Unavailable {
			t.Errorf("node %d: state %d, want unavailable", i, state)
		}
	}
	s.settle(0)
	s.settle(2)
	if state, key := s.nodes[2].Lookup(s.now, s.key(0), "s"); state != Bound || key.Owner.Node != "g0" {
		t.Errorf("state %d, owner %v, want g0", state, key.Owner)
	}
}

// Guards against an order that runs at two gates because each of two nodes keeps its
// own binding of the key.
func TestConflictingBindings(t *testing.T) {
	s := newRestoreSimulation(BindingsOptions{}, false, 1)
	s.bind(0, 0)
	s.log.restore()
	s.log.records = append(s.log.records, bindingRecord(1, "x", s.now, Owner{Node: "g9"}, s.key(0)).Data)
	s.restart(1)
	s.settle(1)
	s.settle(0)
	s.settle(1)
	for i := range 2 {
		if state, _ := s.nodes[i].Lookup(s.now, s.key(0), "s"); state != Unavailable {
			t.Errorf("node %d: state %d, want unavailable", i, state)
		}
		if conflicts := s.nodes[i].TakeConflicts(); len(conflicts) != 1 || conflicts[0].Known == conflicts[0].Other {
			t.Errorf("node %d: conflicts %v", i, conflicts)
		}
	}
}

// Guards against a node that stays behind a log which does not state its era, when its
// offset is beyond the end.
func TestRestoredLogWithoutEra(t *testing.T) {
	s := newRestoreSimulation(BindingsOptions{}, false, 1)
	s.log.noHeader = true
	s.bind(0, 0)
	s.log.restore()
	s.settle(0)
	if state, _ := s.nodes[0].Lookup(s.now, s.key(0), "s"); state != Bound {
		t.Errorf("known key: state %d, want bound", state)
	}
	if state := s.bind(0, 1); state != Unavailable {
		t.Errorf("unknown key: state %d, want unavailable", state)
	}
	s.restart(1)
	s.settle(1)
	if state, key := s.nodes[1].Lookup(s.now, s.key(0), "s"); state != Bound || key.Owner.Node != "g0" {
		t.Errorf("binding written again: state %d, owner %v", state, key.Owner)
	}
}

// Guards against new customer keys that stay unavailable although all nodes that may
// know lost bindings wrote them again, or that are bound while one of them has not.
func TestRecoveryOfRestoredLog(t *testing.T) {
	for _, lostNode := range []bool{false, true} {
		s := newRestoreSimulation(BindingsOptions{}, true, 1)
		s.bind(0, 0)
		s.log.restore()
		if lostNode {
			s.restart(2)
		}
		want := Bound
		for i := range s.nodes {
			s.settle(i)
			if state := s.bind(i, 1); i < 2 && state != Unavailable {
				t.Errorf("lost node %t: state %d before node 2 wrote its bindings again, want unavailable", lostNode, state)
			}
		}
		if lostNode {
			want = Unavailable
		}
		if state := s.bind(0, 2); state != want {
			t.Errorf("lost node %t: state %d at a node that knew the earlier era, want %d", lostNode, state, want)
		}
		s.restart(1)
		if state := s.bind(1, 3); state != want {
			t.Errorf("lost node %t: state %d at a node that started later, want %d", lostNode, state, want)
		}
		if state, key := s.nodes[1].Lookup(s.now, s.key(0), "s"); state != Bound || key.Owner.Node != "g0" {
			t.Errorf("lost node %t: known key: state %d, owner %v, want g0", lostNode, state, key.Owner)
		}
	}
}

// Guards against a key bound twice after a restore by a node that has only seen itself.
func TestNodeThatKnowsOnlyItselfBindsNoLostKey(t *testing.T) {
	s := newRestoreSimulation(BindingsOptions{}, true, 1)
	s.partial = true
	s.restart(2)
	s.settle(2)
	s.log.copied = len(s.log.records)
	s.bind(0, 0)
	s.log.restore()
	s.settle(2)
	if state := s.bind(2, 0); state != Unavailable {
		t.Errorf("state %d of a key bound at node 0, want unavailable", state)
	}
}
