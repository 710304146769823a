package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options of a Tracker.
type Options struct {
	Node          string        // name of this node in its reports
	Quarantine    time.Duration // time a digest stays quarantined; default 10 min
	SuspectTTL    time.Duration // time after which a crash is forgotten; default 10 min
	RemoteTTL     time.Duration // validity of another node's in-flight report; default 3 s
	MaxDigests    int           // suspects and quarantined digests kept, each; default 4096
	blameAll      bool          // test switch: copies in flight at the first crash count too
	freeSuspects  bool          // test switch: suspects run anywhere, several at once
	keepOnSuccess bool          // test switch: a success clears nothing
}

func (o Options) withDefaults() Options {
	if o.Quarantine <= 0 {
		o.Quarantine = 10 * time.Minute
	}
	if o.SuspectTTL <= 0 {
		o.SuspectTTL = 10 * time.Minute
	}
	if o.RemoteTTL <= 0 {
		o.RemoteTTL = 3 * time.Second
	}
	if o.MaxDigests <= 0 {
		o.MaxDigests = 4096
	}
	return o
}

// Decision says whether a request may run.
type Decision int

const (
	Run         Decision = iota // may run now; call Finish or Crash afterwards
	Wait                        // a suspect; another target is trying it, or this target tries another suspect
	Quarantined                 // never started; outcome not-run
)

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	ChangeSuspect        ChangeKind = "suspect"
	ChangeCleared        ChangeKind = "cleared"
	ChangeQuarantine     ChangeKind = "quarantine"
	ChangeCrashRetracted ChangeKind = "exonerated" // Target crashed by the digest, not by its own fault
)

// Change reports a new state of a digest or target.
type Change struct {
	Kind   ChangeKind
	Digest RequestDigest
	Target string    // ChangeCrashRetracted and ChangeSuspect
	Until  time.Time // ChangeQuarantine
}

// CrashRecord is one crash with the digest in flight.
type CrashRecord struct {
	Target  string    `json:"target"`
	Started time.Time `json:"started"` // latest start of a copy at this target
	At      time.Time `json:"at"`
}

// Report is what one node knows about one digest.
type Report struct {
	Node    string        `json:"node"`
	Digest  RequestDigest `json:"digest"`
	Crashes []CrashRecord `json:"crashes,omitempty"`
	Cleared time.Time     `json:"cleared,omitzero"` // crashes up to this time are void
	Until   time.Time     `json:"until,omitzero"`   // end of the quarantine
	Running []string      `json:"running,omitempty"`
}

// maxCrashes bounds the crash records per digest. Two decide; the rest only
// exonerate further targets.
const maxCrashes = 8

type suspect struct {
	crashes []CrashRecord
	cleared time.Time
	remote  map[string]remoteRun // by node
}

type remoteRun struct {
	targets []string
	until   time.Time
}

type runKey struct {
	digest RequestDigest
	target string
}

type run struct {
	copies  int
	started time.Time // latest
}

type quarantine struct {
	until   time.Time
	crashes []CrashRecord
	cleared time.Time
}

// Tracker attributes crashes to digests. It is not safe for concurrent use.
type Tracker struct {
	o           Options
	running     map[runKey]*run // bounded by the requests in flight
	suspects    *simplelru.LRU[RequestDigest, *suspect]
	quarantined *simplelru.LRU[RequestDigest, *quarantine]
	// successes holds the last success of recent digests: when another node
	// reports a crash, a success here may have come after it.
	successes *simplelru.LRU[RequestDigest, time.Time]
}

// New returns an empty Tracker.
func New(o Options) *Tracker {
	o = o.withDefaults()
	s, _ := simplelru.NewLRU[RequestDigest, *suspect](o.MaxDigests, nil)    // fails only for a size below 1
	q, _ := simplelru.NewLRU[RequestDigest, *quarantine](o.MaxDigests, nil) // the same
	ok, _ := simplelru.NewLRU[RequestDigest, time.Time](o.MaxDigests, nil)  // the same
	return &Tracker{o: o, running: map[runKey]*run{}, suspects: s, quarantined: q, successes: ok}
}

// Start asks whether a copy of the digest may start at target. After Run the
// caller reports the end by Finish, or by Crash for the whole target.
func (t *Tracker) Start(now time.Time, d RequestDigest, target string) Decision {
	if q, ok := t.quarantined.Get(d); ok {
		if now.Before(q.until) {
			return Quarantined
		}
		t.quarantined.Remove(d)
	}
	if t.isSuspect(now, d) && !t.o.freeSuspects && !t.mayTry(now, d, target) {
		return Wait
	}
	k := runKey{d, target}
	r := t.running[k]
	if r == nil {
		r = &run{}
		t.running[k] = r
	}
	r.copies++
	r.started = now
	return Run
}

// Quarantined reports whether the digest is quarantined now.
func (t *Tracker) Quarantined(now time.Time, d RequestDigest) bool {
	q, ok := t.quarantined.Peek(d)
	return ok && now.Before(q.until)
}

