package gate

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// withdrawalMemory is how long the withdrawal of an unknown target is remembered.
// Announcements arrive seconds late at most. Until then a new process of the target
// stays unused if the clock of the host has stepped back.
const withdrawalMemory = 30 * time.Second

// withdrawals remembers the withdrawals of targets that the gate did not know, as
// after a restart of the node, or whose announcement has expired since. An announcement
// that the target sent before its withdrawal may arrive later.
type withdrawals map[string]withdrawal

type withdrawal struct {
	at        time.Time
	startedMS int64 // latest start of the withdrawn process, Unix milliseconds
}

// add remembers the withdrawal of a process of a target. Without its start, 0, it is
// one that started before the withdrawal.
func (w withdrawals) add(now time.Time, id string, startedMS int64) {
	if startedMS == 0 {
		startedMS = now.UnixMilli()
	}
	if len(w) < maxTargets {
		w[id] = withdrawal{at: now, startedMS: startedMS}
	}
}

// cover reports whether a process of a target was withdrawn.
func (w withdrawals) cover(id string, process attempt.Incarnation) bool {
	withdrawn, ok := w[id]
	return ok && process.StartedMS <= withdrawn.startedMS
}

// expire forgets old withdrawals.
func (w withdrawals) expire(now time.Time) {
	for id, withdrawn := range w {
		if now.Sub(withdrawn.at) > withdrawalMemory {
			delete(w, id)
		}
	}
}
