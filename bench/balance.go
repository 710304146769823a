package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// The balance pattern: the entries of a fleet choose targets of one service at the same
// moments. The targets differ in speed, and the demand of each failure domain swings, with
// phases apart, so that the fleet's demand stays the same. It measures how evenly a policy
// loads the targets when what it knows of their load is of a given age.
const (
	balanceDomains          = 4
	balanceSlots            = 11
	balanceUse              = 0.62 // mean share of slots in use
	balanceSwing            = 0.55 // of a domain's demand
	balancePeriod           = 20 * time.Second
	balanceRate             = 0.6 // requests/s of an entry to the service: 2.4, to four services
	balanceStep             = 100 * time.Millisecond
	balanceSample           = 10 * time.Millisecond
	balanceWarmup           = 10 * time.Second
	balanceRunTime          = 50 * time.Second
	balanceEntriesPerTarget = 4
	balanceRemoteCost       = .2 // the cost of another domain for small exchanges
)

// balanceTarget is a target with its work, running and waiting.
type balanceTarget struct {
	index, domain int
	speed         float64 // service time relative to the mean
	running       int
	waiting       []func()
	history       []int   // load at each sample
	busy          float64 // sum of the samples of the current second
}

func (t *balanceTarget) load() int { return t.running + len(t.waiting) }

type balanceEntry struct {
	name    string
	index   int
	domain  int
	subset  []int
	own     map[int]map[int]time.Time // start of the requests in flight, by target
	members [2][]int                  // subset in the own domain and elsewhere
}

// balanceRun is one run of the pattern.
type balanceRun struct {
	*scheduler
	rng        *rand.Rand
	targets    []*balanceTarget
	candidates []selection.Candidate // the targets
	entries    []*balanceEntry
	choose     balancePolicy
	age        time.Duration // of what the policies of fixed age know
	rate       float64       // requests/s of an entry
	// remoteCost is added to the load per slot of targets in other domains.
	remoteCost   float64
	onResponse   func(e *balanceEntry, t *balanceTarget, serviceTime time.Duration) // the work has freed its slot
	lastRequest  int
	requests     int
	refused      int
	remote       int
	ratios       []float64
	domainRatios []float64 // greatest to mean load within the failure domains
	meanService  float64   // seconds
	headerBytes  int64     // since the start, also the next
	remoteBytes  int64     // of headers between failure domains
}

// balancePolicy returns the index of the target for a request of an entry.
type balancePolicy func(r *balanceRun, e *balanceEntry) int

// newBalanceRun returns a run with a rate of requests per entry. The service time follows
// from the rate, as the load stays the same.
func newBalanceRun(entries int, rate float64, seed uint64) *balanceRun {
	r := &balanceRun{scheduler: newScheduler(), rng: rand.New(rand.NewPCG(seed, 7)), remoteCost: balanceRemoteCost, rate: rate}
	count := entries / balanceEntriesPerTarget
	r.meanService = float64(count*balanceSlots) * balanceUse / (float64(entries) * rate)
	for i := range count {
		t := &balanceTarget{index: i, domain: i % balanceDomains, speed: 0.6 + 0.8*r.rng.Float64()}
		r.targets = append(r.targets, t)
		r.candidates = append(r.candidates, balanceCandidate(t))
	}
	mean := 0.0 // of the speeds: the demand is for targets of mean speed 1
	for _, t := range r.targets {
		mean += 1 / t.speed / float64(count)
	}
	for _, t := range r.targets {
		t.speed *= mean
	}
	for i := range entries {
		e := &balanceEntry{name: fmt.Sprintf("n%03d", i), index: i, domain: i % balanceDomains, own: map[int]map[int]time.Time{}}
		for _, c := range selection.Subset(e.name, balanceDomain(e.domain), 24, r.candidates) {
			index := balanceIndex(c.Target)
			e.subset = append(e.subset, index)
			tier := 1
			if r.targets[index].domain == e.domain {
				tier = 0
			}
			e.members[tier] = append(e.members[tier], index)
		}
		r.entries = append(r.entries, e)
	}
	return r
}

func balanceDomain(i int) string { return fmt.Sprintf("d%d", i) }

// balanceCandidate describes a target. It is on the host of the entry with its number.
func balanceCandidate(t *balanceTarget) selection.Candidate {
	return selection.Candidate{Target: fmt.Sprintf("t%03d", t.index), Node: fmt.Sprintf("n%03d", t.index),
		Domain: balanceDomain(t.domain), Service: "svc", Slots: balanceSlots}
}

// balanceIndex returns the index of the target with a key that balanceCandidate gave it.
func balanceIndex(target string) int {
	index, _ := strconv.Atoi(target[1:])
	return index
}

