package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options configure a Tracker.
type Options struct {
	Node       string        // name of this node in its reports
	Quarantine time.Duration // time for which a digest stays quarantined; default 10 min
	SuspectTTL time.Duration // time after which a crash is forgotten; default 10 min
	RemoteTTL  time.Duration // validity of another node's in-flight report; default 3 s
	MaxDigests int           // maximum number of suspects, and of quarantined digests; default 4096
	// acrossRequests tracks digests that several requests share: a digest is quarantined
	// only when no single request explains its crashes.
	acrossRequests       bool
	blameAll             bool // for tests: copies in flight at the first crash count towards a second one
	unrestrictedSuspects bool // for tests: suspects run at any target, several at once
	keepOnSuccess        bool // for tests: a success clears nothing
}

func (opts Options) withDefaults() Options {
	if opts.Quarantine <= 0 {
		opts.Quarantine = 10 * time.Minute
	}
	if opts.SuspectTTL <= 0 {
		opts.SuspectTTL = 10 * time.Minute
	}
	if opts.RemoteTTL <= 0 {
		opts.RemoteTTL = 3 * time.Second
	}
	if opts.MaxDigests <= 0 {
		opts.MaxDigests = 4096
	}
	return opts
}

// Decision says whether a request may run.
type Decision int

const (
	Run         Decision = iota // may run now; call Finish or Crash afterwards
	Wait                        // a suspect that runs already, or whose target runs another suspect
	Quarantined                 // never started; outcome not-run
)

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	ChangeSuspect        ChangeKind = "suspect"
	ChangeCleared        ChangeKind = "cleared"
	ChangeQuarantine     ChangeKind = "quarantine"
	ChangeCrashRetracted ChangeKind = "exonerated" // the digest caused the crash, which is no longer evidence against Target
)

// Change reports a change of the state of a digest or target.
type Change struct {
	Kind   ChangeKind
	Digest RequestDigest
	Target string    // ChangeCrashRetracted and ChangeSuspect
	Until  time.Time // ChangeQuarantine
	Shared bool      // the digest is a Request.Shared
}

// CrashRecord describes one crash at which the digest was in flight.
type CrashRecord struct {
	Target  string    `json:"target"`
	Started time.Time `json:"started"` // latest start of a copy at this target
	At      time.Time `json:"at"`
	// Request is the digest of the request in flight when Options.acrossRequests is
	// set, otherwise 0.
	Request RequestDigest `json:"request,omitempty"`
}

// Report holds what one node knows about one digest.
type Report struct {
	Node    string        `json:"node"`
	Digest  RequestDigest `json:"digest"`
	Crashes []CrashRecord `json:"crashes,omitempty"`
	Cleared time.Time     `json:"cleared,omitzero"` // crashes up to this time are ignored
	Until   time.Time     `json:"until,omitzero"`   // end of the quarantine
	Running []string      `json:"running,omitempty"`
}

// maxCrashes bounds the crash records per digest. Two suffice for a quarantine;
// the others only retract the crashes of further targets.
const maxCrashes = 8

type suspectState struct {
	crashes []CrashRecord
	cleared time.Time
	remote  map[string]remoteRuns // by node
}

// remoteRuns lists the targets at which another node runs copies of a digest.
type remoteRuns struct {
	targets []string
	until   time.Time
}

type runKey struct {
	digest RequestDigest
	target string
}

type runningCopies struct {
	count     int
	lastStart time.Time
}

type quarantineState struct {
	until   time.Time
	crashes []CrashRecord
	cleared time.Time
}

// Tracker attributes crashes to digests. It is not safe for concurrent use.
type Tracker struct {
	opts        Options
	running     map[runKey]*runningCopies // bounded by the requests in flight
	suspects    *simplelru.LRU[RequestDigest, *suspectState]
	quarantined *simplelru.LRU[RequestDigest, *quarantineState]
	// successes holds the time of the last success of recent digests. A crash
	// that another node reports is ignored when it was before that time.
	successes *simplelru.LRU[RequestDigest, time.Time]
}

// New returns an empty Tracker.
func New(opts Options) *Tracker {
	opts = opts.withDefaults()
	suspects, _ := simplelru.NewLRU[RequestDigest, *suspectState](opts.MaxDigests, nil)       // fails only for a size below 1
	quarantined, _ := simplelru.NewLRU[RequestDigest, *quarantineState](opts.MaxDigests, nil) // the same
	successes, _ := simplelru.NewLRU[RequestDigest, time.Time](opts.MaxDigests, nil)          // the same
	return &Tracker{opts: opts, running: map[runKey]*runningCopies{}, suspects: suspects, quarantined: quarantined, successes: successes}
}

