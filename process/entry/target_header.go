package entry

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// rateMemory is how long an entry passes on the rate that a target named last.
const rateMemory = 30 * time.Second

// targetRate is the rate that a process of a target takes, as its gate reported it.
type targetRate struct {
	process attempt.Incarnation
	text    string // requests/s
	at      time.Time
}

// observeRate remembers the rate that a gate reports for its target, empty for none.
// The caller holds e.mu.
func (e *Entry) observeRate(now time.Time, t gateTarget, text string) {
	if text == "" {
		delete(e.targetRates, t.key)
		return
	}
	e.targetRates[t.key] = targetRate{t.info.Incarnation, text, now}
}

// rateOf returns the rate that a target named last, empty for none. Its gate needs it
// after a restart.
func (e *Entry) rateOf(t gateTarget) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rate := e.targetRates[t.key]; rate.process == t.info.Incarnation && e.now().Sub(rate.at) < rateMemory {
		return rate.text
	}
	return ""
}
