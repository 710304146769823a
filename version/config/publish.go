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
	// DefaultPollInterval is the time between attempts to append and between
	// requests for the versions of the nodes.
	DefaultPollInterval = 200 * time.Millisecond
	// minDomains is the number of failure domains that must report a version
	// before it is accepted.
	minDomains = 2
)

// NodeVersion is the version of the configuration that one node reports.
type NodeVersion struct {
	Node    string
	Domain  string // failure domain
	Version int64
	Err     error // why the node did not report its version
}

// Publisher appends changes and waits until they are accepted.
type Publisher struct {
	Log eventlog.Log
	// Versions requests the versions of all known nodes. A node that does not
	// respond is listed with its error, so that it is still a known node.
	Versions func(ctx context.Context) ([]NodeVersion, error)
	// PollInterval is the time between attempts to append and between requests
	// for versions. Default 200ms.
	PollInterval time.Duration
	// After waits for PollInterval; tests replace it to run in virtual time.
	// Default time.After.
	After func(time.Duration) <-chan time.Time

	// appendOnce turns off the retry of an append without a response, for the
	// test that shows what the retry prevents.
	appendOnce bool
}

// Acceptance is the state of a change when Publish returns.
type Acceptance struct {
	Result   Result
	Appends  int           // append calls, 1 without faults
	Accepted bool          // applied and reported by nodes of two failure domains
	Nodes    []NodeVersion // versions last reported
}

// RejectedError reports that the change was not applied. The author should look
// at the differences and publish again under a new change id.
type RejectedError struct {
	Result Result
	// Differences lead from the objects in force to those of the change.
	Differences []Difference
}

// Error names the reason and the objects that differ.
func (e *RejectedError) Error() string {
	objects := make([]string, len(e.Differences))
	for i, d := range e.Differences {
		objects[i] = d.Object
	}
	return fmt.Sprintf("change %s rejected at offset %d: %s; the configuration in force differs in %s",
		e.Result.ChangeID, e.Result.Offset, e.Result.Reason(), strings.Join(objects, ", "))
}

// ErrNotAccepted reports that the change was applied, but too few nodes have
// reported it yet. It comes into force on them without a further call.
var ErrNotAccepted = errors.New("change was applied but is not reported by nodes of two failure domains yet")

// ErrOutcomeUnknown reports that it is not known whether the change is in the log.
// To find out, publish the same change again under the same change id.
var ErrOutcomeUnknown = errors.New("change may or may not be in the log")

// EarlierEraError reports that nodes have a version of an earlier era than the log,
// which came back from an older copy. They may have changes in force that the log
// lacks, and write them again; a new change must not come before those.
type EarlierEraError struct {
	Era   int64 // of the log
	Nodes []NodeVersion
}

// Error names the eras and the nodes.
func (e *EarlierEraError) Error() string {
	nodes := make([]string, len(e.Nodes))
	for i, n := range e.Nodes {
		nodes[i] = fmt.Sprintf("%s at version %d of era %d", n.Node, n.Version, PositionOf(n.Version).Era)
	}
	return fmt.Sprintf("the log came back from an older copy and is in era %d; not all nodes follow it yet: %s", e.Era, strings.Join(nodes, ", "))
}

// AwaitEra advances s to the end of the log and waits until no node that responds
// has a version of an earlier era. Changes that nodes write again are in s then. When
// ctx ends first, the error is an *EarlierEraError.
func (p *Publisher) AwaitEra(ctx context.Context, s *State) error {
	for s.Era() > 0 {
		err := s.Advance(ctx, p.Log, nil)
		if errors.Is(err, eventlog.ErrRestored) {
			return err
		}
		var nodes []NodeVersion
		if err == nil {
			nodes, err = p.Versions(ctx)
		}
		earlier := &EarlierEraError{Era: s.Era()}
		for _, n := range nodes {
			if n.Err == nil && n.Version > 0 && PositionOf(n.Version).Era < s.Era() {
				earlier.Nodes = append(earlier.Nodes, n)
			}
		}
		if err == nil && len(earlier.Nodes) == 0 {
			// The nodes had written their changes again when they reported the era.
			return s.Advance(ctx, p.Log, nil)
		}
		if !p.wait(ctx) {
			if len(earlier.Nodes) > 0 {
				return earlier
			}
			return errors.Join(err, ctx.Err())
		}
	}
	return nil
}

