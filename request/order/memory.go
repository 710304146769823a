package order

import (
	"slices"
	"time"
)

// expiryStep is the granularity at which expired entries are dropped.
const expiryStep = 10 * time.Second

// expiry groups items by the time at which they end. Items are swept only
// after their end, at most expiryStep late.
type expiry[T any] struct {
	groups map[int64][]T
	swept  int64 // last group swept
}

func groupOf(t time.Time) int64 { return t.UnixNano()/int64(expiryStep) + 1 }

func (e *expiry[T]) add(end time.Time, item T) {
	if e.groups == nil {
		e.groups = map[int64][]T{}
	}
	g := max(groupOf(end), e.swept+1)
	e.groups[g] = append(e.groups[g], item)
}

// sweep calls drop for each ended item; an item for which it returns false is
// offered again one step later.
func (e *expiry[T]) sweep(now time.Time, drop func(T) bool) {
	current := groupOf(now) - 1
	if current <= e.swept {
		return
	}
	var due []int64
	for g := range e.groups {
		if g <= current {
			due = append(due, g)
		}
	}
	slices.Sort(due)
	e.swept = current
	for _, g := range due {
		items := e.groups[g]
		delete(e.groups, g)
		for _, item := range items {
			if !drop(item) {
				e.groups[current+1] = append(e.groups[current+1], item)
			}
		}
	}
}

// answerOverhead is counted for each stored answer beside its body and
// header, in bytes.
const answerOverhead = 128

// answers keeps the answers of finished orders, oldest dropped first.
type answers struct {
	byKey map[KeyID]StoredResponse
	order []KeyID // oldest first; may name dropped keys
	bytes int
}

func sizeOf(s StoredResponse) int {
	n := answerOverhead + len(s.Body)
	for name, values := range s.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// put stores an answer and returns the keys whose answers were dropped to
// stay within limit bytes.
func (m *answers) put(k KeyID, res Result, limit int) []KeyID {
	s := StoredResponse{Result: res}
	if len(s.Body) > MaxStoredBody {
		s.Body, s.BodyDropped = nil, true
	}
	var dropped []KeyID
	m.drop(k)
	size := sizeOf(s)
	if size > limit {
		return []KeyID{k}
	}
	for m.bytes+size > limit && len(m.order) > 0 {
		oldest := m.order[0]
		m.order = m.order[1:]
		if m.drop(oldest) {
			dropped = append(dropped, oldest)
		}
	}
	m.byKey[k] = s
	m.order = append(m.order, k)
	m.bytes += size
	return dropped
}

func (m *answers) drop(k KeyID) bool {
	s, ok := m.byKey[k]
	if !ok {
		return false
	}
	m.bytes -= sizeOf(s)
	delete(m.byKey, k)
	if len(m.order) > 64 && len(m.order) > 2*len(m.byKey) {
		m.order = slices.DeleteFunc(m.order, func(o KeyID) bool { _, ok := m.byKey[o]; return !ok })
	}
	return true
}

func (m *answers) get(k KeyID) StoredResponse {
	if s, ok := m.byKey[k]; ok {
		return s
	}
	return StoredResponse{BodyDropped: true}
}
