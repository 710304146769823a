package membership

import (
	"maps"
	"slices"
	"time"
)

// probe is a ping without an answer yet.
type probe struct {
	seq       uint64
	node      string
	indirect  time.Time // when indirect pings are due
	expire    time.Time // when the node becomes suspect
	requested bool
}

// relay is a ping on behalf of another node.
type relay struct {
	seq          uint64 // of this node's ping
	requester    string
	requesterSeq uint64
	until        time.Time
}

// Tick runs what is due. It is called every TickInterval; a late call means that
// the process was paused.
func (m *Membership) Tick(now time.Time) []OutgoingMessage {
	if m.superseded {
		return nil
	}
	m.checkPause(now)
	m.publishTargets(now)
	m.publishState(now)
	m.publishReports(now)
	var out []OutgoingMessage
	out = m.checkProbes(now, out)
	m.expireSuspicions(now)
	m.prune(now)
	if m.due(&m.nextPing, now, m.options.PingInterval) {
		out = m.ping(now, out)
	}
	out = m.verifyClaims(now, out)
	if m.due(&m.nextUrgent, now, urgentEvery) {
		out = m.gossipUrgent(out)
	}
	if m.due(&m.nextSync, now, m.options.AntiEntropyInterval) && !m.options.noAntiEntropy {
		for _, e := range m.pick(1, isPresent) {
			out = append(out, m.digest(e.node, e.meta.ControlAddress))
		}
	}
	return m.rejoin(now, out)
}

// due reports whether a time has come and sets the next one with 10 % jitter,
// so that nodes that start together do not send together.
func (m *Membership) due(at *time.Time, now time.Time, every time.Duration) bool {
	if now.Before(*at) {
		return false
	}
	if at.IsZero() {
		*at = now.Add(time.Duration(m.random.Int64N(int64(every))))
		return false
	}
	*at = now.Add(every - time.Duration(m.random.Int64N(int64(every/10))))
	return true
}

// checkPause voids what was measured over a pause of this process: silence of
// others during it says nothing about them.
func (m *Membership) checkPause(now time.Time) {
	late := now.Sub(m.lastTick) - TickInterval
	known := !m.lastTick.IsZero()
	m.lastTick = now
	if !known || late <= m.options.PauseThreshold || m.options.noPauseCheck {
		return
	}
	m.probes, m.relays = nil, nil
	for _, e := range m.suspect {
		e.suspectUntil = now.Add(m.suspicionTimeout())
	}
	m.pausedTill = now.Add(pausedFor)
}

func (m *Membership) message(kind Kind, to string) Message {
	msg := Message{Kind: kind, From: m.self.node, Incarnation: m.self.incarnation, ConfigVersion: m.self.configVersion}
	if kind != KindDigest && kind != KindList && kind != KindDeltas {
		msg.Deltas = m.deltas(to, false)
	}
	return msg
}

func (m *Membership) send(e *entry, msg Message) OutgoingMessage {
	return OutgoingMessage{To: e.node, Address: e.meta.ControlAddress, Message: msg}
}

// ping sends a ping to the next member of a shuffled round, so that each is
// pinged within a bounded time.
func (m *Membership) ping(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	for range len(m.names) + 1 {
		if len(m.pingOrder) == 0 {
			m.pingOrder = slices.Clone(m.names)
			m.random.Shuffle(len(m.pingOrder), func(i, j int) {
				m.pingOrder[i], m.pingOrder[j] = m.pingOrder[j], m.pingOrder[i]
			})
		}
		name := m.pingOrder[0]
		m.pingOrder = m.pingOrder[1:]
		if e, ok := m.entries[name]; ok && e != m.self && !e.gone() {
			return append(out, m.pingOne(now, e))
		}
	}
	return out
}

func (m *Membership) pingOne(now time.Time, e *entry) OutgoingMessage {
	m.seq++
	m.probes = append(m.probes, probe{
		seq: m.seq, node: e.node, indirect: now.Add(m.options.PingTimeout),
		expire: now.Add(m.options.PingTimeout + m.options.IndirectTimeout),
	})
	msg := m.message(KindPing, e.node)
	msg.Seq = m.seq
	msg.Deltas = m.withClaim(e, msg.Deltas)
	return m.send(e, msg)
}

