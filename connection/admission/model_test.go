package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// op is one step of a history; the meaning of a, b and c depends on kind.
type op struct{ kind, a, b, c int }

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	n := rapid.IntRange(0, 99)
	return op{n.Draw(t, "kind"), n.Draw(t, "a"), n.Draw(t, "b"), n.Draw(t, "c")}
}), 50, 300)

type modelTarget struct {
	Target
	draining bool
	removed  bool
	gen      int
}

type modelWork struct {
	Work
	state string // queued, running, refused, ended
	gen   int
}

// model follows the decisions of a real Controller and collects what must not be.
type model struct {
	g       *Controller
	now     time.Time
	targets [2]modelTarget
	work    map[Ticket]*modelWork
	order   []Ticket
	faults  []string
}

// Check collects violations that the Controller finds itself.
func (m *model) Check(name invariant.Name, ok bool, format string, args ...any) {
	if !ok {
		m.faultf("invariant %s: %s", name, fmt.Sprintf(format, args...))
	}
}

func (m *model) faultf(format string, args ...any) {
	m.faults = append(m.faults, fmt.Sprintf(format, args...))
}

func runHistory(o Options, ops []op) []string {
	m := &model{now: epoch, work: map[Ticket]*modelWork{}}
	m.g = New(o, m)
	for i := range m.targets {
		m.targets[i].Target = Target{ID: fmt.Sprint("t", i), Slots: 2 + 2*i, QueueLimit: 5, Classes: testClasses, Incarnation: attempt.Incarnation{StartedMS: 1}}
		m.g.SetTarget(m.now, m.targets[i].Target)
	}
	for _, p := range ops {
		m.step(p)
		m.compareLoad()
	}
	m.drainOut()
	return m.faults
}

func (m *model) step(p op) {
	m.now = m.now.Add(time.Duration(p.c%20) * time.Millisecond)
	t := &m.targets[p.a%len(m.targets)]
	switch {
	case p.kind < 45:
		class := []string{"order", "browse", "browse", "download"}[p.b%4]
		deadline := m.now.Add(time.Duration(1+p.c*5) * time.Millisecond)
		w := Work{Target: t.ID, Class: class, Customer: fmt.Sprint("c", p.b%3), Deadline: deadline}
		d := m.g.Submit(m.now, w)
		m.work[d.Ticket] = &modelWork{Work: w, state: "new"}
		m.order = append(m.order, d.Ticket)
		m.take(d.Displaced)
		m.take([]Decision{d})
	case p.kind < 75:
		if id, ok := m.find("running", p.a); ok {
			m.work[id].state = "ended"
			m.take(m.g.Finish(m.now, id, Result{OK: p.b%4 > 0}))
		}
	case p.kind < 79:
		if id, ok := m.find("queued", p.a); ok {
			m.work[id].state = "ended"
			m.take(m.g.Cancel(m.now, id))
		}
	case p.kind < 82:
		m.drain(t, p.b%3 == 0)
	case p.kind < 85: // new process of the target
		t.gen++
		t.draining, t.removed = false, false
		t.Incarnation.StartedMS++
		m.take(m.g.SetTarget(m.now, t.Target))
	case p.kind < 88: // changed announcement
		t.Slots = 1 + p.b%6
		t.draining = t.draining && !t.removed // a removed target that is announced again is back
		t.removed = false
		m.take(m.g.SetTarget(m.now, t.Target))
	case p.kind < 91: // paused process
		m.now = m.now.Add(time.Duration(p.b) * 20 * time.Millisecond)
	default:
		m.take(m.g.Tick(m.now))
	}
}

