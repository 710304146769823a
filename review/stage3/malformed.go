package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// malformedHeartbeat lets another writer send heartbeats with fields missing under the id of
// an instance of orders. They name the service shopfront.
func malformedHeartbeat(f *fleet) ([]string, error) {
	orders, clients, err := threeMachines(f)
	if err != nil {
		return nil, err
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		traffic(clients, stop, "GET /page/", "GET /page/", "POST /order/")
		close(done)
	}()
	time.Sleep(stabilityWindow + time.Second)
	const heartbeats = 8
	for range heartbeats {
		if trouble() {
			body, _ := json.Marshal(map[string]any{ // always marshals
				"address": orders[1].address,
				"info":    map[string]any{"service": "shopfront", "slots": orders[1].slots},
				"status":  map[string]any{"state": "ready"},
			})
			f.note("another writer sends the heartbeat %s for %s, acknowledged: %v", body, orders[1].id, orders[1].send(body))
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	<-done
	foreign := 0
	for _, x := range orders {
		for _, r := range x.ranSince(f.started) {
			if strings.HasPrefix(r.uri, "/page/") {
				foreign++
			}
		}
	}
	f.note("%d requests on the route to shopfront ran at instances of orders", foreign)
	if foreign > 0 {
		return []string{fmt.Sprintf("ROUTE: %d requests on the route to shopfront, the only one for their path in all configurations, ran at an instance of orders", foreign)}, nil
	}
	return nil, nil
}
