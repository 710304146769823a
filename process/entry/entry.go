package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/ratelimit"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/class"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/request/retry"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Options of an Entry.
type Options struct {
	LogRetention         time.Duration // the log certainly keeps records so long; 0: not known
	Node, Region, Domain string
	Token                string // fleet token
	HeaderBytes          int64  // bound on the header of a gate's answer
	BodyBytes            int64  // bound on the body of a request
	Now                  func() time.Time
	Rand                 *rand.Rand
	Log                  zerolog.Logger
	Reporter             invariant.Reporter
	HTTPProfile          attempt.HTTPProfile
	HostService          string // service of the targets on this host
	// RetryShare is the share of first attempts that may be sent again. 0: the
	// default of retry.Options.
	RetryShare float64
	// GateControlsRetries tells that gates keep the budget of retries and judge the errors
	// of their targets, so that this entry does neither.
	GateControlsRetries bool
	LogService          eventlog.Log // for the bindings of foreign order keys
	Record              func(record.Record)
	// OnRequestEnd counts an ended request.
	OnRequestEnd func(service, class, customer string, o attempt.Outcome, r attempt.Reason, d time.Duration)

	// Quarantined reports what this node knows of a request digest, and Crashed
	// takes the crash that a gate reported, so that this node knows of it
	// before gossip does.
	Quarantined func(poison.RequestDigest) bool
	OnCrash     func(poison.Report)

	noVerify bool // test switch: answers of gates are not verified
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	o        Options
	now      func() time.Time
	log      zerolog.Logger
	client   *roundtrip.Client
	suffix   atomic.Pointer[string] // end of the identity of this entry's attempts; nil until Start
	routing  atomic.Pointer[routing]
	fleet    atomic.Pointer[fleet]
	bindings *bindings
	sequence atomic.Uint64
	active   atomic.Int64
	closing  atomic.Bool
	ending   context.Context // ended by EndWaitingRequests
	end      context.CancelFunc

	mu       sync.Mutex
	rand     *rand.Rand
	health   *health.Tracker
	selector *selection.Selector
	limiter  *ratelimit.Limiter
	learner  *class.Learner
	minter   *order.KeyIssuer
	budgets  map[string]*retry.Budget
	tries    map[uint64]*try
	evidence map[string]evidence // by service
	demand   demand
	sizes    map[string]float64 // mean bytes of an exchange by route
	probing  map[string]time.Time
	failing  map[string]time.Time // targets out of rotation by their gates' word, until when
}

// Bounds of the connections to gates.
const (
	// gateDialTimeout is twice the longest way there and back between regions.
	// A request to a node that is cut off waits for it before it asks another.
	gateDialTimeout = 200 * time.Millisecond
	gateIdle        = 256
	gateIdleTimeout = 60 * time.Second
)

// New returns an entry that refuses requests until it has a configuration.
func New(o Options) *Entry {
	if o.HTTPProfile == (attempt.HTTPProfile{}) {
		o.HTTPProfile = attempt.DefaultHTTPProfile
	}
	if o.Record == nil {
		o.Record = func(record.Record) {}
	}
	if o.OnRequestEnd == nil {
		o.OnRequestEnd = func(string, string, string, attempt.Outcome, attempt.Reason, time.Duration) {}
	}
	if o.Quarantined == nil {
		o.Quarantined = func(poison.RequestDigest) bool { return false }
	}
	if o.OnCrash == nil {
		o.OnCrash = func(poison.Report) {}
	}
	e := &Entry{
		o: o, now: o.Now, log: o.Log, rand: o.Rand,
		client: roundtrip.New(roundtrip.Options{
			DialTimeout: gateDialTimeout, IdleTimeout: gateIdleTimeout, MaxIdle: gateIdle, HeaderBytes: o.HeaderBytes,
		}),
		health:   health.New(health.Options{}, o.Reporter),
		selector: selection.New(selection.Options{Entry: o.Node, Domain: o.Domain, Region: o.Region}, o.Rand),
		limiter:  ratelimit.New(ratelimit.Options{}),
		learner:  class.NewLearner(class.LearnerOptions{}),
		minter:   order.NewKeyIssuer(order.KeyIssuerOptions{FleetToken: o.Token}, o.Rand),
		budgets:  map[string]*retry.Budget{},
		tries:    map[uint64]*try{},
		evidence: map[string]evidence{},
		demand:   newDemand(),
		probing:  map[string]time.Time{},
		sizes:    map[string]float64{},
		failing:  map[string]time.Time{},
	}
	e.bindings = newBindings(e, order.Owner{Node: o.Node})
	e.ending, e.end = context.WithCancel(context.Background())
	e.fleet.Store(newFleet(membership.View{}))
	e.health.SetEntries(o.Node, 1)
	return e
}

// Start lets the entry take requests under the incarnation of its node, which
// is final from then on.
func (e *Entry) Start(i attempt.Incarnation) {
	e.bindings.restart(order.Owner{Node: e.o.Node, Incarnation: i})
	suffix := "/" + e.o.Node + "/" + i.String()
	e.suffix.Store(&suffix)
}

// Close closes the idle connections to the gates.
func (e *Entry) Close() { e.client.Close() }

// Active returns the number of requests in progress.
func (e *Entry) Active() int64 { return e.active.Load() }

// Drain makes answers close their connections, so that callers go elsewhere.
func (e *Entry) Drain() { e.closing.Store(true) }

// budget returns the retry budget of a service. e.mu is held.
func (e *Entry) budget(service string) *retry.Budget {
	b := e.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.Options{Share: e.o.RetryShare, Unlimited: e.o.GateControlsRetries})
		e.budgets[service] = b
	}
	return b
}

// hash returns the form in which records name customers and order keys: a
// digest keyed with the fleet token.
func (e *Entry) hash(kind, text string) string {
	if text == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(e.o.Token + "\x00" + kind + "\x00" + text))
	return hex.EncodeToString(sum[:8])
}

func (e *Entry) recordChange(now time.Time, kind record.Kind, c record.Change) {
	e.o.Record(record.Record{At: now, Node: e.o.Node, Kind: kind, Change: &c})
}

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.closing.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	q := &request{e: e, w: w, r: r, start: e.now(), routing: e.routing.Load()}
	q.identify()
	defer q.finish()
	q.serve()
}
