package distribute

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
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

// forward counts the configurations that came into force after a newer one, in a
// sim whose changes have increasing numbers.
type forward struct {
	back   int
	events []string
}

// forNode returns the options of one process.
func (f *forward) forNode(o Options) Options {
	last := 0
	o.OnConfig = func(c *config.Config) {
		n := number(c.CustomerHeader)
		if n < last {
			f.back++
		}
		last = n
	}
	o.OnEvent = func(text string) { f.events = append(f.events, text) }
	return o
}

// number returns the number of the change that set the header, 0 for none.
func number(header string) int {
	n := 0
	_, _ = fmt.Sscanf(strings.TrimPrefix(header, "X-"), "%d", &n)
	return n
}

func newRestoredSim(seed uint64, nodes int, o Options) (*sim, *forward) {
	s, f := newSim(seed, 0, o), &forward{}
	for i := range nodes {
		f.add(s, fmt.Sprintf("node-%02d", i), fmt.Sprintf("%c%d", 'a'+i%3, i/3%3), o)
	}
	return s, f
}

func (f *forward) add(s *sim, name, domain string, o Options) {
	s.options = f.forNode(o)
	s.add(name, domain)
}

// restoreLog takes the log away for two seconds and brings it back from its
// checkpoint.
func (s *sim) restoreLog() {
	s.log.SetFaults(logservice.Faults{Outage: true})
	s.run(2 * time.Second)
	s.log.Restore()
	s.log.SetFaults(logservice.Faults{})
}

// reload makes append continue from the log as it is.
func (s *sim) reload(t testing.TB) {
	t.Helper()
	state, err := config.Load(context.Background(), s.log)
	if err != nil {
		t.Fatal(err)
	}
	s.logState = state
}

// disagreement describes how running nodes differ from the log, empty when they do not.
func (s *sim) disagreement() string {
	for _, n := range s.nodes {
		v, _ := n.Version()
		if s.running(n) && (!n.Ready() || v != s.logState.Version() || n.Config().CustomerHeader != s.logState.Config().CustomerHeader) {
			return fmt.Sprintf("%s is at version %d with %s, ready %v; the log is at %d with %s", n.peer.Node, v, n.Config().CustomerHeader, n.Ready(),
				s.logState.Version(), s.logState.Config().CustomerHeader)
		}
	}
	return ""
}

// Guards against a change that was in force on all nodes and is gone after the log
// came back from an older copy, or is in force on some nodes only.
func TestChangesLostByTheLogAreWrittenAgain(t *testing.T) {
	testWithAndWithout(t, Options{noRewrite: true}, func(t *testing.T, o Options) bool {
		s, f := newRestoredSim(21, 9, o)
		s.append(t, "1")
		s.run(time.Minute)
		s.log.Checkpoint()
		s.append(t, "2")
		s.append(t, "3")
		s.run(5 * time.Second)
		s.restoreLog()
		appends := s.log.Counts().Appends
		s.run(5 * time.Second)
		s.reload(t)
		appends = s.log.Counts().Appends - appends
		t.Logf("%s; %d appends, %d configurations went back, %d violations", s.disagreement(), appends, f.back, s.violations.count)
		if f.back > 0 || s.violations.count > 0 || appends > 2*9+2 {
			t.Fatalf("%d configurations went back, %d violations, %d appends", f.back, s.violations.count, appends)
		}
		return s.disagreement() != "" || s.logState.Config().CustomerHeader != "X-3"
	})
}

// Guards against nodes that never agree again after the log gave an offset out a
// second time for another change, which some of them had not read before.
func TestOffsetGivenOutAgainDoesNotSplitNodes(t *testing.T) {
	s, f := newRestoredSim(22, 9, Options{})
	s.append(t, "1")
	s.run(time.Minute)
	s.log.Checkpoint()
	late := s.nodes[5]
	late.pausedUntil = s.now.Add(12 * time.Second)
	s.append(t, "2")
	s.run(5 * time.Second)
	s.log.Restore() // no read fails, and the offset is taken before the next read
	s.reload(t)
	s.append(t, "3")
	s.run(15 * time.Second)
	s.reload(t)
	if d := s.disagreement(); d != "" || s.logState.Config().CustomerHeader != "X-3" || f.back > 0 || s.violations.count > 0 {
		t.Fatalf("%s; the log has %s, %d configurations went back, %d violations", d, s.logState.Config().CustomerHeader, f.back, s.violations.count)
	}
	for _, text := range f.events {
		if strings.Contains(text, "era 1, was 0") {
			return
		}
	}
	t.Fatalf("no event names the eras: %q", f.events)
}

