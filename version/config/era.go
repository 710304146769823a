package config

import (
	"context"
	"errors"
	"fmt"

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

// Lost returns the ids of the changes that s has applied and that are missing in
// other, the state of a log that came back from an older copy. The oldest is first.
func (s *State) Lost(other *State) []string {
	kept := map[string]bool{}
	for _, recent := range other.recentChanges {
		kept[recent.ChangeID] = true
	}
	var out []string
	for _, recent := range s.recentChanges {
		forgotten := recent.Offset <= other.offset-dedupWindow // other may have had it
		if recent.Outcome == OutcomeApplied && !kept[recent.ChangeID] && !forgotten {
			out = append(out, recent.ChangeID)
		}
	}
	return out
}

// Rewrite returns the change of s with the given id, based on the versions of
// other. An object that a change unknown to s has written in other gets a base
// version that conflicts: what was written after the restore wins. The result is
// false when the history of s no longer has the change.
func (s *State) Rewrite(changeID string, other *State) (Change, bool) {
	for i, entry := range s.history {
		if entry.ChangeID != changeID {
			continue
		}
		c := Change{ChangeID: changeID, Author: entry.Author}
		for _, o := range entry.Objects {
			edit := Edit{Object: o.Object, BaseVersion: other.ObjectVersion(o.Object), Value: s.valueAfter(i, o.Object)}
			if writer := other.changeAt(edit.BaseVersion); writer != "" {
				if first, ok := s.LookupChange(writer); !ok || first.Outcome != OutcomeApplied {
					edit.BaseVersion = 0
				}
			}
			c.Edits = append(c.Edits, edit)
		}
		return c, true
	}
	return Change{}, false
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
			if id := state.changeAt(r.Offset); r.Offset <= covers.Offset && id != "" {
				if c, _ := DecodeChange("", r.Data); c.ChangeID != id {
					return nil, nil
				}
			}
		}
	}
	record.CoversOffset = VersionAt(eventlog.Position{Era: era, Offset: covers.Offset})
	return compactJSON(record)
}

func restoredError(before, now int64) error {
	return fmt.Errorf("%w: era %d, was %d", eventlog.ErrRestored, now, before)
}
