package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"
)

func init() { cases["8"] = cutAnswers }

// maxCutAnswers is the number of cut answers that the rule allows.
const maxCutAnswers = 3

// cutAnswers plays instances that answer before they have read a long body of a known
// length. The clients send it on a kept connection.
func cutAnswers(s *stage) {
	a, b := s.addNode(1, "qld-a", "library"), s.addNode(2, "qld-b", "library")
	s.store.publish(map[string]any{
		"version":  3,
		"routes":   map[string]any{"r-guide": route("guide.example", "/guide/", "download", "library", 20000)},
		"services": services("library"), "limits": limits,
	})
	u := &uploads{stage: s, readFirst: knownReadFirst, sent: map[string][]byte{}, answered: map[string]chan struct{}{}}
	serve := func(in *instance, w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "guide") // fails only if the caller is gone
			return
		}
		u.serve(in, w, r)
	}
	a.addInstance("i-early-a", serve)
	b.addInstance("i-early-b", serve)
	s.awaitReady()
	time.Sleep(4 * time.Second) // announcements and gossip
	client := newClient(20 * time.Second)
	cut := 0
	for i := range earlyRequests {
		node, kept := s.nodes[i%2], false
		first := node.send(client, request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, host: "guide.example", path: "/guide/2f", deadline: 20 * time.Second})
		body := make([]byte, knownBodyBytes)
		for j := range body {
			body[j] = byte(rand.Uint32())
		}
		q := request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, host: "guide.example", path: "/guide/2f",
			deadline: 20 * time.Second, body: &pacedReader{rest: body, pause: knownPause}, length: knownBodyBytes,
			trace: &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { kept = c.Reused }}}
		u.mu.Lock()
		u.sent[q.id], u.answered[q.id] = body, make(chan struct{})
		u.mu.Unlock()
		got := node.send(client, q)
		s.note("client sends %s after a request with status %d, kept connection: %t, Content-Length: %d, and gets: %s", q.id, first.status, kept, len(body), got)
		if got.status == 0 && kept {
			cut++
		}
		select {
		case <-u.answered[q.id]:
		case <-time.After(2 * time.Second):
			s.note("no instance has read %s to its end", q.id)
		}
	}
	s.note("%d requests, %d answers of sound instances were cut on kept connections", earlyRequests, cut)
	if cut > maxCutAnswers {
		s.breach("LOST: %d kept connections were closed without the whole answer", cut)
	}
}
