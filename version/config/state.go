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

// dedupWindow is the number of log records over which State remembers change ids
// and the versions of deleted objects. A publisher retries an append within
// minutes; at 4,000 changes a day the window covers about 6 hours. A later retry
// is still rejected because of its base versions.
const dedupWindow = 1024

// Outcome is what State.Apply did with a record.
type Outcome string

const (
	OutcomeApplied   Outcome = "won"
	OutcomeConflict  Outcome = "conflict"  // an object's version is not the edit's base version
	OutcomeInvalid   Outcome = "invalid"   // the configuration would not validate
	OutcomeDuplicate Outcome = "duplicate" // an earlier record has the same change id
	OutcomeMalformed Outcome = "bad"       // the record is not a change
	OutcomeOld       Outcome = "old"       // the offset was processed before
	OutcomeGap       Outcome = "gap"       // records before this one are missing; it was not applied
)

// Conflict is one edit whose base version is not the current one.
type Conflict struct {
	Object      string `json:"object"`
	BaseVersion int64  `json:"base"`
	Current     int64  `json:"current"`         // 0 when the object does not exist
	Value       string `json:"value,omitempty"` // current TOML
}

// Result is the outcome of one record.
type Result struct {
	Offset      int64        `json:"offset"`
	Outcome     Outcome      `json:"outcome"`
	ChangeID    string       `json:"change_id,omitempty"`
	Author      string       `json:"author,omitempty"`
	FirstRecord *Result      `json:"first,omitempty"` // of a duplicate: offset and outcome of its first record
	Conflicts   []Conflict   `json:"conflicts,omitempty"`
	Findings    finding.List `json:"findings,omitempty"`
}

// Reason says in one line why a change was not applied. It is empty for a change
// that was.
func (r Result) Reason() string {
	switch {
	case r.Outcome == OutcomeConflict:
		c := r.Conflicts[0]
		return fmt.Sprintf("%s is at version %d, the edit is based on %d (%d conflicting edits)", c.Object, c.Current, c.BaseVersion, len(r.Conflicts))
	case len(r.Findings) > 0:
		return strings.ReplaceAll(r.Findings.Error(), "\n", "; ")
	case r.Outcome == OutcomeDuplicate:
		return fmt.Sprintf("change id was used at offset %d: %s", r.FirstRecord.Offset, r.FirstRecord.Outcome)
	case r.Outcome == OutcomeApplied:
		return ""
	}
	return string(r.Outcome)
}

// object is one object of the configuration, as TOML and parsed. Exactly one of
// service, route, account and customers is set.
type object struct {
	version   int64
	value     string
	service   *Service
	route     *Route
	account   *Account
	customers *customers
}

// recentChange is a change that was applied or rejected within dedupWindow.
type recentChange struct {
	Offset   int64   `json:"offset"`
	ChangeID string  `json:"change_id"`
	Outcome  Outcome `json:"outcome"`
}

// State is the configuration that results from the records of the stream config
// in order of offsets. The same records give the same state on every node. It is
// not safe for concurrent use; the configurations that it returns are immutable.
type State struct {
	reporter invariant.Reporter
	// acceptOlder turns off the check that a snapshot is newer than the state,
	// for the test that shows what the check prevents.
	acceptOlder bool

	era             int64 // of the log; versions and offsets below are offsets of this era
	offset          int64 // last record processed
	version         int64 // offset of the last change applied
	bytes           int   // paths and values of all objects
	objects         map[string]*object
	deleted         map[string]int64  // version of the deletion by path
	routeByMatchKey map[string]string // route id
	accountByKey    map[string]string // account name by API key
	recentChanges   []recentChange    // in order of offsets
	history         []HistoryEntry    // in order of offsets
	historyFloor    int64             // offset of the last applied change that history dropped

	cachedConfig *Config // result of Config, nil after a change
}

// NewState returns a State without records.
func NewState() *State {
	return &State{objects: map[string]*object{}, deleted: map[string]int64{}, routeByMatchKey: map[string]string{}, accountByKey: map[string]string{}}
}

// SetReporter sets the reporter that receives the checks of config-forward.
func (s *State) SetReporter(r invariant.Reporter) { s.reporter = r }

// Version returns the version of the last change that was applied, 0 for none.
func (s *State) Version() int64 { return s.versionAt(s.version) }

// Offset returns the version of the last record processed, 0 for none.
func (s *State) Offset() int64 { return s.versionAt(s.offset) }

// ObjectVersion returns the base version that the next edit of an object needs.
func (s *State) ObjectVersion(path string) int64 { return s.objectVersion(path, s.offset+1) }

// Value returns the TOML of an object, empty when it does not exist.
func (s *State) Value(path string) string {
	if o, ok := s.objects[path]; ok {
		return o.value
	}
	return ""
}

// objectVersion returns the version of an object for the record at an offset. A
// deleted object keeps its version for dedupWindow records.
func (s *State) objectVersion(path string, offset int64) int64 {
	if o, ok := s.objects[path]; ok {
		return o.version
	}
	if version := s.deleted[path]; version > offset-dedupWindow {
		return version
	}
	return 0
}

// Apply processes the next record and applies its change if it is valid. A record
// that was delivered before has no effect, nor has one after a gap. Its offset is a
// version, see VersionAt; a record of a later era counts as one after a gap.
func (s *State) Apply(r eventlog.Record) Result {
	at := PositionOf(r.Offset)
	if s.offset > 0 && at.Era < s.era || at.Era == s.era && at.Offset <= s.offset {
		return Result{Offset: r.Offset, Outcome: OutcomeOld}
	}
	if s.offset > 0 && at.Era != s.era || at.Offset != s.offset+1 {
		return Result{Offset: r.Offset, Outcome: OutcomeGap}
	}
	s.era = at.Era
	result := s.decodeAndApply(eventlog.Record{Offset: at.Offset, Data: r.Data})
	result.Offset = r.Offset
	s.offset = at.Offset
	if result.ChangeID != "" && result.Outcome != OutcomeDuplicate {
		s.recentChanges = append(s.recentChanges, recentChange{Offset: at.Offset, ChangeID: result.ChangeID, Outcome: result.Outcome})
	}
	s.prune()
	return result
}

