package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["8"] = foreignHeartbeat }

// Times of the case, from the acknowledgement of the state draining.
const (
	foreignAhead = 400 // by which the sequence of the foreign heartbeat is greater
	foreignExit  = 8 * time.Second
	foreignEnd   = 10 * time.Second
)

// foreignHeartbeat plays a heartbeat of another writer, which lacks fields, under the id of
// an instance. The instance drains later.
func foreignHeartbeat(s *stage) {
	entry, own, other := s.addNode(1, "qld-a", "shopfront"), s.addNode(2, "qld-b", "orders"), s.addNode(3, "qld-c", "orders")
	s.store.publish(map[string]any{
		"version":  3,
		"routes":   map[string]any{"r-order": route("order.example", "/order/", "non_idempotent", "orders", 6000)},
		"services": services("orders", "shopfront"), "limits": limits,
	})
	a := &arrivals{stage: s, lateRuns: map[string]bool{}}
	entry.addInstance("i-beside", a.serve)
	leaving := own.addInstance("i-leaving", a.serve)
	other.addInstance("i-staying", a.serve)
	s.awaitReady()
	time.Sleep(4 * time.Second) // announcements and gossip
	if s.trouble {
		body := foreignMessage(leaving)
		s.note("a heartbeat of another writer arrives: %s: %v", body, leaving.tell("Heartbeat", body))
	}
	time.Sleep(stability)

	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.mu.Unlock()
	if err := leaving.heartbeat(); err != nil {
		s.fail("the state draining is not acknowledged: %v", err)
	}
	leftAt := time.Now()
	a.mu.Lock()
	a.leaving, a.leftAt = leaving, leftAt
	a.mu.Unlock()
	s.note("%s acknowledges that %s is draining", own.name, leaving.id)

	client := newClient(6 * time.Second)
	var clients sync.WaitGroup
	lost := 0
	exited := false
	for time.Since(leftAt) < foreignEnd {
		if !exited && time.Since(leftAt) > foreignExit {
			exited = true
			s.note("%s deregisters: %v", leaving.id, leaving.deregister())
			leaving.stop()
		}
		clients.Go(func() {
			q := request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, host: "order.example", path: "/order/2f", deadline: 6 * time.Second}
			got := entry.send(client, q)
			if got.status == http.StatusOK {
				return
			}
			s.note("client gets for %s: %s", q.id, got)
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.lateRuns[q.id] {
				lost++
				s.note("order %s was given to the leaving instance and is lost with it", q.id)
			}
		})
		time.Sleep(orderInterval)
	}
	clients.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.note("%d orders reached %s later than %s after its acknowledgement, %d of them were lost", a.late, leaving.id, drainTime, lost)
	if a.late > 0 {
		s.breach("DRAIN: %d requests reached an instance whose state draining was acknowledged", a.late)
	}
}

// foreignMessage returns a heartbeat like those of the instance but without its version and
// zone, and with a greater sequence.
func foreignMessage(in *instance) []byte {
	var fields map[string]any
	_ = json.Unmarshal(in.message(), &fields) // it was just encoded
	info := fields["info"].(map[string]any)
	delete(info, "version")
	delete(info, "zone")
	status := fields["status"].(map[string]any)
	status["sequence"] = status["sequence"].(float64) + foreignAhead
	body, _ := json.Marshal(fields) // always marshals
	return body
}
