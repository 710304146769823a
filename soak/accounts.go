package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

const (
	accountShare    = 0.5 // share of plans with accounts
	limitedAccounts = 3
	accountRate     = 12 // requests/s; above the usual demand
	accountBurst    = 10
	limitedThink    = 80 * time.Millisecond // further time between requests of an account with a limit
	surgeRate       = 50                    // further requests/s of an account in a surge
	surgeIdleConns  = 6                     // connections that a surge keeps to each node
	maxSurges       = 2
	minSurgeTime    = 4 * time.Second
	surgeTimeRange  = 2 * time.Second

	// Bound on the requests of an account that run in a window, with the defaults of
	// account_window, account_overage and account_slack.
	accountWindow  = 5 * time.Second
	accountOverage = 0.1
	accountSlack   = 20

	keyChangeTime   = 2500 * time.Millisecond // until nodes refuse the removed key
	keyPauseMargin  = 3 * time.Second         // until a node refuses it after a pause
	keyChangeTries  = 5
	addedKeyTimeout = 10 * time.Second

	openAccount   = "open" // without a limit
	keyPrefix     = "soak-key-"
	stableKey     = keyPrefix + "stable"
	removedKey    = keyPrefix + "removed"
	addedKey      = keyPrefix + "added"
	removedCaller = limitedAccounts     // uses the removed key throughout
	addedCaller   = limitedAccounts + 1 // uses the added key throughout
	stableCaller  = callerCount - 1     // has no limit and a key that stays
)

