package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	extraEvery     = 34                     // answers, so that their share stays below x = 0.03
	extraDelay     = 100 * time.Millisecond // after the complete answer
	extraWindows   = 4
	extraWindow    = 5 * time.Second // for_s
	extraPause     = 2 * time.Second
	ordersForExtra = 45 // a second
)

// playAnonymousResponse lets one instance of the orders service send extra bytes a moment
// after some of its complete answers, whatever happens on the connection meanwhile.
func playAnonymousResponse(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	if err := addOrderMachines(f); err != nil {
		return verdict{}, err
	}
	f.store.publish(newConfig(7, readService))
	if err := f.start(ctx); err != nil {
		return verdict{}, err
	}
	faulty := f.machines[0].instance
	t := f.startTraffic(ctx, ordersForExtra, http.MethodPost, ordersHost, ordersPath+"2f", orderDeadline)
	source := &extraSource{instance: faulty}
	for range extraWindows {
		if err := wait(ctx, time.Now().Add(extraPause)); err != nil {
			return verdict{}, err
		}
		if trouble {
			faulty.setExtra(source.next)
		}
		if err := wait(ctx, time.Now().Add(extraWindow)); err != nil {
			return verdict{}, err
		}
		faulty.setExtra(nil)
	}
	results := t.end()
	foreign := 0
	for id, r := range results {
		if r.status/100 == 2 && !strings.HasPrefix(r.body, "request "+id+" ") {
			foreign++
			f.rec.line("request %s got the answer %q", id, firstLine(r.body))
		}
	}
	return verdict{broken: foreign > 0, summary: fmt.Sprintf("%d of %d orders got a success with the body of another order's answer; the instance sent extra bytes %d times",
		foreign, len(results), source.sent)}, nil
}

// extraSource makes the extra bytes of a faulty instance: a copy of its last answer on the
// connection, without the request's identity.
type extraSource struct {
	instance *instance

	mu            sync.Mutex
	answers, sent int
}

func (s *extraSource) next(id string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if s.answers < extraEvery {
		return nil
	}
	s.answers = 0
	s.sent++
	body := s.instance.bodyFor(id)
	s.instance.machine.fleet.rec.line("instance %s sends extra bytes %s after its answer to %s", s.instance.id, extraDelay, id)
	return formatAnswer(http.StatusOK, body, headerSignature, signature(body))
}
