package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxSnapshotBytes bounds an encoded snapshot. The log accepts only those of at most
// eventlog.MaxRecordBytes.
const MaxSnapshotBytes = 4 << 20

// ErrNotNewer reports that a snapshot covers no more records than the state.
var ErrNotNewer = errors.New("snapshot is not newer")

// snapshotRecord is one record of the stream config-snapshots.
type snapshotRecord struct {
	CoversOffset int64           `json:"covers_offset"` // a version, which names the era; offsets of the state are of that era
	Sum          string          `json:"sum"`           // xxhash64 of state, hexadecimal
	State        json.RawMessage `json:"state"`
}

type snapshotState struct {
	Version       int64             `json:"version"`
	Objects       []snapshotObject  `json:"objects"` // ordered by path
	Deleted       []snapshotDeleted `json:"deleted,omitempty"`
	RecentChanges []recentChange    `json:"seen,omitempty"`
	History       []HistoryEntry    `json:"history,omitempty"`
	HistoryFloor  int64             `json:"history_floor,omitempty"`
}

type snapshotObject struct {
	Object  string `json:"object"`
	Version int64  `json:"version"`
	Value   string `json:"value"`
}

type snapshotDeleted struct {
	Object  string `json:"object"`
	Version int64  `json:"version"`
}

// Snapshot encodes the whole state. States of the same records give the same
// bytes.
func (s *State) Snapshot() ([]byte, error) {
	state := snapshotState{Version: s.version, RecentChanges: s.recentChanges, History: s.history, HistoryFloor: s.historyFloor}
	for _, path := range slices.Sorted(maps.Keys(s.objects)) {
		o := s.objects[path]
		state.Objects = append(state.Objects, snapshotObject{Object: path, Version: o.version, Value: o.value})
	}
	for _, path := range slices.Sorted(maps.Keys(s.deleted)) {
		state.Deleted = append(state.Deleted, snapshotDeleted{Object: path, Version: s.deleted[path]})
	}
	text, err := compactJSON(state)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	data, err := compactJSON(snapshotRecord{CoversOffset: s.Offset(), Sum: checksum(text), State: text})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if len(data) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of %d bytes, at most %d", len(data), MaxSnapshotBytes)
	}
	return data, nil
}

func checksum(state []byte) string { return strconv.FormatUint(xxhash.Sum64(state), 16) }

// SnapshotCovers returns the version up to which a snapshot covers the log, without
// decoding its state.
func SnapshotCovers(data []byte) (int64, error) {
	record, err := decodeSnapshot(data)
	return record.CoversOffset, err
}

// Restore replaces the state by a snapshot that covers more records, or returns
// ErrNotNewer. After any error the state is unchanged.
func (s *State) Restore(data []byte) error {
	record, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	if record.CoversOffset <= s.Offset() && !s.acceptOlder {
		return fmt.Errorf("%w: it covers offset %d, the state is at %d", ErrNotNewer, record.CoversOffset, s.Offset())
	}
	if era := PositionOf(record.CoversOffset).Era; s.offset > 0 && era != s.era && !s.acceptOlder {
		return restoredError(s.era, era)
	}
	restored, err := stateFromSnapshot(record)
	if err != nil {
		return err
	}
	if restored.version < s.version && !s.acceptOlder {
		return fmt.Errorf("snapshot has version %d, the state has %d: it is from another log", restored.version, s.version)
	}
	before := s.Version()
	restored.reporter, restored.acceptOlder = s.reporter, s.acceptOlder
	*s = *restored
	s.checkForward(before)
	return nil
}

func decodeSnapshot(data []byte) (snapshotRecord, error) {
	var record snapshotRecord
	if len(data) > MaxSnapshotBytes {
		return record, fmt.Errorf("snapshot of %d bytes, at most %d", len(data), MaxSnapshotBytes)
	}
	if err := strictJSON(data, &record); err != nil {
		return record, fmt.Errorf("snapshot: %w", err)
	}
	if record.CoversOffset < 0 {
		return record, fmt.Errorf("snapshot: covers offset %d", record.CoversOffset)
	}
	if sum := checksum(record.State); sum != record.Sum {
		return record, fmt.Errorf("snapshot: state has checksum %s, the record contains %q", sum, record.Sum)
	}
	return record, nil
}

// stateFromSnapshot decodes and validates the state of a snapshot.
func stateFromSnapshot(record snapshotRecord) (*State, error) {
	var state snapshotState
	if err := strictJSON(record.State, &state); err != nil {
		return nil, fmt.Errorf("snapshot state: %w", err)
	}
	s := NewState()
	covers := PositionOf(record.CoversOffset)
	s.era, s.offset, s.version = covers.Era, covers.Offset, state.Version
	s.recentChanges, s.history, s.historyFloor = state.RecentChanges, state.History, state.HistoryFloor
	if s.version < 0 || s.version > s.offset {
		return nil, fmt.Errorf("snapshot: version %d is outside the covered offsets 0 to %d", s.version, s.offset)
	}
	staged := map[string]*object{}
	for _, o := range state.Objects {
		if !validObjectPath(o.Object) || o.Value == "" || o.Version < 1 || o.Version > s.version || staged[o.Object] != nil {
			return nil, fmt.Errorf("snapshot: object %q at version %d is invalid", o.Object, o.Version)
		}
		parsed, findings := parseObject("snapshot "+o.Object, o.Object, o.Value, o.Version)
		if err := findings.Err(); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		staged[o.Object] = parsed
	}
	var problems []string
	add := func(key, format string, args ...any) {
		problems = append(problems, key+": "+fmt.Sprintf(format, args...))
	}
	s.checkSize(staged, add)
	s.checkReferences(staged, add)
	s.checkAmbiguousRoutes(staged, add)
	if len(problems) > 0 {
		return nil, fmt.Errorf("snapshot: %s", problems[0])
	}
	for path, o := range staged {
		s.put(path, o)
	}
	for _, d := range state.Deleted {
		s.deleted[d.Object] = d.Version
	}
	return s, nil
}

// compactJSON encodes v without escaping <, > and &; escaped, a snapshot could be
// six times as large as its state.
func compactJSON(v any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// strictJSON decodes one JSON value and rejects unknown fields and trailing data.
func strictJSON(data []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the value")
	}
	return nil
}
