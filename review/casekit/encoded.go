package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

func init() { cases["7"] = encodedSlash }

const (
	encodedRequests = 20
	configApply     = 2 * time.Second // configApplyMs
)

// encodedSlash plays clients whose paths hold an encoded slash. A change of the
// configuration adds a route whose prefix does not begin these paths.
func encodedSlash(s *stage) {
	entry, orders, shop := s.addNode(1, "qld-a", "library"), s.addNode(2, "qld-b", "orders"), s.addNode(3, "qld-c", "shopfront")
	const host = "shop.example"
	routes := map[string]any{"r-order": route(host, "/shop/", "non_idempotent", "orders", 6000)}
	config := map[string]any{"version": 3, "routes": routes, "services": services("orders", "shopfront", "library"), "limits": limits}
	s.store.publish(config)
	ran := make(chan string, 100)
	handle := func(in *instance, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the body of an order is not checked here
		s.note("instance %s of %s runs %s: %s %s", in.id, in.node.service, r.Header.Get(wire.RequestID), r.Method, r.RequestURI)
		ran <- in.node.service
		_, _ = fmt.Fprintf(w, "taken by %s", in.node.service) // fails only if the caller is gone
	}
	entry.addInstance("i-beside", handle)
	orders.addInstance("i-orders", handle)
	shop.addInstance("i-shopfront", handle)
	s.awaitReady()
	time.Sleep(4 * time.Second) // announcements and gossip
	if s.trouble {
		routes["r-kit"] = route(host, "/shop/kit/", "idempotent", "shopfront", 6000)
		config["version"] = 5
		s.store.publish(config)
	}
	time.Sleep(configApply)
	client := newClient(6 * time.Second)
	for i := range encodedRequests {
		const path = "/shop/kit%2F2f"
		q := request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, host: host, path: path, deadline: 6 * time.Second,
			body: strings.NewReader("order"), length: 5}
		s.note("client sends %s: POST %s%s", q.id, host, path)
		got := entry.send(client, q)
		s.note("client gets for %s: %s %q", q.id, got, got.body)
		for len(ran) > 0 {
			if service := <-ran; service != "orders" {
				s.breach("ROUTE: request %d, %s, was run by %s; the only prefix that begins its path leads to orders", i, q.id, service)
			}
		}
	}
}
