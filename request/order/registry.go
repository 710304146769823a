package order

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// MaxStoredBody is the size of the largest response body that is kept, in bytes.
const MaxStoredBody = 64 << 10

// Options of a Registry. At the default bounds keys and attempts take about
// 40 MB (BenchmarkRegistry: up to 203 B per key with its attempt).
type Options struct {
	Self             Owner         // this gate incarnation
	MaxResponseBytes int           // bound on all stored responses; default 16 MiB
	MaxKeys          int           // bound on keys; new ones are refused beyond it; default 200,000
	MaxAttempts      int           // bound on remembered attempts; default 200,000
	MaxWaiters       int           // retries that wait for one running order; default 16
	AttemptTTL       time.Duration // time for which an attempt without a key, or a withdrawal, is remembered; default 35 min

	forgetStarted    bool // for tests: a retry of a started key runs
	ignoreWithdrawn  bool // for tests: a withdrawn attempt starts
	ignoreDeadline   bool // for tests: Start does not check the deadline and the expiry
	ignoreOwner      bool // for tests: keys of other incarnations run here
	forgetOnOverflow bool // for tests: dropping a response forgets the order
	trustAll         bool // for tests: Withdraw checks only the state of the attempt
	countPauses      bool // for tests: pauses count towards AttemptTTL
	followClock      bool // for tests: a clock that steps back revives expired keys
}

func (opts Options) withDefaults() Options {
	if opts.MaxResponseBytes <= 0 {
		opts.MaxResponseBytes = 16 << 20
	}
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = 200_000
	}
	if opts.MaxAttempts <= 0 {
		opts.MaxAttempts = 200_000
	}
	if opts.MaxWaiters <= 0 {
		opts.MaxWaiters = 16
	}
	if opts.AttemptTTL <= 0 {
		opts.AttemptTTL = 35 * time.Minute
	}
	return opts
}

// Action is what the gate does with an attempt.
type Action int

const (
	Run    Action = iota // admit it, then call Start before the first byte, then Finish
	Wait                 // the same order is in progress; call Begin again when Finish or Withdraw returns the attempt
	Done                 // the order has run; Stored holds its response
	Refuse               // respond with Outcome and Reason; this attempt never starts
)

// Result describes how an attempt ended.
type Result struct {
	Outcome attempt.Outcome // Answered; NotRun when it never started; Unknown otherwise
	// RefusedByTarget means that the target proved that it did not run the work that
	// was sent to it. Outcome is NotRun.
	RefusedByTarget bool

	Status int
	Header map[string][]string
	Body   []byte
}

// StoredResponse is the response to an order that has run.
type StoredResponse struct {
	Result
	BodyDropped bool // the body was too large, or was dropped to stay within MaxResponseBytes
}

// BeginResult is the result of Begin.
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
	Finished                           // it, or another attempt of its order, has run
	NotProved                          // nothing is known: other incarnation, expired key or exhausted memory
)

type keyPhase uint8

const (
	keyReserved keyPhase = iota + 1 // one attempt may start
	keyStarted
	keyAnswered // has a complete response
	keyUnknown  // started and ended without a complete response
)

type keyState struct {
	phase  keyPhase
	starts uint8       // number of times that Start allowed it, for the invariant
	holder attemptHash // attempt that reserved the key last
}

type attemptHash [16]byte

func hashAttempt(a attempt.ID) attemptHash {
	var buf [160]byte // avoids an allocation for IDs of usual length
	b := binary.BigEndian.AppendUint64(buf[:0], uint64(a.Number))
	b = binary.BigEndian.AppendUint64(b, uint64(a.Incarnation.StartedMS))
	b = binary.BigEndian.AppendUint64(b, a.Incarnation.Random)
	b = binary.BigEndian.AppendUint64(b, uint64(len(a.Request)))
	b = append(b, a.Request...)
	b = append(b, a.Entry...)
	sum := sha256.Sum256(b)
	var hash attemptHash
	copy(hash[:], sum[:])
	return hash
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
	opts            Options
	reporter        invariant.Reporter
	latestTime      time.Time // latest time that a caller passed
	activeTime      time.Time // clock without process pauses, for AttemptTTL
	keys            map[KeyID]keyState
	keyExpiries     expiryBuckets[KeyID]
	attempts        map[attemptHash]attemptState
	attemptExpiries expiryBuckets[attemptHash]
	responses       responseStore
	waiters         map[KeyID][]attempt.ID
}

