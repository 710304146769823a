package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = extraBytes }

const (
	extraShare    = 0.03 // of the answers are followed by additional bytes
	extraClients  = 6
	extraRequests = 150 // of each client
	extraWork     = 20 * time.Millisecond
)

// extraBytes plays an instance that sends additional bytes after some of its answers.
// They arrive late, where the next answer is expected, and name no request.
func extraBytes(s *stage) {
	entry, faulty, sound := s.addNode(1, "qld-a", "shopfront"), s.addNode(2, "qld-b", "orders"), s.addNode(3, "qld-c", "orders")
	s.store.publish(map[string]any{
		"version": 3,
		"routes": map[string]any{
			"r-order": route("order.example", "/order/", "non_idempotent", "orders", 6000),
			"r-stock": route("stock.example", "/stock/", "idempotent", "orders", 6000),
		},
		"services": services("orders", "shopfront"), "limits": limits,
	})
	var answers, extras atomic.Int64
	faulty.addRawInstance("i-faulty", func(in *instance, conn net.Conn) {
		in.serveRaw(conn, &answers, &extras)
	})
	sound.addInstance("i-sound", func(in *instance, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the body is not checked here
		time.Sleep(extraWork)
		_, _ = io.WriteString(w, answerFor(r.Header.Get("X-Hyssopsill-Request-Id"))) // fails only if the caller is gone
	})
	s.awaitReady()
	time.Sleep(4 * time.Second) // announcements and gossip
	var clients sync.WaitGroup
	for range extraClients {
		clients.Go(func() {
			client := newClient(6 * time.Second)
			for i := range extraRequests {
				q := request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, host: "stock.example", path: "/stock/2f", deadline: 6 * time.Second}
				if i%2 == 0 {
					q.method, q.host, q.path, q.body, q.length = http.MethodPost, "order.example", "/order/2f", strings.NewReader("order"), 5
				}
				got := entry.send(client, q)
				if got.status != http.StatusOK {
					s.note("client gets for %s: %s", q.id, got)
				} else if string(got.body) != answerFor(q.id) {
					s.breach("MIXED: the client of %s (%s %s) gets status 200, signature %q and the body %q", q.id, q.method, q.path, got.signed, got.body)
				}
				time.Sleep(extraWork)
			}
		})
	}
	clients.Wait()
	s.note("%d requests, %d answers of %s, %d of them followed by additional bytes", extraClients*extraRequests, answers.Load(), "i-faulty", extras.Load())
}

// answerFor returns the body of the answer to a request.
func answerFor(id string) string { return "the answer to " + id }

// serveRaw serves the requests of one connection.
func (in *instance) serveRaw(conn net.Conn, answers, extras *atomic.Int64) {
	reader := bufio.NewReader(conn)
	extra := "" // bytes that are sent before the next answer
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a body that ends early shows at the next request
		id := r.Header.Get("X-Hyssopsill-Request-Id")
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Hyssopsill-Instance-Id: "+in.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.Header.Get("X-Hyssopsill-Target-Instance") != in.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Hyssopsill-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if extra != "" {
			in.stage.note("instance %s sends additional bytes, which name no request, before its answer to %s", in.id, id)
			extras.Add(1)
		}
		time.Sleep(extraWork)
		body := answerFor(id)
		named := "X-Hyssopsill-Request-Id: " + id + "\r\n"
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Hyssopsill-Response-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n%s", named, in.id, id, len(body), body)
		if _, err := io.WriteString(conn, extra+answer); err != nil {
			return
		}
		answers.Add(1)
		extra = ""
		if in.stage.trouble && rand.Float64() < extraShare {
			extra = strings.Replace(answer, named, "", 1)
		}
	}
}
