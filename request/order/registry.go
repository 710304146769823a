package order

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// MaxStoredBody is the greatest answer body that is kept, in bytes.
const MaxStoredBody = 64 << 10

// Options of a Registry. At the default bounds keys and attempts take about
// 40 MB (BenchmarkRegistry: up to 203 B per key with its attempt).
type Options struct {
	Self             Owner         // this gate incarnation
	MaxResponseBytes int           // bound on all stored bodies; default 16 MiB
	MaxKeys          int           // bound on keys; new ones are refused beyond it; default 200,000
	MaxAttempts      int           // bound on remembered attempts; default 200,000
	MaxWaiters       int           // repeats that wait for one running order; default 16
	AttemptTTL       time.Duration // time an attempt without a key, or a withdrawal, is remembered; default 35 min

	forgetStarted    bool // test switch: a repeat of a started key runs
	ignoreWithdrawn  bool // test switch: a withdrawn attempt starts
	ignoreDeadline   bool // test switch: Start does not look at the time
	ignoreOwner      bool // test switch: keys of other incarnations run here
	forgetOnOverflow bool // test switch: a dropped answer forgets the order
	trustAll         bool // test switch: Withdraw looks only at the attempt
	countPauses      bool // test switch: a pause makes the registry forget attempts
	followClock      bool // test switch: a clock that steps back revives expired keys
}

func (o Options) withDefaults() Options {
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = 16 << 20
	}
	if o.MaxKeys <= 0 {
		o.MaxKeys = 200_000
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = 200_000
	}
	if o.MaxWaiters <= 0 {
		o.MaxWaiters = 16
	}
	if o.AttemptTTL <= 0 {
		o.AttemptTTL = 35 * time.Minute
	}
	return o
}

// Action is what the gate does with an attempt.
type Action int

const (
	Run    Action = iota // admit it, then call Start before the first byte, then Finish
	Wait                 // the same order is in progress; call Begin again when Woken names the attempt
	Done                 // the order has run; Stored holds its answer
	Refuse               // Outcome and Reason tell the caller; this attempt never starts
)

// Result is how an attempt ended.
type Result struct {
	Outcome attempt.Outcome // Answered; NotRun when it never started; Unknown otherwise
	Status  int
	Header  map[string][]string
	Body    []byte
}

// StoredResponse is the answer of an order that has run.
type StoredResponse struct {
	Result
	BodyDropped bool // the body was too large or memory was short
}

// BeginResult is the answer of Begin.
type BeginResult struct {
	Action  Action
	Outcome attempt.Outcome // of a refusal
	Reason  attempt.Reason  // of a refusal
	Stored  StoredResponse  // of Done
}

// WithdrawResult says what is known of a withdrawn attempt.
type WithdrawResult int

const (
	NeverStarted WithdrawResult = iota // it did not start and never will; its order has not run
	Started                            // it, or another attempt of its order, runs
	Finished                           // it, or another attempt of its order, ran
	NotProved                          // nothing is known: other incarnation, expired key or exhausted memory
)

type phase uint8

const (
	phaseReserved phase = iota + 1 // one attempt may start
	phaseStarted
	phaseDone    // answered
	phaseUnknown // started and ended without a whole answer
)

type entry struct {
	phase  phase
	runs   uint8 // times that Start allowed it, for the invariant
	holder attemptKey
}

type attemptKey [16]byte

func hashAttempt(a attempt.ID) attemptKey {
	var buf [160]byte // avoids an allocation for identities of usual length
	b := binary.BigEndian.AppendUint64(buf[:0], uint64(a.Number))
	b = binary.BigEndian.AppendUint64(b, uint64(a.Incarnation.StartedMS))
	b = binary.BigEndian.AppendUint64(b, a.Incarnation.Random)
	b = binary.BigEndian.AppendUint64(b, uint64(len(a.Request)))
	b = append(b, a.Request...)
	b = append(b, a.Entry...)
	sum := sha256.Sum256(b)
	var k attemptKey
	copy(k[:], sum[:])
	return k
}

type attemptPhase uint8

const (
	attemptWaiting attemptPhase = iota + 1
	attemptReserved
	attemptStarted
	attemptFinished
	attemptWithdrawn // or refused: it never starts
)

type attemptState struct {
	phase attemptPhase
	key   KeyID
}