// Publish appends the change, reads it back, applies it to s and waits until it is
// accepted or ctx ends. A change whose id s already knows needs no edits. The error
// is a *RejectedError, ErrNotAccepted, ErrOutcomeUnknown, or the reason why nothing
// was appended. It wraps eventlog.ErrRestored when the log came back from an older
// copy meanwhile.
func (p *Publisher) Publish(ctx context.Context, s *State, c Change) (Acceptance, error) {
	data, err := c.Encode()
	if err != nil {
		return Acceptance{}, err
	}
	// A change in the log is not appended again. It may come without edits, since
	// no object differs once it is in force.
	if _, known := s.LookupChange(c.ChangeID); !known {
		if findings := c.check("change " + c.ChangeID); len(findings) > 0 {
			return Acceptance{}, findings
		}
	}
	var acceptance Acceptance
	if err := p.appendAndRead(ctx, s, c.ChangeID, data, &acceptance); err != nil {
		return acceptance, err
	}
	if acceptance.Result.Outcome != OutcomeApplied {
		return acceptance, &RejectedError{Result: acceptance.Result, Differences: editDifferences(s, c)}
	}
	return acceptance, p.awaitNodes(ctx, &acceptance)
}

// appendAndRead appends the change and retries until it has read its record back.
// After a lost response it appends again only if the change id is not in the log.
// The first append may still arrive later; then the later of the two records is a
// duplicate without effect.
func (p *Publisher) appendAndRead(ctx context.Context, s *State, changeID string, data []byte, acceptance *Acceptance) error {
	appended, eraAwaited := false, false
	found := false
	observe := func(r Result) {
		if r.ChangeID == changeID && r.Outcome != OutcomeDuplicate {
			acceptance.Result, found = r, true
		}
	}
	if first, ok := s.LookupChange(changeID); ok {
		acceptance.Result, found = first, true
	}
	for {
		readErr := s.Advance(ctx, p.Log, observe)
		if errors.Is(readErr, eventlog.ErrRestored) {
			if acceptance.Appends == 0 && !found {
				return fmt.Errorf("nothing appended: %w", readErr)
			}
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, readErr)
		}
		if first, ok := s.LookupChange(changeID); ok && !found { // the record was in a restored snapshot
			acceptance.Result, found = first, true
		}
		if found {
			return nil
		}
		if !appended && readErr == nil && s.Era() > 0 && acceptance.Appends == 0 && !eraAwaited {
			if err := p.AwaitEra(ctx, s); err != nil {
				return fmt.Errorf("nothing appended: %w", err)
			}
			eraAwaited = true
			continue // the change may be among those that nodes wrote again
		}
		if !appended && readErr == nil {
			if p.appendOnce && acceptance.Appends > 0 {
				return ErrOutcomeUnknown
			}
			acceptance.Appends++
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
			if acceptance.Appends == 0 {
				return fmt.Errorf("nothing appended: %w", errors.Join(readErr, ctx.Err()))
			}
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// awaitNodes waits until the applied change is accepted.
func (p *Publisher) awaitNodes(ctx context.Context, acceptance *Acceptance) error {
	for {
		nodes, err := p.Versions(ctx)
		if err == nil {
			acceptance.Nodes = nodes
			if era, restored := laterEra(nodes, acceptance.Result.Offset); restored {
				return fmt.Errorf("%w: %w", ErrOutcomeUnknown, restoredError(PositionOf(acceptance.Result.Offset).Era, era))
			}
			if acceptance.Accepted = isAccepted(nodes, acceptance.Result.Offset); acceptance.Accepted {
				return nil
			}
		}
		if !p.wait(ctx) {
			return fmt.Errorf("%w: %w", ErrNotAccepted, ctx.Err())
		}
	}
}

// laterEra returns an era that a node reports and that is later than that of a
// version. Such a node follows a log that may lack the version.
func laterEra(nodes []NodeVersion, version int64) (int64, bool) {
	for _, n := range nodes {
		if era := PositionOf(n.Version).Era; n.Err == nil && era > PositionOf(version).Era {
			return era, true
		}
	}
	return 0, false
}

// isAccepted reports whether nodes of two failure domains have the version, or
// all nodes where all are in one domain. Without any node nothing is accepted.
func isAccepted(nodes []NodeVersion, version int64) bool {
	domains, updated := map[string]bool{}, map[string]bool{}
	all := len(nodes) > 0
	for _, n := range nodes {
		domains[n.Domain] = true
		if n.Err == nil && n.Version >= version {
			updated[n.Domain] = true
		} else {
			all = false
		}
	}
	return all || len(domains) >= minDomains && len(updated) >= minDomains
}

// wait waits for PollInterval and reports whether ctx is still active.
func (p *Publisher) wait(ctx context.Context) bool {
	interval := p.PollInterval
	if interval <= 0 {
		interval = DefaultPollInterval
	}
	after := p.After
	if after == nil {
		after = time.After
	}
	select {
	case <-ctx.Done():
		return false
	case <-after(interval):
		return ctx.Err() == nil
	}
}

// editDifferences returns the edits of c whose values differ from those in force.
func editDifferences(s *State, c Change) []Difference {
	var out []Difference
	for _, edit := range c.Edits {
		if current := s.Value(edit.Object); current != edit.Value {
			out = append(out, Difference{Object: edit.Object, From: current, To: edit.Value})
		}
	}
	return out
}
