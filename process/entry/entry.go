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

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/quota"
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

// Options configure an Entry.
type Options struct {
	LogRetention         time.Duration // guaranteed retention of the log; 0: not known
	Node, Region, Domain string
	Token                string // fleet token
	HeaderBytes          int64  // limit on the header of a gate's response
	BodyBytes            int64  // limit on the body of a request
	Now                  func() time.Time
	Rand                 *rand.Rand
	Log                  zerolog.Logger
	Reporter             invariant.Reporter
	HTTPProfile          attempt.HTTPProfile
	HostService          string // service of the targets on this host
	// RetryShare is the share of first attempts that may be retried. 0: the
	// default of retry.Options.
	RetryShare float64
	// ShareLoads makes this entry use the loads that gates pass on, and pass on what
	// it knows through LoadsFor.
	ShareLoads bool
	// GateControlsRetries means that gates enforce the retry budget and handle the
	// errors of their targets, so this entry does neither.
	GateControlsRetries bool
	// HostRetryShare returns the share of the work in progress at the targets of this
	// host that is a retry. Calls of such work are retries too.
	HostRetryShare func() float64
	// HostRank returns the most urgent rank of the work that runs at the targets of this
	// host, calls with the rank that they inherited. Calls inherit it. It is false without any.
	HostRank func() (rank int, ok bool)
	// OnCalledRoom is called with the part that is left of the retry budget of a service
	// that targets of this host call, as one of its gates reports it.
	OnCalledRoom func(service string, room float64)
	// OnFailedRequest is called when a request, maybe a call of a target on this host,
	// ends with an error status, before its caller gets the last byte.
	OnFailedRequest func()
	// OnCallRefused is called when a call of a target on this host, or a call that it led to,
	// ends because it found no room, before the caller gets the last byte.
	OnCallRefused func()
	LogService    eventlog.Log // for the bindings of customer keys
	Record        func(record.Record)
	// OnRequestEnd is called when a request has ended, for metrics.
	OnRequestEnd func(service, class, customer string, outcome attempt.Outcome, reason attempt.Reason, duration time.Duration)

	// AccountBounds define by how much the fleet may exceed the limits of accounts. Zero:
	// the defaults of connection/quota.
	AccountBounds quota.Bounds
	// OnAccountRefused is called when a request is refused for the limit of its account.
	OnAccountRefused func()

	// Quarantined reports whether this node knows that a request digest is
	// quarantined. OnCrash receives each crash that a gate reports, so that this
	// node knows of it before gossip delivers it.
	Quarantined func(poison.Request) bool
	OnCrash     func(poison.Reports)

	// ConfigOutdated reports whether this node knows of a newer configuration than the one
	// in force. Default never.
	ConfigOutdated func() bool

	noVerify bool // for tests: responses of gates are not verified
}

// Entry serves requests of callers. It is safe for concurrent use.
type Entry struct {
	options        Options
	now            func() time.Time
	log            zerolog.Logger
	client         *roundtrip.Client
	attemptSuffix  atomic.Pointer[string] // ends the IDs of this entry's attempts; nil until Start
	routing        atomic.Pointer[routing]
	fleet          atomic.Pointer[fleet]
	bindings       *bindings
	accountQuota   *accountQuota
	sequence       atomic.Uint64
	activeRequests atomic.Int64
	draining       atomic.Bool
	drainTimes     atomic.Pointer[drainTimes] // nil unless a drain ends at a fixed time
	stopping       context.Context            // cancelled by EndWaitingRequests
	cancelWaiting  context.CancelFunc

	mu             sync.Mutex
	rand           *rand.Rand
	health         *health.Tracker
	selector       *selection.Selector
	limiter        *ratelimit.Limiter
	learner        *class.Learner
	keyIssuer      *order.KeyIssuer
	budgets        map[string]*retry.Budget
	activeAttempts map[uint64]*activeAttempt
	candidateCache map[string]cachedCandidates // by service
	demand         demand
	meanSizes      map[string]float64 // mean bytes of an exchange, by route
	lastProbes     map[string]time.Time
	failingUntil   map[failingKey]time.Time // when a target that its gate reported as failing is used again
	targetRates    map[string]targetRate    // by identity of the target
	callCounts     map[classKey]*admission.CallCounts

	viewMu  sync.Mutex // taken before mu; guards the replacement of fleet
	leaving leavingTargets
}