// withClaim adds what is claimed about the receiver, so that it can refute it.
func (m *Membership) withClaim(e *entry, deltas []Delta) []Delta {
	if e.claim != ClaimNone {
		return append(deltas, e.stateDelta())
	}
	return deltas
}

func (m *Membership) checkProbes(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	kept := m.probes[:0]
	for _, p := range m.probes {
		e, ok := m.entries[p.node]
		if !ok || e.gone() {
			continue
		}
		if !p.requested && !now.Before(p.indirect) {
			p.requested = true
			out = m.requestPings(e, p.seq, out)
		}
		if now.Before(p.expire) {
			kept = append(kept, p)
			continue
		}
		if e.claim == ClaimNone {
			m.claim(now, e, ClaimSuspect)
			m.enqueueState(e, partState, false)
		}
	}
	m.probes = kept
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now.After(r.until) })
	return out
}

func (m *Membership) requestPings(subject *entry, seq uint64, out []OutgoingMessage) []OutgoingMessage {
	if m.options.noIndirect {
		return out
	}
	for _, helper := range m.pick(indirectPings, func(e *entry) bool { return e != subject && isPresent(e) }) {
		msg := m.message(KindPingReq, helper.node)
		msg.Seq, msg.Subject = seq, subject.node
		out = append(out, m.send(helper, msg))
	}
	return out
}

// claim sets a claim and its timer.
func (m *Membership) claim(now time.Time, e *entry, c Claim) {
	m.touch(e, func(e *entry) {
		e.claim, e.verify, e.checking = c, false, false
		switch c {
		case ClaimSuspect:
			e.suspectUntil = now.Add(m.suspicionTimeout())
		case ClaimDead:
			e.deadSince = now
		}
	})
}

// suspects returns the names of the suspect members in a fixed order.
func (m *Membership) suspects() []string {
	if len(m.suspect) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.suspect))
}

func (m *Membership) expireSuspicions(now time.Time) {
	for _, name := range m.suspects() {
		if e := m.suspect[name]; !now.Before(e.suspectUntil) {
			m.claim(now, e, ClaimDead)
			m.enqueueState(e, partState, false)
		}
	}
}

// verifyClaims pings the members that another node calls dead.
func (m *Membership) verifyClaims(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	n := 0
	for _, name := range m.suspects() {
		e := m.suspect[name]
		if !e.verify || n == verifyPerTick {
			continue
		}
		e.verify = false
		n++
		out = append(out, m.pingOne(now, e))
	}
	return out
}

func (m *Membership) gossipUrgent(out []OutgoingMessage) []OutgoingMessage {
	if len(m.queue.urgent) == 0 {
		return out
	}
	for _, e := range m.pick(urgentPeers, isPresent) {
		msg := Message{Kind: KindGossip, From: m.self.node, Incarnation: m.self.incarnation, ConfigVersion: m.self.configVersion}
		msg.Deltas = m.deltas(e.node, true)
		if len(msg.Deltas) > 0 {
			out = append(out, m.send(e, msg))
		}
	}
	m.endUrgentRound()
	return out
}

// rejoin tries one seed or dead node from time to time, so that regions that
// were cut off from each other join again.
func (m *Membership) rejoin(now time.Time, out []OutgoingMessage) []OutgoingMessage {
	every := m.options.SeedInterval
	if len(m.names) == 1 {
		every = time.Second
		if m.nextSeed.IsZero() { // a new node does not wait before its first attempt
			m.nextSeed = now
		}
	}
	if !m.due(&m.nextSeed, now, every) || m.options.noRejoin {
		return out
	}
	known := map[string]bool{m.self.meta.ControlAddress: true}
	var addresses []string
	for _, name := range m.names {
		e := m.entries[name]
		if e.claim == ClaimDead {
			addresses = append(addresses, e.meta.ControlAddress)
		} else {
			known[e.meta.ControlAddress] = true
		}
	}
	for _, seed := range m.options.Seeds {
		if !known[seed] {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return out
	}
	return append(out, m.digest("", addresses[m.random.IntN(len(addresses))]))
}

// prune removes expired tombstones.
func (m *Membership) prune(now time.Time) {
	if !m.due(&m.nextPrune, now, DefaultAntiEntropyInterval) {
		return
	}
	for _, name := range slices.Clone(m.names) {
		if e := m.entries[name]; e != m.self && e.gone() && now.Sub(e.deadSince) > m.options.TombstoneTTL {
			m.remove(e)
		}
	}
}
