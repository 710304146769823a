package main

import (
	"fmt"
	"sync"
	"time"
)

// threeMachines starts two machines with instances of orders and one with an instance of
// shopfront, at which the clients are.
func threeMachines(f *fleet) (orders [2]*instance, clients *client, err error) {
	for i, service := range []string{"orders", "orders", "shopfront"} {
		n, err := f.addNode(service)
		if err != nil {
			return orders, nil, err
		}
		x, err := f.addInstance(n, fmt.Sprintf("i-%d", i+1), service, 50*time.Millisecond)
		if err != nil {
			return orders, nil, err
		}
		if i < len(orders) {
			orders[i] = x
		}
	}
	routes := map[string]any{"r-order": route("/order/", "non_idempotent", "orders"), "r-stock": route("/stock/", "idempotent", "orders"),
		"r-page": route("/page/", "idempotent", "shopfront")}
	if _, err := f.put(configuration(3, routes, "orders", "shopfront")); err != nil {
		return orders, nil, err
	}
	if err := f.waitReady(); err != nil {
		return orders, nil, err
	}
	clients = f.newClient(f.nodes[2])
	return orders, clients, waitFor(20*time.Second, "both instances of orders to run requests", func() bool {
		clients.do("GET", "/stock/1", "")
		return len(orders[0].ranSince(f.started)) > 0 && len(orders[1].ranSince(f.started)) > 0
	})
}

// traffic sends ten requests a second until stop is closed and returns when each was sent.
func traffic(c *client, stop <-chan struct{}) map[string]answer {
	answers := map[string]answer{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			wait.Wait()
			return answers
		case <-time.After(100 * time.Millisecond):
		}
		wait.Go(func() {
			a := answer{}
			if i%2 == 0 {
				a = c.do("POST", fmt.Sprintf("/order/%d", i), "one cooker")
			} else {
				a = c.do("GET", fmt.Sprintf("/stock/%d", i), "")
			}
			mu.Lock()
			answers[a.id] = a
			mu.Unlock()
		})
	}
}

// restartForgetsLeaving lets an instance deregister, restarts the node beside it and then
// delivers a heartbeat that the instance sent before it deregistered.
func restartForgetsLeaving(f *fleet) ([]string, error) {
	orders, clients, err := threeMachines(f)
	if err != nil {
		return nil, err
	}
	stop, sent := make(chan struct{}), make(chan map[string]answer, 1)
	go func() { sent <- traffic(clients, stop) }()
	time.Sleep(stabilityWindow + time.Second)

	leaving := orders[1]
	leaving.beating.Store(false)
	late := leaving.heartbeat("ready")
	f.note("instance %s sends a heartbeat (ready, sequence %d), which is held up on the way", leaving.id, leaving.sequence.Load())
	time.Sleep(300 * time.Millisecond)
	acked, err := leaving.deregister()
	if err != nil {
		return nil, err
	}
	restarted := time.Time{}
	if trouble() {
		time.Sleep(300 * time.Millisecond)
		leaving.node.process.kill()
		f.note("platform: %s is killed", leaving.node.name)
		time.Sleep(500 * time.Millisecond)
		if err := leaving.node.start(); err != nil {
			return nil, err
		}
		restarted = time.Now()
		if err := waitFor(10*time.Second, "the restarted node to be ready", leaving.node.isReady); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(acked.Add(4 * time.Second)))
	f.note("the late heartbeat of %s arrives, acknowledged: %v", leaving.id, leaving.send(late))
	time.Sleep(time.Until(acked.Add(14 * time.Second)))
	close(stop)
	answers := <-sent
	leaving.end()

	from := acked.Add(drainTime)
	if inTouch := restarted.Add(stabilityWindow + 500*time.Millisecond); inTouch.After(from) {
		from = inTouch // the node beside the instance is in touch again
	}
	late2, orderRuns := 0, 0
	for _, r := range leaving.ranSince(from) {
		if answers[r.id].sent.Before(from) {
			continue
		}
		late2++
		if r.method == "POST" {
			orderRuns++
		}
	}
	f.note("%d requests that clients sent later than %s after the acknowledgement reached %s, %d of them orders",
		late2, from.Sub(acked).Round(time.Millisecond), leaving.id, orderRuns)
	if late2 > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests, %d of them orders, reached instance %s later than %s after the acknowledgement of its deregistration (drainMs is %s)",
			late2, orderRuns, leaving.id, from.Sub(acked).Round(time.Millisecond), drainTime)}, nil
	}
	return nil, nil
}