func (m *model) find(state string, n int) (Ticket, bool) {
	var ids []Ticket
	for _, id := range m.order {
		if m.work[id].state == state {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return ids[n%len(ids)], true
}

func (m *model) count(t *modelTarget, state string, class string) int {
	n := 0
	for _, w := range m.work {
		if w.Target == t.ID && w.state == state && (class == "" || w.Class == class) && (state != "running" || w.gen == t.gen) {
			n++
		}
	}
	return n
}

func (m *model) drain(t *modelTarget, remove bool) {
	waiting, running := m.count(t, "queued", ""), m.count(t, "running", "")
	t.draining = true
	drain := m.g.Drain
	if remove {
		t.removed, drain = true, m.g.Remove
	}
	res := drain(m.now, t.ID)
	if res.Running != running || len(res.Refused) != waiting {
		m.faultf("drain: %d running and %d refused, want %d and %d", res.Running, len(res.Refused), running, waiting)
	}
	for _, d := range res.Refused {
		if d.Reason != attempt.ReasonLeaving {
			m.faultf("drain: reason %q", d.Reason)
		}
	}
	m.take(res.Refused)
}

func (m *model) take(ds []Decision) {
	for _, d := range ds {
		w := m.work[d.Ticket]
		t := &m.targets[int(w.Target[1]-'0')]
		if w.state != "new" && w.state != "queued" {
			m.faultf("ticket %d: decision %d in state %s", d.Ticket, d.Kind, w.state)
			continue
		}
		switch d.Kind {
		case Queued:
			w.state = "queued"
		case Refused:
			w.state = "refused"
		case Started:
			m.started(t, w)
		}
	}
}

func (m *model) started(t *modelTarget, w *modelWork) {
	before := m.count(t, "running", "")
	w.state, w.gen = "running", t.gen
	limit := m.g.Load(t.ID).Limit
	if before >= t.Slots {
		m.faultf("%s starts work with %d of %d slots taken", t.ID, before, t.Slots)
	}
	if t.draining || !m.now.Before(w.Deadline) {
		m.faultf("%s starts work while draining (%v) or late", t.ID, t.draining)
	}
	if w.Class != "order" && m.count(t, "queued", "order") > 0 {
		m.faultf("%s starts %s before a waiting order", t.ID, w.Class)
	}
	if long := m.count(t, "running", "download"); w.Class == "download" && long > max(1, limit-(limit+2)/3) {
		m.faultf("%s runs %d downloads of limit %d", t.ID, long, limit)
	}
}

func (m *model) compareLoad() {
	for i := range m.targets {
		t := &m.targets[i]
		l := m.g.Load(t.ID)
		if r, q := m.count(t, "running", ""), m.count(t, "queued", ""); l.Running != r || l.Queued != q {
			m.faultf("%s: load %+v, want %d running and %d queued", t.ID, l, r, q)
		}
		if l.Slots == 0 && t.removed {
			continue // forgotten
		}
		if l.Queued > t.QueueLimit || l.Limit < (t.Slots+2)/3 || l.Limit > t.Slots {
			m.faultf("%s: load %+v beyond its bounds", t.ID, l)
		}
	}
}

// drainOut ends all running work; every ticket must come to an end.
func (m *model) drainOut() {
	for range 1000 {
		id, ok := m.find("running", 0)
		if !ok {
			break
		}
		m.work[id].state = "ended"
		m.take(m.g.Finish(m.now, id, Result{OK: true}))
	}
	m.now = m.now.Add(2 * time.Second)
	m.take(m.g.Tick(m.now))
	if id, ok := m.find("queued", 0); ok {
		m.faultf("ticket %d waits for ever", id)
	}
}

// Guards against exceeded slots, work that starts after its refusal, its
// deadline or the drain of its target, orders behind other work, lost tickets
// and wrong load figures, under pauses, restarts and changed slots together.
func TestGateHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if faults := runHistory(Options{}, history.Draw(t, "history")); len(faults) > 0 {
			t.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
	})
}

// Proves that the histories find the fault when a mechanism is off.
func TestGateHistoriesFindFaults(t *testing.T) {
	for seed := range 50 {
		if faults := runHistory(Options{}, history.Example(seed)); len(faults) > 0 {
			t.Fatalf("seed %d: fault with everything on: %s", seed, faults[0])
		}
	}
	for name, o := range map[string]Options{
		"noPriority": {noPriority: true}, "noReserve": {noReserve: true}, "noDeadline": {noDeadline: true},
		"noDrainCheck": {noDrainCheck: true}, "noSlotCheck": {noSlotCheck: true}, "keepDisplaced": {keepDisplaced: true},
	} {
		found := 0
		for seed := range 50 {
			if len(runHistory(o, history.Example(seed))) > 0 {
				found++
			}
		}
		t.Logf("%s: fault found in %d of 50 histories", name, found)
		if found == 0 {
			t.Errorf("%s: no history finds a fault", name)
		}
	}
}
