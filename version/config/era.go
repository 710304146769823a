package config

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// eraOffsets is the number of offsets per era in a version. It is decimal so that
// operators can read both parts.
const eraOffsets = 1_000_000_000

// VersionAt returns the version of a change at a position of the stream config. A
// version of a later era is greater than any of an earlier one. In era 0 it is the
// offset.
func VersionAt(p eventlog.Position) int64 {
	if p.Offset == 0 {
		return 0
	}
	return p.Era*eraOffsets + p.Offset
}

// PositionOf returns the position of a version.
func PositionOf(version int64) eventlog.Position {
	return eventlog.Position{Era: version / eraOffsets, Offset: version % eraOffsets}
}

// RecordsOf returns the records of a page of the stream config with their versions
// as offsets, as Apply takes them.
func RecordsOf(page eventlog.Page) []eventlog.Record {
	out := make([]eventlog.Record, len(page.Records))
	for i, r := range page.Records {
		out[i] = eventlog.Record{Offset: VersionAt(eventlog.Position{Era: page.Era, Offset: r.Offset}), Data: r.Data}
	}
	return out
}

// Era returns the era of the log from which the records come.
func (s *State) Era() int64 { return s.era }

func (s *State) versionAt(offset int64) int64 {
	return VersionAt(eventlog.Position{Era: s.era, Offset: offset})
}

// A change that is written again and lands in a later era than the one for which it
// was made may be rejected there. It is then written under a further id.
const (
	rewriteSeparator = "~rewritten-"
	maxRewrites      = 4 // records of one change; a change that is invalid stays rejected
)

// originalID returns the id under which a change was published first.
func originalID(changeID string) string {
	id, _, _ := strings.Cut(changeID, rewriteSeparator)
	return id
}

// Lost returns the ids of the changes that s has applied and that are missing in
// other, the state of a log that came back from an older copy. The oldest is first.
// A change with an object that another one has written in other since is not lost but
// overridden. A change beyond the history is lost only while remainingEdits has edits.
func (s *State) Lost(other *State) []string {
	applied, records := map[string]bool{}, map[string]int{}
	for _, recent := range other.recentChanges {
		id := originalID(recent.ChangeID)
		records[id]++
		applied[id] = applied[id] || recent.Outcome == OutcomeApplied
	}
	var remainder *[]Edit
	var out []string
	for _, recent := range s.recentChanges {
		id := originalID(recent.ChangeID)
		forgotten := recent.Offset <= other.offset-dedupWindow // other may have had it
		if recent.Outcome != OutcomeApplied || forgotten || applied[id] || records[id] >= maxRewrites || s.overridden(recent, other) {
			continue
		}
		if !s.inHistory(recent.ChangeID) {
			if remainder == nil {
				edits := s.remainingEdits(other)
				remainder = &edits
			}
			if len(*remainder) == 0 {
				continue
			}
		}
		out = append(out, recent.ChangeID)
	}
	return out
}

func (s *State) inHistory(changeID string) bool {
	for _, entry := range s.history {
		if entry.ChangeID == changeID {
			return true
		}
	}
	return false
}

// remainingEdits returns the edits that give the objects of other the values of s,
// but for objects that a change unknown to s has written in other.
func (s *State) remainingEdits(other *State) []Edit {
	differences, err := Diff(other.Config(), s.Config())
	if err != nil {
		return []Edit{{}} // fails the check of the change, so that nothing is given up
	}
	var out []Edit
	for _, d := range differences {
		version := other.ObjectVersion(d.Object)
		if writer := other.changeAt(version); writer != "" {
			if _, known := s.appliedAt(writer); !known {
				continue
			}
		}
		out = append(out, Edit{Object: d.Object, BaseVersion: version, Value: d.To})
	}
	return out
}

// remainder returns one change with all remaining edits. Its id is the same on all
// nodes with the same version in force.
func (s *State) remainder(other *State) (Change, bool) {
	id := "restored-" + strconv.FormatInt(other.era, 10) + "-" + strconv.FormatInt(s.Version(), 10)
	c := Change{ChangeID: id, Author: "restore", Edits: s.remainingEdits(other)}
	for n := 2; n <= maxRewrites+1; n++ {
		if _, used := other.LookupChange(c.ChangeID); !used {
			return c, len(c.Edits) > 0 && len(c.check(c.ChangeID)) == 0
		}
		c.ChangeID = id + rewriteSeparator + strconv.Itoa(n)
	}
	return Change{}, false
}

// overridden reports whether an object of a change was last written in other by a
// change that s does not have, or has after it.
func (s *State) overridden(change recentChange, other *State) bool {
	for _, entry := range s.history {
		if entry.Offset != change.Offset {
			continue
		}
		for _, o := range entry.Objects {
			writer := other.changeAt(other.ObjectVersion(o.Object))
			if writer == "" {
				continue
			}
			if at, ok := s.appliedAt(writer); !ok || at > change.Offset {
				return true
			}
		}
	}
	return false
}

