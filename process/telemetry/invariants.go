package telemetry

import (
	"fmt"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// InvariantOptions configure Invariants.
type InvariantOptions struct {
	// MaxViolations is the number of last violations that are kept. Default 32.
	MaxViolations int
	// Panic makes Check panic on a violation. Tests set it.
	Panic bool
	// Now returns the time of a violation. Default time.Now.
	Now func() time.Time
}

// Violation is one failed check.
type Violation struct {
	At     time.Time      `json:"at"`
	Name   invariant.Name `json:"name"`
	Detail string         `json:"detail"`
}

// InvariantCount counts the checks of one invariant.
type InvariantCount struct {
	Checks     int64 `json:"checks"`
	Violations int64 `json:"violations"`
}

// Invariants counts checks and violations by name. It implements
// invariant.Reporter and is safe for concurrent use.
type Invariants struct {
	opts InvariantOptions

	mu     sync.Mutex
	counts map[invariant.Name]*InvariantCount
	last   []Violation
}

var _ invariant.Reporter = (*Invariants)(nil)

// NewInvariants returns a reporter that lists every known invariant from the
// start, so that one that is never checked is shown with zero checks.
func NewInvariants(o InvariantOptions) *Invariants {
	if o.MaxViolations <= 0 {
		o.MaxViolations = 32
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	i := &Invariants{opts: o, counts: map[invariant.Name]*InvariantCount{}}
	for _, name := range invariant.All {
		i.counts[name] = &InvariantCount{}
	}
	return i
}

// Check counts the check. It keeps a violation and, with the option Panic, panics.
func (i *Invariants) Check(name invariant.Name, ok bool, format string, args ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := i.counts[name]
	if count == nil {
		count = &InvariantCount{}
		i.counts[name] = count
	}
	count.Checks++
	if ok {
		return
	}
	count.Violations++
	v := Violation{At: i.opts.Now(), Name: name, Detail: fmt.Sprintf(format, args...)}
	if len(i.last) == i.opts.MaxViolations {
		i.last = append(i.last[:0], i.last[1:]...)
	}
	i.last = append(i.last, v)
	if i.opts.Panic {
		panic(fmt.Sprintf("invariant %s violated: %s", name, v.Detail))
	}
}

// InvariantsSnapshot is the state of Invariants for /debug/vars.
type InvariantsSnapshot struct {
	Counts map[invariant.Name]InvariantCount `json:"counts"`
	Last   []Violation                       `json:"last"`
}

// Snapshot copies the counts and the last violations, oldest first.
func (i *Invariants) Snapshot() InvariantsSnapshot {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := InvariantsSnapshot{Counts: map[invariant.Name]InvariantCount{}, Last: append([]Violation{}, i.last...)}
	for name, count := range i.counts {
		s.Counts[name] = *count
	}
	return s
}
