package health

import (
	"math"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// outage is the ejection state of a target or path.
type outage struct {
	out        bool
	since      time.Time // of the last ejection
	returnedAt time.Time
	level      int // ejections that the hold time remembers
	successes  int // trickle successes in sequence
}

func (s *outage) hold(o Options) time.Duration {
	if o.off.doubling || s.level <= 1 {
		return o.MinEjectionTime
	}
	return min(o.MinEjectionTime<<min(s.level-1, 30), o.MaxEjectionTime)
}

func (s *outage) leave(now time.Time) {
	s.out, s.since, s.successes = true, now, 0
	s.level++
}

// decay forgets one ejection for each EjectionTimeDecay of health.
func (s *outage) decay(now time.Time, o Options) {
	if !s.out && s.level > 0 && now.Sub(s.returnedAt) >= o.EjectionTimeDecay {
		s.level--
		s.returnedAt = now
	}
}

func (s *outage) mayReturn(now time.Time, o Options) bool {
	return now.Sub(s.since) >= s.hold(o) && s.successes >= o.ReturnSuccesses
}

// inProgress is an attempt that was sent and has not ended.
type inProgress struct {
	attempt     uint64
	class       *latency
	started     time.Time
	connectedAt time.Time
	void        bool          // this host paused meanwhile
	running     bool          // the gate says that it has the attempt
	atTarget    bool          // the gate says that the target runs it
	others      int           // attempts that run at the target for about as long
	waited      time.Duration // part of its age that it did not spend at the target
	newOK       bool          // an attempt on a newer connection succeeded since
	oldOK       bool          // an attempt on a connection as old as this one's succeeded since
	stale       bool          // the connection lost it
	verifyAt    time.Time     // when the gate was asked for its status
	age         float64       // evidence by its age at the last tick
	late        bool          // older than 99 in 100 at the last tick
	counted     *float64      // sum that contains age
}

type reportOf struct {
	from  string
	score float64
	at    time.Time
}

type sample struct {
	class  *latency
	bucket uint8
	at     time.Time
}

// target is what this entry knows of one target.
type target struct {
	info      TargetInfo
	svc       *service
	node      *node
	coldUntil time.Time

	outage
	rampFrom   time.Time
	distrusted bool
	// aboveSince is since when the evidence is above the threshold.
	aboveSince time.Time
	// cumulative sums of traffic evidence
	errors     float64
	slow       float64
	hard       float64 // wrong answers
	crash      float64 // may be withdrawn
	probe      float64
	overdue    float64 // of requests in progress that concern the target
	progress   []inProgress
	samples    []sample // durations not yet merged into the class
	recent     counts
	queue      float64 // requests queued per slot at the gate
	queueAt    time.Time
	good, bad  float64 // decayed counts of answers and errors
	errorRatio float64 // evidence of one error, from the peers' rate
	reports    []reportOf
	hint       float64
	hintAt     time.Time

	reported     float64 // own share of the threshold at the last ReportDue
	byPath       bool    // ejected for its path; returns with it
	goodProbes   int     // in sequence, since the ejection
	trickleTaken time.Time
	trickleDue   time.Time
	trickles     int // scheduled so far
	trickleBusy  bool

	state State
}

// node is the path to one gate.
type node struct {
	id      string
	dom     *domain
	targets []*target
	outage
	sum       float64 // cumulative sum of path evidence
	overdue   float64 // of requests in progress without any answer of the gate
	refused   bool    // a new connection failed since the gate was last heard
	heardAt   time.Time
	sentAt    time.Time
	verifyAt  time.Time // first unanswered status query
	verifying bool
}

type domain struct {
	id          string
	nodes       []*node
	unreachable bool
}

type service struct {
	id       string
	targets  []*target
	classes  map[string]*latency
	order    []*latency // classes in order of appearance
	touched  bool
	baseline float64 // lower quartile of the scores in rotation
	queue    float64 // mean queue per slot reported with recent answers
	common   counts  // recent requests of the better peers
	// requests and errors of targets in rotation, decayed over minutes
	requests, errors float64
}

// counted adds an answer to the service's usual error rate.
func (s *service) counted(g *target, failed bool) {
	if g.out || g.distrusted {
		return
	}
	s.requests++
	if failed {
		s.errors++
	}
}

// errorRate is the usual error rate of the service. The constant keeps the rate
// low until enough requests are known.
func (s *service) errorRate() float64 { return s.errors / (s.requests + 1000) }

func (s *service) class(name string) *latency {
	l := s.classes[name]
	if l == nil {
		l = newLatency()
		s.classes[name] = l
		s.order = append(s.order, l)
	}
	return l
}

// counts of requests, decayed over recentHalfLife.
type counts struct{ all, errors, slow float64 }

func (c *counts) add(d counts, factor float64) {
	c.all += d.all * factor
	c.errors += d.errors * factor
	c.slow += d.slow * factor
}

// rate of a count, kept low while requests are few.
func (c counts) rate(n float64) float64 { return n / (c.all + 5) }

// errorScale shrinks the evidence of errors as far as the better peers show
// errors at the same time, such as those of one caller's bad requests.
func (g *target) errorScale() float64 {
	if g.errorRatio == 0 {
		return 0
	}
	c := g.svc.common
	return math.Min(errorRatio(c.rate(c.errors))/g.errorRatio, 1)
}

// slowScale is the same for slowness, such as that of a demand peak.
func (s *service) slowScale() float64 {
	q := math.Max(s.common.rate(s.common.slow), tails[0])
	return math.Max(math.Log(0.5/(2*q))/math.Log(0.5/(2*tails[0])), 0)
}

// add moves a cumulative sum by the evidence r within 0..limit.
func add(sum *float64, r, limit float64) { *sum = math.Min(math.Max(*sum+r, 0), limit) }

// traffic is this entry's evidence from requests.
func (g *target) traffic() float64 {
	return g.errors*g.errorScale() + (g.slow+g.overdue)*g.svc.slowScale() + g.hard + g.crash
}

// own is this entry's evidence on the target.
func (g *target) own(o Options) float64 {
	sum := g.traffic()
	probes := g.probe
	if !o.off.probeCap {
		probes = math.Min(probes, probeShare*sum)
	}
	return math.Min(sum+probes, 2*o.Threshold)
}

const (
	// probeShare of the evidence from traffic is the most that probes add: a
	// probe path may fail while work does not.
	probeShare = 0.5
	// reportShare is the most that the report of a single other entry adds to own
	// evidence; two full reports add up to more than the threshold.
	reportShare  = 0.45
	reportsShare = 0.55
)

// score is all evidence on the target.
func (g *target) score(now time.Time, o Options) float64 {
	own := g.own(o)
	remote, reporters := 0.0, 0
	for _, r := range g.reports {
		if now.Sub(r.at) < o.ReportExpiry {
			// A suspicion that was not confirmed since counts less and less.
			score := r.score * (1 - float64(now.Sub(r.at))/float64(o.ReportExpiry))
			if !o.off.reportRule {
				score = math.Min(score, reportsShare*o.Threshold)
			}
			remote += score
			reporters++
		}
	}
	if reporters == 1 && !o.off.reportRule {
		remote = math.Min(remote, reportShare*o.Threshold)
	}
	// What all targets have in common, other entries see in the same way.
	remote *= math.Min(g.errorScale(), g.svc.slowScale())
	return math.Min(own+remote, 2*o.Threshold)
}

// reset forgets the evidence after a return or for a new incarnation.
func (g *target) reset() {
	g.errors, g.slow, g.hard, g.crash, g.probe, g.overdue = 0, 0, 0, 0, 0, 0
	g.aboveSince = time.Time{}
	g.reports = g.reports[:0]
	g.samples = g.samples[:0]
	g.good, g.bad = 0, 0
}

func (g *target) find(id uint64) int {
	for i := range g.progress {
		if g.progress[i].attempt == id {
			return i
		}
	}
	return -1
}

func (g *target) remove(i int) inProgress {
	p := g.progress[i]
	if p.counted != nil {
		*p.counted = math.Max(*p.counted-p.age, 0)
	}
	last := len(g.progress) - 1
	g.progress[i] = g.progress[last]
	g.progress = g.progress[:last]
	return p
}

func (g *target) incarnationChanged(i attempt.Incarnation) bool {
	return g.info.Incarnation.Compare(i) != 0
}