// Guards against a new node that starts with a snapshot of lost records, which a node
// wrote before it noticed the restore.
func TestSnapshotOfLostRecordsIsNotUsed(t *testing.T) {
	s, _ := newRestoredSim(23, 1, Options{})
	s.append(t, "1")
	s.log.Checkpoint()
	s.append(t, "2")
	s.run(5 * time.Second)
	lost := s.nodes[0].Snapshot(0)
	s.nodes[0].stopped = true
	s.log.Restore()
	if _, err := s.log.Append(context.Background(), eventlog.StreamSnapshots, lost); err != nil {
		t.Fatal(err)
	}
	s.reload(t)
	s.append(t, "3")
	s.append(t, "4")
	s.reload(t)
	s.add("fresh", "b0")
	s.run(5 * time.Second)
	if d := s.disagreement(); d != "" || s.logState.Config().CustomerHeader != "X-4" {
		t.Fatalf("%s; the log has %s", d, s.logState.Config().CustomerHeader)
	}
}

// Guards against a configuration that goes back, nodes that stay apart, a change that
// is lost though all nodes had it, and reads without a pause, when the log comes back
// from older copies at any moment among publications, restarts and pauses.
func TestConfigurationOnlyMovesForwardAcrossRestores(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { restoreAtRandom(t, seed) })
	}
}

func restoreAtRandom(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	s, f := newRestoredSim(seed, 6, Options{SnapshotChanges: 3})
	s.append(t, "1")
	s.run(10 * time.Second)
	s.logDelay = time.Duration(random.IntN(5)) * 100 * time.Millisecond
	published, agreed := 1, 1
	for range 12 {
		switch random.IntN(7) {
		case 0, 1, 2: // an operator publishes when the nodes follow the log
			s.reload(t)
			if s.eraBehind() {
				break
			}
			published++
			s.append(t, fmt.Sprint(published))
		case 3:
			s.log.Checkpoint()
		case 4:
			s.restoreLog()
		case 6: // no call fails, and the log may be restored again while changes are written
			s.log.Restore()
			s.run(time.Duration(random.IntN(12)) * 100 * time.Millisecond)
			s.log.Restore()
		case 5:
			n := s.nodes[random.IntN(len(s.nodes))]
			if random.IntN(2) == 0 {
				n.pausedUntil = s.now.Add(time.Duration(1+random.IntN(10)) * time.Second)
			} else if !n.stopped {
				n.stopped = true
				f.add(s, fmt.Sprint("again", len(s.nodes)), n.peer.Domain, Options{SnapshotChanges: 3})
			}
		}
		s.run(time.Duration(random.IntN(60)) * 100 * time.Millisecond)
		if n := s.lowest(); n > agreed {
			agreed = n
		}
	}
	s.logDelay = 0
	s.run(11 * time.Second) // the longest pause
	s.restoreLog()
	reads := s.log.Counts().Reads
	s.run(5 * time.Second)
	reads = s.log.Counts().Reads - reads
	s.reload(t)
	if d := s.disagreement(); d != "" {
		t.Errorf("5 s after the restore: %s", d)
	}
	if got := number(s.logState.Config().CustomerHeader); got < agreed {
		t.Errorf("the log is at change %d, all nodes had %d", got, agreed)
	}
	if f.back > 0 || s.violations.count > 0 {
		t.Errorf("%d configurations went back, %d violations", f.back, s.violations.count)
	}
	if reads > 6*3*12 {
		t.Errorf("%d reads in 5 s, at most %d", reads, 6*3*12)
	}
}

// eraBehind reports whether a node has a version of an earlier era than the log.
func (s *sim) eraBehind() bool {
	for _, n := range s.nodes {
		if v, _ := n.Version(); !n.stopped && v > 0 && config.PositionOf(v).Era < s.log.Era() {
			return true
		}
	}
	return false
}

// lowest returns the lowest number of the changes in force on running nodes.
func (s *sim) lowest() int {
	lowest := -1
	for _, n := range s.nodes {
		if got := number(n.Config().CustomerHeader); !n.stopped && (lowest < 0 || got < lowest) {
			lowest = got
		}
	}
	return lowest
}

