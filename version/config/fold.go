package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// identityWindow is the number of log records over which the fold remembers
// change ids and the versions of deleted objects. A publisher repeats an append
// within minutes; at 4,000 changes a day the window covers about 6 hours. A
// later repeat is still stopped by its base versions.
const identityWindow = 1024

// Outcome is what the fold did with a record.
type Outcome string

const (
	OutcomeApplied   Outcome = "won"
	OutcomeConflict  Outcome = "conflict"  // an object's version is not the edit's base version
	OutcomeInvalid   Outcome = "invalid"   // the configuration would not validate
	OutcomeDuplicate Outcome = "duplicate" // the change id was folded before
	OutcomeMalformed Outcome = "bad"       // the record is not a change
	OutcomeOld       Outcome = "old"       // the offset was folded before
	OutcomeGap       Outcome = "gap"       // records before this one are missing; it was not applied
)

// Conflict is one edit whose base version is not the current one.
type Conflict struct {
	Object  string `json:"object"`
	Base    int64  `json:"base"`
	Current int64  `json:"current"`         // 0 when the object does not exist
	Value   string `json:"value,omitempty"` // current TOML
}

// Result is the outcome of one record.
type Result struct {
	Offset    int64        `json:"offset"`
	Outcome   Outcome      `json:"outcome"`
	ChangeID  string       `json:"change_id,omitempty"`
	Author    string       `json:"author,omitempty"`
	First     *Result      `json:"first,omitempty"` // of a duplicate: offset and outcome of its first record
	Conflicts []Conflict   `json:"conflicts,omitempty"`
	Findings  finding.List `json:"findings,omitempty"`
}

// Reason says in one line why a change did not win.
func (r Result) Reason() string {
	switch {
	case r.Outcome == OutcomeConflict:
		c := r.Conflicts[0]
		return fmt.Sprintf("%s is at version %d, the edit is based on %d (%d of such edits)", c.Object, c.Current, c.Base, len(r.Conflicts))
	case len(r.Findings) > 0:
		return strings.ReplaceAll(r.Findings.Error(), "\n", "; ")
	case r.Outcome == OutcomeDuplicate:
		return fmt.Sprintf("change id was folded at offset %d: %s", r.First.Offset, r.First.Outcome)
	case r.Outcome == OutcomeApplied:
		return ""
	}
	return string(r.Outcome)
}

// object is one folded object. Exactly one of the parsed forms is set.
type object struct {
	version   int64
	value     string
	service   *Service
	route     *Route
	customers *customers
}

type seenChange struct {
	Offset   int64   `json:"offset"`
	ChangeID string  `json:"change_id"`
	Outcome  Outcome `json:"outcome"`
}

// State is the configuration that results from the records of the stream config
// by offset. The same records give the same fold on every node. It is not safe
// for concurrent use; the configurations that it returns are immutable.
type State struct {
	reporter invariant.Reporter
	// acceptOlder turns off the check that a snapshot is newer than the fold,
	// for the test that shows what the check prevents.
	acceptOlder bool

	offset       int64 // last record folded
	version      int64 // offset of the last change that won
	bytes        int   // paths and values of all objects
	objects      map[string]*object
	deleted      map[string]int64  // version by path
	rules        map[string]string // route id by rule
	seen         []seenChange      // by offset
	history      []HistoryEntry    // by offset
	historyFloor int64             // offset of the last winning change that history dropped

	current *Config // cache of Config
}

// NewState returns a State without records.
func NewState() *State {
	return &State{objects: map[string]*object{}, deleted: map[string]int64{}, rules: map[string]string{}}
}

// SetReporter makes the fold report its checks of config-forward.
func (f *State) SetReporter(r invariant.Reporter) { f.reporter = r }

// Version returns the offset of the last change that won, 0 for none.
func (f *State) Version() int64 { return f.version }

// Offset returns the offset of the last record folded, 0 for none.
func (f *State) Offset() int64 { return f.offset }

// ObjectVersion returns the version for the base of an edit of the object.
func (f *State) ObjectVersion(path string) int64 { return f.objectVersion(path, f.offset+1) }

// Value returns the TOML of an object, empty when it does not exist.
func (f *State) Value(path string) string {
	if o, ok := f.objects[path]; ok {
		return o.value
	}
	return ""
}

func (f *State) objectVersion(path string, at int64) int64 {
	if o, ok := f.objects[path]; ok {
		return o.version
	}
	if version := f.deleted[path]; version > at-identityWindow {
		return version
	}
	return 0
}

