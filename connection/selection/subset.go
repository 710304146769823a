package selection

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the candidates of one service that an entry uses. It ranks the
// candidates of each failure domain by rendezvous hashing and takes them from all
// domains in turn, starting with the entry's own. The same input gives the same
// subset on any node, and adding or removing a candidate changes at most one member.
func Subset(entry, ownDomain string, size int, candidates []Candidate) []Candidate {
	return subset(entry, ownDomain, size, candidates, true)
}

type rankedCandidate struct {
	hash  uint64
	index int
}

func subset(entry, ownDomain string, size int, candidates []Candidate, spread bool) []Candidate {
	seed := xxhash.Sum64String(entry)
	domains := map[string][]rankedCandidate{}
	for i := range candidates {
		key := ""
		if spread {
			key = candidates[i].Domain
		}
		hash := mix(seed ^ xxhash.Sum64String(candidates[i].Target))
		domains[key] = append(domains[key], rankedCandidate{hash, i})
	}
	names := make([]string, 0, len(domains))
	for name, ranked := range domains {
		names = append(names, name)
		slices.SortFunc(ranked, func(a, b rankedCandidate) int {
			return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(candidates[a.index].Target, candidates[b.index].Target))
		})
	}
	slices.SortFunc(names, func(a, b string) int { return compareDomains(seed, ownDomain, a, b) })
	chosen := make([]Candidate, 0, min(size, len(candidates)))
	for place := 0; len(chosen) < min(size, len(candidates)); place++ {
		for _, name := range names {
			if ranked := domains[name]; place < len(ranked) && len(chosen) < size {
				chosen = append(chosen, candidates[ranked[place].index])
			}
		}
	}
	return chosen
}

// compareDomains sorts the entry's own domain first and the others by a hash of
// entry and domain, so that entries do not all prefer the same domains for the
// last places of their subsets.
func compareDomains(seed uint64, ownDomain, a, b string) int {
	if (a == ownDomain) != (b == ownDomain) {
		if a == ownDomain {
			return -1
		}
		return 1
	}
	aHash, bHash := mix(seed^xxhash.Sum64String(a)), mix(seed^xxhash.Sum64String(b))
	return cmp.Or(cmp.Compare(aHash, bHash), cmp.Compare(a, b))
}

// mix spreads the bits of a combined hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
