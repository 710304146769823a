package admission

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// SlotsExceeded is the invariant that a target never runs more requests than
// its slots.
const SlotsExceeded invariant.Name = "slots"

// Options of a Controller.
type Options struct {
	QueuePerSlot int           // default queue bound per slot of a target; default 4
	BorrowAfter  time.Duration // time without short arrivals after which long work borrows idle slots; default 1 s
	// LongEvery is the least time between starts of long work on a target
	// whose short work needs every slot. Default 0: one slot is always open to
	// long work.
	LongEvery      time.Duration
	PauseThreshold time.Duration // a tick later than this voids the latency window; default 500 ms

	noPriority    bool // test switch: the queue ignores priority
	noFair        bool // test switch: the queue ignores customers
	noReserve     bool // test switch: long work may take every slot
	noRefusal     bool // test switch: infeasible work is queued
	noDeadline    bool // test switch: late work starts
	noDrainCheck  bool // test switch: a draining target keeps its queue
	noAdaptive    bool // test switch: the limit is the slot number
	noSlotCheck   bool // test switch: the limit is not respected
	keepDisplaced bool // test switch: refused work stays in the queue
}

func (o Options) withDefaults() Options {
	if o.QueuePerSlot <= 0 {
		o.QueuePerSlot = 4
	}
	if o.BorrowAfter <= 0 {
		o.BorrowAfter = time.Second
	}
	if o.PauseThreshold <= 0 {
		o.PauseThreshold = 500 * time.Millisecond
	}
	return o
}

// Priority orders waiting work; a lower value goes first.
type Priority int

const (
	Order Priority = iota
	Interactive
	Background
)

// ParsePriority reads the names of the configuration. An empty or unknown
// name is Interactive.
func ParsePriority(s string) Priority {
	switch s {
	case "order":
		return Order
	case "background":
		return Background
	}
	return Interactive
}

// Class is a kind of work of a target's service.
type Class struct {
	Priority Priority
	Long     bool // runs within the long share
	// Objective is the time from arrival to end within which work has its full
	// worth; 0 means none. Work that can still meet it goes first.
	Objective time.Duration
}

// Target is an announced target.
type Target struct {
	ID          string
	Service     string
	Slots       int // at least 1
	Incarnation attempt.Incarnation
	QueueLimit  int // work that may wait; default Options.QueuePerSlot per slot
	Classes     map[string]Class
}

// Work is one attempt that asks to run.
type Work struct {
	Attempt  attempt.ID
	Target   string
	Class    string // of Target.Classes; an unknown one is short and interactive
	Customer string
	Deadline time.Time // zero: none
	// ArrivedAt is when the request arrived at the fleet, from which its objective
	// counts; zero means now.
	ArrivedAt time.Time
	Long      bool // learned: long although its class is not
	NoWait    bool // refuse with ReasonBusy rather than queue: the entry knows of a free slot elsewhere
}

// Ticket names a piece of work at this gate.
type Ticket uint64

// Kind is the kind of a Decision.
type Kind int

const (
	Started Kind = iota // call Confirm before the first byte, then Finish
	Queued              // a later Decision follows
	Refused             // never started and never will
)

// Decision is what the gate decided about one piece of work.
type Decision struct {
	Kind       Kind
	Ticket     Ticket
	Work       Work
	Reason     attempt.Reason // of a refusal
	RetryAfter time.Duration  // of a refusal; 0 when not known
	Wait       time.Duration  // time spent in the queue
	Displaced  []Decision     // Submit only: work that this arrival displaced
}

// Result is how running work ended.
type Result struct {
	OK bool // whole answer; its duration counts for the estimates
}

// DrainResult reports a drain.
type DrainResult struct {
	Refused []Decision // work that waited
	Running int        // requests in progress
}

type item struct {
	ticket   Ticket
	work     Work
	class    *classState
	prio     Priority
	long     bool
	late     bool // can no longer meet its objective, as of the last look
	customer *customer
	queuedAt time.Time
	started  time.Time
	running  bool
	refused  bool
	gen      int // target generation in which it started
}
