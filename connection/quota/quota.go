package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	// ReportInterval is the time between two reports of a Meter.
	ReportInterval = 100 * time.Millisecond
	// VerdictTTL is the time for which a verdict applies after it was received.
	VerdictTTL = 3 * time.Second
	// PushInterval is the time between two pushes of a verdict below 1.
	PushInterval = 500 * time.Millisecond
	// CallTimeout is the time after which a message without a response is lost.
	CallTimeout = 500 * time.Millisecond

	// hedgeDelay is the time without a response after which reports also go to the next
	// owner. It is above the usual round trip; a failover takes 0.9 s, in which a hot
	// account may exceed its bound.
	hedgeDelay     = 200 * time.Millisecond
	reporterMemory = 30 * time.Second // for which an owner pushes verdicts to an entry that reported demand
	idleAccount    = 2 * time.Minute  // after which an account without requests is dropped from memory
)

// Defaults of Bounds.
const (
	DefaultWindow  = 5 * time.Second
	DefaultOverage = 0.1
	DefaultSlack   = 20
)

// Bounds define by how much the fleet may exceed the limit of an account: in each
// window at most (rate × Window + burst) × (1 + Overage) + Slack requests run.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit is the limit of one account over the whole fleet.
type Limit struct {
	Rate  float64 // requests/s; 0: no limit
	Burst float64 // requests
}

// InWindow returns the number of requests that may run in one window.
func (b Bounds) InWindow(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// reserveShare is the part of the permitted excess that requests may use before they
// are refused, so that random peaks of an account below its limit pass. The rest is for
// requests that run before a verdict arrives.
const reserveShare = 0.25

func (b Bounds) reserve(l Limit) float64 {
	return reserveShare * (b.InWindow(l) - l.Rate*b.Window.Seconds() - l.Burst)
}

// Decision says whether a request is admitted.
type Decision struct {
	Allowed    bool
	RetryAfter time.Duration // with a refusal: when a further request may be admitted
}

// Counts are numbers of requests of one account at one entry since some time before the
// first report. They never decrease within one incarnation.
type Counts struct {
	Admitted int64 `json:"a,omitempty"`
	Refused  int64 `json:"r,omitempty"`
	Returned int64 `json:"u,omitempty"` // admitted requests that ended without having run
}

func (c Counts) minus(o Counts) Counts {
	return Counts{c.Admitted - o.Admitted, c.Refused - o.Refused, c.Returned - o.Returned}
}

// net returns the number of requests that ran or still run.
func (c Counts) net() int64 { return c.Admitted - c.Returned }

func (c Counts) atLeast(o Counts) Counts {
	return Counts{max(c.Admitted, o.Admitted), max(c.Refused, o.Refused), max(c.Returned, o.Returned)}
}

// Report is a message of an entry to an owner.
type Report struct {
	Entry       string              `json:"entry"`
	Incarnation attempt.Incarnation `json:"incarnation"`
	// Age is the time since the entry started, in milliseconds, while that is shorter than
	// the window. What it admitted before is not known to it.
	Age      int64           `json:"age,omitempty"`
	Accounts []AccountReport `json:"accounts"`
}

// AccountReport holds the counts of one account.
type AccountReport struct {
	Account string `json:"n"`
	Counts  Counts `json:"c"`
	// Acked are the counts that some owner has acknowledged. An owner without a record
	// of this entry charges only what is beyond them.
	Acked Counts `json:"k"`
	// Share is the entry's verdict if it is below 1.
	Share *float64 `json:"s,omitempty"`
	// Recent are the requests of the last window, admitted minus returned, in steps, newest
	// first. They are sent to an owner that has not acknowledged this entry's last report.
	Recent []int32 `json:"h,omitempty"`
	// Hedge marks a report to the next node in the hash order while the owner is silent.
	Hedge bool `json:"b,omitempty"`
	// Made is that of the verdict behind Share if the recipient made it. The recipient may
	// have restarted since.
	Made int64 `json:"m,omitempty"`
}

// Verdict is the share of an account's requests, 0 to 1, that entries admit.
type Verdict struct {
	Account string  `json:"n"`
	Share   float64 `json:"s"`
	// Made orders the verdicts of one owner, also across its restarts: Unix nanoseconds.
	Made int64 `json:"m"`
	// Hedge is set by a node that got hedged reports only. The verdict of the owner comes
	// first while it applies: it rests on the whole demand.
	Hedge bool `json:"b,omitempty"`
}

// Verdicts is the response to a Report, and a push of an owner to an entry.
type Verdicts struct {
	Owner    string    `json:"owner"`
	Verdicts []Verdict `json:"verdicts,omitempty"`
	// Unknown are reported accounts for which the owner had no record of the entry and got
	// no Recent: it has restarted since it acknowledged the entry.
	Unknown []string `json:"unknown,omitempty"`
}

// Owner picks the node that counts an account by a rendezvous hash. It returns "" if
// there are no nodes.
func Owner(account string, nodes []string) string {
	return pick(xxhash.Sum64String(account), hashNodes(nodes), anyNode)
}

type node struct {
	name string
	hash uint64
}

func hashNodes(names []string) []node {
	out := make([]node, len(names))
	for i, name := range names {
		out[i] = node{name, xxhash.Sum64String(name)}
	}
	return out
}

func anyNode(node) bool { return true }

// pick returns the first node in the hash order of an account for which allowed is true.
func pick(account uint64, nodes []node, allowed func(node) bool) string {
	best, highest := "", uint64(0)
	for _, n := range nodes {
		if w := weight(account, n.hash); (best == "" || w > highest || (w == highest && n.name < best)) && allowed(n) {
			best, highest = n.name, w
		}
	}
	return best
}

// weight mixes the hashes of an account and a node by the finalizer of splitmix64.
func weight(account, node uint64) uint64 {
	x := account ^ (node + 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// bucket is a token bucket whose level may go below zero.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 { // a clock that steps back earns no tokens
		b.level += elapsed.Seconds() * rate
		b.at = now
	}
	b.level = min(b.level, burst)
}

// average is a moving average of a rate with exponentially decreasing weights.
type average struct {
	perSecond, pending float64
	at                 time.Time
}

// minAverageStep is the shortest time over which a rate is taken: reports of many entries
// arrive within microseconds of each other.
const minAverageStep = 50 * time.Millisecond

func (a *average) add(now time.Time, n float64, tau time.Duration) {
	a.pending += n
	if a.at.IsZero() {
		a.at = now.Add(-ReportInterval) // the first report covers about one interval
	}
	elapsed := now.Sub(a.at)
	if elapsed < minAverageStep {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(tau))
	a.perSecond += (a.pending/elapsed.Seconds() - a.perSecond) * weight
	a.pending, a.at = 0, now
}
