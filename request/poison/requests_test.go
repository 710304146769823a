package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// callersPattern is a fleet with one target a node. Callers send equal requests: those
// of poisonous callers crash each target that runs them and are sent again every 5 s with
// one retry, those of harmless callers arrive all the time.
type callersPattern struct {
	poisonous, harmless []string
	perSecond           float64 // requests of the harmless callers
	ignoreCallers       bool    // track requests without their callers
}

type callersResult struct {
	crashes        int
	harmless       int // requests of harmless callers
	refused        int // those that were refused as quarantined
	refusedLastMin int // those of the last minute
}

const (
	patternNodes    = 5
	patternTime     = 2 * time.Minute
	patternStep     = 10 * time.Millisecond
	patternGossip   = 300 * time.Millisecond // between two rounds of reports
	patternSendGap  = 5 * time.Second        // between two poisonous requests
	patternWork     = 400 * time.Millisecond
	patternCrashLag = 20 * time.Millisecond // from the start of a poisonous request to the crash
)

type patternCopy struct {
	request   Request
	entry     int // node that took the request from its caller
	startedAt time.Time
	endsAt    time.Time
	poisonous bool
	retry     bool
}

// patternRun is one history of a callersPattern.
type patternRun struct {
	callersPattern
	random   *rand.Rand
	now      time.Time
	trackers [patternNodes]*RequestTracker
	running  [patternNodes][]patternCopy
	waiting  []patternCopy // poisonous copies that may not start yet
	result   callersResult
}

