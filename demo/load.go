package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	loadTick      = 2 * time.Millisecond
	maxTick       = 50 * time.Millisecond // demand is not made up for longer pauses of this process
	customerCount = 20
	orderSends    = 3 // sends of one order with its key, the first included
	resendAfter   = 100 * time.Millisecond
	maxInProgress = 3000
)

// demand is the rate of each kind, requests/s.
type demand map[kind]float64

// shares of the short work.
func shortDemand(rate float64) demand {
	return demand{browse: 0.4 * rate, price: 0.4 * rate, order: 0.2 * rate}
}

func (d demand) with(k kind, rate float64) demand {
	d[k] = rate
	return d
}

// load sends requests at the rates of the demand, whether answers come or not.
type load struct {
	ledger *ledger
	watch  *watch
	client *http.Client
	seed   uint64

	mu     sync.Mutex
	demand demand
	wg     sync.WaitGroup
}

func newLoad(l *ledger, w *watch, seed uint64) *load {
	return &load{ledger: l, watch: w, seed: seed, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second,
	}}}
}

// set changes the demand and the phase to which new requests belong.
func (l *load) set(phase string, d demand) {
	l.ledger.setPhase(phase)
	l.mu.Lock()
	l.demand = d
	l.mu.Unlock()
}

// run starts requests with exponentially distributed gaps until ctx ends.
func (l *load) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.seed, 2))
	rest := map[kind]float64{}
	for _, k := range kinds {
		rest[k] = random.ExpFloat64()
	}
	ticker := time.NewTicker(loadTick)
	defer ticker.Stop()
	last, number := time.Now(), int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		passed := min(now.Sub(last), maxTick).Seconds()
		last = now
		l.mu.Lock()
		d := l.demand
		l.mu.Unlock()
		for _, k := range kinds {
			for rest[k] -= d[k] * passed; rest[k] <= 0; rest[k] += random.ExpFloat64() {
				number++
				if l.ledger.inProgress() >= maxInProgress {
					l.ledger.end(number, l.ledger.begin(number), result{kind: k, begun: now}) // offered, not sent
					continue
				}
				c := call{kind: k, number: number, customer: fmt.Sprintf("school-%d", random.IntN(customerCount))}
				node := l.watch.pick(random)
				l.wg.Go(func() { l.do(ctx, c, node) })
			}
		}
	}
}

// do carries one call through to its last answer.
func (l *load) do(ctx context.Context, c call, n *fleetNode) {
	phase := l.ledger.begin(c.number)
	begun := time.Now()
	var r result
	if c.kind == order {
		r = l.order(ctx, c, n)
	} else {
		r = c.send(ctx, l.client, l.ledger, n)
	}
	r.begun, r.took = begun, time.Since(begun)
	l.ledger.end(c.number, phase, r)
}

// order places one order: with an issued key, with a key of the customer, or
// without any. An order with a key is sent again when its outcome is in doubt.
func (l *load) order(ctx context.Context, c call, n *fleetNode) result {
	work := fmt.Sprintf("demo-%d-%d", l.seed, c.number)
	sends := orderSends
	switch c.number % 3 {
	case 0:
		key, err := issueKey(ctx, l.client, n, c.customer)
		if err != nil {
			return result{kind: c.kind, node: n.name, reason: "no-key"}
		}
		c.key, work = key, key
	case 1:
		c.key = work
	default:
		c.work, sends = work, 1
	}
	for i := 1; ; i++ {
		r := c.send(ctx, l.client, l.ledger, n)
		l.ledger.answer(work, r)
		if i == sends || !r.broken && r.outcome != attempt.Unknown {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(resendAfter):
		}
		n = l.watch.other(n)
	}
}
