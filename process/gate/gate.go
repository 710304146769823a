package gate

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/connection/breaker"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/class"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/request/retry"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// Options configure a Gate.
type Options struct {
	Node        string
	Token       string // fleet token
	HeaderBytes int64  // limit on the header of a target's response
	HTTPProfile attempt.HTTPProfile
	// RetryShare, AdditionalRetries and RetryWindow define the retry budget of each
	// service, which all its gates enforce together. With no additional retries,
	// entries enforce it.
	RetryShare        float64
	AdditionalRetries float64
	RetryWindow       time.Duration
	// QueuePerSlot limits the attempts that wait per slot of a target where the
	// configuration sets no limit. 0: the default of admission.Options.
	QueuePerSlot int
	Now          func() time.Time
	Rand         *rand.Rand
	Log          zerolog.Logger
	Reporter     invariant.Reporter
	// Record receives records of state changes.
	Record func(record.Record)
	// OnTargetsChanged is called after the announced targets changed.
	OnTargetsChanged func()
	// OnPoisonChanges is called with the changes that the poison tracker reports.
	OnPoisonChanges func([]poison.Change)
	// LoadsFor, if set, takes note of the load of a target of this gate and returns the
	// value of attempt.HeaderLoads for a response to the entry of a node, or "".
	LoadsFor func(node, service, target string, load attempt.Load) string

	skipVerification bool // for tests: forward responses of targets unverified
}

// Gate sends work to the targets of one host. It is safe for concurrent use.
type Gate struct {
	options    Options
	now        func() time.Time
	log        zerolog.Logger
	token      [sha256.Size]byte
	client     *roundtrip.Client
	peerMux    *http.ServeMux // requests of other nodes, except attempts
	workQueued chan struct{}  // signalled when work is queued; nothing receives it
	probes     singleflight.Group
	quota      atomic.Pointer[PeerQuota]

	mu                sync.Mutex
	rand              *rand.Rand
	config            *config.Config
	targets           map[string]*target
	withdrawals       withdrawals
	leaving           bool
	admission         *admission.Controller
	owner             order.Owner
	orders            *order.Registry // nil until Start
	poison            *poison.RequestTracker
	retryBudgets      map[string]*retry.Budget // by service
	calledRoom        retry.CalledRoom
	callers           class.Callers
	failedCalls       breaker.FailedCalls // requests of this host that failed at its entry
	refusedCalls      breaker.FailedCalls // those among them that are calls and found no room
	callThrottle      admission.CallThrottle
	ranked            bool           // the ranks of the configuration differ
	targetCounts      map[string]int // targets in the whole fleet, by service
	targetCountsSince time.Time      // when targetCounts was first set
	queued            map[admission.Ticket]chan admission.Decision
	queueStarted      chan struct{}                // wakes Serve when the first attempt is queued
	waitingRetries    map[attempt.ID]chan struct{} // closed when a waiting retry of an order may call Begin again
	active            map[attempt.ID]*exchange     // attempts queued or running
	refused           refusedRequests
}

// Limits of the connections to targets.
const (
	targetDialTimeout        = time.Second
	maxIdleTargetConnections = 128
	targetIdleTimeout        = 60 * time.Second
	// tickInterval is the time between ticks while work is queued. With an empty
	// queue idleInterval suffices: waking every 10 ms costs an idle gate 0.4 % of a core.
	tickInterval    = 10 * time.Millisecond
	idleInterval    = 100 * time.Millisecond
	cleanupInterval = time.Second
)

// New returns a gate without targets.
func New(o Options) *Gate {
	if o.HTTPProfile == (attempt.HTTPProfile{}) {
		o.HTTPProfile = attempt.DefaultHTTPProfile
	}
	if o.Record == nil {
		o.Record = func(record.Record) {}
	}
	if o.OnTargetsChanged == nil {
		o.OnTargetsChanged = func() {}
	}
	if o.OnPoisonChanges == nil {
		o.OnPoisonChanges = func([]poison.Change) {}
	}
	g := &Gate{
		options: o, now: o.Now, log: o.Log, rand: o.Rand, token: sha256.Sum256([]byte(o.Token)),
		client: roundtrip.New(roundtrip.Options{
			DialTimeout: targetDialTimeout, IdleTimeout: targetIdleTimeout, MaxIdle: maxIdleTargetConnections, HeaderBytes: o.HeaderBytes,
		}),
		workQueued:     make(chan struct{}, 1),
		targets:        map[string]*target{},
		withdrawals:    withdrawals{},
		admission:      admission.New(admission.Options{QueuePerSlot: o.QueuePerSlot}, o.Reporter),
		poison:         poison.NewRequestTracker(poison.Options{Node: o.Node}),
		queued:         map[admission.Ticket]chan admission.Decision{},
		queueStarted:   make(chan struct{}, 1),
		waitingRetries: map[attempt.ID]chan struct{}{},
		active:         map[attempt.ID]*exchange{},
		retryBudgets:   map[string]*retry.Budget{},
		refused:        refusedRequests{},
	}
	g.peerMux = g.newPeerMux()
	return g
}

