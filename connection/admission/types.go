package admission

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// SlotsExceeded names the invariant that a target never runs more requests
// than it has slots.
const SlotsExceeded invariant.Name = "slots"

// Options configure a Controller. Zero values take the defaults.
type Options struct {
	QueuePerSlot int           // default queue bound per slot of a target; default 4
	BorrowAfter  time.Duration // time without short arrivals after which long work borrows idle slots; default 1 s
	// LongStartInterval is the minimum time between starts of long work on a
	// target whose short work needs every slot. Default 0: one slot is always
	// open to long work.
	LongStartInterval time.Duration
	PauseThreshold    time.Duration // a longer time between two ticks discards the latency windows; default 500 ms

	noRank             bool // for tests: the queue ignores ranks
	noOvertaking       bool // for tests: the expected wait ignores work that will arrive and go first
	noPriority         bool // for tests: the queue ignores priority
	noFairness         bool // for tests: the queue ignores customers
	noReserve          bool // for tests: long work may take every slot
	noBriefFirst       bool // for tests: the queue ignores how long work takes
	noLateQueue        bool // for tests: AllowLate is ignored
	noFeasibilityCheck bool // for tests: work that cannot end before its deadline is queued
	noDeadline         bool // for tests: work starts after its deadline
	noDrainCheck       bool // for tests: a draining target keeps its queue
	noLimitAdaptation  bool // for tests: the concurrency limit equals the slots
	noSlotCheck        bool // for tests: the concurrency limit is ignored
	keepDisplaced      bool // for tests: refused work stays in the queue
}

func (o Options) withDefaults() Options {
	o.noOvertaking = o.noOvertaking || o.noRank
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

// Priority orders waiting work; a lower value starts first.
type Priority int

const (
	Called Priority = iota - 1 // see Work.Called
	Order
	Interactive
	Background
)

// ParsePriority returns the priority of a name in the configuration. An empty
// or unknown name gives Interactive.
func ParsePriority(s string) Priority {
	switch s {
	case "order":
		return Order
	case "background":
		return Background
	}
	return Interactive
}

// Class holds the settings of one class of work of a service.
type Class struct {
	Priority Priority
	Rank     int  // of work without Work.Rank, on the same scale; 0 is the most urgent
	Long     bool // runs in the share of slots for long work
	// Objective is the desired time from arrival to end; 0 means none. Work
	// that can still meet it starts before work that cannot.
	Objective time.Duration
}

// Target holds the announced settings of a target.
type Target struct {
	ID          string
	Service     string
	Slots       int // at least 1
	Incarnation attempt.Incarnation
	QueueLimit  int // maximum number of waiting requests; default Options.QueuePerSlot per slot
	Classes     map[string]Class
}

// Work describes one attempt to be admitted.
type Work struct {
	Attempt  attempt.ID
	Target   string
	Class    string // key of Target.Classes; an unknown class is short and interactive
	Customer string
	Deadline time.Time // zero: none
	// ArrivedAt is when the request arrived at the fleet; its objective counts
	// from then. Zero means now.
	ArrivedAt time.Time
	Long      bool // learned to be long although its class is short
	NoWait    bool // refuse with ReasonBusy instead of queueing, as the entry knows of a free slot elsewhere
	// AllowLate queues the work although it will miss its objective, as every other
	// target would let it wait too. At most as many such requests wait as a target has
	// slots, unless they are called.
	AllowLate bool
	// Called marks work that a running request at another target waits for. It goes
	// before other work of its rank, and more of it may wait: its refusal would waste the
	// slot that waits for it.
	Called bool
	// Rank goes before the priority; 0 is the most urgent. Work of one rank is ordered as
	// without ranks. Negative: absent, the rank of the class applies.
	Rank int
}

// Ticket identifies submitted work at one Controller.
type Ticket uint64

// Kind says what was decided about submitted work.
type Kind int

const (
	Started Kind = iota // call Confirm before the first byte, then Finish
	Queued              // a later Decision follows
	Refused             // has not run and never will
)

// Decision is what the Controller decided about submitted work.
type Decision struct {
	Kind       Kind
	Ticket     Ticket
	Work       Work
	Reason     attempt.Reason // of a refusal
	RetryAfter time.Duration  // of a refusal; 0 when not known
	Wait       time.Duration  // time spent in the queue
	Displaced  []Decision     // set by Submit only: waiting work that this work displaced
}

// Result says how running work ended.
type Result struct {
	OK bool // the response was complete; its duration enters the estimates
}

// DrainResult says what a drain found.
type DrainResult struct {
	Refused []Decision // refusals of the waiting work
	Running int        // requests in progress
}

// submission is submitted work that waits, runs or was refused.
type submission struct {
	ticket     Ticket
	work       Work
	class      *classState
	rank       int // Work.Rank or that of the class
	priority   Priority
	long       bool
	late       bool // could no longer meet its objective when markLate last ran
	customer   *customer
	queuedAt   time.Time
	started    time.Time
	running    bool
	confirmed  bool // Confirm allowed it to be sent
	refused    bool
	brief      bool // see target.isBrief
	generation int  // generation of the target in which it started
}
