package selection

import (
	"time"

	"github.com/hyssopsill/hyssopsill/connection/loadview"
)

// recentStarts holds the times of the last requests that this entry sent to a target. It
// keeps the last few only: a load that is passed on is at most two seconds old.
type recentStarts struct {
	times [16]time.Time
	next  int
}

func (r *recentStarts) add(at time.Time) {
	r.times[r.next] = at
	r.next = (r.next + 1) % len(r.times)
}

// countSince returns the number of starts at or after t. A request that starts at the time of
// a gate's report counts, since the gate made the report before this entry got it.
func (r *recentStarts) countSince(t time.Time) (n int) {
	for _, at := range r.times {
		if !at.IsZero() && !at.Before(t) {
			n++
		}
	}
	return n
}

func (m *member) recentStarts(long bool) *recentStarts {
	if long {
		return &m.starts[1]
	}
	return &m.starts[0]
}

// hasFreeSlot reports whether the last known load showed a free slot.
func (m *member) hasFreeSlot() bool {
	if m.view != nil && m.known.At.After(m.reportedAt) {
		return m.known.Load < 1
	}
	return m.freeSlot
}

// buildView builds the view of a service from its candidates and members. previous is the
// service before its candidates changed, or nil.
func (svc *service) buildView(previous *service) {
	known := make(map[string]*loadview.Known, len(svc.members))
	for _, m := range svc.members {
		known[m.candidate.Target] = &m.known
		m.known.Domain = m.candidate.Domain
	}
	all := make([]string, len(svc.candidates))
	for i := range svc.candidates {
		all[i] = svc.candidates[i].Target
	}
	svc.view = loadview.NewView(known, all)
	if previous != nil {
		svc.view.Adopt(previous.view)
	}
	for _, m := range svc.members {
		if m.view = svc.view; m.starts == nil {
			m.starts = &[2]recentStarts{}
		}
	}
}

// ObserveServiceTime records the time of a short request at its target, without queueing.
func (s *Selector) ObserveServiceTime(target string, d time.Duration) {
	if m := s.targets[target]; m != nil && m.view != nil {
		m.view.ObserveServiceTime(d)
	}
}

// MergeLoads takes over the loads of a service's targets that a gate passed on.
func (s *Selector) MergeLoads(now time.Time, serviceID, header string) {
	if svc := s.services[serviceID]; svc != nil && svc.view != nil {
		s.loadCounts.Add(svc.view.Merge(now, header))
	}
}

// FreshestLoads returns the freshest known loads of a service's targets, without the target
// except, in the form of attempt.HeaderLoads. It returns "" when it knows none that is
// fresh enough.
func (s *Selector) FreshestLoads(now time.Time, serviceID, except string) string {
	if svc := s.services[serviceID]; svc != nil && svc.view != nil {
		return svc.view.Freshest(now, except)
	}
	return ""
}

const (
	// failingTime is the time for which a target is left out after its circuit breaker
	// refused a request of any entry, failingTimeIdempotent that for idempotent work, of
	// which breakers admit a trial each second at least.
	failingTime           = time.Second
	failingTimeIdempotent = 500 * time.Millisecond
)

// ObserveFailing records that the circuit breaker of a target refused a request, so that
// other entries learn of it.
func (s *Selector) ObserveFailing(now time.Time, target string) {
	if m := s.targets[target]; m != nil && m.view != nil {
		m.known.ObserveFailing(now)
	}
}

// KnownFailing reports whether a circuit breaker refused a request of any entry so recently
// that this one would be refused too.
func (s *Selector) KnownFailing(now time.Time, target string, idempotent bool) bool {
	m := s.targets[target]
	if m == nil || m.view == nil || !m.known.Failing {
		return false
	}
	limit := failingTime
	if idempotent {
		limit = failingTimeIdempotent
	}
	return now.Sub(m.known.At) < limit
}

// LoadCounts returns the counts of the loads that gates passed on.
func (s *Selector) LoadCounts() loadview.Counts { return s.loadCounts }

// estimate returns what is known of the load per slot of a target from the responses of all
// entries, plus what this entry has sent since. It reports false when nothing is known of
// the service or loads are not shared.
func (s *Selector) estimate(now time.Time, m *member, long bool, overdue int) (loadview.Estimate, bool) {
	if m.view == nil {
		return loadview.Estimate{}, false
	}
	e, ok := m.view.Estimate(now, &m.known, long, m.slots, s.options.LoadHalfLife)
	if !ok {
		return e, false
	}
	inFlight := max(*m.inFlightCount(long)-overdue, 0)
	e.Mean += float64(min(inFlight, m.recentStarts(long).countSince(m.known.At))) / m.slots
	e.Mean = max(e.Mean, float64(inFlight)/m.slots)
	return e, true
}

// drawLoad returns a load drawn from the estimate of a target. Entries that know the same
// old loads and take the least of them would all choose the same targets.
func (s *Selector) drawLoad(now time.Time, m *member, long bool, overdue int) float64 {
	e, ok := s.estimate(now, m, long, overdue)
	if !ok {
		return s.load(now, m, long, overdue)
	}
	return max(e.Mean+e.Deviation*s.rand.NormFloat64(), 0)
}
