package transfer

import (
	"sync"
	"time"
)

// SlowAfter is the age from which a transfer counts as slow.
const SlowAfter = time.Second

// Counts describes the transfers of a node since its start.
type Counts struct {
	Running       int     `json:"running"`
	OldestSec     float64 `json:"oldest_s"` // age of the oldest one that runs, 0 without one
	Completed     int64   `json:"completed"`
	GivenUp       int64   `json:"given_up"`       // they failed, or were no longer needed
	Slow          int64   `json:"slow"`           // they took more than SlowAfter
	Bytes         int64   `json:"bytes"`          // received in all
	DroppedBytes  int64   `json:"dropped_bytes"`  // received by transfers that were given up, and not used
	RepeatedBytes int64   `json:"repeated_bytes"` // of chunks that the node had already
	LastRate      float64 `json:"last_bytes_per_s"`
}

// Stats counts transfers. It is safe for concurrent use.
type Stats struct {
	mu      sync.Mutex
	running map[*Transfer]struct{}
	counts  Counts
}

// NewStats returns Stats without transfers.
func NewStats() *Stats { return &Stats{running: map[*Transfer]struct{}{}} }

// Start begins a transfer.
func (s *Stats) Start(source string) *Transfer {
	t := New(source)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[t] = struct{}{}
	return t
}

// Summary describes a transfer that has ended.
type Summary struct {
	Source  string
	Took    time.Duration
	Idle    time.Duration // since the last bytes
	Bytes   int64
	Dropped int64   // bytes that were not used
	Rate    float64 // bytes/s
	Slow    bool
}

// End ends a transfer of whose bytes used were used, and returns what is known of it.
func (s *Stats) End(t *Transfer, completed bool, used int64) Summary {
	e := Summary{Source: t.source, Took: t.Age(), Idle: t.Idle(), Bytes: t.Bytes(), Slow: t.Age() > SlowAfter}
	e.Rate = float64(e.Bytes) / max(e.Took, time.Microsecond).Seconds()
	if !completed {
		e.Dropped = max(0, e.Bytes-used)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, t)
	s.counts.Bytes += e.Bytes
	s.counts.DroppedBytes += e.Dropped
	s.counts.LastRate = e.Rate
	if completed {
		s.counts.Completed++
	} else {
		s.counts.GivenUp++
	}
	if e.Slow {
		s.counts.Slow++
	}
	return e
}

// Repeated adds bytes that the node had already.
func (s *Stats) Repeated(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.RepeatedBytes += int64(bytes)
}

// Counts returns the counts so far.
func (s *Stats) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Running = len(s.running)
	for t := range s.running {
		counts.OldestSec = max(counts.OldestSec, t.Age().Seconds())
	}
	return counts
}