// Registry holds the order keys of one gate incarnation. It is not safe for
// concurrent use.
type Registry struct {
	o        Options
	r        invariant.Reporter
	latest   time.Time // greatest time seen
	active   time.Time // time without pauses, by which attempts are forgotten
	keys     map[KeyID]entry
	keyEnds  expiry[KeyID]
	attempts map[attemptKey]attemptState
	ends     expiry[attemptKey]
	answers  answers
	waiters  map[KeyID][]attempt.ID
}

// NewRegistry returns an empty Registry.
func NewRegistry(o Options, r invariant.Reporter) *Registry {
	return &Registry{
		o: o.withDefaults(), r: r,
		keys: map[KeyID]entry{}, attempts: map[attemptKey]attemptState{},
		waiters: map[KeyID][]attempt.ID{},
		answers: answers{byKey: map[KeyID]StoredResponse{}},
	}
}

// maxStep is the most that one call counts for the time without pauses. The
// calls of Tick are a second apart.
const maxStep = 2 * time.Second

// clock returns the greatest time seen. A clock that steps back must not make
// a forgotten key valid again. Attempts are forgotten by the time without
// pauses: after a pause, withdrawals sent before it still wait to be read.
func (g *Registry) clock(now time.Time) time.Time {
	if now.Before(g.latest) && !g.o.followClock {
		now = g.latest
	}
	step := now.Sub(g.latest)
	if step > maxStep && !g.latest.IsZero() && !g.o.countPauses {
		step = maxStep
	}
	if g.latest.IsZero() {
		g.active = now
	} else {
		g.active = g.active.Add(max(0, step))
	}
	g.latest = now
	return now
}

// advance moves the clock and forgets what has expired.
func (g *Registry) advance(now time.Time) time.Time {
	now = g.clock(now)
	g.keyEnds.sweep(now, func(k KeyID) bool {
		e, ok := g.keys[k]
		if ok && (e.phase == phaseReserved || e.phase == phaseStarted) {
			return false // still in progress: look again later
		}
		delete(g.keys, k)
		g.answers.drop(k)
		return true
	})
	g.ends.sweep(g.active, func(a attemptKey) bool {
		if s := g.attempts[a]; s.phase == attemptReserved || s.phase == attemptStarted || s.phase == attemptWaiting {
			return false
		}
		delete(g.attempts, a)
		return true
	})
	return now
}

// Begin asks what to do with an attempt. The result Refuse has outcome
// not-run only when the key has not run here and this attempt never will.
func (g *Registry) Begin(now time.Time, key Key, a attempt.ID) BeginResult {
	now = g.advance(now)
	h := hashAttempt(a)
	s, seen := g.attempts[h]
	seen = seen && s.phase != attemptWaiting
	switch {
	case key.IsZero() && seen:
		return g.repeatedAttempt(key, s)
	case key.IsZero():
		return g.reserve(key, h)
	}
	if key.Owner != g.o.Self && !g.o.ignoreOwner {
		g.endWait(h)
		return refuse(attempt.Unknown, attempt.ReasonKeyOwnerGone)
	}
	if !now.Before(key.ExpiresAt) {
		g.endWait(h)
		return refuse(attempt.Unknown, attempt.ReasonKeyExpired) // it may have run and been forgotten
	}
	if seen { // not before the expiry was checked: attempts may be remembered longer than their key
		return g.repeatedAttempt(key, s)
	}
	e, ok := g.keys[key.ID]
	if !ok || (g.o.forgetStarted && e.phase != phaseReserved) {
		return g.reserve(key, h)
	}
	switch e.phase {
	case phaseDone:
		g.endWait(h)
		return BeginResult{Action: Done, Stored: g.answers.get(key.ID)}
	case phaseUnknown:
		g.endWait(h)
		return refuse(attempt.Unknown, attempt.ReasonTargetFailed)
	}
	return g.wait(key, a, h)
}

func refuse(o attempt.Outcome, r attempt.Reason) BeginResult {
	return BeginResult{Action: Refuse, Outcome: o, Reason: r}
}

// repeatedAttempt answers an attempt identity that was seen before: the
// network delivered it twice or late.
func (g *Registry) repeatedAttempt(key Key, s attemptState) BeginResult {
	switch s.phase {
	case attemptWithdrawn:
		if !key.IsZero() && g.mayHaveRun(key.ID) {
			return refuse(attempt.Unknown, attempt.ReasonWithdrawn)
		}
		return refuse(attempt.NotRun, attempt.ReasonWithdrawn)
	case attemptFinished:
		if !key.IsZero() && g.keys[key.ID].phase == phaseDone {
			return BeginResult{Action: Done, Stored: g.answers.get(key.ID)}
		}
	}
	return refuse(attempt.Unknown, attempt.ReasonOrderRunning)
}

