package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Clients of the case on clients that leave.
const (
	pipeliningClients = 20
	leavingClients    = 6 // of these
	pipelineDelay     = 200 * time.Millisecond
	leaveAfter        = 600 * time.Millisecond
	longRead          = 3 * time.Second // work of each of their requests
	goneTolerance     = 500 * time.Millisecond
	aFewRequests      = 3
)

// clientsLeave lets clients send a second read before the first is answered. Some of them
// then close their connection.
func clientsLeave(f *fleet) ([]string, error) {
	orders, clients, err := sixMachines(f, grownSlots, bookingLookup)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	type work struct{ instance, request string }
	ended := map[work]time.Time{} // when an instance stopped work on a request
	var failed error
	closed := map[string]time.Time{} // when the client of a request closed its connection
	for _, x := range orders {
		x.handler = func(_ http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, "/stock/long/") {
				return false
			}
			select {
			case <-time.After(longRead):
			case <-r.Context().Done():
			}
			id := r.Header.Get(wire.RequestID)
			f.note("instance %s ends its work on %s, broken off: %v", x.id, id, r.Context().Err() != nil)
			mu.Lock()
			defer mu.Unlock()
			ended[work{x.id, id}] = time.Now()
			return false
		}
	}
	time.Sleep(stabilityWindow)
	var wait sync.WaitGroup
	for i := range pipeliningClients {
		wait.Go(func() {
			ids, err := sendPipelined(f, clients[0].node, i, trouble() && i < leavingClients)
			mu.Lock()
			defer mu.Unlock()
			failed = errors.Join(failed, err)
			for _, id := range ids {
				closed[id] = time.Now()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(3 * longRead)
	mu.Lock()
	defer mu.Unlock()
	if failed != nil {
		return nil, failed
	}
	runs, late, working := 0, 0, map[string]bool{}
	for _, x := range orders {
		for _, r := range x.ranSince(f.started) {
			left, ok := closed[r.id]
			if !ok {
				continue
			}
			runs++
			switch limit := left.Add(goneTolerance); {
			case r.reached.After(limit):
				late++
			case ended[work{x.id, r.id}].After(limit):
				working[r.id] = true
			}
		}
	}
	f.note("of the requests of %d clients that left, %d runs: %d reached an instance later than %s after the close, and instances were then still at work on %d requests", leavingClients, runs, late, goneTolerance, len(working))
	var broken []string
	if late > aFewRequests {
		broken = append(broken, fmt.Sprintf("GONE: %d requests reached an instance later than %s after their clients had closed the connection", late, goneTolerance))
	}
	if 4*len(working) > leavingClients {
		broken = append(broken, fmt.Sprintf("GONE: instances were still at work %s after the close on %d of %d reads of clients that had left", goneTolerance, len(working), leavingClients))
	}
	return broken, nil
}

// sendPipelined sends two reads on one connection, the second before the first is answered.
// It returns the requests of a client that leaves, after it has closed the connection, and
// none for one that reads both answers. Without trouble, fewer than both are an error.
func sendPipelined(f *fleet, n *node, client int, leaves bool) ([]string, error) {
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return nil, fmt.Errorf("client %d: %w", client, err)
	}
	defer conn.Close()
	started := time.Now()
	var ids []string
	for k := range 2 {
		id := fmt.Sprintf("long-%d-%d", client, k)
		ids = append(ids, id)
		f.note("client %d sends %s", client, id)
		_, err := fmt.Fprintf(conn, "GET /stock/long/%s HTTP/1.1\r\nHost: kits.example\r\n%s: %s\r\n%s: %d\r\n\r\n", id, wire.RequestID, id, wire.Deadline, bookingLookup.deadline)
		if err != nil {
			return nil, fmt.Errorf("client %d: %w", client, err)
		}
		time.Sleep(pipelineDelay)
	}
	if leaves {
		time.Sleep(time.Until(started.Add(leaveAfter)))
		f.note("client %d closes its connection", client)
		return ids, nil
	}
	buffer := make([]byte, 4<<10)
	_ = conn.SetReadDeadline(time.Now().Add(3 * longRead)) // fails only if the connection is closed
	text := ""
	for strings.Count(text, " to long-") < len(ids) {
		n, err := conn.Read(buffer)
		if text += string(buffer[:n]); err != nil {
			break
		}
	}
	got := strings.Count(text, " to long-")
	f.note("client %d got %d answers", client, got)
	if !trouble() && got < len(ids) {
		return nil, fmt.Errorf("client %d got %d of %d answers", client, got, len(ids))
	}
	return nil, nil
}
