package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	stockPath       = "/stok7/"
	stockRoute      = "r-9stok11"
	instanceDown    = 3 * time.Second
	poisonEvery     = 5 * time.Second // until the client sends the request again
	poisonTime      = 75 * time.Second
	stockPerSecond  = 20
	othersPerSecond = 8
	poisonWork      = 400 * time.Millisecond
	crashesAllowed  = 3
	retriesAllowed  = 3 // that may reach instances once the request has crashed the third
)

// poisonWatch notes when the crashing request begins to run at an instance, and as which
// client attempt.
type poisonWatch struct {
	mu       sync.Mutex
	arrivals []time.Time
	ids      []string
}

// lateAttempts counts the client attempts that reached an instance later than
// stabilityWindow after the request has crashed the third.
func (w *poisonWatch) lateAttempts() int {
	late := map[string]bool{}
	for n, at := range w.arrivals {
		if n >= crashesAllowed && at.After(w.arrivals[crashesAllowed-1].Add(stabilityWindow)) {
			late[w.ids[n]] = true
		}
	}
	return len(late)
}

// playPoison lets a request of one caller crash each instance that begins to run it. Its
// client sends it again, at all machines of that caller. Other callers send requests with
// the same path, which do no harm.
func playPoison(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	f.workTime = poisonWork
	for n := range 7 { // five instances of the orders service, two of the other one
		service := ordersService
		if n >= 5 {
			service = readService
		}
		if _, err := f.addMachine(service, []string{"qld-a", "qld-b"}[n%2]); err != nil {
			return verdict{}, err
		}
	}
	config := newConfig(7, readService)
	config.Routes[stockRoute] = routeDoc{Host: readHost, PathPrefix: stockPath, Kind: kindSafe, TimeoutMS: readTimeoutMS, TargetLatencyMS: 2500, Priority: 2, Service: ordersService, MaxAttempts: 2}
	f.store.publish(config)
	watch := &poisonWatch{}
	if trouble {
		f.crashes = func(req *http.Request) bool {
			if req.URL.Path != stockPath+"2f" || req.Header.Get(headerCaller) != ordersService {
				return false
			}
			watch.mu.Lock()
			defer watch.mu.Unlock()
			watch.arrivals = append(watch.arrivals, time.Now())
			watch.ids = append(watch.ids, req.Header.Get(headerRequestID))
			return true
		}
	}
	if err := f.start(ctx); err != nil {
		return verdict{}, err
	}
	var innocent, callers []*machine
	for _, m := range f.machines {
		if m.service == ordersService {
			callers = append(callers, m)
		} else {
			innocent = append(innocent, m)
		}
	}
	orders := f.startTrafficAt(ctx, innocent, othersPerSecond, http.MethodPost, ordersHost, ordersPath+"2f", orderDeadline)
	stock := f.startTrafficAt(ctx, innocent, stockPerSecond, http.MethodGet, readHost, stockPath+"2f", readDeadline)
	if err := wait(ctx, time.Now().Add(5*time.Second)); err != nil {
		return verdict{}, err
	}
	sent := 0
	for end := time.Now().Add(poisonTime); time.Now().Before(end); sent++ {
		go callers[sent%len(callers)].send(ctx, f.client, http.MethodGet, readHost, stockPath+"2f", readDeadline)
		if err := wait(ctx, time.Now().Add(poisonEvery)); err != nil {
			return verdict{}, err
		}
	}
	lost := 0
	results := orders.end()
	for _, r := range results {
		if r.status/100 != 2 && r.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	stock.end()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	late := watch.lateAttempts()
	return verdict{broken: late > retriesAllowed, summary: fmt.Sprintf(
		"the request was sent %d times and crashed %d instances; %d client attempts reached instances later than %s after the third crash, %d are allowed; %d of %d orders of others failed without a promise",
		sent, len(watch.arrivals), late, stabilityWindow, retriesAllowed, lost, len(results))}, nil
}

// crash ends the instance with its connections. Another process of the application starts
// later at the same address.
func (i *instance) crash(ctx context.Context) {
	i.machine.fleet.rec.line("instance %s crashes", i.id)
	i.exit()
	go func() {
		if wait(ctx, time.Now().Add(instanceDown)) != nil {
			return
		}
		next, err := newInstance(i.machine)
		if err != nil {
			i.machine.fleet.rec.line("%s has no instance any more: %v", i.machine.name, err)
			return
		}
		i.machine.mu.Lock()
		i.machine.instance = next
		i.machine.mu.Unlock()
		next.start(ctx)
	}()
}
