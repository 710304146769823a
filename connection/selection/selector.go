package selection

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Selector chooses targets for one entry. It is not safe for concurrent use.
type Selector struct {
	o        Options
	rand     *rand.Rand
	services map[string]*service
	targets  map[string]*member
}

// Distance of a target from this entry.
const (
	ownDomain = iota
	ownRegion
	otherRegion
	tiers
)

type service struct {
	source  []Candidate      // of which the subset was taken
	members []*member        // the subset
	byTier  [tiers][]*member // the same without leaving ones
}

// member is a target of a subset with what is known of its load.
type member struct {
	c            Candidate
	tier         int
	inFlight     int // own short requests
	inFlightLong int // own long requests
	slots        float64
	// others is the load of other entries at the last report.
	others     float64
	othersLong float64 // long ones among them
	reportedAt time.Time
	// free is set when the last report showed an idle slot and no queue.
	free bool
}

// New returns a Selector without candidates.
func New(o Options, r *rand.Rand) *Selector {
	return &Selector{o: o.withDefaults(), rand: r, services: map[string]*service{}, targets: map[string]*member{}}
}

// SetCandidates replaces the known targets of all services. Loads and requests
// in flight are kept. A service whose candidates are the same, in the same
// order, costs a comparison only.
func (s *Selector) SetCandidates(_ time.Time, cs []Candidate) {
	byService := map[string][]Candidate{}
	for _, c := range cs {
		byService[c.Service] = append(byService[c.Service], c)
	}
	old, services := s.targets, s.services
	s.targets = make(map[string]*member, len(old))
	s.services = make(map[string]*service, len(byService))
	for name, list := range byService {
		svc := services[name]
		if svc == nil || !slices.Equal(svc.source, list) {
			s.services[name] = s.build(list, old)
			continue
		}
		s.services[name] = svc
		for _, m := range svc.members {
			s.targets[m.c.Target] = m
		}
	}
	for id, m := range old {
		if s.targets[id] == nil && m.inFlight+m.inFlightLong > 0 {
			s.targets[id] = m // Finished must find it
		}
	}
}

func (s *Selector) build(cs []Candidate, old map[string]*member) *service {
	svc := &service{source: cs}
	// Leaving targets take no place of the subset from others.
	staying := slices.DeleteFunc(slices.Clone(cs), func(c Candidate) bool { return c.Leaving })
	for _, c := range subset(s.o.Entry, s.o.Domain, s.o.SubsetSize, staying, !s.o.off.spread) {
		m := old[c.Target]
		if m == nil {
			m = &member{}
		}
		if m.c.ColdSince != c.ColdSince || m.slots == 0 {
			m.slots, m.others, m.othersLong = float64(max(c.Slots, 1)), 0, 0
		}
		m.c, m.tier = c, s.tierOf(c)
		s.targets[c.Target] = m
		svc.members = append(svc.members, m)
		svc.byTier[m.tier] = append(svc.byTier[m.tier], m)
	}
	return svc
}

func (s *Selector) tierOf(c Candidate) int {
	switch {
	case s.o.off.local || c.Domain == s.o.Domain:
		return ownDomain
	case c.Region == s.o.Region:
		return ownRegion
	default:
		return otherRegion
	}
}

// Subset returns the targets of a service that this entry uses.
func (s *Selector) Subset(serviceID string) []Candidate {
	svc := s.services[serviceID]
	if svc == nil {
		return nil
	}
	list := make([]Candidate, len(svc.members))
	for i, m := range svc.members {
		list[i] = m.c
	}
	return list
}

// ObserveLoad takes the load that a gate reported with an answer.
func (s *Selector) ObserveLoad(now time.Time, target string, l attempt.Load) {
	m := s.targets[target]
	if m == nil {
		return
	}
	m.slots = float64(max(l.Limit, 1))
	m.others = math.Max(float64(l.Running+l.Queued-l.QueuedLong-m.inFlight), 0)
	m.othersLong = math.Max(float64(l.RunningLong+l.QueuedLong-m.inFlightLong), 0)
	m.free = l.Queued == l.QueuedLong && l.Running < l.Limit
	m.reportedAt = now
}

// Started counts an attempt sent to the target.
func (s *Selector) Started(target string, long bool) {
	if m := s.targets[target]; m != nil {
		*m.own(long)++
	}
}

// Finished counts the end of an attempt that Started counted.
func (s *Selector) Finished(target string, long bool) {
	if m := s.targets[target]; m != nil && *m.own(long) > 0 {
		*m.own(long)--
	}
}

// own returns the number of own requests of one kind in flight.
func (m *member) own(long bool) *int {
	if long {
		return &m.inFlightLong
	}
	return &m.inFlight
}

// load is the number of requests per slot, as far as known, that short work
// competes with: all that run, and the short ones that wait. For long work it
// is the number of long requests that run and wait. Own requests that seem to
// hang (overdue) do not count.
func (s *Selector) load(now time.Time, m *member, long bool, overdue int) float64 {
	own, others := m.inFlight, m.others
	if long {
		own, others = m.inFlightLong, m.othersLong
	}
	if others > 0 {
		age := now.Sub(m.reportedAt)
		others *= math.Exp2(-float64(age) / float64(s.o.LoadHalfLife))
	}
	if s.o.off.reported {
		others = 0
	}
	return (float64(max(own-overdue, 0)) + others) / m.slots
}

// distances returns the cost of each tier.
func (s *Selector) distances(scale float64) [tiers]float64 {
	return [tiers]float64{ownRegion: scale * s.o.RemoteDomainCost, otherRegion: scale * s.o.RemoteRegionCost}
}

// cost is the load with the distance of the target.
func (s *Selector) cost(now time.Time, m *member, q *Query, st *health.State) float64 {
	return s.load(now, m, q.Long, st.Overdue) + s.distances(q.RemoteCostFactor)[m.tier]
}

// warmth is the slow-start weight.
func (s *Selector) warmth(now time.Time, m *member) float64 {
	if m.c.SlowStart <= 0 || m.c.ColdSince.IsZero() || s.o.off.slowStart {
		return 1
	}
	age := float64(now.Sub(m.c.ColdSince)) / float64(m.c.SlowStart)
	return math.Min(math.Max(s.o.SlowStartShare+(1-s.o.SlowStartShare)*age, s.o.SlowStartShare), 1)
}
