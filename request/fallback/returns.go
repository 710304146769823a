package fallback

import "time"

const (
	// returnMemory is longer than a caller waits before it sends a rejected request
	// again: a third of the longest deadline, 50 s.
	returnMemory = 20 * time.Second
	// maxReturns bounds the requests that are remembered for one returnMemory.
	maxReturns = 4096
)

// Returns remembers when requests that were rejected first arrived. A caller that
// returns after its Retry-After still counts its objective from its first sending. In a
// burst, work that looks new each time it returns fills the slots when its objective has
// passed, and work that could still meet its objective is refused. The zero value
// remembers nothing. It is not safe for concurrent use.
type Returns struct {
	current, previous map[string]time.Time // first arrivals, by the key of the request
	rotatedAt         time.Time
}

// Rejected records that a request is rejected at now that first arrived at first. It
// forgets requests between one and two times returnMemory after their last rejection.
func (r *Returns) Rejected(now time.Time, key string, first time.Time) {
	r.rotate(now)
	if len(r.current) < maxReturns {
		r.current[key] = first
	}
}

// FirstArrival returns when a request that arrives at now first arrived.
func (r *Returns) FirstArrival(now time.Time, key string) time.Time {
	r.rotate(now)
	if first, ok := r.current[key]; ok {
		return first
	}
	if first, ok := r.previous[key]; ok {
		return first
	}
	return now
}

func (r *Returns) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < returnMemory && r.current != nil {
		return
	}
	r.previous = r.current
	if age >= 2*returnMemory {
		r.previous = nil
	}
	r.current, r.rotatedAt = map[string]time.Time{}, now
}
