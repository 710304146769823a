package gate

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/request/retry"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// Options of a Gate.
type Options struct {
	Node        string
	Token       string // fleet token
	HeaderBytes int64  // bound on the header of a target's answer
	HTTPProfile attempt.HTTPProfile
	// RetryShare, RetrySlack and RetryWindow are the budget of repeats for each
	// service, kept by all its gates together. A slack of 0 means that entries
	// keep it.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QueuePerSlot is the work that may wait per slot of a target where the
	// configuration names no limit. 0: the default of admission.Options.
	QueuePerSlot int
	Now          func() time.Time
	Rand         *rand.Rand
	Log          zerolog.Logger
	Reporter     invariant.Reporter
	// Record takes changes of state.
	Record func(record.Record)
	// OnTargetsChanged is called after the announced targets changed.
	OnTargetsChanged func()
	// OnPoisonChanges is called with what the attribution of crashes found.
	OnPoisonChanges func([]poison.Change)

	noVerify bool // test switch: answers of targets are not verified
}

// Gate serves the targets of one host. It is safe for concurrent use.
type Gate struct {
	o      Options
	now    func() time.Time
	log    zerolog.Logger
	token  [sha256.Size]byte
	client *roundtrip.Client
	peer   *http.ServeMux // requests of peers other than attempts
	busy   chan struct{}  // work begins to wait
	probes singleflight.Group

	mu        sync.Mutex
	rand      *rand.Rand
	config    *config.Config
	targets   map[string]*target
	leaving   bool
	admission *admission.Controller
	self      order.Owner
	orders    *order.Registry // nil until Start
	poison    *poison.Tracker
	repeats   map[string]*retry.Budget // by service
	sharers   map[string]int           // targets of each service in the fleet
	since     time.Time                // of sharers
	queued    map[admission.Ticket]chan admission.Decision
	hasQueue  chan struct{}                // work was queued where none was
	waiting   map[attempt.ID]chan struct{} // repeats of an order in progress
	active    map[attempt.ID]*exchange     // attempts queued or running
}

// Bounds of the connections to targets.
const (
	targetDialTimeout = time.Second
	targetIdle        = 128
	targetIdleTimeout = 60 * time.Second
	// tickInterval is the time between ticks while work is queued. Without it
	// idleInterval suffices: a gate that woke each 10 ms cost 0.4 % of a core.
	tickInterval   = 10 * time.Millisecond
	idleInterval   = 100 * time.Millisecond
	expireInterval = time.Second
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
		o: o, now: o.Now, log: o.Log, rand: o.Rand, token: sha256.Sum256([]byte(o.Token)),
		client: roundtrip.New(roundtrip.Options{
			DialTimeout: targetDialTimeout, IdleTimeout: targetIdleTimeout, MaxIdle: targetIdle, HeaderBytes: o.HeaderBytes,
		}),
		busy:      make(chan struct{}, 1),
		targets:   map[string]*target{},
		admission: admission.New(admission.Options{QueuePerSlot: o.QueuePerSlot}, o.Reporter),
		poison:    poison.New(poison.Options{Node: o.Node}),
		queued:    map[admission.Ticket]chan admission.Decision{},
		hasQueue:  make(chan struct{}, 1),
		waiting:   map[attempt.ID]chan struct{}{},
		active:    map[attempt.ID]*exchange{},
		repeats:   map[string]*retry.Budget{},
	}
	g.peer = g.peerMux()
	return g
}

// Start lets the gate take attempts under its incarnation, which is final from
// then on.
func (g *Gate) Start(i attempt.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self = order.Owner{Node: g.o.Node, Incarnation: i}
	g.orders = order.NewRegistry(order.Options{Self: g.self}, g.o.Reporter)
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
	var expired time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-g.hasQueue:
		}
		now := g.now()
		g.expire(now)
		g.mu.Lock()
		g.deliver(g.admission.Tick(now))
		next := idleInterval
		if len(g.queued) > 0 {
			next = tickInterval
		}
		g.mu.Unlock()
		timer.Reset(next)
		if now.Sub(expired) >= expireInterval {
			g.client.CloseExpired(time.Now())
			g.readHints(ctx, now)
			g.mu.Lock()
			if g.orders != nil {
				g.orders.Tick(now)
			}
			g.mu.Unlock()
			expired = now
		}
	}
}

// Close closes the connections to the targets.
func (g *Gate) Close() { g.client.Close() }

// SetConfig puts the limits and classes of a configuration in force.
func (g *Gate) SetConfig(c *config.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config = c
	now := g.now()
	for _, t := range g.targets {
		if !t.down {
			g.deliver(g.admission.SetTarget(now, g.admissionTarget(t)))
		}
	}
}

// admissionTarget returns the settings of a target. g.mu is held.
func (g *Gate) admissionTarget(t *target) admission.Target {
	at := admission.Target{ID: t.ID, Service: t.Service, Slots: t.Slots, Incarnation: t.Incarnation}
	if g.config == nil {
		return at
	}
	service := g.config.Services[t.Service]
	at.QueueLimit = service.QueueLimit
	at.Classes = make(map[string]admission.Class, len(service.Classes))
	for name, c := range service.Classes {
		at.Classes[name] = admission.Class{Priority: admission.ParsePriority(string(c.Priority)), Long: c.Long, Objective: time.Duration(c.Objective)}
	}
	return at
}

// deliver hands decisions to the waiting exchanges. g.mu is held.
func (g *Gate) deliver(ds []admission.Decision) {
	for _, d := range ds {
		if ch := g.queued[d.Ticket]; ch != nil {
			delete(g.queued, d.Ticket)
			ch <- d
		}
	}
}

// wake lets repeats of an order ask again. g.mu is held.
func (g *Gate) wake(ids []attempt.ID) {
	for _, id := range ids {
		if ch := g.waiting[id]; ch != nil {
			delete(g.waiting, id)
			close(ch)
		}
	}
}

// DrainAll makes the gate refuse all further work.
func (g *Gate) DrainAll() {
	g.mu.Lock()
	g.leaving = true
	res := g.admission.DrainAll(g.now())
	g.deliver(res.Refused)
	g.mu.Unlock()
	g.o.OnTargetsChanged()
}

// Running returns the number of attempts queued or in progress.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// MergePoison takes in what other nodes know of requests that crash targets.
func (g *Gate) MergePoison(rs []poison.Report) {
	g.mu.Lock()
	changes := g.poison.Merge(g.now(), rs)
	g.mu.Unlock()
	g.poisonChanged(changes)
}

// Quarantined reports whether requests of the digest are refused.
func (g *Gate) Quarantined(d poison.RequestDigest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Quarantined(g.now(), d)
}

// PoisonReports returns what this gate knows of requests that crash targets.
func (g *Gate) PoisonReports() []poison.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Reports(g.now())
}

// Usage returns the memory in use by order keys.
func (g *Gate) Usage() order.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.orders == nil {
		return order.Usage{}
	}
	return g.orders.Usage()
}

// authorized compares the fleet token of a peer in constant time.
func (g *Gate) authorized(r *http.Request) bool {
	sum := sha256.Sum256([]byte(r.Header.Get(attempt.HeaderFleet)))
	return subtle.ConstantTimeCompare(sum[:], g.token[:]) == 1
}