func (s *State) decodeAndApply(r eventlog.Record) Result {
	change, findings := DecodeChange(fmt.Sprintf("config@%d", r.Offset), r.Data)
	if len(findings) > 0 {
		return Result{Offset: r.Offset, Outcome: OutcomeMalformed, Findings: findings}
	}
	result := Result{Offset: r.Offset, ChangeID: change.ChangeID, Author: change.Author}
	if first, ok := s.LookupChange(change.ChangeID); ok {
		result.Outcome, result.FirstRecord = OutcomeDuplicate, &first
		return result
	}
	if result.Conflicts = s.conflicts(change, r.Offset); len(result.Conflicts) > 0 {
		result.Outcome = OutcomeConflict
		return result
	}
	staged, findings := s.stage(change, r.Offset)
	if len(findings) > 0 {
		result.Outcome, result.Findings = OutcomeInvalid, findings
		return result
	}
	s.commit(change, staged, r.Offset)
	result.Outcome = OutcomeApplied
	return result
}

// LookupChange returns the offset and the outcome of a change id if it is among the
// last dedupWindow records.
func (s *State) LookupChange(changeID string) (Result, bool) {
	for _, recent := range s.recentChanges {
		if recent.ChangeID == changeID {
			return Result{Offset: s.versionAt(recent.Offset), Outcome: recent.Outcome, ChangeID: changeID}, true
		}
	}
	return Result{}, false
}

func (s *State) conflicts(c Change, offset int64) []Conflict {
	var out []Conflict
	for _, edit := range c.Edits {
		if current := s.objectVersion(edit.Object, offset); current != edit.BaseVersion {
			out = append(out, Conflict{Object: edit.Object, BaseVersion: edit.BaseVersion, Current: current, Value: s.Value(edit.Object)})
		}
	}
	return out
}

// commit puts the staged objects in force; a nil object is a deletion.
func (s *State) commit(c Change, staged map[string]*object, offset int64) {
	entry := HistoryEntry{Offset: offset, ChangeID: c.ChangeID, Author: c.Author}
	for _, edit := range c.Edits {
		entry.Objects = append(entry.Objects, HistoryObject{Object: edit.Object, Before: s.Value(edit.Object)})
	}
	for _, edit := range c.Edits {
		s.remove(edit.Object)
	}
	for _, edit := range c.Edits {
		if o := staged[edit.Object]; o != nil {
			s.put(edit.Object, o)
		} else {
			s.deleted[edit.Object] = offset
		}
	}
	s.addHistory(entry)
	s.setVersion(offset)
}

func (s *State) setVersion(version int64) {
	before := s.Version()
	s.version = version
	s.cachedConfig = nil
	s.checkForward(before)
}

func (s *State) checkForward(before int64) {
	if s.reporter != nil {
		s.reporter.Check(invariant.ConfigForward, s.Version() >= before, "version %d after %d", s.Version(), before)
	}
}

func (s *State) put(path string, o *object) {
	s.objects[path] = o
	delete(s.deleted, path)
	s.bytes += len(path) + len(o.value)
	if o.route != nil {
		for _, matchKey := range o.route.matchKeys() {
			s.routeByMatchKey[matchKey] = o.route.ID
		}
	}
	if o.account != nil {
		for _, key := range o.account.Keys {
			s.accountByKey[key] = strings.TrimPrefix(path, prefixAccounts)
		}
	}
}

func (s *State) remove(path string) {
	o, ok := s.objects[path]
	if !ok {
		return
	}
	delete(s.objects, path)
	s.bytes -= len(path) + len(o.value)
	if o.route != nil {
		for _, matchKey := range o.route.matchKeys() {
			delete(s.routeByMatchKey, matchKey)
		}
	}
	if o.account != nil {
		for _, key := range o.account.Keys {
			delete(s.accountByKey, key)
		}
	}
}

// prune removes change ids and deleted objects that are older than dedupWindow.
func (s *State) prune() {
	lastExpired := s.offset + 1 - dedupWindow
	expired := 0
	for expired < len(s.recentChanges) && s.recentChanges[expired].Offset <= lastExpired {
		expired++
	}
	s.recentChanges = s.recentChanges[expired:]
	maps.DeleteFunc(s.deleted, func(_ string, version int64) bool { return version <= lastExpired })
}

// Config returns the configuration in force. Before the first change it has no
// services.
func (s *State) Config() *Config {
	if s.cachedConfig != nil {
		return s.cachedConfig
	}
	c := &Config{Version: s.Version(), CustomerHeader: DefaultCustomerHeader, Services: map[string]Service{}}
	for _, path := range slices.Sorted(maps.Keys(s.objects)) {
		switch o := s.objects[path]; {
		case o.service != nil:
			c.Services[strings.TrimPrefix(path, prefixServices)] = *o.service
		case o.route != nil:
			c.Routes = append(c.Routes, *o.route)
		case o.account != nil:
			if c.Accounts == nil {
				c.Accounts = map[string]Account{}
			}
			c.Accounts[strings.TrimPrefix(path, prefixAccounts)] = *o.account
		case o.customers != nil:
			c.CustomerHeader = o.customers.CustomerHeader
		}
	}
	s.cachedConfig = c
	return c
}
