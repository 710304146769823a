package class

import (
	"math"
	"time"
)

// LearnerOptions tune a Learner. Zero values take the defaults.
type LearnerOptions struct {
	// MinSamples is the number of durations before a group is judged. Default 20.
	MinSamples int
	// Factor is how many times longer than the shortest group of the route the
	// median of a group must be to be long. Default 8.
	Factor float64
	// MinLong is the least median of long work. Default 50ms.
	MinLong time.Duration
	// AlwaysLong is the median from which a group is long whatever the other
	// groups of the route take. Default 2s.
	AlwaysLong time.Duration
	// MaxGroups bounds the groups per route; further paths share one group.
	// Default 256.
	MaxGroups int

	noHysteresis bool // for tests: no distance between becoming long and short
}

func (o LearnerOptions) withDefaults() LearnerOptions {
	if o.MinSamples == 0 {
		o.MinSamples = 20
	}
	if o.Factor == 0 {
		o.Factor = 8
	}
	if o.MinLong == 0 {
		o.MinLong = 50 * time.Millisecond
	}
	if o.AlwaysLong == 0 {
		o.AlwaysLong = 2 * time.Second
	}
	if o.MaxGroups == 0 {
		o.MaxGroups = 256
	}
	return o
}

// Learner separates long from short work by the durations of path groups. It is
// not safe for concurrent use.
type Learner struct {
	o      LearnerOptions
	routes map[string]*routeGroups
}

type routeGroups struct {
	groups   map[string]*group
	overflow group
}

const (
	bucketsPerOctave = 4
	bucketCount      = 128
	// samplesKept bounds the weight of the past: at this count all buckets are
	// halved.
	samplesKept = 256
)

type group struct {
	buckets [bucketCount]uint16
	n       int
	median  time.Duration
	long    bool
}

// NewLearner returns a Learner that knows nothing.
func NewLearner(o LearnerOptions) *Learner {
	return &Learner{o: o.withDefaults(), routes: map[string]*routeGroups{}}
}

// Observe adds the duration of a finished request, without queueing at the gate.
func (l *Learner) Observe(routeID, pathGroup string, d time.Duration) {
	r := l.routes[routeID]
	if r == nil {
		r = &routeGroups{groups: map[string]*group{}}
		l.routes[routeID] = r
	}
	g := r.groups[pathGroup]
	if g == nil {
		if len(r.groups) < l.o.MaxGroups {
			g = &group{}
			r.groups[pathGroup] = g
		} else {
			g = &r.overflow
		}
	}
	g.add(d)
	if g.n >= l.o.MinSamples {
		g.judge(l.o, r.shortest(l.o.MinSamples))
	}
}

// IsLong reports whether requests of the group belong to the long share.
// Unknown groups are short.
func (l *Learner) IsLong(routeID, pathGroup string) bool {
	r := l.routes[routeID]
	if r == nil {
		return false
	}
	if g := r.groups[pathGroup]; g != nil {
		return g.long
	}
	return r.overflow.long
}

// Prune removes what was learned about routes that no longer exist.
func (l *Learner) Prune(keep func(routeID string) bool) {
	for id := range l.routes {
		if !keep(id) {
			delete(l.routes, id)
		}
	}
}

func (r *routeGroups) shortest(minSamples int) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, g := range r.groups {
		if g.n >= minSamples {
			shortest = min(shortest, g.median)
		}
	}
	return shortest
}

func (g *group) add(d time.Duration) {
	g.buckets[bucket(d)]++
	g.n++
	if g.n >= samplesKept {
		g.n = 0
		for i := range g.buckets {
			g.buckets[i] /= 2
			g.n += int(g.buckets[i])
		}
	}
	seen := 0
	for i, c := range g.buckets {
		if seen += int(c); 2*seen >= g.n {
			g.median = bucketEdge(i)
			return
		}
	}
}

// judge moves the group between the shares. A long group becomes short only at
// half of the limit, so that a group near the limit does not alternate.
func (g *group) judge(o LearnerOptions, shortest time.Duration) {
	limit := o.AlwaysLong
	if shortest < time.Duration(float64(o.AlwaysLong)/o.Factor) {
		limit = min(limit, max(o.MinLong, time.Duration(float64(shortest)*o.Factor)))
	}
	if g.long && !o.noHysteresis {
		limit /= 2
	}
	g.long = g.median >= limit
}

func bucket(d time.Duration) int {
	us := d.Microseconds()
	if us < 1 {
		return 0
	}
	return min(int(math.Log2(float64(us))*bucketsPerOctave), bucketCount-1)
}

func bucketEdge(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i+1)/bucketsPerOctave) * float64(time.Microsecond))
}
