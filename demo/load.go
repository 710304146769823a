package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/process/periodic"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	loadInterval  = 2 * time.Millisecond
	maxLoadGap    = 50 * time.Millisecond // longer pauses of this process are not made up for
	customerCount = 20
	maxOrderSends = 3 // sends of one order with its key, including the first
	resendDelay   = 100 * time.Millisecond
	maxInProgress = 3000
)

// demand holds the rate of each kind in requests/s.
type demand map[kind]float64

// shortDemand splits a rate among the kinds of short work.
func shortDemand(rate float64) demand {
	return demand{browse: 0.4 * rate, price: 0.4 * rate, order: 0.2 * rate}
}

func (d demand) withRate(k kind, rate float64) demand {
	d[k] = rate
	return d
}

// load sends requests at the rates of the demand, without waiting for responses.
type load struct {
	ledger *ledger
	watch  *watch
	client *http.Client
	seed   uint64

	mu     sync.Mutex
	demand demand
	wg     sync.WaitGroup
}

func newLoad(ledger *ledger, watch *watch, seed uint64) *load {
	return &load{ledger: ledger, watch: watch, seed: seed, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second,
	}}}
}

// setDemand sets the demand, and the phase to which new requests belong.
func (l *load) setDemand(phase string, d demand) {
	l.ledger.setPhase(phase)
	l.mu.Lock()
	l.demand = d
	l.mu.Unlock()
}

// run starts requests at exponentially distributed intervals until ctx ends.
func (l *load) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.seed, 2))
	untilNext := map[kind]float64{}
	for _, k := range kinds {
		untilNext[k] = random.ExpFloat64()
	}
	last, number := time.Now(), int64(0)
	_ = periodic.Run(ctx, loadInterval, func() { // the end of ctx is no failure
		now := time.Now()
		elapsed := min(now.Sub(last), maxLoadGap).Seconds()
		last = now
		l.mu.Lock()
		demand := l.demand
		l.mu.Unlock()
		for _, k := range kinds {
			for untilNext[k] -= demand[k] * elapsed; untilNext[k] <= 0; untilNext[k] += random.ExpFloat64() {
				number++
				if l.ledger.inProgress() >= maxInProgress {
					l.ledger.endRequest(number, l.ledger.beginRequest(number), result{kind: k, startedAt: now}) // counted as offered, but not sent
					continue
				}
				c := call{kind: k, number: number, customer: fmt.Sprintf("school-%d", random.IntN(customerCount))}
				node := l.watch.pick(random)
				l.wg.Go(func() { l.perform(ctx, c, node) })
			}
		}
	})
}

// perform sends one call, with any resends, and records its last result.
func (l *load) perform(ctx context.Context, c call, n *fleetNode) {
	phase := l.ledger.beginRequest(c.number)
	startedAt := time.Now()
	var r result
	if c.kind == order {
		r = l.placeOrder(ctx, c, n)
	} else {
		r = c.send(ctx, l.client, l.ledger, n)
	}
	r.startedAt, r.duration = startedAt, time.Since(startedAt)
	l.ledger.endRequest(c.number, phase, r)
}

// placeOrder places one order: with an issued key, with a customer key, or without a
// key. It sends an order with a key again when no complete response arrived or the
// outcome is unknown.
func (l *load) placeOrder(ctx context.Context, c call, n *fleetNode) result {
	workID := fmt.Sprintf("demo-%d-%d", l.seed, c.number)
	sends := maxOrderSends
	switch c.number % 3 {
	case 0:
		key, err := fetchOrderKey(ctx, l.client, n, c.customer)
		if err != nil {
			return result{kind: c.kind, node: n.name, reason: "no-key"}
		}
		c.key, workID = key, key
	case 1:
		c.key = workID
	default:
		c.workID, sends = workID, 1
	}
	for i := 1; ; i++ {
		r := c.send(ctx, l.client, l.ledger, n)
		l.ledger.recordResponse(workID, r)
		if i == sends || !r.incomplete && r.outcome != attempt.Unknown {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(resendDelay):
		}
		n = l.watch.pickOther(n)
	}
}
