package quota

import "time"

// historySteps is the number of steps into which a history divides a window: 200 ms each
// with a window of 5 s.
const historySteps = 25

// history holds the requests of the last window, admitted minus returned, in steps. A new
// owner rebuilds the level of an account from the histories of the entries: the counts
// that the old owner acknowledged would otherwise be charged to nobody.
type history struct {
	steps  [historySteps]int32 // by number of the step, modulo historySteps
	newest int64               // number of the newest step since the Unix epoch
}

func stepOf(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / max(1, int64(window/historySteps))
}

// advance makes a step the newest one, unless the clock stepped back.
func (h *history) advance(step int64) {
	for n := max(h.newest+1, step-historySteps+1); n <= step; n++ {
		h.steps[n%historySteps] = 0
	}
	h.newest = max(h.newest, step)
}

// recent returns the steps, newest first, without the empty ones at the end.
func (h *history) recent(step int64) []int32 {
	h.advance(step)
	var out []int32
	for age := range int64(historySteps) {
		if n := h.steps[(h.newest-age)%historySteps]; n != 0 {
			out = append(append(out, make([]int32, int(age)-len(out))...), n)
		}
	}
	return out
}

// level passes the steps through a bucket that was full before the oldest of them.
func (h *history) level(l Limit, window time.Duration) float64 {
	level := l.Burst
	for age := int64(historySteps - 1); age >= 0; age-- {
		level = min(level-float64(h.steps[(h.newest-age)%historySteps]), l.Burst)
		if age > 0 {
			level = min(level+l.Rate*window.Seconds()/historySteps, l.Burst)
		}
	}
	return level
}
