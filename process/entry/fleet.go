package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/quota"
	"github.com/hyssopsill/hyssopsill/connection/ratelimit"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/account"
	"github.com/hyssopsill/hyssopsill/request/class"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// routing is a configuration with its route table. It is immutable.
type routing struct {
	config   *config.Config
	table    *class.RouteTable
	accounts *account.Table
	ranked   bool // the ranks of requests may differ, so they are sent to the gates
	limits   map[string]quota.Limit
	held     map[string][]quota.HeldLimit // limits that this version lowered
}

// limit returns the limit that applies to an account now.
func (r *routing) limit(now time.Time, account string) quota.Limit {
	return quota.Effective(now, r.held[account], r.limits[account])
}

// hasIdempotent reports whether a service has a class of idempotent work.
func (r *routing) hasIdempotent(service string) bool {
	for _, c := range r.config.Services[service].Classes {
		if c.Idempotent {
			return true
		}
	}
	return false
}

// gateTarget is a target with the node whose gate serves it.
type gateTarget struct {
	key       string // unique in the fleet; two nodes may announce the same target ID
	info      membership.Target
	member    *membership.Member
	nodeState membership.NodeState
}

func (t gateTarget) leaving() bool { return t.info.Leaving || t.nodeState == membership.NodeLeaving }

// fleet is a membership view indexed by node and target. It is immutable.
type fleet struct {
	view       membership.View
	members    map[string]*membership.Member
	targets    map[string]gateTarget
	targetKeys []string // keys of targets, in the order of the view
	entryCount int
	// incarnations are the nodes that may know bindings of customer keys. One that
	// others take for dead may still run.
	incarnations []order.Owner
}

func newFleet(v membership.View, leaving leavingTargets) *fleet {
	f := &fleet{view: v, members: make(map[string]*membership.Member, len(v.Members)), targets: map[string]gateTarget{}}
	for i := range v.Members {
		member := &v.Members[i]
		f.members[member.Node] = member
		if member.State != membership.NodeLeft {
			f.incarnations = append(f.incarnations, order.Owner{Node: member.Node, Incarnation: member.Incarnation})
		}
		if member.State == membership.NodeDead || member.State == membership.NodeLeft {
			continue
		}
		f.entryCount++
		for _, t := range member.Targets {
			key := gate.TargetKey(member.Node, t.ID)
			if _, duplicate := f.targets[key]; !duplicate {
				f.targetKeys = append(f.targetKeys, key)
			}
			t.Leaving = t.Leaving || leaving.has(t.ID, t.Incarnation)
			f.targets[key] = gateTarget{key: key, info: t, member: member, nodeState: member.State}
		}
	}
	return f
}

// SetConfig replaces the configuration.
func (e *Entry) SetConfig(c *config.Config) {
	routes := make([]class.Route, len(c.Routes))
	routeIDs := map[string]bool{}
	for i, r := range c.Routes {
		routes[i] = class.Route{ID: r.ID, Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods, Service: r.Service, Class: r.Class, Public: r.Public, Blocked: r.Blocked}
		for _, s := range r.Split {
			routes[i].Split = append(routes[i].Split, class.SplitShare{Service: s.Service, Weight: s.Weight})
		}
		routeIDs[r.ID] = true
	}
	limits := map[string]ratelimit.Limits{}
	for name, s := range c.Services {
		limits[name] = ratelimit.Limits{
			Rate: s.MaxRate, Concurrency: s.MaxConcurrency, CustomerRate: s.CustomerRate,
			CustomerBurst: s.CustomerBurst, CustomerConcurrency: s.CustomerConcurrency,
		}
	}
	next := &routing{config: c, table: class.NewRouteTable(routes), accounts: accountTable(c), ranked: c.RanksDiffer(), limits: accountLimits(c)}
	if last := e.routing.Load(); last != nil {
		next.held = quota.HoldLowered(e.now(), e.options.AccountBounds.Window, last.held, last.limits, next.limits)
	}
	e.routing.Store(next)
	e.mu.Lock()
	e.limiter.SetServices(e.now(), limits)
	maps.DeleteFunc(e.callCounts, func(k classKey, _ *admission.CallCounts) bool {
		_, ok := c.Services[k.service].Classes[k.class]
		return !ok
	})
	maps.DeleteFunc(e.meanSizes, func(id string, _ float64) bool { return !routeIDs[id] })
	e.learner.Prune(func(id string) bool { return routeIDs[id] })
	for name := range e.budgets {
		if _, ok := c.Services[name]; !ok {
			delete(e.budgets, name)
		}
	}
	e.mu.Unlock()
	e.refresh()
}

