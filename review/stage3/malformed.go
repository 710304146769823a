package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// malformedHeartbeat lets another writer send one heartbeat with fields missing under the id
// of an instance. The instance then reports that it drains.
func malformedHeartbeat(f *fleet) ([]string, error) {
	orders, clients, err := threeMachines(f)
	if err != nil {
		return nil, err
	}
	stop, sent := make(chan struct{}), make(chan map[string]answer, 1)
	go func() { sent <- traffic(clients, stop) }()
	time.Sleep(stabilityWindow + time.Second)

	leaving := orders[1]
	if trouble() {
		body, _ := json.Marshal(map[string]any{ // always marshals
			"address": leaving.address,
			"info":    map[string]any{"service": leaving.service, "slots": leaving.slots},
			"status":  map[string]any{"state": "ready", "sequence": 700},
		})
		f.note("another writer sends the heartbeat %s for %s, acknowledged: %v", body, leaving.id, leaving.send(body))
	}
	time.Sleep(2 * time.Second)
	leaving.state.Store("draining")
	body := leaving.heartbeat("draining")
	if !leaving.send(body) {
		return nil, fmt.Errorf("the heartbeat of %s is not acknowledged", leaving.id)
	}
	acked := time.Now()
	f.note("instance %s: its heartbeat %s is acknowledged by %s", leaving.id, body, leaving.node.name)
	time.Sleep(time.Until(acked.Add(12 * time.Second)))
	close(stop)
	answers := <-sent
	leaving.end()

	from := acked.Add(drainTime + 500*time.Millisecond)
	late, orderRuns := 0, 0
	for _, r := range leaving.ranSince(from) {
		if answers[r.id].sent.Before(from) {
			continue
		}
		late++
		if r.method == "POST" {
			orderRuns++
		}
	}
	f.note("%d requests that clients sent later than %s after the acknowledgement reached %s, %d of them orders",
		late, from.Sub(acked), leaving.id, orderRuns)
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests, %d of them orders, reached instance %s later than %s after a machine acknowledged that it is draining (drainMs is %s)",
			late, orderRuns, leaving.id, from.Sub(acked), drainTime)}, nil
	}
	return nil, nil
}