// run runs the pattern to its end.
func (r *balanceRun) run() {
	r.every(balanceSample, r.sample)
	r.every(balanceStep, func() {
		for _, i := range r.rng.Perm(len(r.entries)) {
			e := r.entries[i]
			phase := 2 * math.Pi * (r.elapsed().Seconds()/balancePeriod.Seconds() + float64(e.domain)/balanceDomains)
			rate := r.rate * (1 + balanceSwing*math.Sin(phase))
			for range poisson(r.rng, rate*balanceStep.Seconds()) {
				r.request(e)
			}
		}
	})
	r.runUntil(epoch.Add(balanceRunTime))
}

// sample records the load of each target and, at the end of each second, the ratio of the
// greatest to the mean load.
func (r *balanceRun) sample() {
	for _, t := range r.targets {
		t.history = append(t.history, t.load())
		t.busy += float64(t.load())
	}
	if r.elapsed()%time.Second != 0 {
		return
	}
	greatest, total := 0.0, 0.0
	var ofDomain, greatestOfDomain, count [balanceDomains]float64
	for _, t := range r.targets {
		greatest, total = max(greatest, t.busy), total+t.busy
		ofDomain[t.domain] += t.busy
		greatestOfDomain[t.domain] = max(greatestOfDomain[t.domain], t.busy)
		count[t.domain]++
		t.busy = 0
	}
	if r.elapsed() <= balanceWarmup || total == 0 {
		return
	}
	r.ratios = append(r.ratios, greatest/(total/float64(len(r.targets))))
	crest := 0 // the domain of greatest load
	for i := range ofDomain {
		if ofDomain[i]/count[i] > ofDomain[crest]/count[crest] {
			crest = i
		}
	}
	r.domainRatios = append(r.domainRatios, greatestOfDomain[crest]/(ofDomain[crest]/count[crest]))
}

func (r *balanceRun) request(e *balanceEntry) {
	t := r.targets[r.choose(r, e)]
	r.lastRequest++
	id := r.lastRequest
	measured := r.elapsed() > balanceWarmup
	if measured {
		r.requests++
		if t.domain != e.domain {
			r.remote++
		}
		if t.running >= balanceSlots && r.freeElsewhere(e) {
			r.refused++
		}
	}
	if e.own[t.index] == nil {
		e.own[t.index] = map[int]time.Time{}
	}
	e.own[t.index][id] = r.now
	serviceTime := time.Duration(r.rng.ExpFloat64() * r.meanService * t.speed * float64(time.Second))
	begin := func() {
		t.running++
		r.after(serviceTime, func() {
			t.running--
			delete(e.own[t.index], id)
			if r.onResponse != nil {
				r.onResponse(e, t, serviceTime)
			}
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
		})
	}
	if t.running < balanceSlots {
		begin()
		return
	}
	t.waiting = append(t.waiting, begin)
}

func (r *balanceRun) freeElsewhere(e *balanceEntry) bool {
	for _, i := range e.subset {
		if r.targets[i].running < balanceSlots {
			return true
		}
	}
	return false
}

// known returns the load per slot of a target that an entry knows: the load of r.age ago
// plus what the entry has sent since.
func (r *balanceRun) known(e *balanceEntry, i int) float64 {
	t := r.targets[i]
	load := 0
	if at := len(t.history) - int(r.age/balanceSample); at >= 0 && len(t.history) > 0 {
		load = t.history[min(at, len(t.history)-1)]
	}
	for _, started := range e.own[i] {
		if started.After(r.now.Add(-r.age)) {
			load++
		}
	}
	return float64(load) / balanceSlots
}

// meanKnown returns the mean load per slot of the subset that an entry knows.
func (r *balanceRun) meanKnown(e *balanceEntry) (mean float64) {
	for _, i := range e.subset {
		mean += r.known(e, i) / float64(len(e.subset))
	}
	return mean
}

// leastCost returns the target of least cost of d random ones of each tier, or of all with
// d = 0. The cost of the domain is added.
func (r *balanceRun) leastCost(e *balanceEntry, d int, cost func(target int) float64) int {
	best, bestCost := -1, math.Inf(1)
	for tier, members := range e.members {
		for place, p := range r.rng.Perm(len(members)) {
			if d > 0 && place >= d {
				break
			}
			if c := cost(members[p]) + float64(tier)*r.remoteCost; c < bestCost {
				best, bestCost = members[p], c
			}
		}
	}
	return best
}