// appliedAt returns the offset at which s applied a change under any of its ids. A
// remainder that a node with an earlier or equal version wrote counts as applied at
// that version, so that it does not override later changes of s.
func (s *State) appliedAt(changeID string) (int64, bool) {
	if parts := strings.Split(originalID(changeID), "-"); len(parts) == 3 && parts[0] == "restored" {
		version, err := strconv.ParseInt(parts[2], 10, 64)
		if at := PositionOf(version); err == nil && at.Era == s.era && version <= s.Version() {
			return at.Offset, true
		}
	}
	for _, recent := range s.recentChanges {
		if recent.Outcome == OutcomeApplied && originalID(recent.ChangeID) == originalID(changeID) {
			return recent.Offset, true
		}
	}
	return 0, false
}

// Rewrite returns the change of s with the given id, based on the versions of
// other. When the history of s no longer has the change, it returns the remaining
// difference as one change. The result is false when that cannot be written either.
func (s *State) Rewrite(changeID string, other *State) (Change, bool) {
	for i, entry := range s.history {
		if entry.ChangeID != changeID {
			continue
		}
		c := Change{ChangeID: originalID(changeID), Author: entry.Author}
		for n := 2; ; n++ {
			if _, used := other.LookupChange(c.ChangeID); !used {
				break
			}
			c.ChangeID = originalID(changeID) + rewriteSeparator + strconv.Itoa(n)
		}
		for _, o := range entry.Objects {
			c.Edits = append(c.Edits, Edit{Object: o.Object, BaseVersion: other.ObjectVersion(o.Object), Value: s.valueAfter(i, o.Object)})
		}
		return c, true
	}
	return s.remainder(other)
}

// valueAfter returns the TOML of an object after the change at an index of the
// history.
func (s *State) valueAfter(index int, path string) string {
	for _, later := range s.history[index+1:] {
		for _, o := range later.Objects {
			if o.Object == path {
				return o.Before
			}
		}
	}
	return s.Value(path)
}

// changeAt returns the id of the change at an offset, empty when it is not among
// the last dedupWindow records.
func (s *State) changeAt(offset int64) string {
	for _, recent := range s.recentChanges {
		if recent.Offset == offset {
			return recent.ChangeID
		}
	}
	return ""
}

// confirmedRecords is the number of records that confirm a snapshot of an earlier
// era.
const confirmedRecords = 64

// inEra returns a snapshot for a state of an era. A snapshot of an earlier era is
// used only if the last records that it covers are still in the log: a node that had
// not noticed the restore may have written it. The result is nil when they are not.
func inEra(ctx context.Context, log eventlog.Log, data []byte, era int64) ([]byte, error) {
	record, err := decodeSnapshot(data)
	if err != nil {
		return nil, nil // unreadable snapshots are passed over
	}
	covers := PositionOf(record.CoversOffset)
	if covers.Era == era || covers.Offset == 0 {
		return data, nil
	}
	state, err := stateFromSnapshot(record)
	if err != nil {
		return nil, nil
	}
	for from := max(1, covers.Offset-confirmedRecords+1); from <= covers.Offset; {
		page, err := log.Read(ctx, eventlog.StreamConfig, from, confirmedRecords)
		switch {
		case errors.Is(err, eventlog.ErrTrimmed):
			from = max(page.First, from+1)
			continue
		case errors.Is(err, eventlog.ErrRestored) && page.Era == era:
			return nil, nil
		case err != nil:
			return nil, err
		case page.Era != era:
			return nil, restoredError(era, page.Era)
		case len(page.Records) == 0:
			return nil, nil
		}
		for _, r := range page.Records {
			from = r.Offset + 1
			if r.Offset <= covers.Offset && !state.matches(r) {
				return nil, nil
			}
		}
	}
	record.CoversOffset = VersionAt(eventlog.Position{Era: era, Offset: covers.Offset})
	return compactJSON(record)
}

// matches reports whether s has the change of a record at its offset, with the base
// versions that s knows. The same change may have been written again at its earlier
// offset with other base versions, and been rejected.
func (s *State) matches(r eventlog.Record) bool {
	c, findings := DecodeChange("", r.Data)
	id := s.changeAt(r.Offset)
	if id == "" { // malformed or a duplicate
		first, known := s.LookupChange(c.ChangeID)
		return len(findings) > 0 || known && PositionOf(first.Offset).Offset < r.Offset
	}
	if c.ChangeID != id {
		return false
	}
	versions := map[string]int64{}
	for _, entry := range s.history {
		if entry.Offset == r.Offset {
			for _, edit := range c.Edits {
				if version, ok := versions[edit.Object]; ok && version != edit.BaseVersion {
					return false
				}
			}
		}
		for _, o := range entry.Objects {
			versions[o.Object] = entry.Offset
		}
	}
	return true
}

func restoredError(before, now int64) error {
	return fmt.Errorf("%w: era %d, was %d", eventlog.ErrRestored, now, before)
}