func (t *Tracker) isSuspect(now time.Time, d RequestDigest) bool {
	s, ok := t.suspects.Get(d)
	if !ok {
		return false
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c CrashRecord) bool { return now.Sub(c.At) > t.o.SuspectTTL })
	return len(s.crashes) > 0
}

// mayTry reports whether no copy of the suspect runs anywhere and no other
// suspect runs at the target: with two suspects at one crash, the one
// that caused it could not be determined.
func (t *Tracker) mayTry(now time.Time, d RequestDigest, target string) bool {
	for k := range t.running {
		if k.digest == d {
			return false
		}
		if k.target == target && t.isSuspect(now, k.digest) {
			return false
		}
	}
	for _, other := range t.suspects.Keys() {
		s, _ := t.suspects.Peek(other)
		for _, r := range s.remote {
			if now.Before(r.until) && len(r.targets) > 0 && (other == d || slices.Contains(r.targets, target)) {
				return false
			}
		}
	}
	return true
}

// Finish reports the end of a copy without a crash. A whole answer (ok)
// clears a suspect and lifts a quarantine.
func (t *Tracker) Finish(now time.Time, d RequestDigest, target string, ok bool) {
	t.drop(runKey{d, target})
	if !ok || t.o.keepOnSuccess {
		return
	}
	t.successes.Add(d, now)
	if q, found := t.quarantined.Peek(d); found && t.refuted(q.crashes, now) {
		t.lift(d, q) // this copy was in flight when the digest was quarantined
	}
	if s, found := t.suspects.Get(d); found {
		s.crashes = nil
		s.cleared = now
	}
}

func (t *Tracker) drop(k runKey) {
	if r := t.running[k]; r != nil {
		if r.copies--; r.copies <= 0 {
			delete(t.running, k)
		}
	}
}

// Crash reports that target went down with the given digests in flight, one
// entry per copy. Copies started through this Tracker count by their start;
// of others only the crash is known and they count as started before it.
func (t *Tracker) Crash(now time.Time, target string, inFlight []RequestDigest) []Change {
	var out []Change
	seen := map[RequestDigest]bool{}
	for _, d := range inFlight {
		if seen[d] {
			continue
		}
		seen[d] = true
		c := CrashRecord{Target: target, At: now}
		if r := t.running[runKey{d, target}]; r != nil {
			c.Started = r.started
		}
		out = append(out, t.addCrash(now, d, c)...)
	}
	for _, d := range inFlight {
		delete(t.running, runKey{d, target})
	}
	return out
}

func (t *Tracker) suspect(d RequestDigest) *suspect {
	s, ok := t.suspects.Get(d)
	if !ok {
		s = &suspect{}
		s.cleared, _ = t.successes.Peek(d)
		t.suspects.Add(d, s)
	}
	return s
}

func (t *Tracker) addCrash(now time.Time, d RequestDigest, c CrashRecord) []Change {
	if q, ok := t.quarantined.Peek(d); ok && now.Before(q.until) {
		if slices.ContainsFunc(q.crashes, func(o CrashRecord) bool { return o == c }) {
			return nil
		}
		if len(q.crashes) < maxCrashes {
			q.crashes = append(q.crashes, c)
		}
		return []Change{{Kind: ChangeCrashRetracted, Digest: d, Target: c.Target}}
	}
	s := t.suspect(d)
	if !c.At.After(s.cleared) || now.Sub(c.At) > t.o.SuspectTTL || slices.Contains(s.crashes, c) {
		return nil
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b CrashRecord) int { return a.At.Compare(b.At) })
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 1, 2) // the first crash decides and stays
	}
	if !t.confirmed(s.crashes) {
		return []Change{{Kind: ChangeSuspect, Digest: d, Target: c.Target}}
	}
	return t.addQuarantine(d, quarantine{until: now.Add(t.o.Quarantine), crashes: s.crashes, cleared: s.cleared})
}

// confirmed reports whether the crashes, oldest first, suffice for a
// quarantine: a copy that started after the first was in flight at another.
func (t *Tracker) confirmed(cs []CrashRecord) bool {
	if t.o.blameAll {
		return len(cs) >= 2
	}
	return len(cs) >= 2 && slices.ContainsFunc(cs[1:], func(c CrashRecord) bool { return c.Started.After(cs[0].At) })
}

func (t *Tracker) addQuarantine(d RequestDigest, q quarantine) []Change {
	t.suspects.Remove(d)
	t.quarantined.Add(d, &q)
	out := []Change{{Kind: ChangeQuarantine, Digest: d, Until: q.until}}
	return append(out, exonerate(d, q.crashes, nil)...)
}

