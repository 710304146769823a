package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/hyssopsill/hyssopsill/finding"
)

// Limits of a change and of the configuration that results from the changes.
const (
	MaxChangeBytes = 1 << 20   // JSON of one change
	MaxEdits       = 4096      // edits of one change
	MaxValueBytes  = 64 << 10  // TOML of one object
	MaxStateBytes  = 1<<20 - 1 // paths and TOML of all objects
	MaxObjects     = 8192
	maxIDBytes     = 128 // change id or author
)

// Change is one record of the stream config. Either all of its edits are applied
// or none.
type Change struct {
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Edits    []Edit `json:"edits"`
}

// Edit replaces one object.
type Edit struct {
	Object string `json:"object"`
	// BaseVersion is the version of the object that the author saw, 0 for an
	// object that never existed.
	BaseVersion int64  `json:"base_version"`
	Value       string `json:"value"` // TOML; empty deletes the object
}

// Encode writes the change as JSON.
func (c Change) Encode() ([]byte, error) {
	data, err := compactJSON(c)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	if len(data) > MaxChangeBytes {
		return nil, fmt.Errorf("change of %d bytes, at most %d", len(data), MaxChangeBytes)
	}
	return data, nil
}

// DecodeChange decodes a change and validates it except for the TOML of its edits,
// which State.Apply validates. File names the source in the findings.
func DecodeChange(file string, data []byte) (Change, finding.List) {
	if len(data) > MaxChangeBytes {
		return Change{}, finding.List{{File: file, Message: fmt.Sprintf("change of %d bytes, at most %d", len(data), MaxChangeBytes)}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var c Change
	if err := decoder.Decode(&c); err != nil {
		return Change{}, finding.List{finding.FromJSON(file, data, err)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Change{}, finding.List{{File: file, Line: finding.LineAt(data, decoder.InputOffset()), Message: "data after the change"}}
	}
	return c, c.check(file)
}

func (c Change) check(file string) finding.List {
	var list finding.List
	add := func(key, format string, args ...any) {
		list = append(list, finding.Finding{File: file, Line: 1, Key: key, Message: fmt.Sprintf(format, args...)})
	}
	if c.ChangeID == "" || len(c.ChangeID) > maxIDBytes {
		add("change_id", "want 1 to %d bytes", maxIDBytes)
	}
	if c.Author == "" || len(c.Author) > maxIDBytes {
		add("author", "want 1 to %d bytes", maxIDBytes)
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		add("edits", "%d edits, want 1 to %d", len(c.Edits), MaxEdits)
	}
	seen := map[string]bool{}
	for i, edit := range c.Edits {
		key := fmt.Sprintf("edits[%d]", i)
		if !validObjectPath(edit.Object) {
			add(key+".object", "%q: want customers, services/NAME, routes/ID or accounts/NAME", edit.Object)
		}
		if seen[edit.Object] {
			add(key+".object", "%q is edited twice", edit.Object)
		}
		seen[edit.Object] = true
		if edit.BaseVersion < 0 {
			add(key+".base_version", "is %d, want 0 or more", edit.BaseVersion)
		}
		if len(edit.Value) > MaxValueBytes {
			add(key+".value", "%d bytes, at most %d", len(edit.Value), MaxValueBytes)
		}
	}
	return list
}

func validObjectPath(path string) bool {
	if path == ObjectCustomers {
		return true
	}
	for prefix, pattern := range map[string]*regexp.Regexp{prefixServices: namePattern, prefixRoutes: namePattern, prefixAccounts: accountPattern} {
		if name, ok := strings.CutPrefix(path, prefix); ok {
			return pattern.MatchString(name)
		}
	}
	return false
}
