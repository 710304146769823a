package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

const (
	// DefaultPollInterval is the time between attempts and between questions to
	// the nodes.
	DefaultPollInterval = 200 * time.Millisecond
	// minDomains that must report a version before it is accepted.
	minDomains = 2
)

// NodeVersion is one node's answer about its configuration.
type NodeVersion struct {
	Node    string
	Domain  string // failure domain
	Version int64
	Err     error // the node did not answer
}

// Publisher appends changes and waits until they are accepted.
type Publisher struct {
	Log eventlog.Log
	// Versions asks all known nodes for their versions. A node that does not
	// answer is listed with its error, so that it counts as known.
	Versions func(ctx context.Context) ([]NodeVersion, error)
	// PollInterval is the time between attempts. Default 200ms.
	PollInterval time.Duration
	// After makes the waiting testable in virtual time. Default time.After.
	After func(time.Duration) <-chan time.Time

	// appendOnce turns off the repetition of an append without an answer, for
	// the test that shows what the repetition prevents.
	appendOnce bool
}

// Acceptance is the state of a change when Publish returns.
type Acceptance struct {
	Result   Result
	Appends  int           // append calls, 1 without faults
	Accepted bool          // won and reported by nodes of two failure domains
	Nodes    []NodeVersion // last answers
}

// RejectedError: the change did not win. Publish it again under a new change id
// after looking at the difference.
type RejectedError struct {
	Result Result
	// Differences between the objects in force and those of the change.
	Differences []Difference
}

// Error names the reason and the objects that differ.
func (e *RejectedError) Error() string {
	objects := make([]string, len(e.Differences))
	for i, d := range e.Differences {
		objects[i] = d.Object
	}
	return fmt.Sprintf("change %s lost at offset %d: %s; in force differs in %s",
		e.Result.ChangeID, e.Result.Offset, e.Result.Reason(), strings.Join(objects, ", "))
}

// ErrNotAccepted: the change is in the log and won, but too few nodes have
// reported it yet. It comes into force without a further call.
var ErrNotAccepted = errors.New("change won but is not reported by nodes of two failure domains yet")

// ErrOutcomeUnknown: it is not known whether the change is in the log. Publish the
// same change again under the same change id to find out.
var ErrOutcomeUnknown = errors.New("change may or may not be in the log")

// Publish appends the change, reads it back, folds it and waits until it is
// accepted or ctx ends. A change id that f has seen needs no edits. Errors: *RejectedError, ErrNotAccepted, ErrOutcomeUnknown, or the
// reason why nothing was appended.
func (p *Publisher) Publish(ctx context.Context, f *State, c Change) (Acceptance, error) {
	data, err := c.Encode()
	if err != nil {
		return Acceptance{}, err
	}
	// A change in the log is not appended again. Its repetition may hold no
	// edits, since nothing differs any more once it is in force.
	if _, known := f.LookupChange(c.ChangeID); !known {
		if findings := c.check("change " + c.ChangeID); len(findings) > 0 {
			return Acceptance{}, findings
		}
	}
	var a Acceptance
	if err := p.appendAndRead(ctx, f, c.ChangeID, data, &a); err != nil {
		return a, err
	}
	if a.Result.Outcome != OutcomeApplied {
		return a, &RejectedError{Result: a.Result, Differences: lostDifferences(f, c)}
	}
	return a, p.awaitNodes(ctx, &a)
}

// appendAndRead repeats until the record of the change was read back. A repeat
// after a lost answer appends only when the change id is not in the log; the
// first append may still arrive later, and then counts once with the second.
func (p *Publisher) appendAndRead(ctx context.Context, f *State, id string, data []byte, a *Acceptance) error {
	appended := false
	found := false
	observe := func(r Result) {
		if r.ChangeID == id && r.Outcome != OutcomeDuplicate {
			a.Result, found = r, true
		}
	}
	if first, ok := f.LookupChange(id); ok {
		a.Result, found = first, true
	}
	for {
		readErr := f.Advance(ctx, p.Log, observe)
		if first, ok := f.LookupChange(id); ok && !found { // restored with a snapshot
			a.Result, found = first, true
		}
		if found {
			return nil
		}
		if !appended && readErr == nil {
			if p.appendOnce && a.Appends > 0 {
				return ErrOutcomeUnknown
			}
			a.Appends++
			_, err := p.Log.Append(ctx, eventlog.StreamConfig, data)
			if errors.Is(err, eventlog.ErrInvalid) {
				return err
			}
			appended = err == nil
			if appended {
				continue
			}
		}
		if !p.wait(ctx) {
			if a.Appends == 0 {
				return fmt.Errorf("nothing appended: %w", errors.Join(readErr, ctx.Err()))
			}
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
		}
	}
}

func (p *Publisher) awaitNodes(ctx context.Context, a *Acceptance) error {
	for {
		nodes, err := p.Versions(ctx)
		if err == nil {
			a.Nodes = nodes
			if a.Accepted = isAccepted(nodes, a.Result.Offset); a.Accepted {
				return nil
			}
		}
		if !p.wait(ctx) {
			return fmt.Errorf("%w: %w", ErrNotAccepted, ctx.Err())
		}
	}
}

// isAccepted reports whether nodes of two failure domains have the version, or
// all nodes where all are in one domain. Without any node nothing is accepted.
func isAccepted(nodes []NodeVersion, version int64) bool {
	domains, reached := map[string]bool{}, map[string]bool{}
	all := len(nodes) > 0
	for _, n := range nodes {
		domains[n.Domain] = true
		if n.Err == nil && n.Version >= version {
			reached[n.Domain] = true
		} else {
			all = false
		}
	}
	return all || len(domains) >= minDomains && len(reached) >= minDomains
}

func (p *Publisher) wait(ctx context.Context) bool {
	poll := p.PollInterval
	if poll <= 0 {
		poll = DefaultPollInterval
	}
	after := p.After
	if after == nil {
		after = time.After
	}
	select {
	case <-ctx.Done():
		return false
	case <-after(poll):
		return ctx.Err() == nil
	}
}

func lostDifferences(f *State, c Change) []Difference {
	var out []Difference
	for _, edit := range c.Edits {
		if current := f.Value(edit.Object); current != edit.Value {
			out = append(out, Difference{Object: edit.Object, From: current, To: edit.Value})
		}
	}
	return out
}
