package membership

import "time"

const (
	// otherDomainsMinShare is the share of pings, urgent gossip and anti-entropy that
	// goes to other failure domains, however large the own domain is.
	otherDomainsMinShare = 1.0 / 4
	// domainPings is the least number of pings that a domain sends to others in each
	// PingInterval. With one ping, changes were known later than with uniformly chosen
	// peers.
	domainPings = 2.0

	// A cross-domain ping without an ack is followed by pings to domainProbes further
	// members of that domain while fewer than maxPendingProbes acks are outstanding.
	domainProbes     = 2
	maxPendingProbes = 4
)

// isOtherDomain reports whether the member is in another failure domain than this node.
// Without locality, all members count as one domain.
func (m *Membership) isOtherDomain(member *memberState) bool {
	return !m.options.noLocality && !member.meta.sameDomain(&m.self.meta)
}

// otherDomainsShare returns the share of messages that goes to other failure domains.
// Uniformly chosen peers would send most bytes over the links between domains: three
// of four with four domains. Each domain sends at least domainPings per PingInterval,
// so that small domains learn of changes as soon as others. The share is never above
// that of uniformly chosen peers, so that a small domain beside a large one does not
// receive more than its part.
func (m *Membership) otherDomainsShare() float64 {
	own, others := 0, 0 // own includes this node
	for _, member := range m.members {
		switch {
		case member.isTombstone():
		case m.isOtherDomain(member):
			others++
		default:
			own++
		}
	}
	if others == 0 {
		return 0
	}
	uniform := float64(others) / float64(own+others-1)
	return min(uniform, max(otherDomainsMinShare, domainPings/float64(own)))
}

// nearbyMembers returns up to n random present members, most of them of the own failure
// domain.
func (m *Membership) nearbyMembers(n int) []*memberState {
	share, others := m.otherDomainsShare(), 0
	for range n {
		if m.random.Float64() < share {
			others++
		}
	}
	out := m.randomMembers(n-others, func(member *memberState) bool { return isPresent(member) && !m.isOtherDomain(member) })
	return append(out, m.randomMembers(n-len(out), func(member *memberState) bool { return isPresent(member) && m.isOtherDomain(member) })...)
}

// pingSameDomain pings further members of the domain of a member that did not
// acknowledge a ping. The members of another domain are seldom pinged, so the loss of
// the whole domain would otherwise be found one member at a time. The pings that fail
// are followed by more, so that all members are soon pinged by some node.
func (m *Membership) pingSameDomain(now time.Time, failed *memberState, out []OutgoingMessage) []OutgoingMessage {
	if !m.isOtherDomain(failed) || failed.claim != ClaimNone || failed.unreachable || m.options.noDomainProbes {
		return out
	}
	pending := map[string]bool{}
	for _, p := range m.probes {
		pending[p.node] = true
	}
	n := max(0, min(domainProbes, maxPendingProbes-len(m.probes)))
	for _, member := range m.randomMembers(n, func(member *memberState) bool {
		return member.meta.sameDomain(&failed.meta) && isPresent(member) && member.claim == ClaimNone && !member.unreachable && !pending[member.node]
	}) {
		out = append(out, m.pingMember(now, member))
	}
	return out
}
