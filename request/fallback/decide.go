package fallback

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRefusals is the number of healthy targets that may refuse a request in one round
	// before it queues at one of them. More would cost a round trip each, and the best of
	// four random targets is nearly as good as the best of all.
	maxRefusals = 4
	// retryDelay is the time before targets that refused are tried again, about the time
	// in which one of their slots becomes free.
	retryDelay = 80 * time.Millisecond
	// waitShare is the part of its objective for which a request waits without a place in
	// a queue. A caller that is rejected early still has time for something else.
	waitShare = 0.125
	// minRetryAfter is the shortest time after which a rejected caller is asked to return.
	minRetryAfter = 100 * time.Millisecond
)

// Refusal is the refusal of one target in the current round.
type Refusal struct {
	Target  string
	Failing bool          // the target fails; otherwise it has no room
	Late    bool          // it had no room although the request may miss its objective
	Wait    time.Duration // until the target expects to have room, or to be tried again
}

// Request describes a request without a target.
type Request struct {
	Start, Deadline time.Time
	Objective       time.Duration // 0: none
	// ServiceTime is the usual time of the work, 0 when it is not known.
	ServiceTime time.Duration
	// Called marks work that a running request waits for, which fails with it.
	Called bool
	// Refusals are those of the current round. A round ends with a Wait.
	Refusals []Refusal

	noLateQueue bool // for tests: no QueueLate, and Force without regard to healthy targets
}

// Step is what happens to a request.
type Step int

const (
	Reject    Step = iota // not run; the caller may return after RetryAfter
	Wait                  // try all targets again after Delay
	QueueLate             // queue at Target although the objective will be missed
	Force                 // send to a failing target, as there is no other
)

// Decision is the next step of a request.
type Decision struct {
	Step       Step
	Target     string        // of QueueLate
	Delay      time.Duration // of Wait
	RetryAfter time.Duration // of Reject; 0 when not known
}

// Exhausted reports whether so many healthy targets refused that trying others first is
// not worth its time.
func Exhausted(refusals []Refusal) bool {
	n := 0
	for _, r := range refusals {
		if !r.Failing {
			n++
		}
	}
	return n >= maxRefusals
}

// Decide returns the next step of a request that all targets in rotation refused. It is
// Reject without any refusal.
func Decide(now time.Time, q Request, random *rand.Rand) Decision {
	var queue, shortest *Refusal
	failing := false
	for i := range q.Refusals {
		r := &q.Refusals[i]
		if r.Failing {
			failing = true
			continue
		}
		if shortest == nil || r.Wait < shortest.Wait {
			shortest = r
		}
		if !r.Late && !q.triedLate(r.Target) && now.Add(r.Wait+q.ServiceTime).Before(q.Deadline) && (queue == nil || r.Wait < queue.Wait) {
			queue = r
		}
	}
	switch {
	case q.noLateQueue && failing:
		return Decision{Step: Force}
	case queue != nil && !q.noLateQueue:
		return Decision{Step: QueueLate, Target: queue.Target}
	case len(q.Refusals) > 0 && q.mayWait(now):
		return Decision{Step: Wait, Delay: retryDelay}
	case failing && q.Called:
		return Decision{Step: Force}
	case shortest != nil:
		return Decision{Step: Reject, RetryAfter: q.retryAfter(now, shortest.Wait, random)}
	case failing:
		return Decision{Step: Force}
	}
	return Decision{Step: Reject}
}

// triedLate reports whether the target refused the request although it may be late.
func (q *Request) triedLate(target string) bool {
	for i := range q.Refusals {
		if q.Refusals[i].Late && q.Refusals[i].Target == target {
			return true
		}
	}
	return false
}

// mayWait reports whether the request may wait without a place in a queue.
func (q *Request) mayWait(now time.Time) bool {
	objective := q.Objective
	if objective == 0 {
		objective = q.Deadline.Sub(q.Start)
	}
	limit := time.Duration(waitShare * float64(objective))
	return now.Sub(q.Start)+retryDelay < limit && q.Deadline.Sub(now) > q.ServiceTime+retryDelay
}

// retryAfter spreads the callers that were rejected over twice the time in which room is
// expected. A caller that has used more of its time returns earlier.
func (q *Request) retryAfter(now time.Time, wait time.Duration, random *rand.Rand) time.Duration {
	left := float64(q.Deadline.Sub(now)) / float64(max(1, q.Deadline.Sub(q.Start)))
	spread := time.Duration((1 + random.Float64()) * min(max(left, 0), 1) * float64(wait))
	return max(minRetryAfter, spread)
}