// NewRegistry returns an empty Registry.
func NewRegistry(opts Options, reporter invariant.Reporter) *Registry {
	return &Registry{
		opts: opts.withDefaults(), reporter: reporter,
		keys: map[KeyID]keyState{}, attempts: map[attemptHash]attemptState{},
		waiters:   map[KeyID][]attempt.ID{},
		responses: responseStore{byKey: map[KeyID]StoredResponse{}},
	}
}

// maxActiveStep is the longest time between two calls without a pause; a longer one
// means that the process was paused. Tick is called every second.
const maxActiveStep = 2 * time.Second

// advanceClock returns the latest time seen. A clock that steps back must not
// make a forgotten key valid again. Pauses do not count towards the time for
// which attempts are remembered, because withdrawals sent before a pause may
// still be unread after it.
func (r *Registry) advanceClock(now time.Time) time.Time {
	if now.Before(r.latestTime) && !r.opts.followClock {
		now = r.latestTime
	}
	step := now.Sub(r.latestTime)
	if step > maxActiveStep && !r.latestTime.IsZero() && !r.opts.countPauses {
		step = maxActiveStep
	}
	if r.latestTime.IsZero() {
		r.activeTime = now
	} else {
		r.activeTime = r.activeTime.Add(max(0, step))
	}
	r.latestTime = now
	return now
}

// removeExpired advances the clock and removes expired keys and attempts.
func (r *Registry) removeExpired(now time.Time) time.Time {
	now = r.advanceClock(now)
	r.keyExpiries.sweep(now, func(id KeyID) bool {
		state, ok := r.keys[id]
		if ok && (state.phase == keyReserved || state.phase == keyStarted) {
			return false // still in progress; checked again later
		}
		delete(r.keys, id)
		r.responses.drop(id)
		return true
	})
	r.attemptExpiries.sweep(r.activeTime, func(hash attemptHash) bool {
		if state := r.attempts[hash]; state.phase == attemptReserved || state.phase == attemptStarted || state.phase == attemptWaiting {
			return false
		}
		delete(r.attempts, hash)
		return true
	})
	return now
}

// Begin returns what to do with an attempt. A refusal has outcome not-run only
// when the key has not run here and this attempt will never run.
func (r *Registry) Begin(now time.Time, key Key, a attempt.ID) BeginResult {
	now = r.removeExpired(now)
	hash := hashAttempt(a)
	state, seen := r.attempts[hash]
	seen = seen && state.phase != attemptWaiting
	switch {
	case key.IsZero() && seen:
		return r.duplicateAttempt(key, state)
	case key.IsZero():
		return r.reserve(key, hash)
	}
	if key.Owner != r.opts.Self && !r.opts.ignoreOwner {
		r.closeWaiter(hash)
		return refuse(attempt.Unknown, attempt.ReasonKeyOwnerGone)
	}
	if !now.Before(key.ExpiresAt) {
		r.closeWaiter(hash)
		return refuse(attempt.Unknown, attempt.ReasonKeyExpired) // it may have run and been forgotten
	}
	if seen { // checked after the expiry, as attempts may be remembered longer than their key
		return r.duplicateAttempt(key, state)
	}
	current, ok := r.keys[key.ID]
	if !ok || (r.opts.forgetStarted && current.phase != keyReserved) {
		return r.reserve(key, hash)
	}
	switch current.phase {
	case keyAnswered:
		r.closeWaiter(hash)
		return BeginResult{Action: Done, Stored: r.responses.get(key.ID)}
	case keyUnknown:
		r.closeWaiter(hash)
		return refuse(attempt.Unknown, attempt.ReasonTargetFailed)
	}
	return r.addWaiter(key, a, hash)
}

func refuse(outcome attempt.Outcome, reason attempt.Reason) BeginResult {
	return BeginResult{Action: Refuse, Outcome: outcome, Reason: reason}
}

// duplicateAttempt returns the result for an attempt ID that was seen before,
// because the network delivered it twice or late.
func (r *Registry) duplicateAttempt(key Key, state attemptState) BeginResult {
	switch state.phase {
	case attemptWithdrawn:
		if !key.IsZero() && r.mayHaveRun(key.ID) {
			return refuse(attempt.Unknown, attempt.ReasonWithdrawn)
		}
		return refuse(attempt.NotRun, attempt.ReasonWithdrawn)
	case attemptFinished:
		if !key.IsZero() && r.keys[key.ID].phase == keyAnswered {
			return BeginResult{Action: Done, Stored: r.responses.get(key.ID)}
		}
	}
	return refuse(attempt.Unknown, attempt.ReasonOrderRunning)
}

