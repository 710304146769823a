package gate

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// withdrawalMemory is how long the withdrawal of an unknown target is remembered.
// Announcements arrive seconds late at most.
const withdrawalMemory = time.Minute

// withdrawals remembers when targets were withdrawn that the gate did not know, as
// after a restart of the node. An announcement that the target sent before its
// withdrawal may arrive later.
type withdrawals map[string]time.Time

// add remembers the withdrawal of a target.
func (w withdrawals) add(now time.Time, id string) {
	if len(w) < maxTargets {
		w[id] = now
	}
}

// cover reports whether the process of a target started before the target was
// withdrawn. Both times come from the clock of this host.
func (w withdrawals) cover(id string, process attempt.Incarnation) bool {
	at, ok := w[id]
	return ok && process.StartedMS <= at.UnixMilli()
}

// expire forgets old withdrawals.
func (w withdrawals) expire(now time.Time) {
	for id, at := range w {
		if now.Sub(at) > withdrawalMemory {
			delete(w, id)
		}
	}
}
