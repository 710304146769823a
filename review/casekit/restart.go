package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = leaveThenRestart }

// Times of the case, from the acknowledgement of the deregistration.
const (
	restartKill     = 300 * time.Millisecond
	restartDown     = 500 * time.Millisecond // until the process starts again
	restartLateBeat = 2 * time.Second        // when the delayed heartbeat arrives
	restartExit     = 10 * time.Second       // when the instance ends
	drainTime       = 2 * time.Second        // drainMs
	stability       = 3 * time.Second        // stabilityWindowMs
	orderWork       = 480 * time.Millisecond
	orderInterval   = 150 * time.Millisecond
)

// arrivals are the requests that instances got.
type arrivals struct {
	stage *stage

	mu       sync.Mutex
	leftAt   time.Time // when the leaving instance got its acknowledgement
	touchAt  time.Time // from when on all machines are in touch again
	leaving  *instance
	late     int
	lateRuns map[string]bool
}

func (a *arrivals) serve(in *instance, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Hyssopsill-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	now := time.Now()
	a.mu.Lock()
	if in == a.leaving && !a.leftAt.IsZero() && now.Sub(a.leftAt) > drainTime {
		inTouch := !a.touchAt.IsZero() && now.After(a.touchAt)
		a.stage.note("%s reaches %s %s after its acknowledgement, machines in touch: %t", id, in.id, now.Sub(a.leftAt).Round(time.Millisecond), inTouch)
		if inTouch {
			a.late++
			a.lateRuns[id] = true
		}
	}
	a.mu.Unlock()
	select {
	case <-time.After(orderWork):
	case <-in.stopped:
		panic(http.ErrAbortHandler) // the work ends with the instance
	}
	_, _ = fmt.Fprintf(w, "order %s is taken by %s", id, in.id)
}

// leaveThenRestart plays an instance that leaves with a deregistration. The node that
// acknowledged it is killed and starts again, and then gets a heartbeat that the instance
// sent before.
func leaveThenRestart(s *stage) {
	entry, own, other := s.addNode(1, "qld-a", "shopfront"), s.addNode(2, "qld-b", "orders"), s.addNode(3, "qld-c", "orders")
	s.store.publish(map[string]any{
		"version":  3,
		"routes":   map[string]any{"r-order": route("order.example", "/order/", "non_idempotent", "orders", 6000)},
		"services": services("orders", "shopfront"), "limits": limits,
	})
	a := &arrivals{stage: s, lateRuns: map[string]bool{}}
	leaving := own.addInstance("i-leaving", a.serve)
	other.addInstance("i-staying", a.serve)
	s.awaitReady()
	time.Sleep(4 * time.Second) // announcements and gossip

	delayed := leaving.message() // a heartbeat that arrives late
	leaving.mu.Lock()
	leaving.silent = true // an instance that has deregistered sends no heartbeats
	leaving.mu.Unlock()
	if err := leaving.deregister(); err != nil {
		s.fail("deregistration: %v", err)
	}
	leftAt := time.Now()
	a.mu.Lock()
	a.leaving, a.leftAt = leaving, leftAt
	a.mu.Unlock()
	s.note("%s acknowledges the deregistration of %s", own.name, leaving.id)

	touchAt := leftAt
	if s.trouble {
		time.Sleep(restartKill)
		own.signal(syscall.SIGKILL)
		own.kill()
		time.Sleep(restartDown)
		own.launch()
		touchAt = time.Now().Add(stability)
	}
	a.mu.Lock()
	a.touchAt = touchAt
	a.mu.Unlock()
	time.Sleep(time.Until(leftAt.Add(restartLateBeat)))
	s.note("the delayed heartbeat of %s arrives: %v", leaving.id, leaving.tell("Heartbeat", delayed))

	client := newClient(6 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for time.Since(leftAt) < restartExit+2*time.Second {
		if time.Since(leftAt) > restartExit {
			select {
			case <-leaving.stopped:
			default:
				leaving.stop()
			}
		}
		clients.Go(func() {
			q := request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, host: "order.example", path: "/order/2f", deadline: 6 * time.Second}
			got := entry.send(client, q)
			a.mu.Lock()
			late := a.lateRuns[q.id]
			a.mu.Unlock()
			if got.status == http.StatusOK {
				return
			}
			s.note("client gets for %s: %s", q.id, got)
			if late {
				mu.Lock()
				lost++
				mu.Unlock()
				s.note("order %s was given to the leaving instance and is lost with it", q.id)
			}
		})
		time.Sleep(orderInterval)
	}
	clients.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.note("%d orders reached %s later than %s after its acknowledgement while all machines were in touch, %d of them were lost", a.late, leaving.id, drainTime, lost)
	if a.late > 0 {
		s.breach("DRAIN: %d requests reached an instance whose leaving was acknowledged", a.late)
	}
}
