package entry

import (
	"maps"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	// rateMemory is how long an entry passes on the rate that a target named last.
	rateMemory = 30 * time.Second
	// leavingMemory is how long an entry remembers that a process of a target leaves. A
	// target that leaves ends within minutes.
	leavingMemory = 10 * time.Minute
)

// targetRate is the rate that a process of a target takes, as its gate reported it.
type targetRate struct {
	process attempt.Incarnation
	text    string // requests/s
	at      time.Time
}

// observeRate remembers the rate that a gate reports for its target, empty for none.
// Another gate may take the target over. The caller holds e.mu.
func (e *Entry) observeRate(now time.Time, t gateTarget, text string) {
	if text == "" {
		delete(e.targetRates, t.info.ID)
		return
	}
	e.targetRates[t.info.ID] = targetRate{t.info.Incarnation, text, now}
}

// rateOf returns the rate that a target named last, empty for none. Its gate needs it
// after a restart.
func (e *Entry) rateOf(t gateTarget) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rate := e.targetRates[t.info.ID]; rate.process == t.info.Incarnation && e.now().Sub(rate.at) < rateMemory {
		return rate.text
	}
	return ""
}

// leavingTargets are the processes of targets that said in a response that they leave,
// by the identity of the target. Their gates know it too, but forget it when they restart,
// and another gate may take a target over.
type leavingTargets map[string]leavingTarget

type leavingTarget struct {
	process attempt.Incarnation
	at      time.Time
}

func (l leavingTargets) has(id string, process attempt.Incarnation) bool {
	known, ok := l[id]
	return ok && known.process == process
}

// noteLeaving takes a target out of use that said in a response that it leaves.
func (e *Entry) noteLeaving(t gateTarget) {
	e.viewMu.Lock()
	defer e.viewMu.Unlock()
	if e.leaving.has(t.info.ID, t.info.Incarnation) {
		return
	}
	now := e.now()
	maps.DeleteFunc(e.leaving, func(_ string, l leavingTarget) bool { return now.Sub(l.at) >= leavingMemory })
	e.leaving[t.info.ID] = leavingTarget{t.info.Incarnation, now}
	e.fleet.Store(newFleet(e.fleet.Load().view, e.leaving))
	e.refresh()
}
