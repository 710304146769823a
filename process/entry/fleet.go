package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/ratelimit"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/class"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// routing is a configuration in the form that requests need. It is immutable.
type routing struct {
	config *config.Config
	table  *class.RouteTable
}

// hasIdempotent reports whether a service has a class whose work may be run
// again.
func (r *routing) hasIdempotent(service string) bool {
	for _, c := range r.config.Services[service].Classes {
		if c.Idempotent {
			return true
		}
	}
	return false
}

// located is a target with the node that serves it.
type located struct {
	key    string // unique in the fleet, as two nodes may announce the same identity
	target membership.Target
	member *membership.Member
	node   membership.NodeState
}

func (l located) leaving() bool { return l.target.Leaving || l.node == membership.NodeLeaving }

// fleet is the view of the nodes in the form that requests need. It is
// immutable.
type fleet struct {
	view    membership.View
	members map[string]*membership.Member
	targets map[string]located
	keys    []string // of targets, in the order of the view
	entries int
}

func newFleet(v membership.View) *fleet {
	f := &fleet{view: v, members: make(map[string]*membership.Member, len(v.Members)), targets: map[string]located{}}
	for i := range v.Members {
		m := &v.Members[i]
		f.members[m.Node] = m
		if m.State == membership.NodeDead || m.State == membership.NodeLeft {
			continue
		}
		f.entries++
		for _, t := range m.Targets {
			key := gate.TargetKey(m.Node, t.ID)
			if _, again := f.targets[key]; !again {
				f.keys = append(f.keys, key)
			}
			f.targets[key] = located{key: key, target: t, member: m, node: m.State}
		}
	}
	return f
}

// SetConfig puts a configuration in force.
func (e *Entry) SetConfig(c *config.Config) {
	routes := make([]class.Route, len(c.Routes))
	ids := map[string]bool{}
	for i, r := range c.Routes {
		routes[i] = class.Route{ID: r.ID, Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods, Service: r.Service, Class: r.Class}
		for _, s := range r.Split {
			routes[i].Split = append(routes[i].Split, class.Share{Service: s.Service, Weight: s.Weight})
		}
		ids[r.ID] = true
	}
	limits := map[string]ratelimit.Limits{}
	for name, s := range c.Services {
		limits[name] = ratelimit.Limits{
			Rate: s.MaxRate, Concurrency: s.MaxConcurrency, CustomerRate: s.CustomerRate,
			CustomerBurst: s.CustomerBurst, CustomerConcurrency: s.CustomerConcurrency,
		}
	}
	e.routing.Store(&routing{config: c, table: class.NewRouteTable(routes)})
	e.mu.Lock()
	e.limiter.SetServices(e.now(), limits)
	maps.DeleteFunc(e.sizes, func(id string, _ float64) bool { return !ids[id] })
	e.learner.Prune(func(id string) bool { return ids[id] })
	for name := range e.budgets {
		if _, ok := c.Services[name]; !ok {
			delete(e.budgets, name)
		}
	}
	e.mu.Unlock()
	e.refresh()
}

// SetView replaces what is known of the nodes and their targets. Most views
// differ from the last one in reports and versions only; they cost a comparison
// and not the choice of all subsets.
func (e *Entry) SetView(v membership.View) {
	if sameFleet(e.fleet.Load().view, v) {
		return
	}
	e.fleet.Store(newFleet(v))
	e.refresh()
}

// sameFleet reports whether two views agree in all that an entry uses.
func sameFleet(a, b membership.View) bool {
	return a.Self == b.Self && slices.EqualFunc(a.Members, b.Members, func(x, y membership.Member) bool {
		return x.Node == y.Node && x.Region == y.Region && x.Domain == y.Domain && x.Incarnation == y.Incarnation &&
			x.State == y.State && x.DataAddress == y.DataAddress && sameTargets(x.Targets, y.Targets)
	})
}

func sameTargets(a, b []membership.Target) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] { // views share what did not change
		return true
	}
	return slices.EqualFunc(a, b, func(x, y membership.Target) bool {
		sameTime := x.AnnouncedAt.Equal(y.AnnouncedAt)
		x.AnnouncedAt = y.AnnouncedAt
		return sameTime && x == y
	})
}

// refresh passes the configuration and the known targets to the decision
// packages.
func (e *Entry) refresh() {
	f, r := e.fleet.Load(), e.routing.Load()
	now := e.now()
	candidates := make([]selection.Candidate, 0, len(f.keys))
	services := map[string]bool{}
	for _, key := range f.keys {
		l := f.targets[key]
		c := selection.Candidate{
			Target: key, Node: l.member.Node, Domain: l.member.Domain, Region: l.member.Region, Service: l.target.Service,
			Slots: l.target.Slots, Leaving: l.leaving(), ColdSince: l.target.AnnouncedAt,
		}
		if r != nil {
			c.SlowStart = time.Duration(r.config.Services[l.target.Service].SlowStart)
		}
		candidates = append(candidates, c)
		services[l.target.Service] = true
	}
	e.mu.Lock()
	e.selector.SetCandidates(now, candidates)
	var infos []health.TargetInfo
	for service := range services {
		for _, c := range e.selector.Subset(service) {
			info := health.TargetInfo{ID: c.Target, Node: c.Node, Domain: c.Domain, Service: service,
				Incarnation: f.targets[c.Target].target.Incarnation, Floor: config.DefaultFloor}
			if r != nil {
				if s, ok := r.config.Services[service]; ok {
					info.Floor = s.Floor
				}
			}
			infos = append(infos, info)
		}
	}
	changes := e.health.SetTargets(now, infos)
	e.health.SetEntries(e.o.Node, f.entries)
	e.limiter.SetDefaultShare(now, 1/float64(max(1, f.entries)))
	clear(e.evidence)
	actions := e.take(changes)
	e.mu.Unlock()
	e.act(now, actions)
}

// demand measures the requests/s per service at this entry.
type demand struct {
	counts map[string]float64
	rates  map[string]float64
	at     time.Time
}

// demandHalfLife is the time in which a past rate loses half of its weight, so
// that shares converge within the 5 s that the design allows.
const demandHalfLife = time.Second

func newDemand() demand { return demand{counts: map[string]float64{}, rates: map[string]float64{}} }

func (d *demand) tick(now time.Time) {
	passed := now.Sub(d.at)
	if d.at.IsZero() || passed <= 0 {
		d.at = now
		return
	}
	d.at = now
	keep := math.Exp2(-float64(passed) / float64(demandHalfLife))
	for service, n := range d.counts {
		d.rates[service] = d.rates[service]*keep + n/passed.Seconds()*(1-keep)
		if n == 0 && d.rates[service] < 1e-3 {
			delete(d.rates, service)
			delete(d.counts, service)
			continue
		}
		d.counts[service] = 0
	}
}

// Demand returns the recent requests/s per service at this entry.
func (e *Entry) Demand() map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.demand.rates)
}

// SetShares sets this entry's share of each service's demand.
func (e *Entry) SetShares(shares map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.SetShares(e.now(), shares)
}