func (g *Registry) mayHaveRun(k KeyID) bool {
	e, ok := g.keys[k]
	return ok && e.phase != phaseReserved
}

func (g *Registry) reserve(key Key, h attemptKey) BeginResult {
	if len(g.attempts) >= g.o.MaxAttempts {
		return refuse(attempt.NotRun, attempt.ReasonOverload)
	}
	if !key.IsZero() {
		if _, known := g.keys[key.ID]; !known {
			if len(g.keys) >= g.o.MaxKeys {
				return refuse(attempt.NotRun, attempt.ReasonOverload)
			}
			g.keyEnds.add(key.ExpiresAt, key.ID)
		}
		e := g.keys[key.ID]
		e.phase, e.holder = phaseReserved, h
		g.keys[key.ID] = e
	}
	g.remember(h, attemptState{attemptReserved, key.ID}, key.ExpiresAt)
	return BeginResult{Action: Run}
}

// remember keeps an attempt for AttemptTTL, and at least as long as its key.
func (g *Registry) remember(h attemptKey, s attemptState, atLeast time.Time) {
	if _, known := g.attempts[h]; !known {
		until := g.active.Add(max(g.o.AttemptTTL, atLeast.Sub(g.latest)))
		g.ends.add(until, h)
	}
	g.attempts[h] = s
}

func (g *Registry) wait(key Key, a attempt.ID, h attemptKey) BeginResult {
	ws := g.waiters[key.ID]
	if slices.Contains(ws, a) {
		return BeginResult{Action: Wait}
	}
	if len(ws) >= g.o.MaxWaiters || len(g.attempts) >= g.o.MaxAttempts {
		return refuse(attempt.Unknown, attempt.ReasonOrderRunning)
	}
	g.waiters[key.ID] = append(ws, a)
	g.remember(h, attemptState{attemptWaiting, key.ID}, key.ExpiresAt)
	return BeginResult{Action: Wait}
}

// endWait closes a waiting attempt that gets its final answer.
func (g *Registry) endWait(h attemptKey) {
	if s, ok := g.attempts[h]; ok && s.phase == attemptWaiting {
		s.phase = attemptWithdrawn
		g.attempts[h] = s
	}
}

// Start asks for leave to send the first byte to the target. It returns false
// when the attempt was withdrawn, the deadline has passed or the key has
// expired, as after a pause of the process; the attempt then never starts, its
// caller gets not-run, and Finish with outcome NotRun frees the key. The zero
// deadline means none.
func (g *Registry) Start(now time.Time, key Key, a attempt.ID, deadline time.Time) bool {
	now = g.clock(now)
	h := hashAttempt(a)
	s, ok := g.attempts[h]
	if !ok || (s.phase != attemptReserved && !(s.phase == attemptWithdrawn && g.o.ignoreWithdrawn)) {
		return false
	}
	if s.key != key.ID {
		return false // the same attempt identity under another key
	}
	late := !deadline.IsZero() && !now.Before(deadline) || !key.IsZero() && !now.Before(key.ExpiresAt)
	if late && !g.o.ignoreDeadline {
		return false
	}
	g.r.Check(invariant.NotRun, s.phase == attemptReserved, "attempt %s started after it was withdrawn", a)
	g.r.Check(invariant.NotRun, !late, "attempt %s started after its deadline", a)
	if !key.IsZero() {
		e := g.keys[key.ID]
		e.runs++
		g.r.Check(invariant.AtMostOnce, e.runs == 1 && key.Owner == g.o.Self, "order key %s started %d times, owner %v", key.ID, e.runs, key.Owner)
		e.phase, e.holder = phaseStarted, h
		g.keys[key.ID] = e
	}
	s.phase = attemptStarted
	g.attempts[h] = s
	return true
}

