package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// LedgerOptions configure a Ledger.
type LedgerOptions struct {
	Node   string
	Bounds Bounds
	// OnChange is called when the share of an account falls below 1 and when it is 1
	// again.
	OnChange func(Change)

	// Each switch turns one mechanism off, for the tests that show which failure it
	// prevents.
	noCorrection, noReserve, noPush, reportersOnly, fullAtTakeover, ignoreReachable, noHold, addCounts, ignoreAcked, ignoreReturned, noHistory, fullAtStart bool
}

// Change is a change of an account's share.
type Change struct {
	Account   string
	Share     float64
	Demand    float64 // requests/s
	Limit     Limit
	Throttled bool
}

// Ledger counts the accounts that a node owns. It is not safe for concurrent use.
type Ledger struct {
	options   LedgerOptions
	reachable float64 // share of the known nodes that respond
	accounts  map[string]*ledgerAccount
	throttled map[string]*ledgerAccount // with a share below 1, or with a push to do
	nextSweep time.Time
	startedAt time.Time
	foreignAt time.Time // last report of another node
}

type ledgerAccount struct {
	name       string
	limit      Limit
	bucket     bucket
	recent     history // of all entries
	demand     average
	entries    map[string]*reporter
	share      float64
	pushedAt   time.Time
	pushedAll  bool // the last push went to all nodes
	pushDue    bool
	reportedAt time.Time
	createdAt  time.Time
	ownedAt    time.Time // since when this node counts the account; after createdAt if it was taken over again
	// ceiling bounds the share for a time after a takeover.
	ceiling      float64
	ceilingUntil time.Time
}

type reporter struct {
	incarnation attempt.Incarnation
	counts      Counts
	demand      average
	reportedAt  time.Time
	demandAt    time.Time // when it last reported new requests
	told        float64   // the last share that it was told
	toldAt      time.Time
	lostAt      time.Time // when a push failed; zero since its last report
	lostDemand  float64
}

const (
	// horizon is the time until a verdict takes effect: a report interval and two messages.
	horizon = 300 * time.Millisecond
	// correctionTime is the time in which a level beyond the target is corrected. It is
	// several times the horizon, so that the share does not oscillate.
	correctionTime = time.Second
	// takeoverGap is the time without reports after which a record of an account is out of
	// date: another node may have counted it.
	takeoverGap = 2 * time.Second
	// holdTime is the time for which the demand of an entry that a push did not reach is
	// still expected, and a new owner does not exceed the share of its predecessor. After
	// that, membership knows which nodes respond: in a partition of a third of 108 nodes
	// each node sends one ping a second, a third of which fail.
	holdTime = 10 * time.Second

	minDemandTime, maxDemandTime = 300 * time.Millisecond, 2 * time.Second
	demandRequests               = 10 // that the demand is averaged over, if the time allows
	entryDemandFactor            = 5  // an entry sees only a part of the requests
)

// NewLedger returns a Ledger without accounts.
func NewLedger(o LedgerOptions) *Ledger {
	if o.OnChange == nil {
		o.OnChange = func(Change) {}
	}
	return &Ledger{options: o, reachable: 1, accounts: map[string]*ledgerAccount{}, throttled: map[string]*ledgerAccount{}}
}

// SetReachable sets how many of the known nodes respond, as membership sees it. Owners on
// both sides of a partition each take their side's part of a limit. isolated means that no
// owner responds to the entry of this node, which then has its own part only, unless other
// nodes still report to it: with one-way loss it would apply the part of one node to all.
func (l *Ledger) SetReachable(now time.Time, responding, known int, isolated bool) {
	if l.options.ignoreReachable {
		return
	}
	if isolated && now.Sub(l.foreignAt) >= takeoverGap {
		responding = 1
	}
	l.reachable = float64(max(1, responding)) / float64(max(1, responding, known))
}

