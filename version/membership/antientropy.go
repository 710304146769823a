package membership

import (
	"maps"
	"slices"
)

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// digestMessage returns the message that starts anti-entropy with one node.
func (m *Membership) digestMessage(to, address string) OutgoingMessage {
	msg := m.message(KindDigest, to)
	msg.Buckets = slices.Clone(m.buckets[:])
	if member, ok := m.members[to]; ok {
		msg.Deltas = m.appendClaim(member, nil)
	}
	return OutgoingMessage{To: to, Address: address, Message: msg}
}

// handleDigest responds to a digest with the pairs of the members in the buckets
// that differ, tombstones included.
func (m *Membership) handleDigest(digest Message) Message {
	if len(digest.Buckets) != bucketCount {
		return Message{}
	}
	msg := m.message(KindList, digest.From)
	for i, hash := range digest.Buckets {
		if hash != m.buckets[i] {
			msg.Mask |= 1 << i
		}
	}
	if msg.Mask == 0 {
		return Message{}
	}
	for _, name := range m.names {
		if msg.Mask&(1<<bucketOf(name)) != 0 && len(msg.Versions) < maxVersions {
			msg.Versions = append(msg.Versions, m.members[name].memberVersion())
		}
	}
	return msg
}

// handleList responds to a list: it sends the deltas that are newer on this node and
// adds to toRequest the members that are newer on the sender.
func (m *Membership) handleList(list Message, toRequest map[string]bool) Message {
	listed := map[string]bool{}
	msg := m.message(KindDeltas, list.From)
	size := 0
	addDelta := func(member *memberState, known MemberVersion) {
		if size < maxAntiEntropyBytes {
			msg.Deltas = append(msg.Deltas, member.deltaFor(known))
			size += deltaBytes(&msg.Deltas[len(msg.Deltas)-1])
		}
	}
	for _, remote := range list.Versions {
		listed[remote.Node] = true
		member, ok := m.members[remote.Node]
		if !ok {
			if !remote.Dead {
				toRequest[remote.Node] = true
			}
			continue
		}
		cmp := member.comparePair(remote.Incarnation, remote.Version)
		switch {
		case cmp > 0, cmp == 0 && member.isTombstone() && !remote.Dead, cmp == 0 && member.targetsVersion > remote.TargetsVersion && !remote.Dead:
			addDelta(member, remote)
		case cmp < 0, remote.Dead && !member.isTombstone(), member.targetsVersion < remote.TargetsVersion && !member.isTombstone():
			toRequest[remote.Node] = true
		}
	}
	for _, name := range m.names {
		if list.Mask&(1<<bucketOf(name)) != 0 && !listed[name] && !m.members[name].isTombstone() {
			addDelta(m.members[name], MemberVersion{})
		}
	}
	return msg
}

// sendRequested sends the deltas of the requested members in messages of bounded
// size. The versions in the request say what the requester knows of them.
func (m *Membership) sendRequested(from string, request Message, out []OutgoingMessage) []OutgoingMessage {
	known := map[string]MemberVersion{}
	for _, version := range request.Versions {
		known[version.Node] = version
	}
	var deltas []Delta
	size := 0
	flush := func() {
		if len(deltas) == 0 {
			return
		}
		msg := m.message(KindDeltas, from)
		msg.Deltas = deltas
		outgoing := OutgoingMessage{To: from, Message: msg}
		if member, ok := m.members[from]; ok {
			outgoing.Address = member.meta.ControlAddress
		}
		out = append(out, outgoing)
		deltas, size = nil, 0
	}
	for _, name := range request.Requested {
		member, ok := m.members[name]
		if !ok {
			continue
		}
		d := member.deltaFor(known[name])
		n := deltaBytes(&d)
		if size+n > maxAntiEntropyBytes {
			flush()
		}
		deltas, size = append(deltas, d), size+n
	}
	flush()
	return out
}

func deltaBytes(d *Delta) int {
	w := &writer{}
	w.delta(d)
	return len(w.b)
}
