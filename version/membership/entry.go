package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// entry is one member as this node knows it. Slices in it are replaced, never
// changed, since views share them.
type entry struct {
	node           string
	incarnation    attempt.Incarnation
	version        uint64
	declared       NodeState // by the node itself
	claim          Claim     // by others
	meta           Meta
	targetsVersion uint64
	targets        []Target
	patch          *Patch // last change of the targets, to pass on
	reportsVersion uint64
	reports        []byte
	configVersion  int64

	unreachable  bool      // others reach it, this node does not
	suspectUntil time.Time // while claim is suspect
	deadSince    time.Time // while dead or left
	verify       bool      // a ping has to check a dead claim of another node
	checking     bool      // suspect only because of such a claim
}

// state is the node's state in this node's view. A leaving node stays leaving
// under suspicion, since it takes no new work in either case.
func (e *entry) state() NodeState {
	switch {
	case e.claim == ClaimDead:
		return NodeDead
	case e.declared == NodeLeft, e.declared == NodeLeaving:
		return e.declared
	case e.claim == ClaimSuspect:
		return NodeSuspect
	case e.unreachable:
		return NodeUnreachable
	}
	return e.declared
}

// gone reports whether the entry is a tombstone.
func (e *entry) gone() bool { return e.claim == ClaimDead || e.declared == NodeLeft }

// comparePair compares (incarnation, version) of the entry with another pair.
func (e *entry) comparePair(inc attempt.Incarnation, version uint64) int {
	if c := e.incarnation.Compare(inc); c != 0 {
		return c
	}
	switch {
	case e.version < version:
		return -1
	case e.version > version:
		return 1
	}
	return 0
}

func bucketOf(node string) int { return int(xxhash.Sum64String(node) % bucketCount) }

// hash covers what anti-entropy keeps equal. Tombstones are left out, since
// nodes forget them at different times.
func (e *entry) hash() uint64 {
	if e.gone() {
		return 0
	}
	b := append(make([]byte, 0, 128), e.node...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.incarnation.StartedMS))
	b = binary.BigEndian.AppendUint64(b, e.incarnation.Random)
	b = binary.BigEndian.AppendUint64(b, e.version)
	b = binary.BigEndian.AppendUint64(b, e.targetsVersion)
	return xxhash.Sum64(b)
}

func (e *entry) item() MemberVersion {
	return MemberVersion{Node: e.node, Incarnation: e.incarnation, Version: e.version, TargetsVersion: e.targetsVersion, Dead: e.gone()}
}

func (e *entry) stateDelta() Delta {
	return Delta{Node: e.node, Incarnation: e.incarnation, Version: e.version, Claim: e.claim, Declared: e.declared, TargetsVersion: e.targetsVersion}
}

// fullDelta has all parts; of a tombstone only the state.
func (e *entry) fullDelta() Delta {
	d := e.stateDelta()
	if e.gone() {
		return d
	}
	meta := e.meta
	d.Meta, d.Targets, d.HasTargets = &meta, e.targets, true
	if e.reportsVersion > 0 {
		d.Reports = &Reports{Version: e.reportsVersion, Data: e.reports}
	}
	return d
}

// deltaFor has what a receiver lacks that holds an older pair.
func (e *entry) deltaFor(held MemberVersion) Delta {
	if held.Incarnation == e.incarnation && held.TargetsVersion == e.targetsVersion {
		return e.stateDelta()
	}
	return e.fullDelta()
}

func (e *entry) member() Member {
	m := Member{
		Node: e.node, Region: e.meta.Region, Domain: e.meta.Domain, Incarnation: e.incarnation, Version: e.version,
		State: e.state(), DataAddress: e.meta.DataAddress, ControlAddress: e.meta.ControlAddress, ConfigVersion: e.configVersion,
	}
	if !e.gone() {
		m.Targets, m.Reports = e.targets, e.reports
	}
	return m
}

// diffTargets returns the patch from one sorted set of targets to another, nil
// when they are equal. The time of the announcement alone is no change, since a
// renewal may move it.
func diffTargets(from, to []Target) *Patch {
	old := map[string]Target{}
	for _, t := range from {
		old[t.ID] = t
	}
	p := &Patch{}
	for _, t := range to {
		before, ok := old[t.ID]
		delete(old, t.ID)
		before.AnnouncedAt = t.AnnouncedAt
		if !ok || before != t {
			p.Changed = append(p.Changed, t)
		}
	}
	for _, t := range from {
		if _, ok := old[t.ID]; ok {
			p.Removed = append(p.Removed, t.ID)
		}
	}
	if len(p.Changed)+len(p.Removed) == 0 {
		return nil
	}
	return p
}

func (p *Patch) apply(targets []Target) []Target {
	drop := map[string]bool{}
	for _, id := range p.Removed {
		drop[id] = true
	}
	for _, t := range p.Changed {
		drop[t.ID] = true
	}
	out := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return drop[t.ID] })
	return sortTargets(append(out, p.Changed...))
}

func sortTargets(targets []Target) []Target {
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(targets, func(a, b Target) bool { return a.ID == b.ID })
}
