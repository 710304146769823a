package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/quota"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/process/periodic"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// accountQuota keeps the rate limits of accounts over the fleet. The meter and the ledger
// have locks of their own: a request's check waits for no other work of the entry.
type accountQuota struct {
	entry *Entry

	meterMu sync.Mutex
	meter   *quota.Meter // nil until Start; requests are refused until then

	ledgerMu sync.Mutex
	ledger   *quota.Ledger
	changes  map[string]quota.Change // not logged yet, by account
	logged   map[string]loggedShare  // recently logged, by account

	members map[string]string // data addresses of nodes that respond; used by tick only
	names   []string
	view    *fleet
	calls   chan struct{} // limits the calls in progress
}

// loggedShare is what the last log line of an account said.
type loggedShare struct {
	throttled bool
	at        time.Time
}

const (
	// quotaLogInterval bounds the log lines of an account whose demand is about its limit.
	quotaLogInterval = 10 * time.Second
	// maxQuotaCalls bounds the goroutines and descriptors in use for messages. A message
	// that finds no room is lost; counts are sent again.
	maxQuotaCalls = 128
)

func newAccountQuota(e *Entry) *accountQuota {
	if e.options.AccountBounds == (quota.Bounds{}) {
		e.options.AccountBounds = quota.Bounds{Window: quota.DefaultWindow, Overage: quota.DefaultOverage, Slack: quota.DefaultSlack}
	}
	q := &accountQuota{entry: e, changes: map[string]quota.Change{}, logged: map[string]loggedShare{}, calls: make(chan struct{}, maxQuotaCalls)}
	q.ledger = quota.NewLedger(quota.LedgerOptions{Node: e.options.Node, Bounds: e.options.AccountBounds,
		OnChange: func(c quota.Change) { q.changes[c.Account] = c }})
	return q
}

func (q *accountQuota) start(incarnation attempt.Incarnation) {
	q.meterMu.Lock()
	defer q.meterMu.Unlock()
	q.meter = quota.NewMeter(quota.MeterOptions{Node: q.entry.options.Node, Incarnation: incarnation, Bounds: q.entry.options.AccountBounds})
}

func accountLimits(c *config.Config) map[string]quota.Limit {
	out := make(map[string]quota.Limit, len(c.Accounts))
	for name, a := range c.Accounts {
		out[name] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	return out
}

// checkAccountQuota applies the rate limit of the request's account. It refuses the request
// and reports false when the limit is reached.
func (q *request) checkAccountQuota() bool {
	if q.account == nil {
		return true
	}
	now := q.entry.now()
	limit := q.routing.limit(now, q.account.Name)
	if limit.Rate <= 0 {
		return true
	}
	a := q.entry.accountQuota
	a.meterMu.Lock()
	decision := a.meter.Allow(now, q.account.Name, limit)
	a.meterMu.Unlock()
	if !decision.Allowed {
		q.entry.options.OnAccountRefused()
		q.record.Limits = []string{"account-rate"}
		q.refuse(attempt.NotRun, attempt.ReasonRateLimit, "limit account-rate is reached", decision.RetryAfter)
		return false
	}
	q.quotaCharged = true
	return true
}

// returnAccountQuota credits the account if the request ended as not-run.
func (q *request) returnAccountQuota() {
	if !q.quotaCharged || q.record.Outcome != attempt.NotRun {
		return
	}
	a := q.entry.accountQuota
	a.meterMu.Lock()
	a.meter.GiveBack(q.entry.now(), q.account.Name)
	a.meterMu.Unlock()
}

// ServeQuota exchanges reports and verdicts with the other nodes until ctx ends.
func (e *Entry) ServeQuota(ctx context.Context) error {
	// The phase is random, so that the reports of many entries do not arrive together.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rand.N(quota.ReportInterval)):
	}
	return periodic.Run(ctx, quota.ReportInterval, e.accountQuota.tick)
}

func (q *accountQuota) tick() {
	r := q.entry.routing.Load()
	if r == nil || len(r.config.Accounts) == 0 {
		return
	}
	now, f := q.entry.now(), q.entry.fleet.Load()
	q.meterMu.Lock()
	if q.meter == nil {
		q.meterMu.Unlock()
		return
	}
	if f != q.view {
		q.setView(f)
		q.meter.SetNodes(q.names)
	}
	reports, isolated := q.meter.Reports(now), q.meter.Isolated()
	q.meterMu.Unlock()
	q.ledgerMu.Lock()
	responding, known := countNodes(f)
	q.ledger.SetReachable(now, responding, known, isolated)
	pushes := q.ledger.Push(now, q.names)
	changes := q.takeChanges(now)
	q.forgetLogged(now)
	q.ledgerMu.Unlock()
	q.logChanges(changes)
	for owner, report := range reports {
		address := q.members[owner]
		q.send(func() { q.report(owner, address, report) })
	}
	for node, verdicts := range pushes {
		address := q.members[node]
		q.send(func() { q.push(node, address, verdicts) })
	}
}

// send runs a call without waiting for it.
func (q *accountQuota) send(call func()) {
	select {
	case q.calls <- struct{}{}:
		go func() {
			defer func() { <-q.calls }()
			call()
		}()
	default:
	}
}

