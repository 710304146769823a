package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// cannotRun is the panic value of a case that could not run.
type cannotRun string

// stage is the world of one case: its nodes, its store and its record.
type stage struct {
	trouble  bool // the disruption takes place
	start    time.Time
	scratch  string // temporary folder
	network  string // first three parts of the loopback addresses
	store    *store
	breaches atomic.Int64

	mu     sync.Mutex
	record *os.File
	nodes  []*node
}

func newStage(number string, trouble bool) (*stage, error) {
	record, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &stage{trouble: trouble, start: time.Now(), scratch: scratch, record: record,
		network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	s.note("case %s, disruption: %t", number, trouble)
	s.store, err = newStore(s)
	return s, err
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach notes that the rule was broken.
func (s *stage) breach(format string, args ...any) {
	s.breaches.Add(1)
	s.note("BREACH: "+format, args...)
}

// fail ends the case, which could not run.
func (s *stage) fail(format string, args ...any) {
	panic(cannotRun(fmt.Sprintf(format, args...)))
}

// until waits for a condition, for a bounded time.
func (s *stage) until(limit time.Duration, what string, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.fail("%s: not within %s", what, limit)
		}
	}
}

// close ends all processes that the stage started.
func (s *stage) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	s.store.close()
	_ = os.RemoveAll(s.scratch)
	_ = s.record.Close()
}
