package distribute

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// readsOf ticks a node's core for a time and serves its reads without any delay. It
// returns the number of reads, and stops at maxReads.
func readsOf(s *sim, n *simNode, d time.Duration, maxReads int) int {
	reads := 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		actions := n.Tick(s.now)
		for len(actions) > 0 && reads < maxReads {
			a := actions[0]
			actions = actions[1:]
			switch a.Kind {
			case ReadLog:
				page, err := s.log.Read(context.Background(), eventlog.StreamConfig, a.After+1, PageRecords)
				actions = append(actions, n.LogRead(s.now, page, err)...)
				reads++
			case ReadSnapshot:
				data, err := config.ReadSnapshot(context.Background(), s.log)
				actions = append(actions, n.SnapshotRead(s.now, data, err)...)
				reads++
			}
		}
	}
	return reads
}

// Guards against a node that reads the log without a pause while the next record is
// trimmed and neither a snapshot nor a peer has it.
func TestTrimmedLogWithoutSnapshotIsReadAtIntervals(t *testing.T) {
	s := newSim(11, 1, Options{})
	s.append(t, "first")
	s.append(t, "second")
	s.log.Trim(eventlog.StreamConfig, 2)
	if reads := readsOf(s, s.nodes[0], 10*time.Second, 10_000); reads > 40 {
		t.Fatalf("%d reads in 10 s, at most 40", reads)
	}
}
