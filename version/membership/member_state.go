package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// memberState is what this node knows of one member. Its slices are replaced, never
// modified, since views share them.
type memberState struct {
	node           string
	incarnation    attempt.Incarnation
	version        uint64
	declared       NodeState // by the node itself
	claim          Claim     // by others
	meta           Meta
	targetsVersion uint64
	targets        []Target
	patch          *Patch // last change of the targets, to forward
	reportsVersion uint64
	reports        []byte
	configVersion  int64

	unreachable   bool      // other nodes reach it, this node does not
	suspectUntil  time.Time // while claim is suspect
	deadSince     time.Time // while dead or left
	verifyPending bool      // a ping to check another node's dead claim is due
	verifying     bool      // suspect only because of such a claim, until it is confirmed or refuted
}

// nodeState returns the member's state in this node's view. A leaving node stays
// leaving under suspicion, since it takes no new work in either case.
func (s *memberState) nodeState() NodeState {
	switch {
	case s.claim == ClaimDead:
		return NodeDead
	case s.declared == NodeLeft, s.declared == NodeLeaving:
		return s.declared
	case s.claim == ClaimSuspect:
		return NodeSuspect
	case s.unreachable:
		return NodeUnreachable
	}
	return s.declared
}

// isTombstone reports whether the member is dead or has left.
func (s *memberState) isTombstone() bool { return s.claim == ClaimDead || s.declared == NodeLeft }

// comparePair compares the member's pair (incarnation, version) with another one.
func (s *memberState) comparePair(incarnation attempt.Incarnation, version uint64) int {
	if c := s.incarnation.Compare(incarnation); c != 0 {
		return c
	}
	switch {
	case s.version < version:
		return -1
	case s.version > version:
		return 1
	}
	return 0
}

func bucketOf(node string) int { return int(xxhash.Sum64String(node) % bucketCount) }

// hash covers the fields that anti-entropy synchronizes. Tombstones hash to 0, since
// nodes remove them at different times.
func (s *memberState) hash() uint64 {
	if s.isTombstone() {
		return 0
	}
	b := append(make([]byte, 0, 128), s.node...)
	b = binary.BigEndian.AppendUint64(b, uint64(s.incarnation.StartedMS))
	b = binary.BigEndian.AppendUint64(b, s.incarnation.Random)
	b = binary.BigEndian.AppendUint64(b, s.version)
	b = binary.BigEndian.AppendUint64(b, s.targetsVersion)
	return xxhash.Sum64(b)
}

func (s *memberState) memberVersion() MemberVersion {
	return MemberVersion{Node: s.node, Incarnation: s.incarnation, Version: s.version, TargetsVersion: s.targetsVersion, Dead: s.isTombstone()}
}

func (s *memberState) stateDelta() Delta {
	return Delta{Node: s.node, Incarnation: s.incarnation, Version: s.version, Claim: s.claim, Declared: s.declared, TargetsVersion: s.targetsVersion}
}

// fullDelta returns a delta with all parts, or only the state of a tombstone.
func (s *memberState) fullDelta() Delta {
	d := s.stateDelta()
	if s.isTombstone() {
		return d
	}
	meta := s.meta
	d.Meta, d.Targets, d.HasTargets = &meta, s.targets, true
	if s.reportsVersion > 0 {
		d.Reports = &Reports{Version: s.reportsVersion, Data: s.reports}
	}
	return d
}

// deltaFor returns a delta with what a receiver lacks that knows only an older pair.
func (s *memberState) deltaFor(known MemberVersion) Delta {
	if known.Incarnation == s.incarnation && known.TargetsVersion == s.targetsVersion {
		return s.stateDelta()
	}
	return s.fullDelta()
}

func (s *memberState) toMember() Member {
	member := Member{
		Node: s.node, Region: s.meta.Region, Domain: s.meta.Domain, Incarnation: s.incarnation, Version: s.version,
		State: s.nodeState(), DataAddress: s.meta.DataAddress, ControlAddress: s.meta.ControlAddress, ConfigVersion: s.configVersion,
	}
	if !s.isTombstone() {
		member.Targets, member.Reports = s.targets, s.reports
	}
	return member
}

// diffTargets returns the patch from one sorted set of targets to another, nil
// when they are equal. It ignores the time of the announcement, which a renewal may
// change.
func diffTargets(from, to []Target) *Patch {
	unmatched := map[string]Target{}
	for _, t := range from {
		unmatched[t.ID] = t
	}
	patch := &Patch{}
	for _, t := range to {
		previous, ok := unmatched[t.ID]
		delete(unmatched, t.ID)
		previous.AnnouncedAt = t.AnnouncedAt
		if !ok || previous != t {
			patch.Changed = append(patch.Changed, t)
		}
	}
	for _, t := range from {
		if _, ok := unmatched[t.ID]; ok {
			patch.Removed = append(patch.Removed, t.ID)
		}
	}
	if len(patch.Changed)+len(patch.Removed) == 0 {
		return nil
	}
	return patch
}

func (p *Patch) apply(targets []Target) []Target {
	replaced := map[string]bool{}
	for _, id := range p.Removed {
		replaced[id] = true
	}
	for _, t := range p.Changed {
		replaced[t.ID] = true
	}
	out := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return replaced[t.ID] })
	return sortTargets(append(out, p.Changed...))
}

func sortTargets(targets []Target) []Target {
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(targets, func(a, b Target) bool { return a.ID == b.ID })
}