// Start lets the gate accept attempts under the given incarnation, which must not
// change afterwards.
func (g *Gate) Start(incarnation attempt.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner = order.Owner{Node: g.options.Node, Incarnation: incarnation}
	g.orders = order.NewRegistry(order.Options{Self: g.owner}, g.options.Reporter)
}

func (g *Gate) started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.orders != nil
}

// Serve runs the gate's periodic work until ctx ends.
func (g *Gate) Serve(ctx context.Context) error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	var lastCleanup time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-g.queueStarted:
		}
		now := g.now()
		g.expireTargets(now)
		g.mu.Lock()
		g.deliver(g.admission.Tick(now))
		interval := idleInterval
		if len(g.queued) > 0 {
			interval = tickInterval
		}
		g.mu.Unlock()
		timer.Reset(interval)
		if now.Sub(lastCleanup) >= cleanupInterval {
			g.client.CloseExpired(time.Now())
			g.readHealthEndpoints(ctx, now)
			g.mu.Lock()
			g.refused.expire(now)
			if g.orders != nil {
				g.orders.Tick(now)
			}
			g.mu.Unlock()
			lastCleanup = now
		}
	}
}

// Close closes the connections to the targets.
func (g *Gate) Close() { g.client.Close() }

// SetConfig applies the limits and classes of a configuration.
func (g *Gate) SetConfig(c *config.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config = c
	g.ranked = c.RanksDiffer()
	configured := func(name string) bool {
		for _, s := range c.Services {
			if _, ok := s.Classes[name]; ok {
				return true
			}
		}
		return false
	}
	g.callers.Prune(configured)
	g.callThrottle.Prune(func(name string) bool { return g.ranked && configured(name) })
	now := g.now()
	for _, t := range g.targets {
		if !t.down {
			g.deliver(g.admission.SetTarget(now, g.admissionTarget(t)))
		}
	}
}

// admissionTarget returns the settings of a target for the admission controller.
// The caller holds g.mu.
func (g *Gate) admissionTarget(t *target) admission.Target {
	settings := admission.Target{ID: t.ID, Service: t.Service, Slots: t.Slots, Incarnation: t.Incarnation}
	if g.config == nil {
		return settings
	}
	service := g.config.Services[t.Service]
	settings.QueueLimit = service.QueueLimit
	settings.Classes = make(map[string]admission.Class, len(service.Classes))
	for name, c := range service.Classes {
		settings.Classes[name] = admission.Class{Priority: admission.ParsePriority(string(c.Priority)), Long: c.Long, Objective: time.Duration(c.Objective),
			Rank: attempt.CombinedRank(c.Rank, c.Rank)}
	}
	return settings
}

// deliver sends admission decisions to the exchanges that wait for them. The caller
// holds g.mu.
func (g *Gate) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if ch := g.queued[decision.Ticket]; ch != nil {
			delete(g.queued, decision.Ticket)
			ch <- decision
		}
	}
}

// wakeRetries lets waiting retries of an order call Registry.Begin again. The caller
// holds g.mu.
func (g *Gate) wakeRetries(ids []attempt.ID) {
	for _, id := range ids {
		if ch := g.waitingRetries[id]; ch != nil {
			delete(g.waitingRetries, id)
			close(ch)
		}
	}
}

// BeginDrain makes the gate accept only work that ends in time until the handover ends.
// A repeated call changes the times.
func (g *Gate) BeginDrain(h admission.Handover) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admission.BeginDrain(g.now(), h))
}

// DrainAll makes the gate refuse queued and further work. Running work finishes.
func (g *Gate) DrainAll() {
	g.mu.Lock()
	g.leaving = true
	drained := g.admission.DrainAll(g.now())
	g.deliver(drained.Refused)
	g.mu.Unlock()
	g.options.OnTargetsChanged()
}

// Running returns the number of attempts queued or in progress.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// MergePoison merges other nodes' reports of requests that crash targets.
func (g *Gate) MergePoison(reports poison.Reports) {
	g.mu.Lock()
	changes := g.poison.Merge(g.now(), reports)
	g.mu.Unlock()
	g.reportPoisonChanges(changes)
}

// Quarantined reports whether a request is refused because it crashed targets.
func (g *Gate) Quarantined(r poison.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Quarantined(g.now(), r)
}

// PoisonReports returns this gate's reports of requests that crash targets.
func (g *Gate) PoisonReports() poison.Reports {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Reports(g.now())
}

// Usage returns the size of the registry of order keys.
func (g *Gate) Usage() order.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.orders == nil {
		return order.Usage{}
	}
	return g.orders.Usage()
}

// authorized reports whether a peer sent the fleet token. It compares in constant time.
func (g *Gate) authorized(r *http.Request) bool {
	sum := sha256.Sum256([]byte(r.Header.Get(attempt.HeaderFleet)))
	return subtle.ConstantTimeCompare(sum[:], g.token[:]) == 1
}