// Finish reports the end of an attempt that Begin let run and returns the
// waiting attempts, each of which calls Begin again. An attempt that never
// started ends with outcome NotRun and frees its key. A body above
// MaxStoredBody is not kept.
func (g *Registry) Finish(now time.Time, key Key, a attempt.ID, res Result) []attempt.ID {
	g.advance(now)
	h := hashAttempt(a)
	s, ok := g.attempts[h]
	if !ok || (s.phase != attemptReserved && s.phase != attemptStarted) {
		return nil
	}
	if s.phase == attemptReserved {
		return g.release(h, s)
	}
	g.r.Check(invariant.NotRun, res.Outcome != attempt.NotRun, "attempt %s reported as not run after its start", a)
	s.phase = attemptFinished
	g.attempts[h] = s
	if key.IsZero() {
		return nil
	}
	e := g.keys[key.ID]
	e.phase = phaseUnknown
	if res.Outcome == attempt.Answered {
		e.phase = phaseDone
		for _, dropped := range g.answers.put(key.ID, res, g.o.MaxResponseBytes) {
			if g.o.forgetOnOverflow {
				delete(g.keys, dropped)
			}
		}
	}
	if _, known := g.keys[key.ID]; known {
		g.keys[key.ID] = e
	}
	return g.wake(key.ID)
}

// release ends an attempt that never started. Its key becomes free.
func (g *Registry) release(h attemptKey, s attemptState) []attempt.ID {
	s.phase = attemptWithdrawn
	g.attempts[h] = s
	e, ok := g.keys[s.key]
	if !ok || e.phase != phaseReserved || e.holder != h {
		return nil
	}
	// The entry stays when the key ran before; else the key is free again.
	delete(g.keys, s.key)
	return g.wake(s.key)
}

func (g *Registry) wake(k KeyID) []attempt.ID {
	ws := g.waiters[k]
	delete(g.waiters, k)
	return ws
}

// Withdrawal names an attempt that its entry cancels.
type Withdrawal struct {
	Attempt attempt.ID
	Gate    Owner         // gate incarnation that the attempt was sent to
	Key     Key           // zero for work without a key
	Age     time.Duration // since the attempt was sent, by the entry's monotonic clock
}

// Withdraw withdraws an attempt on behalf of its entry. After NeverStarted
// the attempt cannot start, even when it arrives later, and its order has not
// run, so that the entry may report not-run. It also returns the waiting
// attempts that call Begin again because the withdrawn one held their key.
func (g *Registry) Withdraw(now time.Time, w Withdrawal) (WithdrawResult, []attempt.ID) {
	now = g.advance(now)
	keyed := !w.Key.IsZero()
	if !g.o.trustAll && (w.Gate != g.o.Self || keyed && (w.Key.Owner != g.o.Self || !now.Before(w.Key.ExpiresAt))) {
		return NotProved, nil // another incarnation, or this one before it forgot, may have run it
	}
	h := hashAttempt(w.Attempt)
	res, woken := g.withdrawAttempt(h, w)
	if res == NeverStarted && keyed && g.mayHaveRun(w.Key.ID) && !g.o.trustAll {
		res = Finished // another attempt ran the order
		if g.keys[w.Key.ID].phase == phaseStarted {
			res = Started
		}
	}
	return res, woken
}

func (g *Registry) withdrawAttempt(h attemptKey, w Withdrawal) (WithdrawResult, []attempt.ID) {
	s, ok := g.attempts[h]
	if !ok {
		if len(g.attempts) >= g.o.MaxAttempts || w.Age >= g.o.AttemptTTL {
			return NotProved, nil
		}
		g.remember(h, attemptState{phase: attemptWithdrawn, key: w.Key.ID}, w.Key.ExpiresAt)
		return NeverStarted, nil
	}
	switch s.phase {
	case attemptStarted:
		return Started, nil
	case attemptFinished:
		return Finished, nil
	case attemptReserved:
		return NeverStarted, g.release(h, s)
	case attemptWaiting:
		g.waiters[s.key] = slices.DeleteFunc(g.waiters[s.key], func(a attempt.ID) bool { return a == w.Attempt })
		if len(g.waiters[s.key]) == 0 {
			delete(g.waiters, s.key)
		}
	}
	s.phase = attemptWithdrawn
	g.attempts[h] = s
	return NeverStarted, nil
}

// Tick forgets what has expired. It is due each second.
func (g *Registry) Tick(now time.Time) { g.advance(now) }

// Usage is the memory in use, for telemetry.
type Usage struct {
	Keys, Attempts, AnswerBytes int
}

// Usage returns the number of entries in memory.
func (g *Registry) Usage() Usage {
	return Usage{Keys: len(g.keys), Attempts: len(g.attempts), AnswerBytes: g.answers.bytes}
}