// Start decides whether a copy of the digest may start at target. After Run the
// caller reports the end of the copy by Finish, or by Crash for the whole target.
func (t *Tracker) Start(now time.Time, digest RequestDigest, target string) Decision {
	decision := t.decide(now, digest, target)
	if decision == Run {
		t.addCopy(now, digest, target)
	}
	return decision
}

// decide is Start without an effect on the copies in flight.
func (t *Tracker) decide(now time.Time, digest RequestDigest, target string) Decision {
	if quarantine, ok := t.quarantined.Get(digest); ok {
		if now.Before(quarantine.until) {
			return Quarantined
		}
		t.quarantined.Remove(digest)
	}
	if t.isSuspect(now, digest) && !t.opts.unrestrictedSuspects && !t.mayRunSuspect(now, digest, target) {
		return Wait
	}
	return Run
}

func (t *Tracker) addCopy(now time.Time, digest RequestDigest, target string) {
	key := runKey{digest, target}
	copies := t.running[key]
	if copies == nil {
		copies = &runningCopies{}
		t.running[key] = copies
	}
	copies.count++
	copies.lastStart = now
}

// lastStart returns the latest start of a copy in flight at target, zero without one.
func (t *Tracker) lastStart(digest RequestDigest, target string) time.Time {
	if copies := t.running[runKey{digest, target}]; copies != nil {
		return copies.lastStart
	}
	return time.Time{}
}

// Quarantined reports whether the digest is quarantined now.
func (t *Tracker) Quarantined(now time.Time, digest RequestDigest) bool {
	quarantine, ok := t.quarantined.Peek(digest)
	return ok && now.Before(quarantine.until)
}

// isSuspect removes crashes older than SuspectTTL and reports whether any remain.
func (t *Tracker) isSuspect(now time.Time, digest RequestDigest) bool {
	suspect, ok := t.suspects.Get(digest)
	if !ok {
		return false
	}
	suspect.crashes = slices.DeleteFunc(suspect.crashes, func(c CrashRecord) bool { return now.Sub(c.At) > t.opts.SuspectTTL })
	return len(suspect.crashes) > 0
}

// mayRunSuspect reports whether no copy of the suspect runs anywhere and no other
// suspect runs at the target: if two suspects were in flight at a crash, the one
// that caused it could not be determined.
func (t *Tracker) mayRunSuspect(now time.Time, digest RequestDigest, target string) bool {
	for key := range t.running {
		if key.digest == digest {
			return false
		}
		if key.target == target && t.isSuspect(now, key.digest) {
			return false
		}
	}
	for _, other := range t.suspects.Keys() {
		suspect, _ := t.suspects.Peek(other)
		for _, remote := range suspect.remote {
			if now.Before(remote.until) && len(remote.targets) > 0 && (other == digest || slices.Contains(remote.targets, target)) {
				return false
			}
		}
	}
	return true
}

// Finish records the end of a copy without a crash. A complete response (ok)
// clears a suspect and lifts a quarantine.
func (t *Tracker) Finish(now time.Time, digest RequestDigest, target string, ok bool) {
	t.removeCopy(runKey{digest, target})
	if !ok || t.opts.keepOnSuccess {
		return
	}
	t.successes.Add(digest, now)
	if quarantine, found := t.quarantined.Peek(digest); found && t.refuted(quarantine.crashes, now) {
		t.liftQuarantine(digest, quarantine) // this copy was in flight when the digest was quarantined
	}
	if suspect, found := t.suspects.Get(digest); found {
		suspect.crashes = nil
		suspect.cleared = now
	}
}

func (t *Tracker) removeCopy(key runKey) {
	if copies := t.running[key]; copies != nil {
		if copies.count--; copies.count <= 0 {
			delete(t.running, key)
		}
	}
}

func (t *Tracker) removeCopies(digest RequestDigest, target string) {
	delete(t.running, runKey{digest, target})
}

// Crash records that target crashed with the given digests in flight, one item
// per copy. The start time is known only for copies started through this Tracker;
// the others are taken to have started before any crash.
func (t *Tracker) Crash(now time.Time, target string, inFlight []RequestDigest) []Change {
	var changes []Change
	seen := map[RequestDigest]bool{}
	for _, digest := range inFlight {
		if seen[digest] {
			continue
		}
		seen[digest] = true
		crash := CrashRecord{Target: target, At: now, Started: t.lastStart(digest, target)}
		changes = append(changes, t.addCrash(now, digest, crash)...)
	}
	for _, digest := range inFlight {
		t.removeCopies(digest, target)
	}
	return changes
}

// suspectFor returns the suspect state of a digest and adds it when missing.
func (t *Tracker) suspectFor(digest RequestDigest) *suspectState {
	suspect, ok := t.suspects.Get(digest)
	if !ok {
		suspect = &suspectState{}
		suspect.cleared, _ = t.successes.Peek(digest)
		t.suspects.Add(digest, suspect)
	}
	return suspect
}