// Guards against nodes that stay in the earlier era because the history no longer
// has the oldest lost changes.
func TestRestoreLosesMoreThanTheHistory(t *testing.T) {
	s, _ := newRestoredSim(21, 9, Options{})
	s.append(t, "1")
	s.run(time.Minute)
	s.log.Checkpoint()
	for i := range 70 {
		s.append(t, strconv.Itoa(2+i))
	}
	s.run(5 * time.Second)
	s.restoreLog()
	s.run(2 * time.Minute)
	s.reload(t)
	s.append(t, "100")
	s.run(10 * time.Minute)
	s.reload(t)
	for _, n := range s.nodes {
		if n.restored != nil {
			t.Errorf("node %s stays in the earlier era; lost: %v", n.options.Node, n.state.Lost(n.restored.state))
		}
	}
	if d := s.disagreement(); d != "" {
		t.Error(d)
	}
}

// Guards against losing the
// value in force when no later change has written the object.
func TestRestoreKeepsValueBeyondTheHistory(t *testing.T) {
	s, _ := newRestoredSim(21, 9, Options{})
	s.append(t, "1")
	s.run(time.Minute)
	s.log.Checkpoint()
	for i := range 70 {
		s.append(t, strconv.Itoa(2+i))
	}
	s.run(5 * time.Second)
	s.restoreLog()
	s.run(5 * time.Minute)
	s.reload(t)
	for _, n := range s.nodes {
		if n.restored != nil || n.Config().CustomerHeader != "X-71" {
			t.Errorf("node %s: in the earlier era %v, header %s", n.options.Node, n.restored != nil, n.Config().CustomerHeader)
		}
	}
}

// Guards against the same fault where a few large values exceed the history.
func TestRestoreLosesLargeChanges(t *testing.T) {
	for _, later := range []bool{false, true} {
		s, _ := newRestoredSim(21, 9, Options{})
		put := func(id string) {
			t.Helper()
			if err := s.logState.Advance(context.Background(), s.log, nil); err != nil {
				t.Fatal(err)
			}
			edit := config.Edit{
				Object:      config.ObjectCustomers,
				BaseVersion: s.logState.ObjectVersion(config.ObjectCustomers),
				Value:       "# " + strings.Repeat("x", 15<<10) + "\ncustomer_header = \"X-" + id + "\"",
			}
			data, err := config.Change{ChangeID: id, Author: "ana", Edits: []config.Edit{edit}}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.log.Append(context.Background(), eventlog.StreamConfig, data); err != nil {
				t.Fatal(err)
			}
		}
		put("1")
		s.run(time.Minute)
		s.log.Checkpoint()
		for i := range 6 {
			put(strconv.Itoa(2 + i))
		}
		s.run(5 * time.Second)
		s.restoreLog()
		s.run(2 * time.Minute)
		s.reload(t)
		want := "X-7"
		if later {
			s.append(t, "30")
			want = "X-30"
		}
		s.run(5 * time.Minute)
		s.reload(t)
		for _, n := range s.nodes {
			if n.restored != nil || n.Config().CustomerHeader != want {
				t.Errorf("node %s: in the earlier era %v, header %s, want %s", n.options.Node, n.restored != nil, n.Config().CustomerHeader, want)
			}
		}
	}
}

// Guards against a remainder of nodes at an earlier version that overrides the last
// change, which only one node has.
func TestRestoreKeepsChangeAfterRemainder(t *testing.T) {
	s, _ := newRestoredSim(21, 9, Options{})
	s.append(t, "1")
	s.run(time.Minute)
	s.log.Checkpoint()
	for i := range 69 {
		s.append(t, strconv.Itoa(2+i))
	}
	s.run(5 * time.Second)
	offset := s.append(t, "71")
	page, err := s.log.Read(context.Background(), eventlog.StreamConfig, offset, 10)
	if err != nil {
		t.Fatal(err)
	}
	last := s.nodes[8]
	last.RecordsReceived(s.now, Peer{Node: "x"}, config.RecordsOf(page), false, nil)
	last.pausedUntil = s.now.Add(30 * time.Second)
	s.log.Restore()
	s.run(5 * time.Minute)
	s.reload(t)
	for _, n := range s.nodes {
		if n.restored != nil || n.Config().CustomerHeader != "X-71" {
			t.Errorf("node %s: in the earlier era %v, header %s", n.options.Node, n.restored != nil, n.Config().CustomerHeader)
		}
	}
}
