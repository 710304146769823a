package retry

import "time"

const (
	// minCalledRoom is the part of the budget of a called service below which work that
	// calls it is not retried. The rest is for the calls of retries in progress.
	minCalledRoom = 0.2
	// roomWeight is the weight of a report in the mean of a service. Each gate has its own
	// part of the budget and reports on that alone.
	roomWeight = 0.25
	// roomMemory is the time after which a service without reports is taken for one that is
	// not called any more.
	roomMemory = 10 * time.Second
)

// CalledRoom tracks how much is left of the retry budgets of the services that the targets
// of a host call. It answers the load pattern of many failing runs in a graph of calls: a
// retried run makes its calls again, these count as retries at the called service, and its
// gates cannot refuse them. So work is not retried while a called service lacks room. The
// zero value knows of no service. It is not safe for concurrent use.
type CalledRoom struct{ services map[string]*roomReports }

type roomReports struct {
	mean   float64
	lastAt time.Time
}

// Observe records that a gate of a called service reports this part of its budget, from 0
// to 1, as left.
func (c *CalledRoom) Observe(now time.Time, service string, room float64) {
	r := c.services[service]
	if r == nil {
		if c.services == nil {
			c.services = map[string]*roomReports{}
		}
		r = &roomReports{mean: 1}
		c.services[service] = r
	}
	r.mean += roomWeight * (room - r.mean)
	r.lastAt = now
}

// Room returns the smallest part that is left of the budget of a called service, 1 without
// one.
func (c *CalledRoom) Room(now time.Time) float64 {
	room := 1.0
	for service, r := range c.services {
		if now.Sub(r.lastAt) >= roomMemory {
			delete(c.services, service)
			continue
		}
		room = min(room, r.mean)
	}
	return room
}

// AllowsRetry reports whether work of the host may be retried.
func (c *CalledRoom) AllowsRetry(now time.Time) bool { return c.Room(now) >= minCalledRoom }
