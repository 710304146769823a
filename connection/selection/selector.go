package selection

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/loadview"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Selector chooses targets for one entry. It is not safe for concurrent use.
type Selector struct {
	options    Options
	rand       *rand.Rand
	services   map[string]*service
	targets    map[string]*member
	loadCounts loadview.Counts
}

// Tiers of targets by their distance from this entry.
const (
	ownDomain = iota
	ownRegion
	otherRegion
	tierCount
)

type service struct {
	candidates []Candidate          // from which the subset was chosen
	members    []*member            // the subset
	byTier     [tierCount][]*member // the subset by tier
	view       *loadview.View       // nil unless loads are shared
}

// member is a target of a subset with its known load.
type member struct {
	candidate    Candidate
	tier         int
	inFlight     int // short requests of this entry
	inFlightLong int // long requests of this entry
	slots        float64
	// otherLoad is the number of requests of other entries at the last report, and
	// otherLongLoad that of the long ones.
	otherLoad     float64
	otherLongLoad float64
	reportedAt    time.Time
	// freeSlot is set when the last report showed a free slot and no short work
	// in the queue.
	freeSlot bool
	// known is the load of the target in the view of its service, and starts are the
	// times of the last short and long requests of this entry.
	known  loadview.Known
	view   *loadview.View   // nil unless loads are shared
	starts *[2]recentStarts // nil unless loads are shared
}

// New returns a Selector without candidates.
func New(o Options, r *rand.Rand) *Selector {
	return &Selector{options: o.withDefaults(), rand: r, services: map[string]*service{}, targets: map[string]*member{}}
}

// SetCandidates replaces the known targets of all services. Loads and counts of
// requests in flight are kept. A service whose candidates are the same in the
// same order costs only a comparison.
func (s *Selector) SetCandidates(_ time.Time, candidates []Candidate) {
	byService := map[string][]Candidate{}
	for _, c := range candidates {
		byService[c.Service] = append(byService[c.Service], c)
	}
	previous, previousServices := s.targets, s.services
	s.targets = make(map[string]*member, len(previous))
	s.services = make(map[string]*service, len(byService))
	for name, ofService := range byService {
		svc := previousServices[name]
		if svc == nil || !slices.Equal(svc.candidates, ofService) {
			s.services[name] = s.buildService(ofService, previous, svc)
			continue
		}
		s.services[name] = svc
		for _, m := range svc.members {
			s.targets[m.candidate.Target] = m
		}
	}
	for id, m := range previous {
		if s.targets[id] == nil && m.inFlight+m.inFlightLong > 0 {
			s.targets[id] = m // Finished must find it until its requests have ended
		}
	}
}

// buildService chooses the subset of a service and keeps the members that were
// known before.
func (s *Selector) buildService(candidates []Candidate, previous map[string]*member, previousService *service) *service {
	svc := &service{candidates: candidates}
	// Leaving targets take no place in the subset.
	staying := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Leaving })
	for _, c := range subset(s.options.Entry, s.options.Domain, s.options.SubsetSize, staying, !s.options.disabled.spread) {
		m := previous[c.Target]
		if m == nil {
			m = &member{}
		}
		if m.candidate.ColdSince != c.ColdSince || m.slots == 0 {
			m.slots, m.otherLoad, m.otherLongLoad = float64(max(c.Slots, 1)), 0, 0
			m.known = loadview.Known{}
		}
		m.candidate, m.tier = c, s.tierOf(c)
		s.targets[c.Target] = m
		svc.members = append(svc.members, m)
		svc.byTier[m.tier] = append(svc.byTier[m.tier], m)
	}
	if s.options.ShareLoads {
		svc.buildView(previousService)
	}
	return svc
}

func (s *Selector) tierOf(c Candidate) int {
	switch {
	case s.options.disabled.local || c.Domain == s.options.Domain:
		return ownDomain
	case c.Region == s.options.Region:
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
		list[i] = m.candidate
	}
	return list
}

// ObserveLoad records the load of a target that its gate reported with a response.
func (s *Selector) ObserveLoad(now time.Time, target string, load attempt.Load) {
	m := s.targets[target]
	if m == nil {
		return
	}
	m.slots = float64(max(load.Limit, 1))
	m.otherLoad = math.Max(float64(load.Running+load.Queued-load.QueuedLong-m.inFlight), 0)
	m.otherLongLoad = math.Max(float64(load.RunningLong+load.QueuedLong-m.inFlightLong), 0)
	m.freeSlot = load.Queued == load.QueuedLong && load.Running < load.Limit
	m.reportedAt = now
	m.known.Observe(now, load)
}

// Started counts an attempt that was sent to the target as in flight.
func (s *Selector) Started(now time.Time, target string, long bool) {
	if m := s.targets[target]; m != nil {
		*m.inFlightCount(long)++
		if m.starts != nil {
			m.recentStarts(long).add(now)
		}
	}
}

// Finished ends an attempt that Started counted.
func (s *Selector) Finished(target string, long bool) {
	if m := s.targets[target]; m != nil && *m.inFlightCount(long) > 0 {
		*m.inFlightCount(long)--
	}
}

// inFlightCount returns the counter of this entry's long or short requests in
// flight.
func (m *member) inFlightCount(long bool) *int {
	if long {
		return &m.inFlightLong
	}
	return &m.inFlight
}

// load returns the known number of requests per slot that new work competes with.
// For short work these are all running requests and the waiting short ones; for
// long work, the running and waiting long ones. Overdue requests of this entry,
// which seem to hang, are left out.
func (s *Selector) load(now time.Time, m *member, long bool, overdue int) float64 {
	if estimate, ok := s.estimate(now, m, long, overdue); ok {
		return estimate.Mean
	}
	inFlight, otherLoad := m.inFlight, m.otherLoad
	if long {
		inFlight, otherLoad = m.inFlightLong, m.otherLongLoad
	}
	if otherLoad > 0 {
		age := now.Sub(m.reportedAt)
		otherLoad *= math.Exp2(-float64(age) / float64(s.options.LoadHalfLife))
	}
	if s.options.disabled.reported {
		otherLoad = 0
	}
	return (float64(max(inFlight-overdue, 0)) + otherLoad) / m.slots
}

// tierCosts returns the cost that is added to the load of targets in each tier.
func (s *Selector) tierCosts(remoteCostFactor float64) [tierCount]float64 {
	return [tierCount]float64{ownRegion: remoteCostFactor * s.options.RemoteDomainCost, otherRegion: remoteCostFactor * s.options.RemoteRegionCost}
}

// cost returns the load of a target plus the cost of its tier.
func (s *Selector) cost(now time.Time, m *member, q *Query, st *health.State) float64 {
	return s.drawLoad(now, m, q.Long, st.Overdue) + s.tierCosts(q.RemoteCostFactor)[m.tier]
}

// slowStartWeight returns the weight of a target, which grows from SlowStartShare
// to 1 during its slow start.
func (s *Selector) slowStartWeight(now time.Time, m *member) float64 {
	if m.candidate.SlowStart <= 0 || m.candidate.ColdSince.IsZero() || s.options.disabled.slowStart {
		return 1
	}
	age := float64(now.Sub(m.candidate.ColdSince)) / float64(m.candidate.SlowStart)
	return math.Min(math.Max(s.options.SlowStartShare+(1-s.options.SlowStartShare)*age, s.options.SlowStartShare), 1)
}