func (t *Tracker) addCrash(now time.Time, digest RequestDigest, crash CrashRecord) []Change {
	if quarantine, ok := t.quarantined.Peek(digest); ok && now.Before(quarantine.until) {
		if slices.ContainsFunc(quarantine.crashes, func(known CrashRecord) bool { return known == crash }) {
			return nil
		}
		if len(quarantine.crashes) < maxCrashes {
			quarantine.crashes = append(quarantine.crashes, crash)
		}
		return []Change{{Kind: ChangeCrashRetracted, Digest: digest, Target: crash.Target}}
	}
	suspect := t.suspectFor(digest)
	if !crash.At.After(suspect.cleared) || now.Sub(crash.At) > t.opts.SuspectTTL || slices.Contains(suspect.crashes, crash) {
		return nil
	}
	suspect.crashes = append(suspect.crashes, crash)
	slices.SortFunc(suspect.crashes, func(a, b CrashRecord) int { return a.At.Compare(b.At) })
	if len(suspect.crashes) > maxCrashes {
		suspect.crashes = slices.Delete(suspect.crashes, 1, 2) // the first crash is kept: confirmed compares the others with it
	}
	if !t.confirmed(suspect.crashes) {
		return []Change{{Kind: ChangeSuspect, Digest: digest, Target: crash.Target}}
	}
	return t.addQuarantine(digest, quarantineState{until: now.Add(t.opts.Quarantine), crashes: suspect.crashes, cleared: suspect.cleared})
}

// confirmed reports whether the crashes, oldest first, suffice for a
// quarantine: a copy that started after the first was in flight at another.
func (t *Tracker) confirmed(crashes []CrashRecord) bool {
	switch {
	case t.opts.blameAll:
		return len(crashes) >= 2
	case t.opts.acrossRequests:
		return spanRequests(crashes)
	}
	return len(crashes) >= 2 && slices.ContainsFunc(crashes[1:], func(c CrashRecord) bool { return c.Started.After(crashes[0].At) })
}

// spanRequests reports whether targets crashed one after the other, oldest first, and
// no single request was in flight at each crash but the first.
func spanRequests(crashes []CrashRecord) bool {
	if len(crashes) == 0 {
		return false
	}
	var suspects []RequestDigest // in flight at each crash since the first
	event := nextCrash(crashes, crashes[0].At)
	for first := true; len(event) > 0; first = false {
		var inFlight []RequestDigest
		for _, c := range event {
			inFlight = append(inFlight, c.Request)
		}
		if first {
			suspects = inFlight
		}
		suspects = slices.DeleteFunc(suspects, func(d RequestDigest) bool { return !slices.Contains(inFlight, d) })
		if len(suspects) == 0 {
			return true
		}
		event = nextCrash(crashes, event[0].At)
	}
	return false
}

// nextCrash returns the records of the earliest crash at which copies that started after
// the given time were in flight.
func nextCrash(crashes []CrashRecord, after time.Time) []CrashRecord {
	started := slices.DeleteFunc(slices.Clone(crashes), func(c CrashRecord) bool { return !c.Started.After(after) })
	if len(started) == 0 {
		return nil
	}
	return slices.DeleteFunc(started, func(c CrashRecord) bool { return c.Target != started[0].Target || !c.At.Equal(started[0].At) })
}

func (t *Tracker) addQuarantine(digest RequestDigest, quarantine quarantineState) []Change {
	t.suspects.Remove(digest)
	t.quarantined.Add(digest, &quarantine)
	changes := []Change{{Kind: ChangeQuarantine, Digest: digest, Until: quarantine.until}}
	return append(changes, retractCrashes(digest, quarantine.crashes, nil)...)
}

// refuted reports whether a success at the given time invalidates a quarantine:
// crashes up to that time are ignored and the later ones do not suffice.
func (t *Tracker) refuted(crashes []CrashRecord, success time.Time) bool {
	after := slices.DeleteFunc(slices.Clone(crashes), func(c CrashRecord) bool { return !c.At.After(success) })
	return len(after) < len(crashes) && !t.confirmed(after) && !t.opts.keepOnSuccess
}

// liftQuarantine ends a refuted quarantine. The digest stays a suspect while
// crashes after its last success remain.
func (t *Tracker) liftQuarantine(digest RequestDigest, quarantine *quarantineState) {
	t.quarantined.Remove(digest)
	suspect := t.suspectFor(digest)
	if quarantine.cleared.After(suspect.cleared) {
		suspect.cleared = quarantine.cleared
	}
	suspect.crashes = slices.DeleteFunc(quarantine.crashes, func(c CrashRecord) bool { return !c.At.After(suspect.cleared) })
}