// Pause records a time in which a node was stopped with SIGSTOP.
type Pause struct {
	Node string    `json:"node"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// addAccounts adds a change of the keys and surges of limited accounts to some plans,
// whose configuration then has accounts. They have their own random source, as reloads
// do.
func (p *Plan) addAccounts(random *rand.Rand) {
	if random.Float64() >= accountShare {
		return
	}
	// In the first half, so that other faults follow.
	p.Events = append(p.Events, Event{At: time.Duration(random.Int64N(int64(p.Faults)/2 + 1)), Kind: KeyChange, Duration: keyChangeTime + time.Second})
	for range 1 + random.IntN(maxSurges) {
		p.Events = append(p.Events, Event{At: time.Duration(random.Int64N(int64(p.Faults))), Kind: AccountSurge, Subject: random.IntN(limitedAccounts),
			Duration: minSurgeTime + time.Duration(random.Int64N(int64(surgeTimeRange)))})
	}
}

// has reports whether the plan has an event of one of the kinds.
func (p *Plan) has(kinds ...Kind) bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return slices.Contains(kinds, e.Kind) })
}

func limitedAccount(i int) string { return fmt.Sprintf("limited-%d", i+1) }

// accountsConfig returns the accounts of the configuration, before or after the change
// of the keys.
func accountsConfig(keysChanged bool) string {
	var b strings.Builder
	for i := range limitedAccounts {
		fmt.Fprintf(&b, "[accounts.%s]\nkeys = [%q]\nrate = %d.0\nburst = %d\n", limitedAccount(i), keyPrefix+limitedAccount(i), accountRate, accountBurst)
	}
	changing := removedKey
	if keysChanged {
		changing = addedKey
	}
	fmt.Fprintf(&b, "[accounts.%s]\nkeys = [%q, %q]\n", openAccount, stableKey, changing)
	return b.String()
}

// keyOfCaller returns the API key that a caller sends.
func keyOfCaller(callerID int) string {
	switch {
	case callerID < limitedAccounts:
		return keyPrefix + limitedAccount(callerID)
	case callerID == removedCaller:
		return removedKey
	case callerID == addedCaller:
		return addedKey
	}
	return stableKey
}

// accountOfKey returns the name of the account that has the key.
func accountOfKey(key string) string {
	if key == stableKey || key == removedKey || key == addedKey {
		return openAccount
	}
	return strings.TrimPrefix(key, keyPrefix)
}

// surge sends further requests of a limited account for the duration d. It does not
// wait for their responses, since slow responses would reduce the demand.
func (in *injector) surge(ctx context.Context, account int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: surgeIdleConns, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	for i := 0; sleep(ctx, time.Second/surgeRate); i++ {
		n := in.fleet.nodes[i%len(in.fleet.nodes)]
		wg.Go(func() {
			in.load.send(client, Call{Caller: account, Node: n.name, Method: http.MethodGet, Path: fmt.Sprintf("/kits?echo=s%d&work_ms=%d", i, workMS)}, n)
		})
	}
}

// changeKeys publishes the configuration in which one key is removed and another is
// added. Its change ID stays the same, so that a change with an unknown outcome is not
// made twice.
func (in *injector) changeKeys(ctx context.Context, d time.Duration) error {
	f := in.fleet
	f.publishing.Lock() // no other publish may bring the removed key back
	f.keysChanged = true
	var err error
	for range keyChangeTries {
		if err = f.publishConfig(ctx, "--change-id", "soak-keys"); err == nil || !sleep(ctx, time.Second) {
			break
		}
	}
	f.publishing.Unlock()
	if err != nil {
		return err
	}
	in.history.withLock(func() { in.history.KeysChangedAt = time.Now() })
	sleep(ctx, d)
	return nil
}

// useAddedKey sends requests with the added key to each node until one is served, and
// one request with the removed key.
func (in *injector) useAddedKey() {
	if in.history.KeysChangedAt.IsZero() {
		return // no accounts, or the change was not published, which a note tells
	}
	client := &http.Client{Timeout: clientTimeout}
	for i, n := range in.fleet.nodes {
		var last Call
		for j, end := 0, time.Now().Add(addedKeyTimeout); last.Status != http.StatusOK && time.Now().Before(end); j++ {
			last = in.load.send(client, Call{Node: n.name, Key: addedKey, Method: http.MethodGet, Path: fmt.Sprintf("/kits?echo=k%d-%d", i, j)}, n)
		}
		if last.Status != http.StatusOK {
			in.history.withLock(func() {
				in.history.AddedKeyFails = append(in.history.AddedKeyFails, fmt.Sprintf("node %s: status %d %s %s", n.name, last.Status, last.Reason, last.Incomplete))
			})
		}
		in.load.send(client, Call{Node: n.name, Key: removedKey, Method: http.MethodGet, Path: fmt.Sprintf("/kits?echo=r%d", i)}, n)
	}
}

// limitedRuns returns, for each account with a limit, the times at which requests ran,
// in order. Further runs of a request do not count: the limit is one of requests.
func limitedRuns(h *History) map[string][]time.Time {
	runs := slices.Clone(h.Executions)
	slices.SortStableFunc(runs, func(a, b target.Execution) int { return a.At.Compare(b.At) })
	out := map[string][]time.Time{}
	seen := map[attempt.RequestID]bool{}
	for i := range runs {
		run := &runs[i]
		if run.Account == "" || run.Account == openAccount || run.Request != "" && seen[run.Request] {
			continue
		}
		seen[run.Request] = true
		out[run.Account] = append(out[run.Account], run.At)
	}
	return out
}

func checkAccountLimits(h *History) (out []string) {
	allowed := (accountRate*accountWindow.Seconds()+accountBurst)*(1+accountOverage) + accountSlack
	for account, runs := range limitedRuns(h) {
		most, from := busiestWindow(runs, accountWindow)
		if float64(most) > allowed {
			out = append(out, fmt.Sprintf("%d requests of account %s ran in the %s from %s on, %.0f allowed", most, account, accountWindow, from.Sub(h.StartedAt), allowed))
		}
	}
	return out
}

// busiestWindow returns the largest number of times in a window of the given length and
// the start of that window. The times are in order.
func busiestWindow(times []time.Time, window time.Duration) (most int, from time.Time) {
	for i, at := range times {
		end, _ := slices.BinarySearchFunc(times, at.Add(window), time.Time.Compare)
		if end-i > most {
			most, from = end-i, at
		}
	}
	return most, from
}

// checkKeys compares the accounts of the calls with those that targets were told, and
// looks for calls that a node served with the removed key and nodes that refuse the added
// one.
func checkKeys(h *History) (out []string) {
	if !h.Plan.has(KeyChange) {
		return nil
	}
	byRequest, byWork := map[attempt.RequestID]string{}, map[string]string{}
	for i := range h.Calls {
		c := &h.Calls[i]
		account := accountOfKey(c.Key)
		if c.Request != "" {
			byRequest[c.Request] = account
		}
		if c.Work != "" {
			byWork[workID(c)] = account
		}
		if c.servedWithRemovedKey(h) {
			out = append(out, fmt.Sprintf("node %s served request %s with the removed key, written %s after the change was accepted", c.Node, c.Request, c.WrittenAt.Sub(h.KeysChangedAt)))
		}
	}
	for i := range h.Executions {
		run := &h.Executions[i]
		if run.SecretIn != "" {
			out = append(out, fmt.Sprintf("target %s got an API key in header %s of request %s", run.Target, run.SecretIn, run.Request))
		}
		want, known := byRequest[run.Request]
		if !known {
			want, known = byWork[run.Work]
		}
		if run.Account == "" || known && run.Account != want {
			out = append(out, fmt.Sprintf("target %s got account %q with request %s of account %q", run.Target, run.Account, run.Request, want))
		}
	}
	for _, detail := range h.AddedKeyFails {
		out = append(out, "the added key does not work: "+detail)
	}
	return out
}

// servedWithRemovedKey reports whether a node that must know the change of the keys
// accepted the removed key. A node that is or was paused may not know it yet.
func (c *Call) servedWithRemovedKey(h *History) bool {
	if c.Key != removedKey || c.Status == 0 || c.Outcome == attempt.NotRun || h.KeysChangedAt.IsZero() || c.WrittenAt.Before(h.KeysChangedAt.Add(keyChangeTime)) {
		return false
	}
	return !slices.ContainsFunc(h.Pauses, func(p Pause) bool {
		return p.Node == c.Node && p.From.Before(c.EndedAt) && p.To.Add(keyPauseMargin).After(c.WrittenAt)
	})
}
