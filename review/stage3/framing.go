package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of garble in the site file: 0.03 of the answers, for 5 s at a time.
const (
	faultyEvery = 34 // answers of the faulty instance per faulty one
	spell       = 5 * time.Second
	spells      = 4
	streams     = 3 // of ten requests a second each
)

// faultyFraming lets one of two instances send some of its answers in chunks under the
// version HTTP/1.0, which has no chunks.
func faultyFraming(f *fleet) ([]string, error) {
	orders, c, err := threeMachines(f)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers, faulty, inSpell := 0, 0, false
	for i, x := range orders {
		x.handler = func(w http.ResponseWriter, r *http.Request) bool {
			time.Sleep(x.work)
			mu.Lock()
			defer mu.Unlock()
			if !inSpell || i > 0 {
				return false
			}
			if answers++; answers%faultyEvery != 0 {
				return false
			}
			conn, writer, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return false
			}
			defer conn.Close()
			faulty++
			id := r.Header.Get(wire.RequestID)
			body := "answer of " + x.id + " to " + id
			f.note("instance %s answers %s in chunks under HTTP/1.0", x.id, id)
			_, _ = fmt.Fprintf(writer, "HTTP/1.0 200 OK\r\n%s: %s\r\n%s: s.%s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				wire.RequestID, id, wire.Signature, x.id, len(body), body) // the connection may be closed
			_ = writer.Flush()
			return true
		}
	}
	time.Sleep(stabilityWindow)
	stop, all := make(chan struct{}), make(chan map[string]answer, streams)
	for range streams {
		go func() { all <- traffic(c, stop, "POST /order/", "GET /stock/") }()
	}
	for range spells {
		time.Sleep(spell)
		mu.Lock()
		inSpell = trouble()
		mu.Unlock()
		time.Sleep(spell)
		mu.Lock()
		inSpell = false
		mu.Unlock()
	}
	close(stop)
	wrong, wrongOrders, ok, other := 0, 0, 0, 0
	for range streams {
		for id, a := range <-all {
			switch {
			case a.err != nil || a.status != http.StatusOK:
				other++
			case strings.HasPrefix(a.body, "answer of ") && strings.HasSuffix(a.body, " to "+id):
				ok++
			default:
				wrong++
				if strings.HasPrefix(a.path, "/order/") {
					wrongOrders++
				}
				f.note("%s (%s) got status %d, signature %q, body %q", id, a.path, a.status, a.signature, a.body)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	f.note("%d requests got the body of their answer, %d another one, %d no success; %d answers had faulty framing", ok, wrong, other, faulty)
	if wrong > 0 {
		return []string{fmt.Sprintf("MIXED: %d of %d successes, %d of them for orders, have a body that is not that of the instance's answer; %d answers had faulty framing", wrong, wrong+ok, wrongOrders, faulty)}, nil
	}
	return nil, nil
}
