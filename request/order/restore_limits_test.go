package order

import (
	"testing"
	"time"
)

// settleWithView appends and reads at one node, whose view holds the given members, until
// it has nothing more to append.
func (s *restoreSimulation) settleWithView(i int, members []Owner) {
	const maxRounds = 20
	for range maxRounds {
		for {
			page, err := s.log.read(s.nodes[i].Next(), 100)
			if err != nil {
				s.nodes[i].Restored(s.now, page.Era)
				continue
			}
			s.nodes[i].SetMembers(members)
			if s.applyPage(i, page) {
				break
			}
		}
		s.now = s.now.Add(300 * time.Millisecond)
		if data, ok := s.nodes[i].NextBatch(s.now); ok {
			s.log.records = append(s.log.records, data)
			s.nodes[i].Appended(s.now, true)
		}
	}
}

// Guards against a lost key that is bound again by nodes whose views lack the only node
// that read its binding.
func TestNodesWithoutAnotherInViewBindNoLostKey(t *testing.T) {
	s := newRestoreSimulation(BindingsOptions{}, true, 1)
	view := []Owner{s.nodes[1].self, s.nodes[2].self}
	s.settleWithView(1, view)
	s.settleWithView(2, view)
	s.log.copied = len(s.log.records)
	s.bind(0, 0) // lost; only node 0 reads it
	s.log.restore()
	s.settleWithView(1, view)
	s.settleWithView(2, view)
	if state, _ := s.nodes[2].Lookup(s.now, s.key(0), "s"); state != Unavailable {
		t.Errorf("the key of a lost binding has the state %d at a node that does not know it, want %d", state, Unavailable)
	}
}

// Guards against a lost key that is bound again by a node which takes a stream whose
// records are all lost for a new one.
func TestStreamLostAsAWholeBindsNoKeyAgain(t *testing.T) {
	s := newRestoreSimulation(BindingsOptions{}, true, 1)
	s.log.copied = 0
	s.bind(0, 0)
	s.log.restore()
	s.restart(2) // before another node has read the new era
	if state := s.bind(2, 0); state == Bound {
		_, known := s.nodes[0].Lookup(s.now, s.key(0), "s")
		_, again := s.nodes[2].Lookup(s.now, s.key(0), "s")
		t.Errorf("the key is bound to %s and to %s", known.Owner.Node, again.Owner.Node)
	}
}
