package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	sinceSilence   = stabilityWindow + 200*time.Millisecond // from a silence to the next version
	observeEvery   = 100 * time.Millisecond
	roundsEnd      = 75 * time.Second // no round begins later
	maxStaleRounds = 3
	convergeLimit  = 22 * time.Second
	readDeadline   = 5 * time.Second
)

// playSilentStore changes the service of a route again and again. After each change has
// come into force everywhere, the open connections to the store go silent, while new ones
// work; the next change follows when all machines are in touch again.
func playSilentStore(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	for n := range 3 { // three zones
		if _, err := f.addMachine([]string{ordersService, readService}[n%2], []string{"qld-a", "qld-b", "qld-c"}[n]); err != nil {
			return verdict{}, err
		}
	}
	version, service := 7, readService
	f.store.publish(newConfig(version, service))
	if err := f.start(ctx); err != nil {
		return verdict{}, err
	}
	stale, staleRounds, rounds, slowest := 0, 0, 0, time.Duration(0)
	for staleRounds < maxStaleRounds && time.Since(f.startAt) < roundsEnd {
		rounds++
		if trouble {
			f.rec.line("round %d: %d open connections to the store go silent, new ones work", rounds, f.proxy.silence())
		}
		if err := wait(ctx, time.Now().Add(sinceSilence)); err != nil {
			return verdict{}, err
		}
		version += 3
		previous := service
		service = map[string]string{readService: ordersService, ordersService: readService}[service]
		acknowledged := f.store.publish(newConfig(version, service))
		f.rec.line("round %d: version %d moves the route from %s to %s, acknowledged", rounds, version, previous, service)
		n, delay, err := observeVersion(ctx, f, acknowledged, service)
		if err != nil {
			return verdict{}, err
		}
		f.rec.line("round %d: in force everywhere after %.1f s; %d requests sent later than %s after the acknowledgement ran at the old service", rounds, delay.Seconds(), n, configApply)
		stale += n
		slowest = max(slowest, delay)
		if n > 0 {
			staleRounds++
		}
	}
	return verdict{broken: stale > 0, summary: fmt.Sprintf(
		"in %d of %d rounds requests that were sent later than %s after the acknowledgement of a version were run as the older version says, %d in all; the slowest version was in force everywhere after %.1f s",
		staleRounds, rounds, configApply, stale, slowest.Seconds())}, nil
}

// observeVersion sends requests to all machines until each has served one as the newest
// version says, twice in a row. It counts the requests that ran at another service though
// they were sent later than configApply after the acknowledgement.
func observeVersion(ctx context.Context, f *fleet, acknowledged time.Time, service string) (stale int, delay time.Duration, err error) {
	inForce := false
	for {
		since := time.Since(acknowledged)
		results := make(chan exchangeResult, len(f.machines))
		for _, m := range f.machines {
			go func() {
				results <- m.send(ctx, f.client, http.MethodGet, readHost, readPath+"2f", readDeadline)
			}()
		}
		old := 0
		for range f.machines {
			r := <-results
			if r.status/100 == 2 && ranAt(f, r.id) == service {
				continue
			}
			old++
			if r.status/100 == 2 && r.sentAt.Sub(acknowledged) > configApply {
				stale++
			}
		}
		switch {
		case old == 0 && inForce, since > convergeLimit:
			return stale, delay, nil
		case old == 0:
			inForce = true
		default:
			inForce, delay = false, since
		}
		if err := wait(ctx, time.Now().Add(observeEvery)); err != nil {
			return stale, delay, err
		}
	}
}

// ranAt returns the service whose instance ran a request last, empty for none.
func ranAt(f *fleet, id string) string {
	service := ""
	for _, m := range f.machines {
		m.instance.mu.Lock()
		for _, r := range m.instance.runs {
			if r.id == id {
				service = m.service
			}
		}
		m.instance.mu.Unlock()
	}
	return service
}