// SetView replaces the view of the nodes and their targets. Most views differ from
// the last one in reports and versions only. SetView only compares those, and does
// not compute the subsets of the services again.
func (e *Entry) SetView(v membership.View) {
	e.viewMu.Lock()
	defer e.viewMu.Unlock()
	if sameFleet(e.fleet.Load().view, v) {
		return
	}
	e.fleet.Store(newFleet(v, e.leaving))
	e.refresh()
}

// sameFleet reports whether two views agree in all fields that an entry uses.
func sameFleet(a, b membership.View) bool {
	return a.Self == b.Self && slices.EqualFunc(a.Members, b.Members, func(x, y membership.Member) bool {
		return x.Node == y.Node && x.Region == y.Region && x.Domain == y.Domain && x.Incarnation == y.Incarnation &&
			x.State == y.State && x.DataAddress == y.DataAddress && sameTargets(x.Targets, y.Targets)
	})
}

func sameTargets(a, b []membership.Target) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] { // views share unchanged slices
		return true
	}
	return slices.EqualFunc(a, b, func(x, y membership.Target) bool {
		sameTime := x.AnnouncedAt.Equal(y.AnnouncedAt)
		x.AnnouncedAt = y.AnnouncedAt
		return sameTime && x == y
	})
}

// refresh passes the configuration and the known targets to the selector, the
// health tracker and the limiter.
func (e *Entry) refresh() {
	f, r := e.fleet.Load(), e.routing.Load()
	now := e.now()
	candidates := make([]selection.Candidate, 0, len(f.targetKeys))
	services := map[string]bool{}
	for _, key := range f.targetKeys {
		target := f.targets[key]
		c := selection.Candidate{
			Target: key, Node: target.member.Node, Domain: target.member.Domain, Region: target.member.Region, Service: target.info.Service,
			Slots: target.info.Slots, Leaving: target.leaving(), ColdSince: target.info.AnnouncedAt,
		}
		if r != nil {
			c.SlowStart = time.Duration(r.config.Services[target.info.Service].SlowStart)
		}
		candidates = append(candidates, c)
		services[target.info.Service] = true
	}
	e.mu.Lock()
	maps.DeleteFunc(e.targetRates, func(_ string, r targetRate) bool { return now.Sub(r.at) >= rateMemory })
	e.selector.SetCandidates(now, candidates)
	var infos []health.TargetInfo
	for service := range services {
		for _, c := range e.selector.Subset(service) {
			info := health.TargetInfo{ID: c.Target, Node: c.Node, Domain: c.Domain, Service: service,
				Incarnation: f.targets[c.Target].info.Incarnation, Floor: config.DefaultFloor}
			if r != nil {
				if s, ok := r.config.Services[service]; ok {
					info.Floor = s.Floor
				}
			}
			infos = append(infos, info)
		}
	}
	targetChanges := e.health.SetTargets(now, infos)
	e.health.SetEntries(e.options.Node, f.entryCount)
	e.limiter.SetDefaultShare(now, 1/float64(max(1, f.entryCount)))
	clear(e.candidateCache)
	changes := e.endAffectedAttempts(targetChanges)
	e.mu.Unlock()
	e.handleHealthChanges(now, changes)
}

// demand measures the requests per second of each service at this entry.
type demand struct {
	counts map[string]float64
	rates  map[string]float64
	at     time.Time
}

// demandHalfLife is the time in which a past rate loses half of its weight. It is
// short enough for shares to converge within the 5 s that the design allows.
const demandHalfLife = time.Second

func newDemand() demand { return demand{counts: map[string]float64{}, rates: map[string]float64{}} }

func (d *demand) tick(now time.Time) {
	elapsed := now.Sub(d.at)
	if d.at.IsZero() || elapsed <= 0 {
		d.at = now
		return
	}
	d.at = now
	decay := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	for service, n := range d.counts {
		d.rates[service] = d.rates[service]*decay + n/elapsed.Seconds()*(1-decay)
		if n == 0 && d.rates[service] < 1e-3 {
			delete(d.rates, service)
			delete(d.counts, service)
			continue
		}
		d.counts[service] = 0
	}
}

// Demand returns the recent requests per second at this entry of each service with limits
// that the entries divide by demand. The demand of other services is not needed elsewhere:
// it changes each second, and would take up the budget of reports that gossip carries.
func (e *Entry) Demand() map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	rates := maps.Clone(e.demand.rates)
	maps.DeleteFunc(rates, func(service string, _ float64) bool { return !e.limiter.DividesLimits(service) })
	return rates
}

// SetShares sets this entry's share of each service's demand.
func (e *Entry) SetShares(shares map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.SetShares(e.now(), shares)
}