// refuted reports whether a success at the given time voids the crashes of a
// quarantine, so that those after it prove nothing.
func (t *Tracker) refuted(cs []CrashRecord, success time.Time) bool {
	after := slices.DeleteFunc(slices.Clone(cs), func(c CrashRecord) bool { return !c.At.After(success) })
	return len(after) < len(cs) && !t.confirmed(after) && !t.o.keepOnSuccess
}

// lift turns a refuted quarantine back into a suspicion.
func (t *Tracker) lift(d RequestDigest, q *quarantine) {
	t.quarantined.Remove(d)
	s := t.suspect(d)
	if q.cleared.After(s.cleared) {
		s.cleared = q.cleared
	}
	s.crashes = slices.DeleteFunc(q.crashes, func(c CrashRecord) bool { return !c.At.After(s.cleared) })
}

func exonerate(d RequestDigest, cs, known []CrashRecord) []Change {
	var out []Change
	seen := map[string]bool{}
	for _, c := range known {
		seen[c.Target] = true
	}
	for _, c := range cs {
		if !seen[c.Target] {
			seen[c.Target] = true
			out = append(out, Change{Kind: ChangeCrashRetracted, Digest: d, Target: c.Target})
		}
	}
	return out
}

// Merge takes in the reports of other nodes. Its result does not depend on
// their order or on repeats.
func (t *Tracker) Merge(now time.Time, reports []Report) []Change {
	var out []Change
	for _, r := range reports {
		if r.Node == t.o.Node {
			continue
		}
		out = append(out, t.mergeOne(now, r)...)
	}
	return out
}

func (t *Tracker) mergeOne(now time.Time, r Report) []Change {
	var out []Change
	if q, ok := t.quarantined.Peek(r.Digest); ok && now.Before(q.until) {
		if !t.refuted(q.crashes, r.Cleared) {
			if r.Until.After(now) {
				return t.mergeQuarantine(now, r)
			}
			return nil
		}
		t.lift(r.Digest, q) // the report of a success came late
		out = append(out, Change{Kind: ChangeCleared, Digest: r.Digest})
	} else if r.Until.After(now) && !t.refuted(r.Crashes, t.suspect(r.Digest).cleared) {
		return t.mergeQuarantine(now, r)
	}
	s := t.suspect(r.Digest)
	if r.Cleared.After(s.cleared) && !t.o.keepOnSuccess {
		s.cleared = r.Cleared
		before := len(s.crashes)
		s.crashes = slices.DeleteFunc(s.crashes, func(c CrashRecord) bool { return !c.At.After(s.cleared) })
		if before > len(s.crashes) {
			out = append(out, Change{Kind: ChangeCleared, Digest: r.Digest})
		}
	}
	if s.remote == nil {
		s.remote = map[string]remoteRun{}
	}
	s.remote[r.Node] = remoteRun{targets: slices.Clone(r.Running), until: now.Add(t.o.RemoteTTL)}
	for n, rr := range s.remote {
		if !now.Before(rr.until) {
			delete(s.remote, n)
		}
	}
	for _, c := range r.Crashes {
		out = append(out, t.addCrash(now, r.Digest, c)...)
	}
	return out
}

func (t *Tracker) mergeQuarantine(now time.Time, r Report) []Change {
	limit := now.Add(t.o.Quarantine) // a node with a wrong clock cannot extend it
	until := r.Until
	if until.After(limit) {
		until = limit
	}
	q, ok := t.quarantined.Peek(r.Digest)
	if !ok || !now.Before(q.until) {
		return t.addQuarantine(r.Digest, quarantine{until: until, crashes: slices.Clone(r.Crashes), cleared: r.Cleared})
	}
	if until.After(q.until) {
		q.until = until
	}
	out := exonerate(r.Digest, r.Crashes, q.crashes)
	for _, c := range r.Crashes {
		if !slices.Contains(q.crashes, c) && len(q.crashes) < maxCrashes {
			q.crashes = append(q.crashes, c)
		}
	}
	return out
}

// Reports returns what this node knows, for gossip.
func (t *Tracker) Reports(now time.Time) []Report {
	var out []Report
	for _, d := range t.quarantined.Keys() {
		q, _ := t.quarantined.Peek(d)
		if !now.Before(q.until) {
			t.quarantined.Remove(d)
			continue
		}
		out = append(out, Report{Node: t.o.Node, Digest: d, Until: q.until, Crashes: slices.Clone(q.crashes), Cleared: q.cleared})
	}
	running := map[RequestDigest][]string{}
	for k := range t.running {
		running[k.digest] = append(running[k.digest], k.target)
	}
	for _, d := range t.suspects.Keys() {
		suspected := t.isSuspect(now, d)
		s, _ := t.suspects.Peek(d)
		if !suspected && now.Sub(s.cleared) > t.o.SuspectTTL {
			t.suspects.Remove(d)
			continue
		}
		r := Report{Node: t.o.Node, Digest: d, Crashes: slices.Clone(s.crashes), Cleared: s.cleared, Running: running[d]}
		slices.Sort(r.Running)
		out = append(out, r)
	}
	return out
}