// Apply folds the next record. Records may be delivered more than once; a gap
// is reported and not applied.
func (f *State) Apply(r eventlog.Record) Result {
	if r.Offset <= f.offset {
		return Result{Offset: r.Offset, Outcome: OutcomeOld}
	}
	if r.Offset != f.offset+1 {
		return Result{Offset: r.Offset, Outcome: OutcomeGap}
	}
	result := f.fold(r)
	f.offset = r.Offset
	if result.ChangeID != "" && result.Outcome != OutcomeDuplicate {
		f.seen = append(f.seen, seenChange{Offset: r.Offset, ChangeID: result.ChangeID, Outcome: result.Outcome})
	}
	f.prune()
	return result
}

func (f *State) fold(r eventlog.Record) Result {
	change, findings := DecodeChange(fmt.Sprintf("config@%d", r.Offset), r.Data)
	if len(findings) > 0 {
		return Result{Offset: r.Offset, Outcome: OutcomeMalformed, Findings: findings}
	}
	result := Result{Offset: r.Offset, ChangeID: change.ChangeID, Author: change.Author}
	if first, ok := f.LookupChange(change.ChangeID); ok {
		result.Outcome, result.First = OutcomeDuplicate, &first
		return result
	}
	if result.Conflicts = f.conflicts(change, r.Offset); len(result.Conflicts) > 0 {
		result.Outcome = OutcomeConflict
		return result
	}
	staged, findings := f.stage(change, r.Offset)
	if len(findings) > 0 {
		result.Outcome, result.Findings = OutcomeInvalid, findings
		return result
	}
	f.commit(change, staged, r.Offset)
	result.Outcome = OutcomeApplied
	return result
}

// LookupChange returns offset and outcome of a change id within the last records.
func (f *State) LookupChange(changeID string) (Result, bool) {
	for _, s := range f.seen {
		if s.ChangeID == changeID {
			return Result{Offset: s.Offset, Outcome: s.Outcome, ChangeID: changeID}, true
		}
	}
	return Result{}, false
}

func (f *State) conflicts(c Change, at int64) []Conflict {
	var out []Conflict
	for _, edit := range c.Edits {
		if current := f.objectVersion(edit.Object, at); current != edit.BaseVersion {
			out = append(out, Conflict{Object: edit.Object, Base: edit.BaseVersion, Current: current, Value: f.Value(edit.Object)})
		}
	}
	return out
}

// commit puts staged objects in force; a nil object is a deletion.
func (f *State) commit(c Change, staged map[string]*object, at int64) {
	entry := HistoryEntry{Offset: at, ChangeID: c.ChangeID, Author: c.Author}
	for _, edit := range c.Edits {
		entry.Objects = append(entry.Objects, HistoryObject{Object: edit.Object, Before: f.Value(edit.Object)})
	}
	for _, edit := range c.Edits {
		f.remove(edit.Object)
	}
	for _, edit := range c.Edits {
		if o := staged[edit.Object]; o != nil {
			f.put(edit.Object, o)
		} else {
			f.deleted[edit.Object] = at
		}
	}
	f.addHistory(entry)
	f.setVersion(at)
}

func (f *State) setVersion(version int64) {
	if f.reporter != nil {
		f.reporter.Check(invariant.ConfigForward, version >= f.version, "version %d after %d", version, f.version)
	}
	f.version = version
	f.current = nil
}

func (f *State) put(path string, o *object) {
	f.objects[path] = o
	delete(f.deleted, path)
	f.bytes += len(path) + len(o.value)
	if o.route != nil {
		for _, rule := range o.route.rules() {
			f.rules[rule] = o.route.ID
		}
	}
}

func (f *State) remove(path string) {
	o, ok := f.objects[path]
	if !ok {
		return
	}
	delete(f.objects, path)
	f.bytes -= len(path) + len(o.value)
	if o.route != nil {
		for _, rule := range o.route.rules() {
			delete(f.rules, rule)
		}
	}
}

// prune removes what left the identity window.
func (f *State) prune() {
	oldest := f.offset + 1 - identityWindow
	cut := 0
	for cut < len(f.seen) && f.seen[cut].Offset <= oldest {
		cut++
	}
	f.seen = f.seen[cut:]
	maps.DeleteFunc(f.deleted, func(_ string, version int64) bool { return version <= oldest })
}

// Config returns the configuration in force. Without any change it has no
// service.
func (f *State) Config() *Config {
	if f.current != nil {
		return f.current
	}
	c := &Config{Version: f.version, CustomerHeader: DefaultCustomerHeader, Services: map[string]Service{}}
	for _, path := range slices.Sorted(maps.Keys(f.objects)) {
		switch o := f.objects[path]; {
		case o.service != nil:
			c.Services[strings.TrimPrefix(path, prefixServices)] = *o.service
		case o.route != nil:
			c.Routes = append(c.Routes, *o.route)
		case o.customers != nil:
			c.CustomerHeader = o.customers.CustomerHeader
		}
	}
	f.current = c
	return c
}