func (p callersPattern) run(seed uint64) callersResult {
	r := &patternRun{callersPattern: p, random: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	for i := range r.trackers {
		r.trackers[i] = NewRequestTracker(Options{Node: fmt.Sprint("n", i)})
	}
	nextSend, nextGossip, sent := epoch.Add(time.Second), epoch, 0
	for ; r.now.Before(epoch.Add(patternTime)); r.now = r.now.Add(patternStep) {
		if !r.now.Before(nextGossip) {
			r.gossip()
			nextGossip = r.now.Add(patternGossip)
		}
		if !r.now.Before(nextSend) {
			r.waiting = append(r.waiting, patternCopy{request: r.requestOf(p.poisonous[sent%len(p.poisonous)]), entry: sent % patternNodes, poisonous: true})
			nextSend, sent = r.now.Add(patternSendGap), sent+1
		}
		for _, c := range r.takeWaiting() {
			r.start(c)
		}
		if r.random.Float64() < p.perSecond*patternStep.Seconds() {
			r.result.harmless++
			r.start(patternCopy{request: r.requestOf(p.harmless[r.random.IntN(len(p.harmless))])})
		}
		r.endCopies() // a retry starts in the next step
	}
	return r.result
}

func (r *patternRun) requestOf(caller string) Request {
	request := RequestOf(Content{Service: "shop", Method: "GET", Path: "/kits", Caller: caller})
	if r.ignoreCallers {
		request = Request{Digest: request.Shared}
	}
	return request
}

func (r *patternRun) takeWaiting() []patternCopy {
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

func (r *patternRun) start(c patternCopy) {
	node := r.random.IntN(patternNodes)
	switch r.trackers[node].Start(r.now, c.request, fmt.Sprint("t", node)) {
	case Run:
		c.startedAt, c.endsAt = r.now, r.now.Add(patternWork)
		if c.poisonous {
			c.endsAt = r.now.Add(patternCrashLag)
		}
		r.running[node] = append(r.running[node], c)
	case Wait:
		if c.poisonous {
			r.waiting = append(r.waiting, c)
		}
	case Quarantined:
		if !c.poisonous {
			r.result.refused++
			if r.now.Sub(epoch) > patternTime-time.Minute {
				r.result.refusedLastMin++
			}
		}
	}
}

// endCopies ends the copies that are due, a poisonous one by a crash of its target.
func (r *patternRun) endCopies() {
	for node := range r.running {
		var left []patternCopy
		crash := false
		for _, c := range r.running[node] {
			switch {
			case r.now.Before(c.endsAt):
				left = append(left, c)
			case c.poisonous:
				crash = true
				left = append(left, c)
			default:
				r.trackers[node].Finish(r.now, c.request, fmt.Sprint("t", node), true)
			}
		}
		if r.running[node] = left; crash {
			r.crash(node)
		}
	}
}

func (r *patternRun) crash(node int) {
	r.result.crashes++
	target, copies := fmt.Sprint("t", node), r.running[node]
	var inFlight []Request
	for _, c := range copies {
		inFlight = append(inFlight, c.request)
	}
	r.running[node] = nil
	r.trackers[node].Crash(r.now, target, inFlight)
	for _, c := range copies {
		entry := r.trackers[c.entry]
		if c.entry != node {
			entry.Merge(r.now, CrashReports("entry", c.request, CrashRecord{Target: target, Started: c.startedAt, At: r.now}))
		}
		if c.poisonous && !c.retry && !entry.Quarantined(r.now, c.request) {
			r.waiting = append(r.waiting, patternCopy{request: c.request, entry: c.entry, poisonous: true, retry: true})
		}
	}
}

func (r *patternRun) gossip() {
	for from, tracker := range r.trackers {
		for to, other := range r.trackers {
			if from != to {
				other.Merge(r.now, tracker.Reports(r.now))
			}
		}
	}
}

// Guards against a request that crashes targets again and again, since equal requests
// of another caller succeed, and against a quarantine of the other caller's requests.
func TestSuccessesOfOtherCallersProveNothing(t *testing.T) {
	for _, perSecond := range []float64{0.5, 4, 20} {
		p := callersPattern{poisonous: []string{"a"}, harmless: []string{"b"}, perSecond: perSecond}
		most, mostWithout := 0, 0
		for seed := range uint64(8) {
			got := p.run(seed)
			if most = max(most, got.crashes); got.crashes > 2 {
				t.Errorf("%g/s, seed %d: %d crashes, want 2 at most", perSecond, seed, got.crashes)
			}
			if got.refusedLastMin > 0 {
				t.Errorf("%g/s, seed %d: %d of %d requests of the harmless caller refused, %d in the last minute", perSecond, seed, got.refused, got.harmless, got.refusedLastMin)
			}
			without := p
			without.ignoreCallers = true
			mostWithout = max(mostWithout, without.run(seed).crashes)
		}
		t.Logf("%g/s: %d crashes at most, %d when callers are ignored", perSecond, most, mostWithout)
		if perSecond >= 4 && mostWithout <= 4 {
			t.Errorf("%g/s: %d crashes at most when callers are ignored, so the pattern does not show the fault", perSecond, mostWithout)
		}
	}
}

// Guards against a request that crashes targets whoever sends it, and costs two more
// for each further caller.
func TestCallersShareCrashes(t *testing.T) {
	p := callersPattern{poisonous: []string{"a", "b", "c", "d", "e", "f"}}
	for seed := range uint64(20) {
		if got := p.run(seed); got.crashes > 3 {
			t.Errorf("seed %d: %d crashes, want 3 at most", seed, got.crashes)
		}
	}
}

// Guards against a quarantine of equal requests of all callers for crashes that the
// requests of one caller explain.
func TestCrashesOfOneRequestAreNotShared(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	crash := func(target string, started, crashed int, r RequestDigest) CrashRecord {
		return CrashRecord{Target: target, Started: at(started), At: at(crashed), Request: r}
	}
	const a, b, c = RequestDigest(1), RequestDigest(2), RequestDigest(3)
	for name, test := range map[string]struct {
		crashes []CrashRecord
		want    bool
	}{
		"none":                         {nil, false},
		"one caller":                   {[]CrashRecord{crash("t1", 0, 1, a), crash("t2", 2, 3, a), crash("t3", 4, 5, a)}, false},
		"another in flight":            {[]CrashRecord{crash("t1", 0, 1, a), crash("t2", 2, 3, b), crash("t2", 2, 3, a), crash("t3", 4, 5, a)}, false},
		"another in flight at first":   {[]CrashRecord{crash("t1", 0, 1, b), crash("t2", 2, 3, a), crash("t3", 4, 5, a)}, false},
		"started before the crash":     {[]CrashRecord{crash("t1", 0, 1, a), crash("t2", 2, 3, a), crash("t3", 2, 4, b)}, false},
		"two callers":                  {[]CrashRecord{crash("t1", 0, 1, a), crash("t2", 2, 3, a), crash("t3", 4, 5, b)}, true},
		"three callers, two at a time": {[]CrashRecord{crash("t1", 0, 1, a), crash("t2", 2, 3, a), crash("t2", 2, 3, b), crash("t3", 4, 5, b), crash("t3", 4, 5, c), crash("t4", 6, 7, c)}, true},
	} {
		if got := spanRequests(test.crashes); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}
