package bench

import (
	"container/heap"
	"time"
)

// scheduler runs events in virtual time. Events at the same time run in the
// order in which they were added, so that a run is reproducible.
type scheduler struct {
	now          time.Time
	queue        eventQueue
	lastSequence int64
}

type event struct {
	at       time.Time
	sequence int64
	run      func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newScheduler() *scheduler { return &scheduler{now: epoch} }

// at runs f at time t, or at once when t has passed.
func (s *scheduler) at(t time.Time, f func()) {
	if t.Before(s.now) {
		t = s.now
	}
	s.lastSequence++
	heap.Push(&s.queue, &event{at: t, sequence: s.lastSequence, run: f})
}

// after runs f once d has passed.
func (s *scheduler) after(d time.Duration, f func()) { s.at(s.now.Add(d), f) }

// every runs f after each interval, starting one interval from now.
func (s *scheduler) every(interval time.Duration, f func()) {
	s.after(interval, func() {
		f()
		s.every(interval, f)
	})
}

// runUntil runs all events up to and including time end and sets now to end.
func (s *scheduler) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// elapsed returns the virtual time since the start.
func (s *scheduler) elapsed() time.Duration { return s.now.Sub(epoch) }
