package membership

import (
	"maps"
	"slices"
)

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// digest starts anti-entropy with one node.
func (m *Membership) digest(to, address string) OutgoingMessage {
	msg := m.message(KindDigest, to)
	msg.Buckets = slices.Clone(m.buckets[:])
	if e, ok := m.entries[to]; ok {
		msg.Deltas = m.withClaim(e, nil)
	}
	return OutgoingMessage{To: to, Address: address, Message: msg}
}

// list answers a digest with the pairs of the members in the buckets that
// differ, tombstones included.
func (m *Membership) list(digest Message) Message {
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
		if msg.Mask&(1<<bucketOf(name)) != 0 && len(msg.Versions) < maxItems {
			msg.Versions = append(msg.Versions, m.entries[name].item())
		}
	}
	return msg
}

// compare answers a list: it wants what is newer there and sends what is newer
// here.
func (m *Membership) compare(list Message, wants map[string]bool) Message {
	listed := map[string]bool{}
	msg := m.message(KindDeltas, list.From)
	size := 0
	offer := func(e *entry, held MemberVersion) {
		if size < chunkBytes {
			msg.Deltas = append(msg.Deltas, e.deltaFor(held))
			size += deltaBytes(&msg.Deltas[len(msg.Deltas)-1])
		}
	}
	for _, item := range list.Versions {
		listed[item.Node] = true
		e, ok := m.entries[item.Node]
		if !ok {
			if !item.Dead {
				wants[item.Node] = true
			}
			continue
		}
		order := e.comparePair(item.Incarnation, item.Version)
		switch {
		case order > 0, order == 0 && e.gone() && !item.Dead, order == 0 && e.targetsVersion > item.TargetsVersion && !item.Dead:
			offer(e, item)
		case order < 0, item.Dead && !e.gone(), e.targetsVersion < item.TargetsVersion && !e.gone():
			wants[item.Node] = true
		}
	}
	for _, name := range m.names {
		if list.Mask&(1<<bucketOf(name)) != 0 && !listed[name] && !m.entries[name].gone() {
			offer(m.entries[name], MemberVersion{})
		}
	}
	return msg
}

// serveWants sends the wanted entries in messages of bounded size.
// The items of the message say what the receiver holds of them.
func (m *Membership) serveWants(from string, asked Message, out []OutgoingMessage) []OutgoingMessage {
	held := map[string]MemberVersion{}
	for _, item := range asked.Versions {
		held[item.Node] = item
	}
	var deltas []Delta
	size := 0
	flush := func() {
		if len(deltas) == 0 {
			return
		}
		msg := m.message(KindDeltas, from)
		msg.Deltas = deltas
		send := OutgoingMessage{To: from, Message: msg}
		if e, ok := m.entries[from]; ok {
			send.Address = e.meta.ControlAddress
		}
		out = append(out, send)
		deltas, size = nil, 0
	}
	for _, name := range asked.Requested {
		e, ok := m.entries[name]
		if !ok {
			continue
		}
		d := e.deltaFor(held[name])
		n := deltaBytes(&d)
		if size+n > chunkBytes {
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
