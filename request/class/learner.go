package class

import (
	"math"
	"time"
)

// LearnerOptions configure a Learner. Zero values take the defaults.
type LearnerOptions struct {
	// MinSamples is the number of durations from which a group is classified.
	// Default 20.
	MinSamples int
	// Factor is the ratio to the shortest median of the route's groups from which
	// the median of a group is long. Default 8.
	Factor float64
	// MinLong is the shortest median at which a group can be long. Default 50ms.
	MinLong time.Duration
	// AlwaysLong is the median from which a group is long whatever the medians of
	// the other groups are. Default 2s.
	AlwaysLong time.Duration
	// MaxGroups bounds the groups per route; further paths share one group.
	// Default 256.
	MaxGroups int

	noHysteresis bool // for tests: a group becomes long and short at the same median
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

// Learner distinguishes long from short work by the durations of path groups. It
// is not safe for concurrent use.
type Learner struct {
	opts   LearnerOptions
	routes map[string]*routeGroups
}

type routeGroups struct {
	groups   map[string]*group
	overflow group // shared by the paths beyond MaxGroups
}

const (
	bucketsPerOctave = 4
	bucketCount      = 128
	// maxSamples is the count at which all buckets are halved, which bounds the
	// weight of old samples.
	maxSamples = 256
)

// group holds a histogram of the durations of one path group.
type group struct {
	buckets [bucketCount]uint16
	samples int
	median  time.Duration
	long    bool
}

// NewLearner returns a Learner without samples.
func NewLearner(o LearnerOptions) *Learner {
	return &Learner{opts: o.withDefaults(), routes: map[string]*routeGroups{}}
}

// Observe adds the duration of a finished request, which excludes queueing at the gate.
func (l *Learner) Observe(routeID, pathGroup string, d time.Duration) {
	r := l.routes[routeID]
	if r == nil {
		r = &routeGroups{groups: map[string]*group{}}
		l.routes[routeID] = r
	}
	g := r.groups[pathGroup]
	if g == nil {
		if len(r.groups) < l.opts.MaxGroups {
			g = &group{}
			r.groups[pathGroup] = g
		} else {
			g = &r.overflow
		}
	}
	g.add(d)
	if g.samples >= l.opts.MinSamples {
		g.classify(l.opts, r.shortest(l.opts.MinSamples))
	}
}

// IsLong reports whether requests of the group are long work. Unknown groups are
// short unless the route has reached MaxGroups and its overflow group is long.
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

// Prune removes the samples of the routes for which keep returns false.
func (l *Learner) Prune(keep func(routeID string) bool) {
	for id := range l.routes {
		if !keep(id) {
			delete(l.routes, id)
		}
	}
}

// shortest returns the shortest median among the groups with enough samples.
func (r *routeGroups) shortest(minSamples int) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, g := range r.groups {
		if g.samples >= minSamples {
			shortest = min(shortest, g.median)
		}
	}
	return shortest
}

// add counts a duration and updates the median.
func (g *group) add(d time.Duration) {
	g.buckets[bucketIndex(d)]++
	g.samples++
	if g.samples >= maxSamples {
		g.samples = 0
		for i := range g.buckets {
			g.buckets[i] /= 2
			g.samples += int(g.buckets[i])
		}
	}
	cumulative := 0
	for i, c := range g.buckets {
		if cumulative += int(c); 2*cumulative >= g.samples {
			g.median = bucketUpperBound(i)
			return
		}
	}
}

// classify decides whether the group is long. A long group becomes short only below
// half of the threshold, so that a group near the threshold does not alternate.
func (g *group) classify(o LearnerOptions, shortest time.Duration) {
	threshold := o.AlwaysLong
	if shortest < time.Duration(float64(o.AlwaysLong)/o.Factor) {
		threshold = min(threshold, max(o.MinLong, time.Duration(float64(shortest)*o.Factor)))
	}
	if g.long && !o.noHysteresis {
		threshold /= 2
	}
	g.long = g.median >= threshold
}

func bucketIndex(d time.Duration) int {
	us := d.Microseconds()
	if us < 1 {
		return 0
	}
	return min(int(math.Log2(float64(us))*bucketsPerOctave), bucketCount-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i+1)/bucketsPerOctave) * float64(time.Microsecond))
}