// takeChanges returns the changes to log now. An account whose share alternates gets one
// line in quotaLogInterval, and the last line states how it is. The caller holds ledgerMu.
func (q *accountQuota) takeChanges(now time.Time) []quota.Change {
	var due []quota.Change
	for name, c := range q.changes {
		last, ok := q.logged[name]
		if last.throttled == c.Throttled {
			delete(q.changes, name)
		} else if !ok || now.Sub(last.at) >= quotaLogInterval {
			q.logged[name] = loggedShare{c.Throttled, now}
			delete(q.changes, name)
			due = append(due, c)
		}
	}
	return due
}

// forgetLogged drops the accounts whose last line is old and says that the share is 1. The
// caller holds ledgerMu.
func (q *accountQuota) forgetLogged(now time.Time) {
	maps.DeleteFunc(q.logged, func(_ string, l loggedShare) bool { return !l.throttled && now.Sub(l.at) >= quotaLogInterval })
}

func (q *accountQuota) logChanges(changes []quota.Change) {
	for _, c := range changes {
		line, text := q.entry.log.Info(), "account: the limit is no longer reached, all requests are admitted"
		if c.Throttled {
			line, text = q.entry.log.Warn(), "account: the limit is reached, requests are refused"
		}
		line.Str("account", c.Account).Float64("share", c.Share).Float64("demand", c.Demand).Float64("rate", c.Limit.Rate).Msg(text)
	}
}

// setView keeps the nodes that may be owners: those that respond and are not leaving, and
// this one.
func (q *accountQuota) setView(f *fleet) {
	q.view, q.names, q.members = f, nil, map[string]string{}
	for _, m := range f.view.Members {
		if m.State == membership.NodeAlive || m.State == membership.NodePaused || m.Node == q.entry.options.Node {
			q.names = append(q.names, m.Node)
			q.members[m.Node] = m.DataAddress
		}
	}
	if q.members[q.entry.options.Node] == "" {
		q.names = append(q.names, q.entry.options.Node)
		q.members[q.entry.options.Node] = ""
	}
}

func responds(s membership.NodeState) bool {
	return s == membership.NodeAlive || s == membership.NodePaused || s == membership.NodeLeaving
}

// countNodes returns the number of nodes that respond to this one, and that of all nodes that
// have not left in good order.
func countNodes(f *fleet) (responding, known int) {
	for _, m := range f.view.Members {
		if m.State != membership.NodeLeft {
			known++
		}
		if responds(m.State) {
			responding++
		}
	}
	return responding, known
}

func (q *accountQuota) report(owner, address string, r quota.Report) {
	var verdicts quota.Verdicts
	var err error
	if owner == q.entry.options.Node {
		verdicts = q.handleReport(r)
	} else {
		err = q.entry.callGate(http.MethodPost, address, "/v1/quota", gate.QuotaMessage{Report: &r}, &verdicts, quota.CallTimeout)
	}
	q.meterMu.Lock()
	defer q.meterMu.Unlock()
	if err != nil {
		q.meter.ReportFailed(q.entry.now(), owner)
		return
	}
	q.meter.Acknowledge(q.entry.now(), owner, r, verdicts)
}

func (q *accountQuota) push(node, address string, v quota.Verdicts) {
	if node == q.entry.options.Node {
		q.handlePush(v)
		return
	}
	var response quota.Verdicts
	if err := q.entry.callGate(http.MethodPost, address, "/v1/quota", gate.QuotaMessage{Push: &v}, &response, quota.CallTimeout); err != nil {
		q.ledgerMu.Lock()
		q.ledger.PushFailed(q.entry.now(), node, v)
		q.ledgerMu.Unlock()
	}
}

// handleReport answers a report of an entry to this node as the owner.
func (q *accountQuota) handleReport(r quota.Report) quota.Verdicts {
	now, routing := q.entry.now(), q.entry.routing.Load()
	q.ledgerMu.Lock()
	verdicts := q.ledger.Report(now, r, func(account string) quota.Limit {
		if routing == nil {
			return quota.Limit{}
		}
		return routing.limit(now, account)
	})
	changes := q.takeChanges(now)
	q.ledgerMu.Unlock()
	q.logChanges(changes)
	return verdicts
}

// handlePush applies verdicts that an owner sent without a report.
func (q *accountQuota) handlePush(v quota.Verdicts) {
	q.meterMu.Lock()
	defer q.meterMu.Unlock()
	if q.meter != nil {
		q.meter.Apply(q.entry.now(), v)
	}
}

// PeerQuota returns the functions that answer the messages of other nodes.
func (e *Entry) PeerQuota() gate.PeerQuota {
	return gate.PeerQuota{Report: e.accountQuota.handleReport, Push: e.accountQuota.handlePush}
}

// AccountsStatus describes the accounts at one node.
type AccountsStatus struct {
	Entry []quota.AccountStatus `json:"entry"` // requests at this entry
	Owner []quota.OwnedStatus   `json:"owner"` // accounts that this node counts
}

// Accounts returns the accounts with recent requests.
func (e *Entry) Accounts() AccountsStatus {
	now, q := e.now(), e.accountQuota
	out := AccountsStatus{Entry: []quota.AccountStatus{}}
	q.meterMu.Lock()
	if q.meter != nil {
		out.Entry = q.meter.Status(now)
	}
	q.meterMu.Unlock()
	q.ledgerMu.Lock()
	out.Owner = q.ledger.Status(now)
	q.ledgerMu.Unlock()
	return out
}

// ThrottledAccounts returns the number of accounts of this owner with a share below 1.
func (e *Entry) ThrottledAccounts() int {
	e.accountQuota.ledgerMu.Lock()
	defer e.accountQuota.ledgerMu.Unlock()
	return e.accountQuota.ledger.Throttled()
}