// Limits of the connections to gates.
const (
	// gateDialTimeout is twice the longest round trip between regions. A request
	// to an unreachable node waits this long before it tries another one.
	gateDialTimeout        = 200 * time.Millisecond
	maxIdleGateConnections = 256
	gateIdleTimeout        = 60 * time.Second
)

// New returns an entry that refuses requests until Start and SetConfig were called.
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
	if o.HostRetryShare == nil {
		o.HostRetryShare = func() float64 { return 0 }
	}
	if o.HostRank == nil {
		o.HostRank = func() (int, bool) { return 0, false }
	}
	if o.OnCalledRoom == nil {
		o.OnCalledRoom = func(string, float64) {}
	}
	if o.OnFailedRequest == nil {
		o.OnFailedRequest = func() {}
	}
	if o.OnCallRefused == nil {
		o.OnCallRefused = func() {}
	}
	if o.OnAccountRefused == nil {
		o.OnAccountRefused = func() {}
	}
	if o.Quarantined == nil {
		o.Quarantined = func(poison.Request) bool { return false }
	}
	if o.ConfigOutdated == nil {
		o.ConfigOutdated = func() bool { return false }
	}
	if o.OnCrash == nil {
		o.OnCrash = func(poison.Reports) {}
	}
	e := &Entry{
		options: o, now: o.Now, log: o.Log, rand: o.Rand,
		client: roundtrip.New(roundtrip.Options{
			DialTimeout: gateDialTimeout, IdleTimeout: gateIdleTimeout, MaxIdle: maxIdleGateConnections, HeaderBytes: o.HeaderBytes,
		}),
		health:         health.New(health.Options{}, o.Reporter),
		selector:       selection.New(selection.Options{Entry: o.Node, Domain: o.Domain, Region: o.Region, ShareLoads: o.ShareLoads}, o.Rand),
		limiter:        ratelimit.New(ratelimit.Options{}),
		learner:        class.NewLearner(class.LearnerOptions{}),
		keyIssuer:      order.NewKeyIssuer(order.KeyIssuerOptions{FleetToken: o.Token}, o.Rand),
		budgets:        map[string]*retry.Budget{},
		activeAttempts: map[uint64]*activeAttempt{},
		candidateCache: map[string]cachedCandidates{},
		demand:         newDemand(),
		lastProbes:     map[string]time.Time{},
		meanSizes:      map[string]float64{},
		failingUntil:   map[failingKey]time.Time{},
		targetRates:    map[string]targetRate{},
		callCounts:     map[classKey]*admission.CallCounts{},
		leaving:        leavingTargets{},
	}
	e.accountQuota = newAccountQuota(e)
	e.bindings = newBindings(e, order.Owner{Node: o.Node})
	e.stopping, e.cancelWaiting = context.WithCancel(context.Background())
	e.fleet.Store(newFleet(membership.View{}, nil))
	e.health.SetEntries(o.Node, 1)
	return e
}

// Start lets the entry serve requests under the incarnation of its node, which does
// not change after that.
func (e *Entry) Start(incarnation attempt.Incarnation) {
	e.bindings.reset(order.Owner{Node: e.options.Node, Incarnation: incarnation})
	e.accountQuota.start(incarnation)
	suffix := "/" + e.options.Node + "/" + incarnation.String()
	e.attemptSuffix.Store(&suffix)
}

// Close closes the idle connections to the gates.
func (e *Entry) Close() { e.client.Close() }

// Active returns the number of requests in progress.
func (e *Entry) Active() int64 { return e.activeRequests.Load() }

// budget returns the retry budget of a service. The caller holds e.mu.
func (e *Entry) budget(service string) *retry.Budget {
	b := e.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.Options{Share: e.options.RetryShare, Unlimited: e.options.GateControlsRetries})
		e.budgets[service] = b
	}
	return b
}

// hash returns the digest, keyed with the fleet token, that stands for a
// customer or an order key in records.
func (e *Entry) hash(kind, value string) string {
	if value == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(e.options.Token + "\x00" + kind + "\x00" + value))
	return hex.EncodeToString(sum[:8])
}

func (e *Entry) recordChange(now time.Time, kind record.Kind, change record.Change) {
	e.options.Record(record.Record{At: now, Node: e.options.Node, Kind: kind, Change: &change})
}

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	e.closeIfDraining(w.Header())
	q := &request{entry: e, callerResponse: w, callerRequest: r, start: e.now(), routing: e.routing.Load()}
	q.assignID()
	defer q.recordEnd()
	q.serve()
}
