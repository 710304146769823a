package loadview

import (
	"math"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Known is what is known of the load of one target.
type Known struct {
	Load, Long float64   // requests per slot, of all entries
	At         time.Time // when the gate had this load; zero: nothing is known
	Failing    bool      // at that time its circuit breaker refused a request
	Domain     string    // failure domain of the target
	domain     int       // index in View.means
	id         ID
	ambiguous  bool // another target of the service has the same ID
}

// Counts counts the loads in headers.
type Counts struct {
	Fresher    int64 // taken over
	NotFresher int64
	Bad        int64 // headers that could not be parsed, and impossible loads
	Unknown    int64 // of targets that are not known to be of the service
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Fresher += other.Fresher
	c.NotFresher += other.NotFresher
	c.Bad += other.Bad
	c.Unknown += other.Unknown
}

// View holds what is known of the loads of one service's targets. It is not safe for
// concurrent use.
type View struct {
	used   []*Known      // targets that this entry uses
	byID   map[ID]*Known // nil: a target that this entry does not use, or one of several with the ID
	means  [][2]float64  // of Load and Long, by failure domain and, last, of all
	meanAt time.Time
	// serviceTime is the mean time of a request at the targets; 0: not known.
	serviceTime time.Duration
}

const (
	// meanInterval is the time between computations of the means. It is far below
	// the time in which loads change, and saves a pass over the targets per request.
	meanInterval = 100 * time.Millisecond
	// forgetAfter is the age at which loads no longer count: the entry has not heard of
	// the target for longer than most requests run.
	forgetAfter = 30 * time.Second
	// halfLifeFactor times the service time is the half-life of a load. In the balance
	// pattern of the bench with service times of 2.8 s, half-lives of 0.5, 1, 2 and 4 s
	// left 0.216, 0.182, 0.182 and 0.152 of the requests without a free slot; with
	// 0.7 s 0.114, 0.120, 0.148 and 0.155.
	halfLifeFactor = 1.4
	minHalfLife    = 100 * time.Millisecond
	maxHalfLife    = 10 * time.Second
	// serviceTimeWeight is the weight of one response in the mean service time.
	serviceTimeWeight = 0.05
)

// NewView returns a view of the targets of a service. known holds what is known of those
// that the entry uses, by key; all lists the keys of all targets, each once.
func NewView(known map[string]*Known, all []string) *View {
	v := &View{byID: make(map[ID]*Known, len(all))}
	domains := map[string]int{}
	for _, target := range all {
		id := IDOf(target)
		k := known[target]
		if k != nil {
			k.id, k.ambiguous = id, false
			v.used = append(v.used, k)
			if _, numbered := domains[k.Domain]; !numbered {
				domains[k.Domain] = len(domains)
			}
			k.domain = domains[k.Domain]
		}
		other, ambiguous := v.byID[id]
		if !ambiguous {
			v.byID[id] = k
			continue
		}
		for _, same := range []*Known{k, other} {
			if same != nil {
				same.ambiguous = true
			}
		}
		v.byID[id] = nil
	}
	v.means = make([][2]float64, len(domains)+1)
	return v
}

// Adopt takes over the service time from the view that v replaces.
func (v *View) Adopt(previous *View) {
	if previous != nil {
		v.serviceTime = previous.serviceTime
	}
}

// ObserveServiceTime adds the time of a request at its target, without queueing.
func (v *View) ObserveServiceTime(d time.Duration) {
	d = min(max(d, 0), time.Hour)
	if v.serviceTime == 0 {
		v.serviceTime = d
		return
	}
	v.serviceTime += time.Duration(serviceTimeWeight * float64(d-v.serviceTime))
}

// halfLife returns the time in which a known load loses half of its weight, or unknown when
// no service time is known. A load changes as fast as the requests at the target end.
func (v *View) halfLife(unknown time.Duration) time.Duration {
	if v.serviceTime == 0 {
		return unknown
	}
	return min(max(time.Duration(halfLifeFactor*float64(v.serviceTime)), minHalfLife), maxHalfLife)
}

// Observe records the load that a gate reports of its own target.
func (k *Known) Observe(now time.Time, l attempt.Load) bool {
	if l.Limit < 1 || l.Running < 0 || l.Queued < 0 || l.RunningLong < 0 || l.QueuedLong < 0 || l.RunningLong > l.Running || l.QueuedLong > l.Queued {
		return false
	}
	slots := float64(l.Limit)
	k.Load = math.Min(float64(l.Running+l.Queued-l.QueuedLong)/slots, maxLoad)
	k.Long = math.Min(float64(l.RunningLong+l.QueuedLong)/slots, maxLoad)
	k.At, k.Failing = now, false
	return true
}

// ObserveFailing records that the circuit breaker of the target refused a request.
func (k *Known) ObserveFailing(now time.Time) { k.At, k.Failing = now, true }

// Merge takes over the loads of a header that are fresher than the known ones.
func (v *View) Merge(now time.Time, header string) Counts {
	var list [MaxShared]Shared
	n, err := decode(header, &list)
	if err != nil {
		return Counts{Bad: 1}
	}
	return v.mergeShared(now, list[:n])
}

func (v *View) mergeShared(now time.Time, list []Shared) (counts Counts) {
	for _, s := range list {
		k, ofService := v.byID[s.Target]
		switch at := now.Add(-s.Age); {
		case !s.valid():
			counts.Bad++
		case !ofService:
			counts.Unknown++
		case k == nil || !at.After(k.At):
			counts.NotFresher++
		default:
			if k.At, k.Failing = at, s.Failing; !s.Failing {
				k.Load, k.Long = s.Load, s.Long
			}
			counts.Fresher++
		}
	}
	return counts
}

// Freshest returns the header with the freshest known loads, without that of the target
// except, or "" when none is fresh enough.
func (v *View) Freshest(now time.Time, except string) string {
	var best [MaxShared]*Known
	n, exceptID := 0, IDOf(except)
	for _, k := range v.used {
		if age := now.Sub(k.At); k.At.IsZero() || age > MaxSharedAge || age < 0 || k.ambiguous || k.id == exceptID {
			continue
		}
		at := n
		for at > 0 && k.sharedBefore(best[at-1]) {
			at--
		}
		if at == MaxShared {
			continue
		}
		n = min(n+1, MaxShared)
		copy(best[at+1:n], best[at:])
		best[at] = k
	}
	if n == 0 {
		return ""
	}
	var list [MaxShared]Shared
	for i, k := range best[:n] {
		list[i] = Shared{Target: k.id, Failing: k.Failing, Load: k.Load, Long: k.Long, Age: now.Sub(k.At)}
	}
	return encode(list[:n])
}

// failingAdvantage makes failing targets part of a header before others that are fresher by
// less. A refused attempt costs its request a round trip, a busy target only a wait.
const failingAdvantage = 500 * time.Millisecond

// sharedBefore reports whether k is passed on rather than other.
func (k *Known) sharedBefore(other *Known) bool {
	at, otherAt := k.At, other.At
	if k.Failing {
		at = at.Add(failingAdvantage)
	}
	if other.Failing {
		otherAt = otherAt.Add(failingAdvantage)
	}
	return at.After(otherAt)
}

// Estimate is a probability distribution of a load per slot.
type Estimate struct{ Mean, Deviation float64 }

// Estimate returns what the load per slot of a target is now. The known load loses its weight
// to the mean of its failure domain, whose demand may be far from that of the others, and the
// variance grows towards that of a Poisson load. The half-life follows from the service time;
// it is unknownHalfLife while that is not known. Estimate reports false when nothing is known
// of any target.
func (v *View) Estimate(now time.Time, k *Known, long bool, slots float64, unknownHalfLife time.Duration) (Estimate, bool) {
	halfLife := v.halfLife(unknownHalfLife)
	if v.meanAt.IsZero() || now.Sub(v.meanAt) >= meanInterval || now.Before(v.meanAt) {
		v.computeMeans(now, halfLife)
	}
	load, kind := k.Load, 0
	if long {
		load, kind = k.Long, 1
	}
	mean := v.means[k.domain][kind]
	if math.IsNaN(mean) {
		mean = v.means[len(v.means)-1][kind]
	}
	weight := weightOf(now, k, halfLife)
	switch {
	case !math.IsNaN(mean):
	case weight == 0:
		return Estimate{}, false
	default: // the load is newer than the means
		mean = load
	}
	return Estimate{Mean: load*weight + mean*(1-weight), Deviation: math.Sqrt(mean / slots * (1 - weight*weight))}, true
}

// weightOf returns the weight of a known load, 1 when it is new and 0 when nothing is known.
func weightOf(now time.Time, k *Known, halfLife time.Duration) float64 {
	age := now.Sub(k.At)
	if k.At.IsZero() || age > forgetAfter {
		return 0
	}
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// computeMeans computes the means of the known loads, weighted like in Estimate. They are
// NaN when nothing is known.
func (v *View) computeMeans(now time.Time, halfLife time.Duration) {
	totals := make([]float64, len(v.means))
	clear(v.means)
	for _, k := range v.used {
		weight := weightOf(now, k, halfLife)
		for _, i := range [2]int{k.domain, len(v.means) - 1} {
			totals[i] += weight
			v.means[i][0] += weight * k.Load
			v.means[i][1] += weight * k.Long
		}
	}
	for i, total := range totals {
		v.means[i][0] /= total // 0/0 is NaN
		v.means[i][1] /= total
	}
	v.meanAt = now
}