func (r *Registry) mayHaveRun(id KeyID) bool {
	state, ok := r.keys[id]
	return ok && state.phase != keyReserved
}

func (r *Registry) reserve(key Key, hash attemptHash) BeginResult {
	if len(r.attempts) >= r.opts.MaxAttempts {
		return refuse(attempt.NotRun, attempt.ReasonOverload)
	}
	if !key.IsZero() {
		if _, known := r.keys[key.ID]; !known {
			if len(r.keys) >= r.opts.MaxKeys {
				return refuse(attempt.NotRun, attempt.ReasonOverload)
			}
			r.keyExpiries.add(key.ExpiresAt, key.ID)
		}
		state := r.keys[key.ID]
		state.phase, state.holder = keyReserved, hash
		r.keys[key.ID] = state
	}
	r.rememberAttempt(hash, attemptState{attemptReserved, key.ID}, key.ExpiresAt)
	return BeginResult{Action: Run}
}

// rememberAttempt keeps an attempt for AttemptTTL, and at least as long as its key.
func (r *Registry) rememberAttempt(hash attemptHash, state attemptState, keyExpiresAt time.Time) {
	if _, known := r.attempts[hash]; !known {
		until := r.activeTime.Add(max(r.opts.AttemptTTL, keyExpiresAt.Sub(r.latestTime)))
		r.attemptExpiries.add(until, hash)
	}
	r.attempts[hash] = state
}

func (r *Registry) addWaiter(key Key, a attempt.ID, hash attemptHash) BeginResult {
	waiting := r.waiters[key.ID]
	if slices.Contains(waiting, a) {
		return BeginResult{Action: Wait}
	}
	if len(waiting) >= r.opts.MaxWaiters || len(r.attempts) >= r.opts.MaxAttempts {
		return refuse(attempt.Unknown, attempt.ReasonOrderRunning)
	}
	r.waiters[key.ID] = append(waiting, a)
	r.rememberAttempt(hash, attemptState{attemptWaiting, key.ID}, key.ExpiresAt)
	return BeginResult{Action: Wait}
}

// closeWaiter marks a waiting attempt that gets its final result as withdrawn.
func (r *Registry) closeWaiter(hash attemptHash) {
	if state, ok := r.attempts[hash]; ok && state.phase == attemptWaiting {
		state.phase = attemptWithdrawn
		r.attempts[hash] = state
	}
}

// Start reports whether the gate may send the first byte to the target. It
// returns false when the attempt was withdrawn, or when the deadline has passed
// or the key has expired, as after a pause of the process. The attempt then
// never starts, its caller gets not-run, and Finish with outcome NotRun frees
// the key. The zero deadline means none.
func (r *Registry) Start(now time.Time, key Key, a attempt.ID, deadline time.Time) bool {
	now = r.advanceClock(now)
	hash := hashAttempt(a)
	state, ok := r.attempts[hash]
	if !ok || (state.phase != attemptReserved && !(state.phase == attemptWithdrawn && r.opts.ignoreWithdrawn)) {
		return false
	}
	if state.key != key.ID {
		return false // the same attempt ID with another key
	}
	late := !deadline.IsZero() && !now.Before(deadline) || !key.IsZero() && !now.Before(key.ExpiresAt)
	if late && !r.opts.ignoreDeadline {
		return false
	}
	r.reporter.Check(invariant.NotRun, state.phase == attemptReserved, "attempt %s started after it was withdrawn", a)
	r.reporter.Check(invariant.NotRun, !late, "attempt %s started after its deadline", a)
	if !key.IsZero() {
		current := r.keys[key.ID]
		current.starts++
		r.reporter.Check(invariant.AtMostOnce, current.starts == 1 && key.Owner == r.opts.Self, "order key %s started %d times, owner %v", key.ID, current.starts, key.Owner)
		current.phase, current.holder = keyStarted, hash
		r.keys[key.ID] = current
	}
	state.phase = attemptStarted
	r.attempts[hash] = state
	return true
}

