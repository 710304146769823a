package main

import (
	"fmt"
	"strings"
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
		x, err := f.addInstance(n, fmt.Sprintf("i-%d", i+1), service, smallSlots, 50*time.Millisecond)
		if err != nil {
			return orders, nil, err
		}
		if i < len(orders) {
			orders[i] = x
		}
	}
	if _, err := f.put(configuration(3, shopRoutes(stock), "orders", "shopfront")); err != nil {
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

// requestKind holds the bounds of a kind of requests in milliseconds.
type requestKind struct{ timeout, aim, deadline int }

// Kinds of idempotent requests; the last two as the sheets state them.
var (
	stock         = requestKind{timeout: 6000, aim: 2500, deadline: 6000}
	offerList     = requestKind{timeout: 20000, aim: 12000, deadline: 40000}
	bookingLookup = requestKind{timeout: 4000, aim: 1500, deadline: 6000}
)

// shopRoutes returns the routes of the cases without tenants.
func shopRoutes(reads requestKind) map[string]any {
	r := route("/stock/", "idempotent", "orders")
	r["timeoutMs"], r["targetLatencyMs"] = reads.timeout, reads.aim
	return map[string]any{"r-order": route("/order/", "non_idempotent", "orders"), "r-stock": r,
		"r-page": route("/page/", "idempotent", "shopfront")}
}

// traffic sends ten requests a second, of the given kinds in turn, until stop is closed. A
// kind is a method and the prefix of a path. It returns the answers by request ID.
func traffic(c *client, stop <-chan struct{}, kinds ...string) map[string]answer {
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
			method, prefix, _ := strings.Cut(kinds[i%len(kinds)], " ")
			body := ""
			if method == "POST" {
				body = "one cooker"
			}
			a := c.do(method, fmt.Sprint(prefix, i), body)
			mu.Lock()
			defer mu.Unlock()
			answers[a.id] = a
		})
	}
}