// leastOf returns a policy that takes the least known load, aged towards the mean by halfLife
// (0: not aged) and weighted by speed to the given power.
func leastOf(d int, halfLife time.Duration, speedPower float64) balancePolicy {
	return func(r *balanceRun, e *balanceEntry) int {
		mean, weight := r.meanKnown(e), 1.0
		if halfLife > 0 {
			weight = math.Exp2(-float64(r.age) / float64(halfLife))
		}
		return r.leastCost(e, d, func(i int) float64 {
			return (r.known(e, i)*weight + mean*(1-weight)) * math.Pow(r.targets[i].speed, speedPower)
		})
	}
}

// sampled returns a policy that draws a load for each target from what is known of it. A load
// of a given age has lost weight exp2(-age/halfLife) to the mean of the service, with the
// spread of a Poisson load.
func sampled(d int, halfLife time.Duration) balancePolicy {
	return func(r *balanceRun, e *balanceEntry) int {
		mean, weight := r.meanKnown(e), math.Exp2(-float64(r.age)/float64(halfLife))
		deviation := math.Sqrt(mean / balanceSlots * (1 - weight*weight))
		return r.leastCost(e, d, func(i int) float64 {
			return r.known(e, i)*weight + mean*(1-weight) + deviation*r.rng.NormFloat64()
		})
	}
}

// hotCold takes a random target of the entry's domain whose known load is at most limit times
// the mean, else one of another domain, else any.
func hotCold(limit float64) balancePolicy {
	return func(r *balanceRun, e *balanceEntry) int {
		mean := r.meanKnown(e)
		for _, members := range e.members {
			for _, p := range r.rng.Perm(len(members)) {
				if load := r.known(e, members[p]); load <= limit*mean && load < 1 {
					return members[p]
				}
			}
		}
		return e.subset[r.rng.IntN(len(e.subset))]
	}
}

// balanceFigures are the figures of one run.
type balanceFigures struct {
	MaxToMean   float64 // of the targets' load in a second; mean over the seconds
	DomainRatio float64 // the same within the failure domain of greatest load
	Refused     float64 // share of requests that found no free slot while another target of the subset had one
	Remote      float64 // share of requests that left their failure domain
	Bytes       float64 // added per response
	RemoteBytes float64 // the part of Bytes between failure domains
}

func (r *balanceRun) figures() balanceFigures {
	n, all := float64(max(r.requests, 1)), float64(max(r.lastRequest, 1))
	return balanceFigures{MaxToMean: sum(r.ratios) / float64(len(r.ratios)), DomainRatio: sum(r.domainRatios) / float64(len(r.domainRatios)),
		Refused: float64(r.refused) / n, Remote: float64(r.remote) / n, Bytes: float64(r.headerBytes) / all, RemoteBytes: float64(r.remoteBytes) / all}
}

// useSelectors makes the entries choose with selection.Selector and the information that
// responses give them. With share, responses carry the loads that the node of the gate
// knows; with shareRemote false, only those within a failure domain do.
func (r *balanceRun) useSelectors(share, shareRemote bool) {
	selectors := make([]*selection.Selector, len(r.entries))
	for i, e := range r.entries {
		selectors[i] = selection.New(selection.Options{Entry: e.name, Domain: balanceDomain(e.domain), ShareLoads: share},
			rand.New(rand.NewPCG(r.rng.Uint64(), uint64(i))))
		selectors[i].SetCandidates(r.now, r.candidates)
	}
	r.choose = func(r *balanceRun, e *balanceEntry) int {
		s := selectors[e.index]
		choice, _ := s.Pick(r.now, selection.Query{Service: "svc", RemoteCostFactor: r.remoteCost / 0.5}, func(string) health.State { return health.State{Weight: 1} })
		s.Started(r.now, choice.Target, false)
		return balanceIndex(choice.Target)
	}
	r.onResponse = func(e *balanceEntry, t *balanceTarget, serviceTime time.Duration) {
		key, s, host := balanceCandidate(t).Target, selectors[e.index], selectors[t.index]
		load := attempt.Load{Slots: balanceSlots, Limit: balanceSlots, Running: t.running, Queued: len(t.waiting)}
		s.Finished(key, false)
		s.ObserveLoad(r.now, key, load)
		s.ObserveServiceTime(key, serviceTime)
		host.ObserveLoad(r.now, key, load)
		if s == host || (!shareRemote && e.domain != t.domain) {
			return
		}
		if header := host.FreshestLoads(r.now, "svc", key); header != "" {
			if e.domain != t.domain {
				r.remoteBytes += int64(len(header) + loadsFieldBytes)
			}
			r.headerBytes += int64(len(header) + loadsFieldBytes)
			s.MergeLoads(r.now, "svc", header)
		}
	}
}

// loadsFieldBytes are the bytes of the header field without its value.
const loadsFieldBytes = len(attempt.HeaderLoads + ": \r\n")
