package selection

import "time"

// MemberLoad is what a Selector knows of the load of a target that it uses.
type MemberLoad struct {
	Target    string
	Own       int           // requests of this entry in flight, of the kind asked for
	Load      float64       // requests per slot, as the next choice estimates them
	Deviation float64       // of Load; 0 unless loads are shared
	Age       time.Duration // of the last known load; negative: none is known
}

// MemberLoads returns what is known of the loads of a service's targets, for short or long
// work. It changes nothing.
func (s *Selector) MemberLoads(now time.Time, serviceID string, long bool) []MemberLoad {
	svc := s.services[serviceID]
	if svc == nil {
		return nil
	}
	list := make([]MemberLoad, len(svc.members))
	for i, m := range svc.members {
		at := m.reportedAt
		if m.view != nil {
			at = m.known.At
		}
		e, _ := s.estimate(now, m, long, 0) // zero unless loads are shared
		l := MemberLoad{Target: m.candidate.Target, Own: *m.inFlightCount(long), Load: s.load(now, m, long, 0), Deviation: e.Deviation, Age: -1}
		if !at.IsZero() {
			l.Age = max(now.Sub(at), 0)
		}
		list[i] = l
	}
	return list
}