// retractCrashes returns a change for each target in crashes that is not in known.
func retractCrashes(digest RequestDigest, crashes, known []CrashRecord) []Change {
	var changes []Change
	seen := map[string]bool{}
	for _, c := range known {
		seen[c.Target] = true
	}
	for _, c := range crashes {
		if !seen[c.Target] {
			seen[c.Target] = true
			changes = append(changes, Change{Kind: ChangeCrashRetracted, Digest: digest, Target: c.Target})
		}
	}
	return changes
}

// Merge applies the reports of other nodes. The resulting state does not depend
// on their order or on duplicates.
func (t *Tracker) Merge(now time.Time, reports []Report) []Change {
	var changes []Change
	for _, report := range reports {
		if report.Node == t.opts.Node {
			continue
		}
		changes = append(changes, t.mergeReport(now, report)...)
	}
	return changes
}

func (t *Tracker) mergeReport(now time.Time, report Report) []Change {
	var changes []Change
	if quarantine, ok := t.quarantined.Peek(report.Digest); ok && now.Before(quarantine.until) {
		if !t.refuted(quarantine.crashes, report.Cleared) {
			if report.Until.After(now) {
				return t.mergeQuarantine(now, report)
			}
			return nil
		}
		t.liftQuarantine(report.Digest, quarantine) // the success became known only after the quarantine
		changes = append(changes, Change{Kind: ChangeCleared, Digest: report.Digest})
	} else if report.Until.After(now) && !t.refuted(report.Crashes, t.suspectFor(report.Digest).cleared) {
		return t.mergeQuarantine(now, report)
	}
	suspect := t.suspectFor(report.Digest)
	if report.Cleared.After(suspect.cleared) && !t.opts.keepOnSuccess {
		suspect.cleared = report.Cleared
		before := len(suspect.crashes)
		suspect.crashes = slices.DeleteFunc(suspect.crashes, func(c CrashRecord) bool { return !c.At.After(suspect.cleared) })
		if before > len(suspect.crashes) {
			changes = append(changes, Change{Kind: ChangeCleared, Digest: report.Digest})
		}
	}
	if suspect.remote == nil {
		suspect.remote = map[string]remoteRuns{}
	}
	suspect.remote[report.Node] = remoteRuns{targets: slices.Clone(report.Running), until: now.Add(t.opts.RemoteTTL)}
	for node, remote := range suspect.remote {
		if !now.Before(remote.until) {
			delete(suspect.remote, node)
		}
	}
	for _, c := range report.Crashes {
		changes = append(changes, t.addCrash(now, report.Digest, c)...)
	}
	return changes
}

func (t *Tracker) mergeQuarantine(now time.Time, report Report) []Change {
	maxUntil := now.Add(t.opts.Quarantine) // a node with a wrong clock cannot extend it
	until := report.Until
	if until.After(maxUntil) {
		until = maxUntil
	}
	quarantine, ok := t.quarantined.Peek(report.Digest)
	if !ok || !now.Before(quarantine.until) {
		return t.addQuarantine(report.Digest, quarantineState{until: until, crashes: slices.Clone(report.Crashes), cleared: report.Cleared})
	}
	if until.After(quarantine.until) {
		quarantine.until = until
	}
	changes := retractCrashes(report.Digest, report.Crashes, quarantine.crashes)
	for _, c := range report.Crashes {
		if !slices.Contains(quarantine.crashes, c) && len(quarantine.crashes) < maxCrashes {
			quarantine.crashes = append(quarantine.crashes, c)
		}
	}
	return changes
}

// Reports returns what this node knows about each digest, for gossip.
func (t *Tracker) Reports(now time.Time) []Report {
	var reports []Report
	for _, digest := range t.quarantined.Keys() {
		quarantine, _ := t.quarantined.Peek(digest)
		if !now.Before(quarantine.until) {
			t.quarantined.Remove(digest)
			continue
		}
		reports = append(reports, Report{Node: t.opts.Node, Digest: digest, Until: quarantine.until, Crashes: slices.Clone(quarantine.crashes), Cleared: quarantine.cleared})
	}
	running := map[RequestDigest][]string{}
	for key := range t.running {
		running[key.digest] = append(running[key.digest], key.target)
	}
	for _, digest := range t.suspects.Keys() {
		suspected := t.isSuspect(now, digest)
		suspect, _ := t.suspects.Peek(digest)
		if !suspected && now.Sub(suspect.cleared) > t.opts.SuspectTTL {
			t.suspects.Remove(digest)
			continue
		}
		report := Report{Node: t.opts.Node, Digest: digest, Crashes: slices.Clone(suspect.crashes), Cleared: suspect.cleared, Running: running[digest]}
		slices.Sort(report.Running)
		reports = append(reports, report)
	}
	return reports
}
