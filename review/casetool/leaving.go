package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"
)

// addOrderMachines adds three machines of each service in two zones, one instance of
// the orders service first.
func addOrderMachines(f *fleet) error {
	for n := range 6 {
		service := ordersService
		if n%2 == 1 {
			service = readService
		}
		if _, err := f.addMachine(service, []string{"qld-a", "qld-b"}[n/3]); err != nil {
			return err
		}
	}
	return nil
}

// Traffic of the cases on leaving instances: a third of what the instances can do.
const (
	ordersPerSecond = 24
	orderDeadline   = 6 * time.Second
)

// startOrders starts the fleet and the orders of its clients.
func startOrders(ctx context.Context, f *fleet) (*traffic, error) {
	if err := addOrderMachines(f); err != nil {
		return nil, err
	}
	f.store.publish(newConfig(7, readService))
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	t := f.startTraffic(ctx, ordersPerSecond, http.MethodPost, ordersHost, ordersPath+"2f", orderDeadline)
	return t, wait(ctx, time.Now().Add(5*time.Second))
}

// judgeLeaving counts the requests that reached a leaving instance after a time at
// which nothing may reach it.
func judgeLeaving(leaving *instance, after time.Time, acknowledged time.Time, results map[string]exchangeResult) verdict {
	late := leaving.runsAfter(after)
	unanswered := 0
	last := time.Duration(0)
	for _, r := range late {
		if results[r.id].status/100 != 2 {
			unanswered++
		}
		last = r.at.Sub(acknowledged)
	}
	refused, failed := 0, 0
	for r := range maps.Values(results) {
		switch {
		case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
			refused++
		case r.status/100 != 2:
			failed++
		}
	}
	return verdict{broken: len(late) > 0, summary: fmt.Sprintf(
		"%d requests ran at the leaving instance later than %.1f s after the acknowledgement, the last after %.1f s; %d of them have no success; of %d requests in all %d were refused and %d failed",
		len(late), after.Sub(acknowledged).Seconds(), last.Seconds(), unanswered, len(results), refused, failed)}
}

// serveOnAfterNotice is how long a leaving instance serves after its acknowledgement.
const serveOnAfterNotice = 14 * time.Second

// playForeignHeartbeat lets an instance report that it leaves. Another writer's heartbeat
// for it lacks the field born.
func playForeignHeartbeat(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	t, err := startOrders(ctx, f)
	if err != nil {
		return verdict{}, err
	}
	leaving := f.machines[0].instance
	foreign := leaving.nextHeartbeat()
	delete(foreign, "born")
	acknowledged, err := leaving.drain(ctx)
	if err != nil {
		return verdict{}, err
	}
	if err := wait(ctx, acknowledged.Add(time.Second)); err != nil {
		return verdict{}, err
	}
	if trouble {
		f.rec.line("another writer's heartbeat for %s without the field born: acknowledged %t", leaving.id, leaving.sendHeartbeat(ctx, foreign))
	}
	return endLeaving(ctx, f, t, leaving, acknowledged, acknowledged.Add(drainTime))
}

// playRestartLateBeat lets an instance deregister itself. Its node is killed and starts
// again, and a heartbeat that the instance sent before arrives late.
func playRestartLateBeat(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	t, err := startOrders(ctx, f)
	if err != nil {
		return verdict{}, err
	}
	m := f.machines[0]
	leaving := m.instance
	late := leaving.nextHeartbeat()
	sentAt := time.Now()
	acknowledged, err := leaving.deregister(ctx)
	if err != nil {
		return verdict{}, err
	}
	inTouch := acknowledged
	if trouble {
		if err := wait(ctx, acknowledged.Add(500*time.Millisecond)); err != nil {
			return verdict{}, err
		}
		m.kill()
		if err := wait(ctx, time.Now().Add(restartDelay)); err != nil {
			return verdict{}, err
		}
		if err := m.startNode(); err != nil {
			return verdict{}, err
		}
		inTouch = time.Now().Add(stabilityWindow)
	}
	if err := wait(ctx, sentAt.Add(4*time.Second)); err != nil {
		return verdict{}, err
	}
	f.rec.line("heartbeat of %s, sent %.1f s ago, before its deregistration, arrives: acknowledged %t", leaving.id, time.Since(sentAt).Seconds(), leaving.sendHeartbeat(ctx, late))
	after := acknowledged.Add(drainTime)
	if inTouch.After(after) {
		after = inTouch.Add(time.Second) // requests that were on their way when the machine was in touch again
	}
	return endLeaving(ctx, f, t, leaving, acknowledged, after)
}

// endLeaving lets the leaving instance exit and judges the case.
func endLeaving(ctx context.Context, f *fleet, t *traffic, leaving *instance, acknowledged, after time.Time) (verdict, error) {
	if err := wait(ctx, acknowledged.Add(serveOnAfterNotice)); err != nil {
		return verdict{}, err
	}
	if _, err := leaving.deregister(ctx); err != nil {
		f.rec.line("the last deregistration failed: %v", err)
	}
	leaving.exit()
	f.rec.line("instance %s exits", leaving.id)
	if err := wait(ctx, time.Now().Add(3*time.Second)); err != nil {
		return verdict{}, err
	}
	return judgeLeaving(leaving, after, acknowledged, t.end()), nil
}
