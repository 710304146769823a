package admission

import (
	"strconv"
	"strings"
	"time"
)

const (
	// callThrottleFactor is how many requests a class may get per request whose calls found
	// room. The room for calls changes within seconds, when targets of the called service fail
	// and recover; factors of 1.3 to 2 leave room unused after it has returned.
	callThrottleFactor = 2.5
	// callDecayTime is the time in which the counts decay to 1/e. With 1 s they follow each
	// loss of room and admit too late when it returns.
	callDecayTime = 3 * time.Second
	// minCallCounts is the number of requests below which counts refuse little.
	minCallCounts = 3.0
	// callTrialShare is the share of requests of each rank that is never refused. Where all of
	// them find room, the counts admit all requests again within some decay times.
	callTrialShare = 0.1
	// maxCallClasses and maxCallRanks bound the memory of a throttle.
	maxCallClasses, maxCallRanks = 1024, 64
)

// CallCounts are decaying counts of the requests of a class and of those whose calls found
// room. Requests that failed for another reason are not counted.
type CallCounts struct {
	Requests, Accepted float64
	at                 time.Time
}

// Count adds a request and whether its calls found room.
func (c *CallCounts) Count(now time.Time, foundRoom bool) {
	one := CallCounts{Requests: 1}
	if foundRoom {
		one.Accepted = 1
	}
	c.add(now, one)
}

func (c *CallCounts) add(now time.Time, other CallCounts) {
	*c = c.At(now)
	c.Requests += other.Requests
	c.Accepted += other.Accepted
}

// At returns the counts as decayed until now.
func (c CallCounts) At(now time.Time) CallCounts {
	elapsed := now.Sub(c.at)
	if elapsed <= 0 {
		return c
	}
	return CallCounts{decayed(c.Requests, elapsed, callDecayTime), decayed(c.Accepted, elapsed, callDecayTime), now}
}

// String returns the counts in the format of attempt.HeaderCallCounts.
func (c CallCounts) String() string {
	return strconv.FormatFloat(c.Requests, 'f', 2, 64) + "/" + strconv.FormatFloat(c.Accepted, 'f', 2, 64)
}

// maxReportedCounts bounds the counts that one report may claim.
const maxReportedCounts = 1e6

// ParseCallCounts reads the format of attempt.HeaderCallCounts. It returns no counts where
// the text is absent or invalid.
func ParseCallCounts(text string) CallCounts {
	before, after, _ := strings.Cut(text, "/")
	requests, errRequests := strconv.ParseFloat(before, 64)
	accepted, errAccepted := strconv.ParseFloat(after, 64)
	if errRequests != nil || errAccepted != nil || !(accepted >= 0 && accepted <= requests && requests <= maxReportedCounts) {
		return CallCounts{}
	}
	return CallCounts{Requests: requests, Accepted: accepted}
}

// CallThrottle decides which requests a gate refuses on arrival because the calls that runs
// of their class make find no room. It answers the load pattern of two levels of services
// whose called service is short of room: with ranks the calls of the least urgent work are
// refused there, so that most runs of this work fail after they began, occupied a slot and
// used some of the room for calls. The throttle compares, for each class, the requests with
// those whose calls found room. It takes from the least urgent rank first and lets a share of
// each rank through. As one gate may see too few requests, it adds the counts that entries
// report of the class across gates. The zero value refuses nothing. It is not safe for
// concurrent use.
type CallThrottle struct{ classes map[string]*callClass }

type callClass struct {
	own      CallCounts          // requests that ended here
	reported CallCounts          // sums of the reports that came with requests
	ranks    map[int]*CallCounts // requests that arrived here; Accepted is not used
}

func (t *CallThrottle) class(name string) *callClass {
	c := t.classes[name]
	if c == nil {
		if t.classes == nil || len(t.classes) >= maxCallClasses {
			t.classes = map[string]*callClass{}
		}
		c = &callClass{ranks: map[int]*CallCounts{}}
		t.classes[name] = c
	}
	return c
}

// Admit reports whether a request may run. reported are the counts of the entry that sent it,
// and random is a number from 0 to 1.
func (t *CallThrottle) Admit(now time.Time, class string, rank int, reported CallCounts, random float64) bool {
	c := t.class(class)
	c.reported.add(now, reported)
	r := c.ranks[rank]
	if r == nil {
		if len(c.ranks) >= maxCallRanks {
			clear(c.ranks)
		}
		r = &CallCounts{}
		c.ranks[rank] = r
	}
	r.Count(now, false)
	if random < c.admittedShare(now, rank) {
		return true
	}
	c.own.Count(now, false)
	return false
}

// admittedShare returns the share of the requests of a rank that may run.
func (c *callClass) admittedShare(now time.Time, rank int) float64 {
	own, reported := c.own.At(now), c.reported.At(now)
	requests, accepted := own.Requests+reported.Requests, own.Accepted+reported.Accepted
	left := 1 - max(0, requests-callThrottleFactor*accepted)/(requests+minCallCounts)
	total, more, same := 0.0, 0.0, 0.0
	for other, counts := range c.ranks {
		n := counts.At(now).Requests
		total += n
		if other < rank {
			more += n
		} else if other == rank {
			same += n
		}
	}
	return max(callTrialShare, (left*total-more)/same)
}

// Ended records the end of a request that was admitted: whether its calls found room, or it
// made none.
func (t *CallThrottle) Ended(now time.Time, class string, foundRoom bool) {
	t.class(class).own.Count(now, foundRoom)
}

// Prune forgets the classes for which keep returns false.
func (t *CallThrottle) Prune(keep func(class string) bool) {
	for name := range t.classes {
		if !keep(name) {
			delete(t.classes, name)
		}
	}
}

// CallRetryAfter returns the time after which a refused request may return: a quarter to half
// of what is left of its time or of the decay time, by a random number from 0 to 1, so that
// its caller has time for another try and not all callers return at once.
func CallRetryAfter(left time.Duration, random float64) time.Duration {
	return time.Duration((1 + random) / 4 * float64(min(max(left, 0), callDecayTime)))
}
