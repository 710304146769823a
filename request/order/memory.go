package order

import (
	"slices"
	"time"
)

// expiryBucketSize is the granularity at which expired items are removed.
const expiryBucketSize = 10 * time.Second

// expiryBuckets groups items by the time at which they expire. Items are swept
// only after that time, at most expiryBucketSize late.
type expiryBuckets[T any] struct {
	buckets   map[int64][]T
	lastSwept int64 // last bucket swept
}

func bucketOf(t time.Time) int64 { return t.UnixNano()/int64(expiryBucketSize) + 1 }

func (e *expiryBuckets[T]) add(expiresAt time.Time, item T) {
	if e.buckets == nil {
		e.buckets = map[int64][]T{}
	}
	bucket := max(bucketOf(expiresAt), e.lastSwept+1)
	e.buckets[bucket] = append(e.buckets[bucket], item)
}

// sweep calls remove for each expired item; an item for which it returns false
// is offered again one bucket later.
func (e *expiryBuckets[T]) sweep(now time.Time, remove func(T) bool) {
	current := bucketOf(now) - 1
	if current <= e.lastSwept {
		return
	}
	var due []int64
	for bucket := range e.buckets {
		if bucket <= current {
			due = append(due, bucket)
		}
	}
	slices.Sort(due)
	e.lastSwept = current
	for _, bucket := range due {
		items := e.buckets[bucket]
		delete(e.buckets, bucket)
		for _, item := range items {
			if !remove(item) {
				e.buckets[current+1] = append(e.buckets[current+1], item)
			}
		}
	}
}

// responseOverhead is the number of bytes counted for each stored response in
// addition to its body and header.
const responseOverhead = 128

// responseStore keeps the responses of finished orders and drops the oldest
// first.
type responseStore struct {
	byKey       map[KeyID]StoredResponse
	oldestFirst []KeyID // may contain keys whose responses were dropped
	bytes       int
}

func storedSize(stored StoredResponse) int {
	size := responseOverhead + len(stored.Body)
	for name, values := range stored.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// put stores a response and returns the keys whose responses were dropped to
// stay within maxBytes.
func (rs *responseStore) put(id KeyID, result Result, maxBytes int) []KeyID {
	stored := StoredResponse{Result: result}
	if len(stored.Body) > MaxStoredBody {
		stored.Body, stored.BodyDropped = nil, true
	}
	var dropped []KeyID
	rs.drop(id)
	size := storedSize(stored)
	if size > maxBytes {
		return []KeyID{id}
	}
	for rs.bytes+size > maxBytes && len(rs.oldestFirst) > 0 {
		oldest := rs.oldestFirst[0]
		rs.oldestFirst = rs.oldestFirst[1:]
		if rs.drop(oldest) {
			dropped = append(dropped, oldest)
		}
	}
	rs.byKey[id] = stored
	rs.oldestFirst = append(rs.oldestFirst, id)
	rs.bytes += size
	return dropped
}

func (rs *responseStore) drop(id KeyID) bool {
	stored, ok := rs.byKey[id]
	if !ok {
		return false
	}
	rs.bytes -= storedSize(stored)
	delete(rs.byKey, id)
	if len(rs.oldestFirst) > 64 && len(rs.oldestFirst) > 2*len(rs.byKey) {
		rs.oldestFirst = slices.DeleteFunc(rs.oldestFirst, func(old KeyID) bool { _, ok := rs.byKey[old]; return !ok })
	}
	return true
}

func (rs *responseStore) get(id KeyID) StoredResponse {
	if stored, ok := rs.byKey[id]; ok {
		return stored
	}
	return StoredResponse{BodyDropped: true}
}
