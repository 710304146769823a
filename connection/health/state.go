package health

import (
	"math"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// ejectionState says whether a target or path is ejected, and how often it was.
type ejectionState struct {
	ejected              bool
	ejectedAt            time.Time // time of the last ejection
	returnedAt           time.Time
	ejectionCount        int // ejections that count for the ejection time
	consecutiveSuccesses int // since the last failure; trickle requests of a target, responses on a path
}

func (s *ejectionState) ejectionTime(o Options) time.Duration {
	if o.disabled.doubling || s.ejectionCount <= 1 {
		return o.MinEjectionTime
	}
	return min(o.MinEjectionTime<<min(s.ejectionCount-1, 30), o.MaxEjectionTime)
}

func (s *ejectionState) startEjection(now time.Time) {
	s.ejected, s.ejectedAt, s.consecutiveSuccesses = true, now, 0
	s.ejectionCount++
}

// decay forgets one ejection for each EjectionTimeDecay without a new one.
func (s *ejectionState) decay(now time.Time, o Options) {
	if !s.ejected && s.ejectionCount > 0 && now.Sub(s.returnedAt) >= o.EjectionTimeDecay {
		s.ejectionCount--
		s.returnedAt = now
	}
}

func (s *ejectionState) mayReturn(now time.Time, o Options) bool {
	return now.Sub(s.ejectedAt) >= s.ejectionTime(o) && s.consecutiveSuccesses >= o.ReturnSuccesses
}

// pendingAttempt is an attempt that was sent and has not ended.
type pendingAttempt struct {
	attempt           uint64
	class             *latency
	started           time.Time
	connectedAt       time.Time
	excluded          bool          // not evidence: this host paused meanwhile, or the target was ejected
	atGate            bool          // the gate reported that the attempt is queued or running
	atTarget          bool          // the gate reported that the target runs the attempt
	otherAttempts     int           // Evidence.OtherAttempts of the gate
	queuedFor         time.Duration // part of its age that was not spent at the target
	newerConnOK       bool          // an attempt on a connection opened since has succeeded
	olderConnOK       bool          // a later attempt on a connection that was open already has succeeded
	connLost          bool          // the gate does not have the attempt: the connection lost it or its response
	statusRequestedAt time.Time     // when the gate was queried for its status
	ageEvidence       float64       // evidence from its age at the last tick
	slow              bool          // at the last tick above the lowest latency threshold, which 99 in 100 stay below
	countedIn         *float64      // the sum that contains ageEvidence
}

type receivedReport struct {
	from       string
	score      float64
	receivedAt time.Time
}

type sample struct {
	class      *latency
	bucket     uint8
	finishedAt time.Time
}

// target holds the evidence on one target and its state.
type target struct {
	info      TargetInfo
	svc       *service
	node      *node
	coldUntil time.Time

	ejectionState
	rampStartedAt   time.Time
	ejectionBlocked bool
	// aboveThresholdSince is when the evidence rose above the threshold.
	aboveThresholdSince time.Time
	// Cumulative sums of evidence, by kind.
	errorSum            float64
	slowSum             float64
	severeSum           float64 // wrong responses, and attempts that hung at the target
	crashSum            float64 // may be retracted
	probeSum            float64
	overdueSum          float64 // from requests in progress that concern the target
	pending             []pendingAttempt
	samples             []sample // durations not yet merged into the class
	recent              counts
	queuePerSlot        float64 // requests queued per slot at the gate
	queueReportedAt     time.Time
	goodCount, badCount float64 // decayed counts of successes and failures
	errorRatio          float64 // evidence of one error, from the error rate of the peers
	reports             []receivedReport
	hint                float64
	hintAt              time.Time

	reportedShare     float64 // share of the threshold at the last ReportDue
	ejectedByPath     bool    // ejected because its path is down; returns with the path
	goodProbes        int     // consecutive, since the ejection
	trickleClaimedAt  time.Time
	nextTrickleAt     time.Time
	trickleCount      int // scheduled so far
	trickleInProgress bool

	state State
}

// node is the path to one gate.
type node struct {
	id      string
	dom     *domain
	targets []*target
	ejectionState
	pathSum           float64 // cumulative sum of path evidence
	overdueSum        float64 // from requests in progress without any response of the gate
	newConnFailed     bool    // a new connection failed since the last response of the gate
	lastResponseAt    time.Time
	lastSentAt        time.Time
	statusRequestedAt time.Time // time of the last status query
	statusPending     bool
}

type domain struct {
	id          string
	nodes       []*node
	unreachable bool
}

type service struct {
	id              string
	targets         []*target
	classes         map[string]*latency
	classOrder      []*latency // classes in order of appearance
	needsEvaluation bool
	baseline        float64 // lower quartile of the scores in rotation
	queuePerSlot    float64 // mean queue per slot that recent responses reported
	common          counts  // recent requests of the better peers, for what all targets have in common
	// Requests to targets in rotation and their errors, decayed by errorRateHalfLife.
	requests, errors float64
}

// countResponse adds a response to the usual error rate of the service.
func (s *service) countResponse(tgt *target, failed bool) {
	if tgt.ejected || tgt.ejectionBlocked {
		return
	}
	s.requests++
	if failed {
		s.errors++
	}
}

// errorRate returns the usual error rate of the service. The constant keeps the
// rate low until enough requests are known.
func (s *service) errorRate() float64 { return s.errors / (s.requests + 1000) }

func (s *service) class(name string) *latency {
	l := s.classes[name]
	if l == nil {
		l = newLatency()
		s.classes[name] = l
		s.classOrder = append(s.classOrder, l)
	}
	return l
}

// counts are numbers of requests, decayed by recentHalfLife.
type counts struct{ all, errors, slow float64 }

func (c *counts) add(d counts, factor float64) {
	c.all += d.all * factor
	c.errors += d.errors * factor
	c.slow += d.slow * factor
}

// rate returns n as a share of all requests, kept low while requests are few.
func (c counts) rate(n float64) float64 { return n / (c.all + 5) }

// errorScale returns the factor, at most 1, by which the evidence from errors
// shrinks when the better peers show errors at the same time, for example because
// one caller sends bad requests.
func (tgt *target) errorScale() float64 {
	if tgt.errorRatio == 0 {
		return 0
	}
	c := tgt.svc.common
	return math.Min(errorRatio(c.rate(c.errors))/tgt.errorRatio, 1)
}

// slowScale returns the same factor for slowness, for example at a demand peak.
func (s *service) slowScale() float64 {
	q := math.Max(s.common.rate(s.common.slow), tails[0])
	return math.Max(math.Log(0.5/(2*q))/math.Log(0.5/(2*tails[0])), 0)
}

// addEvidence adds the evidence r to a cumulative sum and keeps it in 0..limit.
func addEvidence(sum *float64, r, limit float64) { *sum = math.Min(math.Max(*sum+r, 0), limit) }

// trafficEvidence returns this entry's evidence from requests.
func (tgt *target) trafficEvidence() float64 {
	return tgt.errorSum*tgt.errorScale() + (tgt.slowSum+tgt.overdueSum)*tgt.svc.slowScale() + tgt.severeSum + tgt.crashSum
}

// ownEvidence returns this entry's evidence from requests and probes.
func (tgt *target) ownEvidence(o Options) float64 {
	sum := tgt.trafficEvidence()
	probes := tgt.probeSum
	if !o.disabled.probeCap {
		probes = math.Min(probes, probeShare*sum)
	}
	return math.Min(sum+probes, 2*o.Threshold)
}

const (
	// probeShare is the most that probes add, as a share of the evidence from
	// traffic: a probe path may fail while work does not.
	probeShare = 0.5
	// singleReportShare is the most that the report of a single other entry adds,
	// and perReportShare the most that each of several adds, as shares of the
	// threshold. Two full reports add up to more than the threshold.
	singleReportShare = 0.45
	perReportShare    = 0.55
)

// score returns all evidence on the target, with that of other entries' reports.
func (tgt *target) score(now time.Time, o Options) float64 {
	own := tgt.ownEvidence(o)
	remote, reporters := 0.0, 0
	for _, r := range tgt.reports {
		if now.Sub(r.receivedAt) < o.ReportExpiry {
			// A report weighs less with its age, until the next one replaces it.
			score := r.score * (1 - float64(now.Sub(r.receivedAt))/float64(o.ReportExpiry))
			if !o.disabled.reportRule {
				score = math.Min(score, perReportShare*o.Threshold)
			}
			remote += score
			reporters++
		}
	}
	if reporters == 1 && !o.disabled.reportRule {
		remote = math.Min(remote, singleReportShare*o.Threshold)
	}
	// Other entries see the same faults that all targets have in common.
	remote *= math.Min(tgt.errorScale(), tgt.svc.slowScale())
	return math.Min(own+remote, 2*o.Threshold)
}

// reset clears the evidence after a return or for a new incarnation.
func (tgt *target) reset() {
	tgt.errorSum, tgt.slowSum, tgt.severeSum, tgt.crashSum, tgt.probeSum, tgt.overdueSum = 0, 0, 0, 0, 0, 0
	tgt.aboveThresholdSince = time.Time{}
	tgt.reports = tgt.reports[:0]
	tgt.samples = tgt.samples[:0]
	tgt.goodCount, tgt.badCount = 0, 0
}

func (tgt *target) findPending(id uint64) int {
	for i := range tgt.pending {
		if tgt.pending[i].attempt == id {
			return i
		}
	}
	return -1
}

// removePending removes an attempt in progress, together with the evidence from
// its age.
func (tgt *target) removePending(i int) pendingAttempt {
	pending := tgt.pending[i]
	if pending.countedIn != nil {
		*pending.countedIn = math.Max(*pending.countedIn-pending.ageEvidence, 0)
	}
	last := len(tgt.pending) - 1
	tgt.pending[i] = tgt.pending[last]
	tgt.pending = tgt.pending[:last]
	return pending
}

func (tgt *target) incarnationChanged(i attempt.Incarnation) bool {
	return tgt.info.Incarnation.Compare(i) != 0
}
