package admission

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Handover describes the drain of a node whose targets do not leave. When the nodes of a
// fleet restart one after another, each target has no gate but that of its node. A gate
// that refuses all work from the signal on leaves its target idle for the whole drain. In
// the handover it accepts what ends before the drain does.
type Handover struct {
	Until time.Time // from then on all work is refused
	End   time.Time // when accepted work must have ended; zero: the drain has no end
}

const (
	// handoverServiceTimes is the number of mean service times that accepted work is
	// expected to take at most. Of exponential service times, 0.7 % are longer. Work that
	// runs when the drain begins has no better prospects.
	handoverServiceTimes = 5
	// handoverDeviations is the same bound for classes of which a few requests take many
	// times the mean.
	handoverDeviations = 6
)

// ended reports whether the handover is over.
func (h Handover) ended(now time.Time) bool { return !now.Before(h.Until) }

// Accepts reports whether work that starts after wait may run: its deadline is before the
// end, or it is expected to end before it. That holds for work that may run only once, too:
// a target that gets only such work would otherwise be idle for the whole drain.
func (h Handover) Accepts(now time.Time, work Work, wait, service time.Duration, known bool) bool {
	switch {
	case h.ended(now):
		return false
	case h.End.IsZero():
		return true
	case !work.Deadline.IsZero() && !work.Deadline.After(h.End):
		return true
	}
	return known && !now.Add(wait+service).After(h.End)
}

// longestServiceTime returns a generous estimate of the service time of a class and
// whether it is known. Unlike expectedServiceTime it does not fall with its age. Running
// work counts with its time so far: the work that has ended is the shorter part of a class
// of which little has ended.
func (c *Controller) longestServiceTime(now time.Time, class *classState) (time.Duration, bool) {
	mean := class.serviceTime.value
	seconds := mean + max((handoverServiceTimes-1)*mean, handoverDeviations*class.deviation.value)
	longest := time.Duration(seconds * float64(time.Second))
	for _, sub := range c.submissions {
		if sub.running && sub.class == class {
			longest = max(longest, now.Sub(sub.started))
		}
	}
	return longest, class.serviceTime.known
}

// BeginDrain starts the drain of the node with a handover, or changes its times. Waiting
// work that may outlast the drain is refused now. DrainAll ends the handover, also before
// its time.
func (c *Controller) BeginDrain(now time.Time, h Handover) []Decision {
	c.handover = &h
	var out []Decision
	for _, id := range c.targetIDs() {
		t := c.targets[id]
		for _, sub := range slices.Clone(t.queue) {
			if c.outlastsHandover(now, sub, t.expectedWait(now, sub, c.options)) {
				out = append(out, c.refuse(t, sub, attempt.ReasonLeaving, 0))
			}
		}
	}
	return out
}

// leaving reports whether the target or the node takes no more work.
func (c *Controller) leaving(now time.Time, t *target) bool {
	return t.draining || c.draining || c.handover != nil && c.handover.ended(now)
}

// outlastsHandover reports whether the node drains and work that starts after wait is
// not accepted in its handover.
func (c *Controller) outlastsHandover(now time.Time, sub *submission, wait time.Duration) bool {
	if c.handover == nil || c.options.noDrainCheck {
		return false
	}
	service, known := c.longestServiceTime(now, sub.class)
	return !c.handover.Accepts(now, sub.work, wait, service, known)
}

// refusalReason returns the reason why work that starts after wait is refused, or
// ReasonNone.
func (c *Controller) refusalReason(now time.Time, t *target, sub *submission, wait time.Duration) attempt.Reason {
	if c.outlastsHandover(now, sub, wait) {
		return attempt.ReasonLeaving
	}
	return c.infeasible(now, t, sub, wait)
}