// Report applies a report of an entry and returns the verdicts for it. limits returns
// the limit of an account, which has none if the rate is 0.
func (l *Ledger) Report(now time.Time, r Report, limits func(account string) Limit) Verdicts {
	if r.Entry != l.options.Node {
		l.foreignAt = now
	}
	l.start(now)
	out := Verdicts{Owner: l.options.Node}
	for i := range r.Accounts {
		reported := &r.Accounts[i]
		limit := limits(reported.Account)
		if limit.Rate <= 0 {
			l.drop(reported.Account)
			continue
		}
		a := l.account(now, reported, limit)
		e := a.entries[r.Entry]
		if e != nil && r.Incarnation.Compare(e.incarnation) < 0 {
			continue
		}
		l.inherit(now, a, reported)
		if e == nil && len(reported.Recent) == 0 && reported.Acked != (Counts{}) {
			out.Unknown = append(out.Unknown, a.name)
		}
		e = l.charge(now, a, e, r, reported)
		l.update(now, a)
		if a.share < 1 || (e.told < 1 && now.Sub(e.toldAt) < VerdictTTL+CallTimeout) {
			e.told, e.toldAt = a.share, now
			out.Verdicts = append(out.Verdicts, a.verdict(now))
		}
	}
	return out
}

// account returns the record of an account. Hedges do not make this node the owner.
func (l *Ledger) account(now time.Time, r *AccountReport, limit Limit) *ledgerAccount {
	name := r.Account
	a := l.accounts[name]
	if a == nil {
		a = &ledgerAccount{name: name, entries: map[string]*reporter{}, share: 1, createdAt: now, ownedAt: now}
		a.bucket = bucket{level: l.earned(limit, now.Sub(l.startedAt)) * l.reachable, at: now}
		l.accounts[name] = a
	} else if now.Sub(a.reportedAt) > takeoverGap {
		a.ownedAt = now
		if l.options.fullAtTakeover {
			a.bucket.level = limit.Burst * l.reachable
		}
	}
	a.limit = limit
	if !r.Hedge {
		a.reportedAt = now
	}
	return a
}

func (l *Ledger) start(now time.Time) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
}

// earned returns the level of a bucket that was empty when a process started. What the
// processes before it admitted is not known when the owner or an entry started within the
// last window: after a restart of all nodes a window would otherwise have two bursts. The
// reserve remains, as random peaks of small accounts are refused without it.
func (l *Ledger) earned(limit Limit, age time.Duration) float64 {
	if l.options.fullAtStart || age >= l.options.Bounds.Window {
		return limit.Burst
	}
	return min(limit.Burst, limit.Rate*max(0, age.Seconds()))
}

func (a *ledgerAccount) verdict(now time.Time) Verdict {
	return Verdict{a.name, a.share, now.UnixNano(), now.Sub(a.reportedAt) > takeoverGap}
}

// inherit takes over the share that another owner, or this node before a restart, gave an
// entry: the bucket is empty, and the share is not raised until it is known how much of
// the demand reaches this owner.
func (l *Ledger) inherit(now time.Time, a *ledgerAccount, r *AccountReport) {
	share, own := r.Share, r.Made >= a.createdAt.UnixNano()
	if own || r.Hedge || share == nil || !(*share >= 0 && *share < 1) || now.Sub(a.ownedAt) > VerdictTTL || l.options.fullAtTakeover {
		return
	}
	if now.Before(a.ceilingUntil) {
		a.ceiling = min(a.ceiling, *share)
		return
	}
	a.bucket.level = min(a.bucket.level, 0)
	a.ceiling, a.ceilingUntil = max(*share, 0.01), now.Add(holdTime)
	a.demand.perSecond = max(a.demand.perSecond, a.limit.Rate/a.ceiling)
}

// charge applies the counts of one entry to the bucket and the demand.
func (l *Ledger) charge(now time.Time, a *ledgerAccount, e *reporter, r Report, reported *AccountReport) *reporter {
	base := reported.Acked
	if l.options.ignoreAcked {
		base = Counts{}
	}
	var previous *Counts
	if e != nil && r.Incarnation == e.incarnation {
		previous = new(e.counts)
		if !l.options.addCounts {
			base = base.atLeast(*previous)
		}
	} else {
		before := e
		e = &reporter{incarnation: r.Incarnation, told: 1}
		if before != nil {
			e.told, e.toldAt = before.told, before.toldAt
		}
		a.entries[r.Entry] = e
		if r.Age > 0 && now.Sub(a.createdAt) < l.options.Bounds.Window {
			a.bucket.level = min(a.bucket.level, l.earned(a.limit, time.Duration(r.Age)*time.Millisecond))
		}
	}
	e.counts = reported.Counts.atLeast(base)
	delta := e.counts.minus(base)
	if l.options.ignoreReturned {
		delta.Returned = 0
	}
	requests := float64(delta.Admitted + delta.Refused)
	e.reportedAt, e.lostAt = now, time.Time{}
	if requests > 0 {
		e.demandAt = now
	}
	part := l.part(now, a)
	a.bucket.refill(now, a.limit.Rate*part, a.limit.Burst*part)
	a.recent.advance(stepOf(now, l.options.Bounds.Window))
	if len(reported.Recent) > 0 && !l.options.noHistory && !l.options.fullAtTakeover {
		l.replay(now, a, reported, previous)
	} else {
		a.recent.steps[a.recent.newest%historySteps] += int32(delta.net())
		a.bucket.level -= float64(delta.net())
	}
	a.demand.add(now, requests, demandTime(a.limit))
	e.demand.add(now, requests, entryDemandFactor*demandTime(a.limit))
	return e
}

