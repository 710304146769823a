package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// operation is one step of a history. Its kind selects what is done, and a, b and
// c are random arguments.
type operation struct{ kind, a, b, c int }

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
	n := rapid.IntRange(0, 99)
	return operation{n.Draw(t, "kind"), n.Draw(t, "a"), n.Draw(t, "b"), n.Draw(t, "c")}
}), 50, 300)

type modelTarget struct {
	Target
	draining   bool
	removed    bool
	generation int
}

type modelWork struct {
	Work
	state      string // queued, running, refused, ended
	generation int
}

// model tracks the decisions of a real Controller and collects the violations in them.
type model struct {
	controller *Controller
	now        time.Time
	targets    [2]modelTarget
	work       map[Ticket]*modelWork
	tickets    []Ticket
	violations []string
	handover   *Handover // of the drain of the node, if it has begun
}

// Check collects the invariant violations that the Controller reports itself.
func (m *model) Check(name invariant.Name, ok bool, format string, args ...any) {
	if !ok {
		m.violationf("invariant %s: %s", name, fmt.Sprintf(format, args...))
	}
}

func (m *model) violationf(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func runHistory(o Options, operations []operation) []string {
	return runHistoryWithHandover(o, operations, len(operations))
}

// runHistoryWithHandover begins the drain of the node before an operation. Its times depend
// on that operation; DrainAll follows at the end of the history.
func runHistoryWithHandover(o Options, operations []operation, drainAt int) []string {
	m := &model{now: epoch, work: map[Ticket]*modelWork{}}
	m.controller = New(o, m)
	for i := range m.targets {
		m.targets[i].Target = Target{ID: fmt.Sprint("t", i), Slots: 2 + 2*i, QueueLimit: 5, Classes: testClasses, Incarnation: attempt.Incarnation{StartedMS: 1}}
		m.controller.SetTarget(m.now, m.targets[i].Target)
	}
	for i, operation := range operations {
		if i == drainAt {
			until := m.now.Add(time.Duration(operation.a) * 20 * time.Millisecond)
			m.handover = &Handover{Until: until, End: until.Add(time.Duration(operation.b) * 10 * time.Millisecond)}
			m.apply(m.controller.BeginDrain(m.now, *m.handover))
		}
		m.step(operation)
		m.checkLoad()
	}
	if m.handover != nil {
		m.apply(m.controller.DrainAll(m.now).Refused)
	}
	m.finishAll()
	return m.violations
}

func (m *model) step(operation operation) {
	m.now = m.now.Add(time.Duration(operation.c%20) * time.Millisecond)
	t := &m.targets[operation.a%len(m.targets)]
	switch {
	case operation.kind < 45:
		class := []string{"order", "browse", "browse", "download"}[operation.b%4]
		deadline := m.now.Add(time.Duration(1+operation.c*5) * time.Millisecond)
		work := Work{Target: t.ID, Class: class, Customer: fmt.Sprint("c", operation.b%3), Deadline: deadline}
		decision := m.controller.Submit(m.now, work)
		m.work[decision.Ticket] = &modelWork{Work: work, state: "new"}
		m.tickets = append(m.tickets, decision.Ticket)
		m.apply(decision.Displaced)
		m.apply([]Decision{decision})
	case operation.kind < 75:
		if id, ok := m.nthInState("running", operation.a); ok {
			m.work[id].state = "ended"
			m.apply(m.controller.Finish(m.now, id, Result{OK: operation.b%4 > 0}))
		}
	case operation.kind < 79:
		if id, ok := m.nthInState("queued", operation.a); ok {
			m.work[id].state = "ended"
			m.apply(m.controller.Cancel(m.now, id))
		}
	case operation.kind < 82:
		m.drain(t, operation.b%3 == 0)
	case operation.kind < 85: // new process of the target
		t.generation++
		t.draining, t.removed = false, false
		t.Incarnation.StartedMS++
		m.apply(m.controller.SetTarget(m.now, t.Target))
	case operation.kind < 88: // changed announcement
		t.Slots = 1 + operation.b%6
		t.draining = t.draining && !t.removed // a removed target that is announced again takes work again
		t.removed = false
		m.apply(m.controller.SetTarget(m.now, t.Target))
	case operation.kind < 91: // paused process
		m.now = m.now.Add(time.Duration(operation.b) * 20 * time.Millisecond)
	default:
		m.apply(m.controller.Tick(m.now))
	}
}

func (m *model) nthInState(state string, n int) (Ticket, bool) {
	var tickets []Ticket
	for _, id := range m.tickets {
		if m.work[id].state == state {
			tickets = append(tickets, id)
		}
	}
	if len(tickets) == 0 {
		return 0, false
	}
	return tickets[n%len(tickets)], true
}

func (m *model) count(t *modelTarget, state string, class string) int {
	count := 0
	for _, w := range m.work {
		if w.Target == t.ID && w.state == state && (class == "" || w.Class == class) && (state != "running" || w.generation == t.generation) {
			count++
		}
	}
	return count
}

func (m *model) drain(t *modelTarget, remove bool) {
	queued, running := m.count(t, "queued", ""), m.count(t, "running", "")
	t.draining = true
	drain := m.controller.Drain
	if remove {
		t.removed, drain = true, m.controller.Remove
	}
	result := drain(m.now, t.ID)
	if result.Running != running || len(result.Refused) != queued {
		m.violationf("drain: %d running and %d refused, want %d and %d", result.Running, len(result.Refused), running, queued)
	}
	for _, decision := range result.Refused {
		if decision.Reason != attempt.ReasonLeaving {
			m.violationf("drain: reason %q", decision.Reason)
		}
	}
	m.apply(result.Refused)
}

func (m *model) apply(decisions []Decision) {
	for _, decision := range decisions {
		w := m.work[decision.Ticket]
		t := &m.targets[int(w.Target[1]-'0')]
		if w.state != "new" && w.state != "queued" {
			m.violationf("ticket %d: decision %d in state %s", decision.Ticket, decision.Kind, w.state)
			continue
		}
		switch decision.Kind {
		case Queued:
			w.state = "queued"
		case Refused:
			w.state = "refused"
		case Started:
			m.checkStart(t, w)
		}
	}
}

func (m *model) checkStart(t *modelTarget, w *modelWork) {
	before := m.count(t, "running", "")
	w.state, w.generation = "running", t.generation
	limit := m.controller.Load(m.now, t.ID).Limit
	if before >= t.Slots {
		m.violationf("%s starts work with %d of %d slots taken", t.ID, before, t.Slots)
	}
	if t.draining || !m.now.Before(w.Deadline) {
		m.violationf("%s starts work while draining (%v) or late", t.ID, t.draining)
	}
	if h := m.handover; h != nil && (!m.now.Before(h.Until) || !m.now.Before(h.End)) {
		m.violationf("%s starts work that may outlast the handover %+v", t.ID, *h)
	}
	if w.Class != "order" && m.count(t, "queued", "order") > 0 {
		m.violationf("%s starts %s before a waiting order", t.ID, w.Class)
	}
	if long := m.count(t, "running", "download"); w.Class == "download" && long > max(1, limit-(limit+2)/3) {
		m.violationf("%s runs %d downloads of limit %d", t.ID, long, limit)
	}
}

func (m *model) checkLoad() {
	for i := range m.targets {
		t := &m.targets[i]
		load := m.controller.Load(m.now, t.ID)
		if running, queued := m.count(t, "running", ""), m.count(t, "queued", ""); load.Running != running || load.Queued != queued {
			m.violationf("%s: load %+v, want %d running and %d queued", t.ID, load, running, queued)
		}
		if load.Slots == 0 && t.removed {
			continue // the target was deleted
		}
		if load.Queued > t.QueueLimit || load.Limit < (t.Slots+2)/3 || load.Limit > t.Slots {
			m.violationf("%s: load %+v beyond its bounds", t.ID, load)
		}
	}
}

// finishAll ends all running work, after which no ticket may still wait.
func (m *model) finishAll() {
	for range 1000 {
		id, ok := m.nthInState("running", 0)
		if !ok {
			break
		}
		m.work[id].state = "ended"
		m.apply(m.controller.Finish(m.now, id, Result{OK: true}))
	}
	m.now = m.now.Add(2 * time.Second)
	m.apply(m.controller.Tick(m.now))
	if id, ok := m.nthInState("queued", 0); ok {
		m.violationf("ticket %d still waits after all running work ended", id)
	}
}

// Guards against exceeded slots, work that starts after its refusal, its
// deadline or the drain of its target, orders that wait behind other work, lost
// tickets and wrong loads, in random histories with pauses, restarts and changed
// slots.
func TestControllerHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violations := runHistory(Options{}, history.Draw(t, "history")); len(violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

// Proves that the histories find violations when a mechanism is disabled.
func TestControllerHistoriesFindViolations(t *testing.T) {
	for seed := range 50 {
		if violations := runHistory(Options{}, history.Example(seed)); len(violations) > 0 {
			t.Fatalf("seed %d: violation with all mechanisms enabled: %s", seed, violations[0])
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
		t.Logf("%s: violation found in %d of 50 histories", name, found)
		if found == 0 {
			t.Errorf("%s: no history finds a violation", name)
		}
	}
}
