package distribute

// Access says whether a node can read the log service, which may turn some nodes away
// while it serves others.
type Access uint8

const (
	AccessUnknown Access = iota // no call has ended yet, or the node does not report it
	AccessUsable                // the last call succeeded
	AccessLost                  // the last call failed
)

func (a Access) String() string {
	switch a {
	case AccessUsable:
		return "usable"
	case AccessLost:
		return "lost"
	}
	return "unknown"
}

// Readers chooses the nodes that read the log service. They are ranked by rendezvous
// hash in each failure domain. A node that reports that it cannot read, or that this
// node does not reach, does not count, so that the next one takes over.
type Readers struct {
	// Salt distinguishes the ranks of different duties.
	Salt string
	// PerDomain is the minimum number of readers in each failure domain.
	PerDomain int
	// Fleet is the number of readers in the fleet, in equal parts for its failure
	// domains. A part below PerDomain has no effect. In a fleet of up to that many
	// nodes, all are readers.
	Fleet int
	// Watchers is the minimum number of readers in the fleet that detect soon that their
	// connection to the log service has gone silent, in equal parts for its failure
	// domains, one in each at least.
	Watchers int

	noHandover bool // for tests: choose by rank alone
}

// Role is what a node does to get the configuration from the log service.
type Role struct {
	Reader bool
	// Needed means that fewer than PerDomain other nodes of the domain can read
	// instead of this one, so that it retries a failed read soon. It implies Reader.
	Needed bool
	// Watcher means that the node must detect soon that its connection to the log service
	// has gone silent. It implies Reader.
	Watcher bool
	// Position is the number of nodes of the domain that go before this one; below
	// Quota, a node is a reader.
	Position, Quota int
}

// Role returns the role of the node self among its peers.
func (r Readers) Role(self Peer, peers []Peer) Role {
	position, ownScore := 0, score(r.Salt, self.Node)
	for _, p := range peers {
		if p.Node == self.Node || p.Domain != self.Domain || !r.counts(self, p) {
			continue
		}
		if r.goesBefore(self, p) || outranks(r.Salt, p.Node, self.Node, ownScore) {
			position++
		}
	}
	domains := countDomains(self, peers)
	quota := r.quota(len(peers)+1, domains)
	needed := position < r.PerDomain
	reader := needed || position < quota && (self.Access != AccessLost || r.noHandover)
	watcher := reader && position < max(1, perDomain(r.Watchers, domains))
	return Role{Reader: reader, Needed: needed, Watcher: watcher, Position: position, Quota: quota}
}

// quota returns the number of readers in each failure domain.
func (r Readers) quota(nodes, domains int) int {
	if r.Fleet <= r.PerDomain {
		return r.PerDomain
	}
	if nodes <= r.Fleet {
		return nodes
	}
	return max(r.PerDomain, perDomain(r.Fleet, domains))
}

// perDomain returns the part of n for each failure domain, rounded up.
func perDomain(n, domains int) int { return (n + domains - 1) / domains }

func countDomains(self Peer, peers []Peer) int {
	domains := map[string]struct{}{self.Domain: {}}
	for _, p := range peers {
		domains[p.Domain] = struct{}{}
	}
	return len(domains)
}

// counts reports whether a peer can have the duty. Nodes that cannot read rank among
// themselves, so that not all of them retry during an outage.
func (r Readers) counts(self, p Peer) bool {
	if r.noHandover {
		return true
	}
	return !p.Silent && (p.Access != AccessLost || self.Access == AccessLost)
}

// goesBefore reports whether a peer precedes this node whatever their ranks are.
func (r Readers) goesBefore(self, p Peer) bool {
	return !r.noHandover && self.Access == AccessLost && p.Access != AccessLost
}
