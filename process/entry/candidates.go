package entry

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

func targetKey(member *membership.Member, id string) string { return gate.TargetKey(member.Node, id) }

func contains(list []string, s string) bool { return slices.Contains(list, s) }

// cachedCandidates describes the targets of a service in request records.
// Records made within candidateCacheTTL share one list, so that requests need not
// build one each.
type cachedCandidates struct {
	at   time.Time
	list []record.Candidate
}

// candidateCacheTTL is the age up to which records share a list of candidates.
const candidateCacheTTL = 100 * time.Millisecond

// candidates returns the candidate targets of a service as records list them.
// The caller holds e.mu.
func (e *Entry) candidates(now time.Time, f *fleet, service string) []record.Candidate {
	if cached, ok := e.candidateCache[service]; ok && now.Sub(cached.at) < candidateCacheTTL {
		return cached.list
	}
	cached := cachedCandidates{at: now}
	for _, c := range e.selector.Subset(service) {
		state := e.health.State(c.Target)
		candidate := record.Candidate{Target: f.targets[c.Target].info.ID, Weight: state.Weight, Suspicion: max(state.Suspicion, state.PathSuspicion), Ejected: state.Ejected}
		if state.Ejected || state.EjectionBlocked || state.DomainUnreachable {
			candidate.Why = state.Why
		}
		if c.Leaving {
			candidate.Why = "leaving"
		}
		cached.list = append(cached.list, candidate)
	}
	e.candidateCache[service] = cached
	return cached.list
}