// replay charges the history of an entry whose last report went to another owner. If this
// owner has a record of the entry, only the requests after its previous counts are new. The level of a new owner
// is that of a bucket that was full one window ago. The whole limit applied in the past,
// whatever part of it this owner gives out now.
func (l *Ledger) replay(now time.Time, a *ledgerAccount, r *AccountReport, previous *Counts) {
	window := l.options.Bounds.Window
	left, before := int64(math.MaxInt64), a.recent.level(a.limit, window)
	if previous != nil {
		left = r.Counts.minus(*previous).net()
	}
	for age, n := range r.Recent[:min(len(r.Recent), historySteps)] {
		if left <= 0 {
			break
		}
		add := min(int64(n), left)
		left -= add
		a.recent.steps[(a.recent.newest-int64(age))%historySteps] += int32(add)
	}
	after := a.recent.level(a.limit, window)
	if now.Sub(a.ownedAt) > VerdictTTL {
		a.bucket.level -= before - after
	} else {
		a.bucket.level = min(a.bucket.level, after)
	}
}

func demandTime(l Limit) time.Duration {
	return min(max(seconds(demandRequests/l.Rate), minDemandTime), maxDemandTime)
}

// part returns the part of the limit that this owner may give out: that of the nodes that
// respond, or of the demand that still arrives.
func (l *Ledger) part(now time.Time, a *ledgerAccount) float64 {
	lost := 0.0
	if !l.options.noHold {
		for _, e := range a.entries {
			lost += e.missing(now)
		}
	}
	if lost == 0 {
		return l.reachable
	}
	return min(l.reachable, a.demand.perSecond/(a.demand.perSecond+lost))
}

// missing returns the demand that may still exist at an entry although no report shows it:
// a push did not reach the entry, or it has been silent for a time in which about three
// requests were expected and a push will tell.
func (e *reporter) missing(now time.Time) float64 {
	if !e.lostAt.IsZero() {
		if now.Sub(e.lostAt) < holdTime {
			return e.lostDemand
		}
		return 0
	}
	if e.told == 1 || e.demand.perSecond < 1 {
		return 0
	}
	silence := now.Sub(e.reportedAt) - max(250*time.Millisecond, seconds(3/e.demand.perSecond))
	if silence > 0 && silence < PushInterval+CallTimeout {
		return e.demand.perSecond
	}
	return 0
}

// update computes the share of an account.
func (l *Ledger) update(now time.Time, a *ledgerAccount) {
	a.demand.add(now, 0, demandTime(a.limit))
	part := l.part(now, a)
	rate := a.limit.Rate * part
	a.bucket.refill(now, rate, a.limit.Burst*part)
	left := a.bucket.level
	if !l.options.noReserve {
		left += l.options.Bounds.reserve(a.limit) * part
	}
	demand, share := a.demand.perSecond, 1.0
	if left <= 0 || left < (demand-rate)*horizon.Seconds() {
		correction := left / correctionTime.Seconds()
		if l.options.noCorrection {
			correction = 0
		}
		share = 0
		if demand > 0 {
			share = min(max(0, (rate+correction)/demand), 1)
		}
	}
	if now.Before(a.ceilingUntil) {
		share = min(share, a.ceiling)
	}
	if (share < 1) != (a.share < 1) {
		a.pushDue = true
		l.throttled[a.name] = a
		l.options.OnChange(Change{a.name, share, demand, a.limit, share < 1})
	}
	a.share = share
}

