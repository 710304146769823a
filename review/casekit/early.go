package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = answerEarly }

const (
	earlyRequests   = 12
	earlyBodyBytes  = 1536 << 10
	earlyReadFirst  = 128 << 10 // bytes of the body that the instance reads before it answers
	earlyAnswer     = 540_000   // bytes of the largest guide
	earlyAnswerHead = 300_000   // bytes of the answer that are ready at once
	earlyAnswerTime = time.Second
	earlyDeadline   = 6 * time.Second // of a guide-download
	earlyPiece      = 32 << 10
	earlyPause      = 8 * time.Millisecond // between two pieces that the client sends
)

// answerEarly plays instances that answer before they have read a long body, keep the
// connection and read on.
func answerEarly(s *stage) {
	a, b := s.addNode(1, "qld-a", "library"), s.addNode(2, "qld-b", "library")
	s.store.publish(map[string]any{
		"version":  3,
		"routes":   map[string]any{"r-guide": route("guide.example", "/guide/", "download", "library", 6000)},
		"services": services("library"), "limits": limits,
	})
	u := &uploads{stage: s, sent: map[string][]byte{}, answered: map[string]chan struct{}{}}
	a.addInstance("i-early-a", u.serve)
	b.addInstance("i-early-b", u.serve)
	s.awaitReady()
	time.Sleep(4 * time.Second) // announcements and gossip
	client := newClient(earlyDeadline)
	for i := range earlyRequests {
		body := make([]byte, earlyBodyBytes)
		for j := range body {
			body[j] = byte(rand.Uint32())
		}
		q := request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, host: "guide.example", path: "/guide/2f",
			deadline: earlyDeadline, body: &pacedReader{rest: body}, length: -1}
		u.mu.Lock()
		u.sent[q.id], u.answered[q.id] = body, make(chan struct{})
		u.mu.Unlock()
		s.note("client sends %s: POST %s with %d bytes in chunks, digest %s", q.id, q.path, len(body), digest(body))
		got := s.nodes[i%2].send(client, q)
		s.note("client gets for %s: %s", q.id, got)
		select {
		case <-u.answered[q.id]:
		case <-time.After(2 * time.Second):
			s.note("no instance has read %s to its end", q.id)
		}
	}
	s.note("%d requests, %d were run with their whole body, %d with another one", earlyRequests, u.whole, u.altered)
}

// uploads are the requests with a long body, by their ids.
type uploads struct {
	stage *stage

	mu             sync.Mutex
	sent           map[string][]byte
	answered       map[string]chan struct{} // closed when an instance has read the request to its end
	whole, altered int                      // requests that were run
}

func (u *uploads) serve(in *instance, w http.ResponseWriter, r *http.Request) {
	s, id := u.stage, r.Header.Get(wire.RequestID)
	u.mu.Lock()
	sent, ended := u.sent[id], u.answered[id]
	u.mu.Unlock()
	if sent == nil {
		s.breach("UNASKED: instance %s gets request %q, which no client sent", in.id, id)
		return
	}
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		select {
		case <-ended: // a second run
		default:
			close(ended)
		}
	}()
	read := &strings.Builder{}
	written := make(chan struct{})
	if s.trouble {
		if http.NewResponseController(w).EnableFullDuplex() != nil {
			s.fail("the instance cannot answer before it has read the body")
		}
		_, _ = io.CopyN(read, r.Body, earlyReadFirst) // an error shows again below
		s.note("instance %s answers %s after %d bytes of its body", in.id, id, read.Len())
		go func() {
			defer close(written)
			writeAnswer(w)
		}()
	}
	_, err := io.Copy(read, r.Body)
	got := []byte(read.String())
	if !bytes.HasPrefix(sent, got) {
		at := 0
		for at < len(got) && got[at] == sent[at] {
			at++
		}
		s.breach("UNASKED: instance %s gets other bytes of %s from byte %d on", in.id, id, at)
	}
	switch {
	case err != nil:
		s.note("instance %s: the body of %s breaks off after %d bytes: %v", in.id, id, len(got), err)
	case bytes.Equal(got, sent):
		u.count(&u.whole)
		s.note("instance %s runs %s with its whole body", in.id, id)
	default:
		u.count(&u.altered)
		s.breach("UNASKED: instance %s runs %s with %d bytes, digest %s; the client sent %d bytes, digest %s", in.id, id, len(got), digest(got), len(sent), digest(sent))
	}
	if s.trouble {
		<-written
	} else if err == nil {
		writeAnswer(w)
	}
}

func (u *uploads) count(n *int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*n++
}

// writeAnswer sends a whole response of a known length. Its second part is ready later.
func writeAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", fmt.Sprint(earlyAnswer))
	_, _ = w.Write(make([]byte, earlyAnswerHead)) // fails only if the caller is gone
	_ = http.NewResponseController(w).Flush()
	time.Sleep(earlyAnswerTime)
	_, _ = w.Write(make([]byte, earlyAnswer-earlyAnswerHead))
	_ = http.NewResponseController(w).Flush()
}

// pacedReader is a body that arrives piece by piece.
type pacedReader struct{ rest []byte }

func (p *pacedReader) Read(buffer []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(earlyPause)
	n := copy(buffer[:min(len(buffer), earlyPiece)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}