// Finish records the end of an attempt that Begin admitted and returns the
// waiting attempts, for each of which the gate calls Begin again. An attempt
// that never started ends with outcome NotRun and frees its key. A body larger
// than MaxStoredBody is not kept.
func (r *Registry) Finish(now time.Time, key Key, a attempt.ID, result Result) []attempt.ID {
	r.removeExpired(now)
	hash := hashAttempt(a)
	state, ok := r.attempts[hash]
	if !ok || (state.phase != attemptReserved && state.phase != attemptStarted) {
		return nil
	}
	if state.phase == attemptReserved {
		return r.releaseReservation(hash, state)
	}
	r.reporter.Check(invariant.NotRun, result.Outcome != attempt.NotRun || result.RefusedByTarget, "attempt %s reported as not run after its start", a)
	state.phase = attemptFinished
	r.attempts[hash] = state
	if key.IsZero() {
		return nil
	}
	current := r.keys[key.ID]
	current.phase = keyUnknown
	if result.Outcome == attempt.Answered {
		current.phase = keyAnswered
		for _, dropped := range r.responses.put(key.ID, result, r.opts.MaxResponseBytes) {
			if r.opts.forgetOnOverflow {
				delete(r.keys, dropped)
			}
		}
	}
	if _, known := r.keys[key.ID]; known {
		r.keys[key.ID] = current
	}
	return r.removeWaiters(key.ID)
}

// releaseReservation ends an attempt that never started and frees its key.
func (r *Registry) releaseReservation(hash attemptHash, state attemptState) []attempt.ID {
	state.phase = attemptWithdrawn
	r.attempts[hash] = state
	current, ok := r.keys[state.key]
	if !ok || current.phase != keyReserved || current.holder != hash {
		return nil
	}
	// Keys that have run are not reserved, so only an unused key is freed.
	delete(r.keys, state.key)
	return r.removeWaiters(state.key)
}

func (r *Registry) removeWaiters(id KeyID) []attempt.ID {
	waiting := r.waiters[id]
	delete(r.waiters, id)
	return waiting
}

// Withdrawal identifies an attempt that its entry cancels.
type Withdrawal struct {
	Attempt attempt.ID
	Gate    Owner         // gate incarnation that the attempt was sent to
	Key     Key           // zero for work without a key
	Age     time.Duration // since the attempt was sent, by the entry's monotonic clock
}

// Withdraw withdraws an attempt on behalf of its entry. After NeverStarted
// the attempt cannot start, even when it arrives later, and its order has not
// run, so that the entry may report not-run. When the withdrawn attempt had
// reserved its key, Withdraw also returns the attempts that waited for the key;
// the gate calls Begin again for each of them.
func (r *Registry) Withdraw(now time.Time, w Withdrawal) (WithdrawResult, []attempt.ID) {
	now = r.removeExpired(now)
	hasKey := !w.Key.IsZero()
	if !r.opts.trustAll && (w.Gate != r.opts.Self || hasKey && (w.Key.Owner != r.opts.Self || !now.Before(w.Key.ExpiresAt))) {
		return NotProved, nil // another incarnation may have run it, or this one before it forgot the key
	}
	hash := hashAttempt(w.Attempt)
	result, woken := r.withdrawAttempt(hash, w)
	if result == NeverStarted && hasKey && r.mayHaveRun(w.Key.ID) && !r.opts.trustAll {
		result = Finished // another attempt ran the order
		if r.keys[w.Key.ID].phase == keyStarted {
			result = Started
		}
	}
	return result, woken
}

func (r *Registry) withdrawAttempt(hash attemptHash, w Withdrawal) (WithdrawResult, []attempt.ID) {
	state, ok := r.attempts[hash]
	if !ok {
		if len(r.attempts) >= r.opts.MaxAttempts || w.Age >= r.opts.AttemptTTL {
			return NotProved, nil
		}
		r.rememberAttempt(hash, attemptState{phase: attemptWithdrawn, key: w.Key.ID}, w.Key.ExpiresAt)
		return NeverStarted, nil
	}
	switch state.phase {
	case attemptStarted:
		return Started, nil
	case attemptFinished:
		return Finished, nil
	case attemptReserved:
		return NeverStarted, r.releaseReservation(hash, state)
	case attemptWaiting:
		r.waiters[state.key] = slices.DeleteFunc(r.waiters[state.key], func(a attempt.ID) bool { return a == w.Attempt })
		if len(r.waiters[state.key]) == 0 {
			delete(r.waiters, state.key)
		}
	}
	state.phase = attemptWithdrawn
	r.attempts[hash] = state
	return NeverStarted, nil
}

// Tick removes expired keys and attempts. The caller calls it every second.
func (r *Registry) Tick(now time.Time) { r.removeExpired(now) }

// Usage is the size of what a Registry keeps in memory, for telemetry. AnswerBytes
// is the size of the stored responses.
type Usage struct {
	Keys, Attempts, AnswerBytes int
}

// Usage returns the numbers of keys and attempts and the bytes of responses in
// memory.
func (r *Registry) Usage() Usage {
	return Usage{Keys: len(r.keys), Attempts: len(r.attempts), AnswerBytes: r.responses.bytes}
}
