package class

import "math"

const (
	// calledBits is the evidence, in bits, after which a class is taken for one that the
	// targets of one service call. Requests of customers come from the hosts of all
	// services; 1 in 65,000 of them ends a streak of requests from one service with that
	// much evidence.
	calledBits = 16
	// minCalledStreak and maxCalledStreak bound the number of requests in such a streak. The
	// maximum is for a service with half of the hosts, or with an unknown part of them.
	minCalledStreak, maxCalledStreak = 4, 16
)

// Callers learns which classes of work are called by the targets of another service. A
// request that waits for such a call occupies a slot meanwhile, and fails with it. The
// zero value knows of no class. It is not safe for concurrent use.
type Callers struct {
	streaks    map[string]*callerStreak
	hosts      map[string]int // by service
	totalHosts int
}

type callerStreak struct {
	service string
	length  int
	mixed   bool // requests came from several services
}

// SetHosts sets the number of hosts by service. The fewer of them a service has, the
// fewer requests in a row from its hosts tell that its targets call.
func (c *Callers) SetHosts(byService map[string]int) {
	c.hosts, c.totalHosts = byService, 0
	for _, n := range byService {
		c.totalHosts += n
	}
}

// streak returns the number of requests in a row that tell a call by a service.
func (c *Callers) streak(service string) int {
	n := c.hosts[service]
	if n == 0 || n == c.totalHosts {
		return maxCalledStreak
	}
	bits := math.Log2(float64(c.totalHosts) / float64(n)) // of one request
	return min(max(int(math.Ceil(calledBits/bits)), minCalledStreak), maxCalledStreak)
}

// Observe records that a request of a class came from a host of the given service.
func (c *Callers) Observe(class, service string) {
	s := c.streaks[class]
	if s == nil {
		if c.streaks == nil {
			c.streaks = map[string]*callerStreak{}
		}
		s = &callerStreak{}
		c.streaks[class] = s
	}
	if s.service != service {
		s.mixed = s.length > 0 || s.mixed
		s.service, s.length = service, 0
	}
	s.length++
}

// Called reports whether the work of a class is called by the targets of one service.
func (c *Callers) Called(class string) bool {
	s := c.streaks[class]
	return s != nil && s.service != "" && s.length >= c.streak(s.service)
}

// MayBeCalled reports whether the work of a class is called by the targets of one service,
// or as far as the requests tell may be: none came from a second service. Requests of
// customers are told from calls after one or two; calls from those of customers later.
func (c *Callers) MayBeCalled(class string) bool {
	s := c.streaks[class]
	return s != nil && s.service != "" && (!s.mixed || c.Called(class))
}

// Prune forgets the classes for which keep returns false.
func (c *Callers) Prune(keep func(class string) bool) {
	for class := range c.streaks {
		if !keep(class) {
			delete(c.streaks, class)
		}
	}
}