// Push returns the verdicts to send now, by entry. nodes are all nodes that respond: while
// a level is below zero, entries without a recent report get the verdict too, because the
// first requests at many such entries can exceed a small limit.
func (l *Ledger) Push(now time.Time, nodes []string) map[string]Verdicts {
	l.start(now)
	l.sweep(now)
	out := map[string]Verdicts{}
	for _, name := range slices.Sorted(maps.Keys(l.throttled)) {
		a := l.throttled[name]
		l.update(now, a)
		if !a.pushDue && now.Sub(a.pushedAt) < PushInterval {
			continue
		}
		if a.share == 1 && !a.pushDue {
			delete(l.throttled, name)
			continue
		}
		if l.options.noPush {
			a.pushDue = false
			continue
		}
		all := (a.bucket.level < 0 || a.pushedAll) && !l.options.reportersOnly
		for _, entry := range l.recipients(now, a, nodes, all) {
			v := out[entry]
			v.Owner = l.options.Node
			v.Verdicts = append(v.Verdicts, a.verdict(now))
			out[entry] = v
		}
		a.pushDue, a.pushedAt, a.pushedAll = false, now, all && a.share < 1
	}
	return out
}

// recipients returns the entries that a push goes to: those that reported requests
// recently, or all. An entry that was told a share by a response since the last push gets
// none.
func (l *Ledger) recipients(now time.Time, a *ledgerAccount, nodes []string, all bool) []string {
	var out []string
	add := func(name string, e *reporter) {
		if e != nil && now.Sub(e.toldAt) < PushInterval && (e.told == a.share || (e.told < 1 && a.share < 1)) {
			return
		}
		if e != nil {
			e.told, e.toldAt = a.share, now
		}
		out = append(out, name)
	}
	for _, name := range slices.Sorted(maps.Keys(a.entries)) {
		if e := a.entries[name]; now.Sub(e.demandAt) < reporterMemory || (all && slices.Contains(nodes, name)) {
			add(name, e)
		}
	}
	if all {
		for _, name := range nodes {
			if a.entries[name] == nil {
				add(name, nil)
			}
		}
	}
	return out
}

// PushFailed notes that a push did not reach an entry, which may still admit its share of
// its requests.
func (l *Ledger) PushFailed(now time.Time, entry string, v Verdicts) {
	for _, verdict := range v.Verdicts {
		a := l.accounts[verdict.Account]
		if a == nil {
			continue
		}
		if e := a.entries[entry]; e != nil && e.lostAt.IsZero() && now.Sub(e.reportedAt) > CallTimeout {
			tau := entryDemandFactor * demandTime(a.limit)
			e.lostDemand = e.demand.perSecond * math.Exp(-float64(now.Sub(e.reportedAt)-CallTimeout)/float64(tau))
			e.lostAt = now
		}
	}
}

func (l *Ledger) drop(name string) {
	if a := l.accounts[name]; a != nil && a.share < 1 {
		l.options.OnChange(Change{Account: name, Share: 1, Limit: a.limit})
	}
	delete(l.accounts, name)
	delete(l.throttled, name)
}

// sweep drops accounts and entries without recent reports.
func (l *Ledger) sweep(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for name, a := range l.accounts {
		maps.DeleteFunc(a.entries, func(_ string, e *reporter) bool { return now.Sub(e.reportedAt) > idleAccount })
		if now.Sub(a.reportedAt) > idleAccount && a.share == 1 {
			l.drop(name)
		}
	}
}

// OwnedStatus describes an account at its owner.
type OwnedStatus struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Level   float64 `json:"level"`
	Demand  float64 `json:"demand"` // requests/s over all entries
	Share   float64 `json:"share"`
	Entries int     `json:"entries"` // that report it
}

// Status returns the accounts that this node counts, sorted by name.
func (l *Ledger) Status(now time.Time) []OwnedStatus {
	out := make([]OwnedStatus, 0, len(l.accounts))
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		l.update(now, a)
		out = append(out, OwnedStatus{name, a.limit.Rate, a.limit.Burst, a.bucket.level, a.demand.perSecond, a.share, len(a.entries)})
	}
	return out
}

// Throttled returns the number of accounts with a share below 1.
func (l *Ledger) Throttled() int {
	n := 0
	for _, a := range l.throttled {
		if a.share < 1 {
			n++
		}
	}
	return n
}
