package health

import "time"

const (
	// maxCallers is the largest number of callers with stored outcomes, and
	// callerOutcomes the number of recent outcomes of each.
	maxCallers     = 1024
	callerOutcomes = 8
	// callerExpiry is how long an outcome is used.
	callerExpiry = 10 * time.Second
)

// callers stores the recent outcomes of callers that had errors, to tell requests
// that fail at any target from targets that fail.
type callers struct {
	records map[uint64]*callerRecord
	sweptAt time.Time
}

type callerRecord struct {
	outcomes [callerOutcomes]callerOutcome
	next     int
	lastAt   time.Time
}

type callerOutcome struct {
	target     *target
	failed     bool
	finishedAt time.Time
}

// observe adds an outcome, and reports whether an error is due to the caller: at
// least half of its recent requests to other targets failed too.
func (c *callers) observe(now time.Time, caller uint64, tgt *target, failed bool) bool {
	if caller == 0 {
		return false
	}
	r := c.records[caller]
	if r == nil {
		if !failed {
			return false
		}
		if r = c.insert(now, caller); r == nil {
			return false
		}
	}
	callerFault := failed && r.failsElsewhere(now, tgt)
	r.outcomes[r.next] = callerOutcome{tgt, failed, now}
	r.next = (r.next + 1) % callerOutcomes
	r.lastAt = now
	return callerFault
}

func (r *callerRecord) failsElsewhere(now time.Time, tgt *target) bool {
	all, bad := 0, 0
	for _, o := range r.outcomes {
		if o.target == nil || o.target == tgt || now.Sub(o.finishedAt) >= callerExpiry {
			continue
		}
		all++
		if o.failed {
			bad++
		}
	}
	return bad > 0 && 2*bad >= all
}

func (c *callers) insert(now time.Time, caller uint64) *callerRecord {
	if c.records == nil {
		c.records = map[uint64]*callerRecord{}
	}
	if len(c.records) >= maxCallers {
		if now.Sub(c.sweptAt) < time.Second {
			return nil
		}
		c.sweptAt = now
		for id, r := range c.records {
			if now.Sub(r.lastAt) >= callerExpiry {
				delete(c.records, id)
			}
		}
		if len(c.records) >= maxCallers {
			return nil
		}
	}
	r := &callerRecord{}
	c.records[caller] = r
	return r
}
