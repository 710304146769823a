package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// malformedHeartbeat lets another writer send one heartbeat with fields missing under the id
// of an instance of orders. It names the service shopfront. Two seconds later the instance
// reports that it drains.
func malformedHeartbeat(f *fleet) ([]string, error) {
	orders, clients, err := threeMachines(f)
	if err != nil {
		return nil, err
	}
	stop, sent := make(chan struct{}), make(chan map[string]answer, 2)
	go func() { sent <- traffic(clients, stop) }()
	go func() { sent <- pages(clients, stop) }()
	time.Sleep(stabilityWindow + time.Second)

	leaving := orders[1]
	if trouble() {
		body, _ := json.Marshal(map[string]any{ // always marshals
			"address": leaving.address,
			"info":    map[string]any{"service": "shopfront", "slots": leaving.slots},
			"status":  map[string]any{"state": "ready", "sequence": 700},
		})
		f.note("another writer sends the heartbeat %s for %s, acknowledged: %v", body, leaving.id, leaving.send(body))
	}
	time.Sleep(4 * time.Second)
	leaving.state.Store("draining")
	body := leaving.heartbeat("draining")
	if !leaving.send(body) {
		return nil, fmt.Errorf("the heartbeat of %s is not acknowledged", leaving.id)
	}
	acked := time.Now()
	f.note("instance %s: its heartbeat %s is acknowledged by %s", leaving.id, body, leaving.node.name)
	time.Sleep(time.Until(acked.Add(12 * time.Second)))
	close(stop)
	sentAt := map[string]time.Time{}
	for range cap(sent) {
		for id, a := range <-sent {
			sentAt[id] = a.sent
		}
	}
	leaving.end()

	from := acked.Add(drainTime + 500*time.Millisecond)
	foreign, late := 0, 0
	for _, r := range leaving.ranSince(f.started) {
		if strings.HasPrefix(r.uri, "/page/") {
			foreign++
		}
		if !r.at.Before(from) && !sentAt[r.id].Before(from) {
			late++
		}
	}
	f.note("%d requests on the route to shopfront ran at %s of orders; %d requests that clients sent later than %s after the acknowledgement reached it",
		foreign, leaving.id, late, from.Sub(acked))
	var broken []string
	if foreign > 0 {
		broken = append(broken, fmt.Sprintf("ROUTE: %d requests on the route to shopfront ran at instance %s of orders", foreign, leaving.id))
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached instance %s later than %s after a machine acknowledged that it is draining (drainMs is %s)",
			late, leaving.id, from.Sub(acked), drainTime))
	}
	return broken, nil
}

// pages sends ten requests a second to shopfront until stop is closed and returns when each
// was sent.
func pages(c *client, stop <-chan struct{}) map[string]answer {
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
			a := c.do("GET", fmt.Sprintf("/page/%d", i), "")
			mu.Lock()
			defer mu.Unlock()
			answers[a.id] = a
		})
	}
}
