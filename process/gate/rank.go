package gate

import "github.com/hyssopsill/hyssopsill/request/attempt"

// MostUrgentRank returns the most urgent rank of the work that runs at the targets of this
// gate, which calls of these targets inherit. Work that is itself a call counts with the
// rank that it inherited, so that a chain of calls keeps the rank of the work that waits
// for it. It is false without any work.
func (g *Gate) MostUrgentRank() (rank int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.active {
		if !e.started || e.ticketEnded {
			continue
		}
		if own := e.workOrClassRank(); !ok || own < rank {
			rank, ok = own, true
		}
	}
	return rank, ok
}

// workRank returns the rank of the work, -1 when it is that of the class. A call has the
// rank of the work that waits for it. The caller holds Gate.mu.
func (e *exchange) workRank() int {
	if e.callerRank >= 0 && e.gate.callers.Called(e.class) {
		return e.callerRank
	}
	return e.rank
}

// workOrClassRank returns the rank of the work, which is that of its class for work without
// a header. The caller holds Gate.mu.
func (e *exchange) workOrClassRank() int {
	if rank := e.workRank(); rank >= 0 {
		return rank
	}
	g := e.gate
	t := g.targets[e.targetID]
	if t == nil || g.config == nil {
		return 0
	}
	rank := g.config.Services[t.Service].Classes[e.class].Rank
	return attempt.CombinedRank(rank, rank)
}
