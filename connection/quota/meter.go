package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// MeterOptions configure a Meter.
type MeterOptions struct {
	Node        string
	Incarnation attempt.Incarnation
	Bounds      Bounds

	// Each switch turns one mechanism off, for the tests that show which failure it
	// prevents.
	noBucket, noPhase, noFailover, noVerdicts, noIsolation, noHedge, noProbe, noLowerHedge bool
}

// Meter admits the requests of accounts at one entry. It is not safe for concurrent use.
type Meter struct {
	options    MeterOptions
	accounts   map[string]*meteredAccount
	changed    []*meteredAccount // may have counts that no owner has acknowledged
	nodes      []node
	generation uint64               // of nodes, unreachable nodes and isolation; owners are chosen again after a change
	silent     map[string]peerState // nodes whose last response is missing
	movedAt    uint64               // generation for which listMoved was done
	total      int64                // requests seen; new accounts begin to count here
	startedAt  time.Time
	nextSweep  time.Time
	// isolated is set until another node responds again. This node counts its own accounts
	// until isolatedUntil, and then tries the others once more.
	isolated      bool
	isolatedUntil time.Time
	lastResponse  time.Time // of another node
}

// peerState is what a Meter knows of a node that did not respond.
type peerState struct {
	failures int
	until    time.Time // while set, the node is unreachable: reports go to another one
	probedAt time.Time
}

type meteredAccount struct {
	name       string
	hash       uint64
	limit      Limit
	bucket     bucket
	credit     float64
	verdict    Verdict
	verdictBy  string
	expires    time.Time
	owner      string
	generation uint64 // for which owner was chosen
	counts     Counts
	sent       Counts
	acked      Counts
	ackedBy    string // the owner that acknowledged the last report; "" if it asked for recent
	recent     history
	start      Counts // when the account was put into memory
	sentAt     time.Time
	// waitingSince is when the first report was sent that is not acknowledged yet.
	waitingSince time.Time
	hedgedAt     time.Time
	usedAt       time.Time
	listed       bool // in Meter.changed
}

const (
	// failuresBeforeFailover is 4 because lost messages must not change the owner: with 2
	// and a tenth of the messages lost, entries reported to two owners at a time. Four
	// failures take less time than VerdictTTL.
	failuresBeforeFailover = 4
	unreachableTime        = 5 * time.Second
	// unreachableBeforeIsolated is the number of owners in succession without a response
	// after which an entry takes itself for cut off. Membership takes a second per node to
	// find that out.
	unreachableBeforeIsolated = 4
	maxReportAccounts         = 1000 // keeps a report below the size that owners accept
	maxHistoryAccounts        = 400  // the same for reports with histories, which are larger
	sweepInterval             = 10 * time.Second
	minRetryAfter             = 100 * time.Millisecond
)

// NewMeter returns a Meter that knows no nodes.
func NewMeter(o MeterOptions) *Meter {
	return &Meter{options: o, accounts: map[string]*meteredAccount{}, silent: map[string]peerState{}, generation: 1}
}

// SetNodes replaces the nodes that may be owners.
func (m *Meter) SetNodes(names []string) {
	if slices.EqualFunc(m.nodes, names, func(n node, name string) bool { return n.name == name }) {
		return
	}
	m.nodes = hashNodes(names)
	maps.DeleteFunc(m.silent, func(name string, _ peerState) bool { return !slices.Contains(names, name) })
	m.generation++
}

// Allow decides on one request of an account and counts it. An account without a limit
// is admitted and not counted.
func (m *Meter) Allow(now time.Time, account string, limit Limit) Decision {
	if limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	a := m.account(now, account, limit)
	m.total++
	a.usedAt = now
	m.list(a)
	a.bucket.refill(now, limit.Rate, limit.Burst+m.options.Bounds.reserve(limit))
	if a.bucket.level < 1 && !m.options.noBucket {
		a.counts.Refused++
		return Decision{RetryAfter: max(minRetryAfter, seconds((1-a.bucket.level)/limit.Rate))}
	}
	if share, ok := a.share(now); ok && share < 1 && !m.options.noVerdicts {
		a.credit = min(a.credit+share, 2)
		if a.credit < 1 {
			a.counts.Refused++
			return Decision{RetryAfter: m.retryAfter(a)}
		}
		a.credit--
	}
	a.bucket.level--
	a.counts.Admitted++
	m.record(now, a, 1)
	return Decision{Allowed: true}
}

