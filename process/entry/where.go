package entry

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/selection"
)

// Destination explains where a request would go.
type Destination struct {
	Node          string `json:"node"` // whose entry explains
	ConfigVersion int64  `json:"config_version"`
	Account       string `json:"account,omitempty"`
	AccountKnown  bool   `json:"account_known,omitempty"`
	AccountRank   *int   `json:"account_rank,omitempty"`
	Route         string `json:"route,omitempty"`
	Service       string `json:"service,omitempty"`
	Split         bool   `json:"split,omitempty"` // the route picks the service at random
	Class         string `json:"class,omitempty"`
	Long          bool   `json:"long,omitempty"`
	// Candidates are the targets of the service that the entry uses.
	Candidates []DestinationCandidate `json:"candidates,omitempty"`
	Choice     string                 `json:"choice,omitempty"` // target; empty: none
	ChoiceNode string                 `json:"choice_node,omitempty"`
	Why        string                 `json:"why"` // of the choice, or of there being none
}

// DestinationCandidate is what an entry knows of a target.
type DestinationCandidate struct {
	Target    string  `json:"target"`
	Node      string  `json:"node"`
	Domain    string  `json:"domain"`
	Own       int     `json:"own"`                 // requests of the entry in progress there
	Load      float64 `json:"load"`                // requests per slot, as estimated now
	Deviation float64 `json:"deviation,omitempty"` // of Load, with share_loads
	AgeMS     int64   `json:"age_ms"`              // of the last known load; -1: none is known
	Weight    float64 `json:"weight"`
	Suspicion float64 `json:"suspicion"`
	Why       string  `json:"why,omitempty"`
}

// Where explains where a request would go now, without sending it. It counts against no
// limit, and takes no trickle slot. Choices are random, so that the next request may go to
// another target.
func (e *Entry) Where(method, host, path, account string) Destination {
	d := Destination{Node: e.options.Node, Account: account}
	r := e.routing.Load()
	if r == nil {
		d.Why = "this node has no configuration"
		return d
	}
	d.ConfigVersion = r.config.Version
	if a, known := r.config.Accounts[account]; known {
		d.AccountKnown, d.AccountRank = true, a.Rank
	}
	path, _, _ = strings.Cut(path, "?")
	q := request{entry: e, routing: r, callerRequest: &http.Request{Method: method, Host: host, URL: &url.URL{Path: path}}}
	if _, err := q.route(); err != nil {
		d.Why = err.Error()
		return d
	}
	route, class := q.match.Route, &q.class
	d.Route, d.Service, d.Class, d.Split = route.ID, q.service, route.Class, len(route.Split) > 0
	f := e.fleet.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	d.Long = class.Long || (class.Learn && e.learner.IsLong(route.ID, q.match.PathGroup))
	query := selection.Query{Service: q.service, Long: d.Long, RemoteCostFactor: e.remoteCostFactor(route.ID)}
	state := e.rotationState(now, class.Idempotent)
	for _, l := range e.selector.MemberLoads(now, q.service, d.Long) {
		target, st := f.targets[l.Target], state(l.Target)
		c := DestinationCandidate{Target: target.info.ID, Own: l.Own, Load: l.Load, Deviation: l.Deviation,
			AgeMS: -1, Weight: st.Weight, Suspicion: max(st.Suspicion, st.PathSuspicion), Why: st.Why}
		if target.member != nil {
			c.Node, c.Domain = target.member.Node, target.member.Domain
		}
		if l.Age >= 0 {
			c.AgeMS = int64(l.Age / time.Millisecond)
		}
		if target.leaving() {
			c.Why = "leaving"
		}
		d.Candidates = append(d.Candidates, c)
	}
	choice, ok := e.selector.Pick(now, query, state)
	if !ok {
		d.Why = "no target of service " + q.service + " is in rotation"
		return d
	}
	d.Choice, d.ChoiceNode, d.Why = f.targets[choice.Target].info.ID, choice.Node, choice.Why
	return d
}
