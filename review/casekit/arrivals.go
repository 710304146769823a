package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime     = 2 * time.Second // drainMs
	stability     = 3 * time.Second // stabilityWindowMs
	orderWork     = 480 * time.Millisecond
	orderInterval = 150 * time.Millisecond
)

// arrivals are the requests that instances got.
type arrivals struct {
	stage *stage

	mu       sync.Mutex
	leftAt   time.Time // when the leaving instance got its acknowledgement
	leaving  *instance
	late     int
	lateRuns map[string]bool
}

func (a *arrivals) serve(in *instance, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	_, _ = io.Copy(io.Discard, r.Body)
	now := time.Now()
	a.mu.Lock()
	if in == a.leaving && !a.leftAt.IsZero() && now.Sub(a.leftAt) > drainTime {
		a.stage.note("%s reaches %s %s after its acknowledgement", id, in.id, now.Sub(a.leftAt).Round(time.Millisecond))
		a.late++
		a.lateRuns[id] = true
	}
	a.mu.Unlock()
	select {
	case <-time.After(orderWork):
	case <-in.stopped:
		panic(http.ErrAbortHandler) // the work ends with the instance
	}
	_, _ = fmt.Fprintf(w, "order %s is taken by %s", id, in.id)
}