// record adds admitted or returned requests to the history of an account.
func (m *Meter) record(now time.Time, a *meteredAccount, n int32) {
	a.recent.advance(stepOf(now, m.options.Bounds.Window))
	a.recent.steps[a.recent.newest%historySteps] += n
}

// retryAfter spreads the retries of refused requests: the lower the share and the credit,
// the later. Half a window is enough for a level below zero to recover.
func (m *Meter) retryAfter(a *meteredAccount) time.Duration {
	return max(minRetryAfter, time.Duration(float64(m.options.Bounds.Window)/2*(1-a.verdict.Share)*(1-a.credit/2)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (m *Meter) account(now time.Time, name string, limit Limit) *meteredAccount {
	a := m.accounts[name]
	if a == nil {
		hash := xxhash.Sum64String(name)
		// Counts begin at the number of all requests, so that they never go back for an
		// account that was dropped from memory and returns.
		start := Counts{m.total, m.total, m.total}
		a = &meteredAccount{name: name, hash: hash, limit: limit, counts: start, sent: start, acked: start, start: start}
		a.bucket = bucket{level: limit.Burst + m.options.Bounds.reserve(limit), at: now}
		if !m.options.noPhase {
			// The credits of the entries begin at different values: with 108 entries of
			// which each sees a request in 11 s, a credit of 0 everywhere admits none.
			a.credit = float64(weight(hash, xxhash.Sum64String(m.options.Node))>>11) / (1 << 53)
		}
		m.accounts[name] = a
	}
	a.limit = limit
	return a
}

func (a *meteredAccount) share(now time.Time) (float64, bool) {
	return a.verdict.Share, now.Before(a.expires)
}

func (m *Meter) list(a *meteredAccount) {
	if !a.listed {
		a.listed = true
		m.changed = append(m.changed, a)
	}
}

// GiveBack credits a request that Allow admitted and that has not run.
func (m *Meter) GiveBack(now time.Time, account string) {
	a := m.accounts[account]
	if a == nil || a.counts.Returned-a.start.Returned >= a.counts.Admitted-a.start.Admitted {
		return
	}
	a.counts.Returned++
	a.bucket.level++
	m.record(now, a, -1)
	a.usedAt = now
	m.list(a)
}

// Reports returns the messages to send, by owner: the counts that changed since the last
// report, and those that were not acknowledged within CallTimeout.
func (m *Meter) Reports(now time.Time) map[string]Report {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	m.expireUnreachable(now)
	if now.After(m.nextSweep) {
		m.nextSweep = now.Add(sweepInterval)
		maps.DeleteFunc(m.accounts, func(_ string, a *meteredAccount) bool { return !a.listed && now.Sub(a.usedAt) > idleAccount })
	}
	out := map[string]Report{}
	m.listMoved(now)
	kept := m.changed[:0]
	for _, a := range m.changed {
		if a.counts == a.acked && a.ackedBy != "" && a.ackedBy == a.owner {
			a.listed = false
			continue
		}
		kept = append(kept, a)
		if m.isolatedUntil.IsZero() && !m.options.noFailover {
			m.hedge(now, a, out)
			m.probe(now, a, out)
		}
		if a.counts == a.sent && now.Sub(a.sentAt) < CallTimeout {
			continue
		}
		m.chooseOwner(a)
		if a.owner == "" {
			continue
		}
		if m.addReport(now, out, a.owner, m.accountReport(now, a)) {
			a.sent, a.sentAt = a.counts, now
			if a.waitingSince.IsZero() {
				a.waitingSince = now
			}
		}
	}
	clear(m.changed[len(kept):])
	m.changed = kept
	return out
}

// addReport adds the report of an account to the message for a node. It returns false if
// the message is full; the account then waits for the next one.
func (m *Meter) addReport(now time.Time, out map[string]Report, node string, reported AccountReport) bool {
	r, ok := out[node]
	if len(r.Accounts) >= maxReportAccounts || (len(reported.Recent) > 0 && len(r.Accounts) >= maxHistoryAccounts) {
		return false
	}
	if !ok {
		r = Report{Entry: m.options.Node, Incarnation: m.options.Incarnation}
		if age := now.Sub(m.startedAt); age < m.options.Bounds.Window {
			r.Age = max(1, age.Milliseconds())
		}
	}
	r.Accounts = append(r.Accounts, reported)
	out[node] = r
	return true
}

// hedge reports an account whose owner is silent to the next owner as well. If the owner
// does not respond to all entries, the next one sees the whole demand and has a verdict
// before the entries change to it; otherwise it sees a small part and gives none.
func (m *Meter) hedge(now time.Time, a *meteredAccount, out map[string]Report) {
	if m.options.noHedge || a.waitingSince.IsZero() || now.Sub(a.waitingSince) < hedgeDelay || now.Sub(a.hedgedAt) < ReportInterval {
		return
	}
	next := pick(a.hash, m.nodes, func(n node) bool { return n.name != a.owner && m.reachable(n) })
	if next != "" && m.addReport(now, out, next, m.hedgedReport(now, a)) {
		a.hedgedAt = now
	}
}

// probe reports an account also to its first node in the hash order while that node is
// unreachable. A response ends that state: after a restart of an owner, entries that
// waited for unreachableTime and the entry of the owner itself reported to different nodes.
func (m *Meter) probe(now time.Time, a *meteredAccount, out map[string]Report) {
	if m.options.noProbe || m.countUnreachable() == 0 {
		return
	}
	first := pick(a.hash, m.nodes, anyNode)
	p := m.silent[first]
	if p.until.IsZero() || now.Sub(p.probedAt) < CallTimeout {
		return
	}
	p.probedAt = now
	m.silent[first] = p
	m.addReport(now, out, first, m.hedgedReport(now, a))
}

// hedgedReport is the report of an account to a node other than its owner.
func (m *Meter) hedgedReport(now time.Time, a *meteredAccount) AccountReport {
	r := m.accountReport(now, a)
	r.Made, r.Recent, r.Hedge = 0, a.recent.recent(stepOf(now, m.options.Bounds.Window)), true
	return r
}

func (m *Meter) reachable(n node) bool { return m.silent[n.name].until.IsZero() }

// listMoved lists the accounts with requests in the last window whose owner has changed: a
// new owner needs their histories, also from entries without new requests.
func (m *Meter) listMoved(now time.Time) {
	if m.movedAt == m.generation {
		return
	}
	m.movedAt = m.generation
	for _, a := range m.accounts {
		if !a.listed && now.Sub(a.usedAt) < m.options.Bounds.Window {
			if m.chooseOwner(a); a.owner != a.ackedBy {
				m.list(a)
			}
		}
	}
}

func (m *Meter) accountReport(now time.Time, a *meteredAccount) AccountReport {
	r := AccountReport{Account: a.name, Counts: a.counts, Acked: a.acked}
	if a.owner != a.ackedBy && a.acked != a.start {
		r.Recent = a.recent.recent(stepOf(now, m.options.Bounds.Window))
	}
	if share, ok := a.share(now); ok && share < 1 {
		r.Share = &share
		if a.verdictBy == a.owner {
			r.Made = a.verdict.Made
		}
	}
	return r
}

// chooseOwner picks the owner of an account among the nodes that respond. If none does,
// it is the first in the hash order.
func (m *Meter) chooseOwner(a *meteredAccount) {
	if a.generation == m.generation {
		return
	}
	a.generation, a.owner = m.generation, ""
	if !m.isolatedUntil.IsZero() {
		a.owner = m.options.Node
		return
	}
	if a.owner = pick(a.hash, m.nodes, m.reachable); a.owner == "" {
		a.owner = pick(a.hash, m.nodes, anyNode)
	}
}

// expireUnreachable lets reports go to a node again that did not respond. The first
// failure makes it unreachable once more.
func (m *Meter) expireUnreachable(now time.Time) {
	if now.After(m.isolatedUntil) {
		m.endIsolation()
	}
	for name, p := range m.silent {
		if !p.until.IsZero() && now.After(p.until) {
			m.silent[name] = peerState{failures: failuresBeforeFailover - 1}
			m.generation++
		}
	}
}

// endIsolation lets reports go to other nodes again.
func (m *Meter) endIsolation() {
	if !m.isolatedUntil.IsZero() {
		m.isolatedUntil = time.Time{}
		m.generation++
	}
}

// Acknowledge applies the response to a report.
func (m *Meter) Acknowledge(now time.Time, owner string, r Report, v Verdicts) {
	if owner != m.options.Node {
		m.lastResponse, m.isolated = now, false
		m.endIsolation()
	}
	if p, ok := m.silent[owner]; ok {
		delete(m.silent, owner)
		if !p.until.IsZero() {
			m.generation++
		}
	}
	for _, reported := range r.Accounts {
		if a := m.accounts[reported.Account]; a != nil && !reported.Hedge {
			a.acked, a.ackedBy, a.waitingSince = a.acked.atLeast(reported.Counts), owner, time.Time{}
		}
	}
	for _, name := range v.Unknown {
		if a := m.accounts[name]; a != nil {
			a.ackedBy, a.sentAt = "", time.Time{}
			m.list(a)
		}
	}
	m.Apply(now, v)
}

// ReportFailed notes that an owner did not respond to a report.
func (m *Meter) ReportFailed(now time.Time, owner string) {
	p := m.silent[owner]
	p.failures++
	if p.until.IsZero() && p.failures >= m.requiredFailures(now) && !m.options.noFailover {
		p.until = now.Add(unreachableTime)
		m.generation++
	}
	m.silent[owner] = p
	if m.countUnreachable() >= unreachableBeforeIsolated && m.noneResponds(now) && !m.options.noIsolation {
		m.isolated, m.isolatedUntil = true, now.Add(unreachableTime)
		m.generation++
	}
}

// requiredFailures is the number of failures that make a node unreachable: 1 once a first
// owner is unreachable and nobody else has responded, as an entry that is cut off must know
// it before its verdict expires.
func (m *Meter) requiredFailures(now time.Time) int {
	if m.noneResponds(now) && m.countUnreachable() > 0 {
		return 1
	}
	return failuresBeforeFailover
}

// noneResponds reports whether no other node has responded lately.
func (m *Meter) noneResponds(now time.Time) bool { return now.Sub(m.lastResponse) > 2*CallTimeout }

func (m *Meter) countUnreachable() (n int) {
	for _, p := range m.silent {
		if !p.until.IsZero() {
			n++
		}
	}
	return n
}

// Isolated reports whether no other node responds to this entry. Its part of a limit is
// then that of one node.
func (m *Meter) Isolated() bool { return m.isolated }

// Apply applies verdicts of an owner.
func (m *Meter) Apply(now time.Time, v Verdicts) {
	for _, verdict := range v.Verdicts {
		if !(verdict.Share >= 0 && verdict.Share <= 1) {
			continue
		}
		a := m.accounts[verdict.Account]
		if a == nil {
			// The limit is set with the first request. The bucket is full then.
			a = m.account(now, verdict.Account, Limit{})
			a.bucket = bucket{}
			a.usedAt = now
		}
		if v.Owner == a.verdictBy && verdict.Made < a.verdict.Made {
			continue
		}
		if now.Before(a.expires) && v.Owner != a.verdictBy && !m.replaces(verdict, a) {
			continue
		}
		a.verdict, a.verdictBy, a.expires = verdict, v.Owner, now.Add(VerdictTTL)
	}
}

// replaces reports whether a verdict of another node replaces one that still applies. None
// replaces the verdict of the node that this entry reports to, and a hedge replaces only
// a hedge. A lower share of a hedge always does: a slow owner's last verdict may be from
// the beginning of a rise of the demand.
func (m *Meter) replaces(v Verdict, a *meteredAccount) bool {
	if v.Hedge && v.Share < a.verdict.Share && !m.options.noLowerHedge {
		return true
	}
	return a.verdictBy != a.owner && (!v.Hedge || a.verdict.Hedge)
}

// AccountStatus describes an account at one entry.
type AccountStatus struct {
	Account  string  `json:"account"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Owner    string  `json:"owner,omitempty"` // node that this entry reports to
	Share    float64 `json:"share"`
	Admitted int64   `json:"admitted"`
	Refused  int64   `json:"refused"`
	Returned int64   `json:"returned"`
}

// Status returns the accounts that this entry has seen recently, sorted by name.
func (m *Meter) Status(now time.Time) []AccountStatus {
	out := make([]AccountStatus, 0, len(m.accounts))
	for _, name := range slices.Sorted(maps.Keys(m.accounts)) {
		a := m.accounts[name]
		n := a.counts.minus(a.start)
		s := AccountStatus{Account: name, Rate: a.limit.Rate, Burst: a.limit.Burst, Owner: a.owner, Share: 1,
			Admitted: n.Admitted, Refused: n.Refused, Returned: n.Returned}
		if share, ok := a.share(now); ok {
			s.Share = share
		}
		out = append(out, s)
	}
	return out
}
