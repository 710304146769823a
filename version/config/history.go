package config

import (
	"fmt"
)

const (
	maxHistory      = 64       // winning changes
	maxHistoryBytes = 64 << 10 // values before the changes
)

// HistoryEntry is one change that won.
type HistoryEntry struct {
	Offset   int64           `json:"offset"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Objects  []HistoryObject `json:"objects"`
}

// HistoryObject is one object that a change replaced.
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

func (f *State) addHistory(e HistoryEntry) {
	f.history = append(f.history, e)
	size := 0
	for _, entry := range f.history {
		size += entry.size()
	}
	for len(f.history) > 0 && (len(f.history) > maxHistory || size > maxHistoryBytes) {
		size -= f.history[0].size()
		f.historyFloor = f.history[0].Offset
		f.history = f.history[1:]
	}
}

// History returns the last changes that won, oldest first. Their number and
// the bytes of their values are bounded.
func (f *State) History() []HistoryEntry { return append([]HistoryEntry(nil), f.history...) }

// Rollback returns a new change that brings back the objects as they were at a
// version. It fails when the history does not reach back that far.
func (f *State) Rollback(version int64, changeID, author string) (Change, error) {
	if version < f.historyFloor {
		return Change{}, fmt.Errorf("rollback to version %d: history reaches back to version %d", version, f.historyFloor)
	}
	if version >= f.version {
		return Change{}, fmt.Errorf("rollback to version %d: version in force is %d", version, f.version)
	}
	before := map[string]string{}
	var order []string
	for i := len(f.history) - 1; i >= 0 && f.history[i].Offset > version; i-- {
		for _, o := range f.history[i].Objects {
			if _, ok := before[o.Object]; !ok {
				order = append(order, o.Object)
			}
			before[o.Object] = o.Before
		}
	}
	c := Change{ChangeID: changeID, Author: author}
	for _, path := range order {
		if before[path] != f.Value(path) {
			c.Edits = append(c.Edits, Edit{Object: path, BaseVersion: f.ObjectVersion(path), Value: before[path]})
		}
	}
	if len(c.Edits) == 0 {
		return Change{}, fmt.Errorf("rollback to version %d: nothing differs", version)
	}
	return c, nil
}

// ChangeTo returns a change that turns the configuration in force into want.
// Objects that already have the wanted content are left alone.
func (f *State) ChangeTo(want *Config, changeID, author string) (Change, error) {
	differences, err := Diff(f.Config(), want)
	if err != nil {
		return Change{}, err
	}
	c := Change{ChangeID: changeID, Author: author}
	for _, d := range differences {
		c.Edits = append(c.Edits, Edit{Object: d.Object, BaseVersion: f.ObjectVersion(d.Object), Value: d.To})
	}
	return c, nil
}
