package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crash ends the instance at once and starts it again after a while, as a new process.
func (i *instance) crash(down time.Duration) {
	i.beating.Store(false)
	i.mu.Lock()
	_ = i.server.Close()
	i.mu.Unlock()
	i.fleet.note("instance %s crashes", i.id)
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", i.address)
		if err != nil {
			i.fleet.note("instance %s cannot start again: %v", i.id, err)
			return
		}
		i.mu.Lock()
		i.server = &http.Server{Handler: http.HandlerFunc(i.serve), ReadHeaderTimeout: 10 * time.Second}
		server := i.server
		i.mu.Unlock()
		i.born = time.Now().UnixMilli()
		i.sequence.Store(0)
		i.fleet.note("instance %s starts again", i.id)
		go func() { _ = server.Serve(l) }() // ends with the instance
		i.send(i.heartbeat())
		i.beating.Store(true)
	})
}

// crashingRequest sends an order again and again that crashes each instance which begins to
// run it. Path, caller and body stay the same, the query counts the tries.
func crashingRequest(f *fleet) ([]string, error) {
	orders, clients, err := sixMachines(f, smallSlots, stock)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	for _, x := range orders {
		x.handler = func(_ http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, "/order/breaks") || !trouble() {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			x.crash(3 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(stabilityWindow)
	stop, others := make(chan struct{}), make(chan map[string]answer, 1)
	go func() { others <- traffic(clients[0], stop, "POST /order/", "GET /stock/") }()
	var tries []answer
	for i := range 16 {
		tries = append(tries, clients[i%2].do("POST", fmt.Sprintf("/order/breaks?try=%d", i), "an order that crashes the instance"))
		time.Sleep(2 * time.Second)
	}
	close(stop)
	answers := <-others
	mu.Lock()
	defer mu.Unlock()
	if trouble() && len(crashes) < 3 {
		f.note("%d crashes", len(crashes))
		return nil, nil
	}
	ran := map[string]bool{}
	for _, x := range orders {
		for _, r := range x.ranSince(f.started) {
			ran[r.id] = true
		}
	}
	late := 0
	for _, a := range tries {
		if trouble() && a.sent.After(crashes[2].Add(stabilityWindow)) && ran[a.id] {
			late++
		}
	}
	lost := 0
	for id, a := range answers {
		if ran[id] && a.status != http.StatusOK && strings.HasPrefix(a.path, "/order/") {
			lost++
		}
	}
	f.note("%d of %d tries crashed an instance, %d of them were sent later than %s after the third crash; %d other orders ran and were not answered with success",
		len(crashes), len(tries), late, stabilityWindow, lost)
	if late > 3 {
		return []string{fmt.Sprintf("BUDGET: %d retries that were sent later than %s after the third crash reached instances, 3 are allowed; %d instances crashed, and %d other orders that had begun to run were lost",
			late, stabilityWindow, len(crashes), lost)}, nil
	}
	return nil, nil
}

// sixMachines starts four instances of orders and two of shopfront, with clients at the
// machines of shopfront. reads is the kind of the idempotent requests.
func sixMachines(f *fleet, slots int, reads requestKind) (orders []*instance, clients []*client, err error) {
	for i := range 6 {
		service := "orders"
		if i >= 4 {
			service = "shopfront"
		}
		n, err := f.addNode(service)
		if err != nil {
			return nil, nil, err
		}
		x, err := f.addInstance(n, fmt.Sprintf("i-%d", i+1), service, slots, 300*time.Millisecond)
		if err != nil {
			return nil, nil, err
		}
		if service == "orders" {
			orders = append(orders, x)
		} else {
			clients = append(clients, f.newClient(n))
		}
	}
	if _, err := f.put(configuration(3, shopRoutes(reads), "orders", "shopfront")); err != nil {
		return nil, nil, err
	}
	if err := f.waitReady(); err != nil {
		return nil, nil, err
	}
	return orders, clients, waitFor(20*time.Second, "orders to run", func() bool {
		return clients[0].do("POST", "/order/1", "one cooker").status == http.StatusOK && clients[1].do("POST", "/order/1", "one cooker").status == http.StatusOK
	})
}
