package config

import (
	"fmt"
)

const (
	maxHistory      = 64       // applied changes
	maxHistoryBytes = 64 << 10 // paths of the changed objects and their values before
)

// HistoryEntry is one change that was applied.
type HistoryEntry struct {
	Offset   int64           `json:"offset"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Objects  []HistoryObject `json:"objects"`
}

// HistoryObject is one object that a change created, replaced or deleted.
type HistoryObject struct {
	Object string `json:"object"`
	Before string `json:"before,omitempty"` // TOML; empty when it did not exist
}

func (e HistoryEntry) size() int {
	n := 0
	for _, o := range e.Objects {
		n += len(o.Object) + len(o.Before)
	}
	return n
}

// addHistory appends an entry and drops the oldest ones beyond the limits.
func (s *State) addHistory(e HistoryEntry) {
	s.history = append(s.history, e)
	size := 0
	for _, entry := range s.history {
		size += entry.size()
	}
	for len(s.history) > 0 && (len(s.history) > maxHistory || size > maxHistoryBytes) {
		size -= s.history[0].size()
		s.historyFloor = s.history[0].Offset
		s.history = s.history[1:]
	}
}

// History returns the last applied changes, oldest first. Their number and the
// bytes of their values are bounded. Their offsets are versions.
func (s *State) History() []HistoryEntry {
	out := append([]HistoryEntry(nil), s.history...)
	for i := range out {
		out[i].Offset = s.versionAt(out[i].Offset)
	}
	return out
}

// Rollback returns a change that restores the objects as they were at a version.
// It fails when the history does not reach back that far.
func (s *State) Rollback(version int64, changeID, author string) (Change, error) {
	at := PositionOf(version)
	if version != 0 && at.Era < s.era {
		return Change{}, fmt.Errorf("rollback to version %d: it is of era %d of the log, which is in era %d; see the history for its versions", version, at.Era, s.era)
	}
	if at.Offset < s.historyFloor {
		return Change{}, fmt.Errorf("rollback to version %d: history reaches back to version %d", version, s.versionAt(s.historyFloor))
	}
	if version >= s.Version() {
		return Change{}, fmt.Errorf("rollback to version %d: version in force is %d", version, s.Version())
	}
	before := map[string]string{}
	var paths []string
	for i := len(s.history) - 1; i >= 0 && s.history[i].Offset > at.Offset; i-- {
		for _, o := range s.history[i].Objects {
			if _, ok := before[o.Object]; !ok {
				paths = append(paths, o.Object)
			}
			before[o.Object] = o.Before
		}
	}
	c := Change{ChangeID: changeID, Author: author}
	for _, path := range paths {
		if before[path] != s.Value(path) {
			c.Edits = append(c.Edits, Edit{Object: path, BaseVersion: s.ObjectVersion(path), Value: before[path]})
		}
	}
	if len(c.Edits) == 0 {
		return Change{}, fmt.Errorf("rollback to version %d: nothing differs", version)
	}
	return c, nil
}

// ChangeTo returns a change that turns the configuration in force into want. It
// edits only the objects that differ.
func (s *State) ChangeTo(want *Config, changeID, author string) (Change, error) {
	differences, err := Diff(s.Config(), want)
	if err != nil {
		return Change{}, err
	}
	c := Change{ChangeID: changeID, Author: author}
	for _, d := range differences {
		c.Edits = append(c.Edits, Edit{Object: d.Object, BaseVersion: s.ObjectVersion(d.Object), Value: d.To})
	}
	return c, nil
}
