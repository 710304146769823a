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

// MaxSnapshotBytes bounds an encoded snapshot. It fits into one log record.
const MaxSnapshotBytes = 4 << 20

// ErrNotNewer: a snapshot covers no more than the fold already holds.
var ErrNotNewer = errors.New("snapshot is not newer")

// snapshotRecord is one record of the stream config-snapshots.
type snapshotRecord struct {
	CoversOffset int64           `json:"covers_offset"`
	Sum          string          `json:"sum"` // xxhash64 of state, hexadecimal
	State        json.RawMessage `json:"state"`
}

type snapshotState struct {
	Version      int64             `json:"version"`
	Objects      []snapshotObject  `json:"objects"` // by path
	Deleted      []snapshotDeleted `json:"deleted,omitempty"`
	Seen         []seenChange      `json:"seen,omitempty"`
	History      []HistoryEntry    `json:"history,omitempty"`
	HistoryFloor int64             `json:"history_floor,omitempty"`
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

// Snapshot encodes the whole fold. Folds of the same records give the same
// bytes.
func (f *State) Snapshot() ([]byte, error) {
	state := snapshotState{Version: f.version, Seen: f.seen, History: f.history, HistoryFloor: f.historyFloor}
	for _, path := range slices.Sorted(maps.Keys(f.objects)) {
		o := f.objects[path]
		state.Objects = append(state.Objects, snapshotObject{Object: path, Version: o.version, Value: o.value})
	}
	for _, path := range slices.Sorted(maps.Keys(f.deleted)) {
		state.Deleted = append(state.Deleted, snapshotDeleted{Object: path, Version: f.deleted[path]})
	}
	text, err := compactJSON(state)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	data, err := compactJSON(snapshotRecord{CoversOffset: f.offset, Sum: sumOf(text), State: text})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if len(data) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of %d bytes, at most %d", len(data), MaxSnapshotBytes)
	}
	return data, nil
}

func sumOf(state []byte) string { return strconv.FormatUint(xxhash.Sum64(state), 16) }

// SnapshotCovers returns the offset that a snapshot covers, without decoding
// its state.
func SnapshotCovers(data []byte) (int64, error) {
	record, err := decodeSnapshot(data)
	return record.CoversOffset, err
}

// Restore replaces the fold by a snapshot that covers more. The fold is
// unchanged after an error; ErrNotNewer is one.
func (f *State) Restore(data []byte) error {
	record, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	if record.CoversOffset <= f.offset && !f.acceptOlder {
		return fmt.Errorf("%w: it covers offset %d, the fold holds %d", ErrNotNewer, record.CoversOffset, f.offset)
	}
	restored, err := restore(record)
	if err != nil {
		return err
	}
	if restored.version < f.version && !f.acceptOlder {
		return fmt.Errorf("snapshot has version %d, the fold %d: it is not of the same log", restored.version, f.version)
	}
	version := restored.version
	restored.reporter, restored.acceptOlder, restored.version = f.reporter, f.acceptOlder, f.version
	*f = *restored
	f.setVersion(version)
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
	if sum := sumOf(record.State); sum != record.Sum {
		return record, fmt.Errorf("snapshot: state has sum %s, the record says %q", sum, record.Sum)
	}
	return record, nil
}

func restore(record snapshotRecord) (*State, error) {
	var state snapshotState
	if err := strictJSON(record.State, &state); err != nil {
		return nil, fmt.Errorf("snapshot state: %w", err)
	}
	f := NewState()
	f.offset, f.version = record.CoversOffset, state.Version
	f.seen, f.history, f.historyFloor = state.Seen, state.History, state.HistoryFloor
	if f.version < 0 || f.version > f.offset {
		return nil, fmt.Errorf("snapshot: version %d of offset %d", f.version, f.offset)
	}
	staged := map[string]*object{}
	for _, o := range state.Objects {
		if !validObject(o.Object) || o.Value == "" || o.Version < 1 || o.Version > f.version || staged[o.Object] != nil {
			return nil, fmt.Errorf("snapshot: object %q version %d", o.Object, o.Version)
		}
		parsed, findings := parseObject("snapshot "+o.Object, o.Object, o.Value, o.Version)
		if err := findings.Err(); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		staged[o.Object] = parsed
	}
	var faults []string
	add := func(key, format string, args ...any) { faults = append(faults, key+": "+fmt.Sprintf(format, args...)) }
	f.checkSize(staged, add)
	f.checkReferences(staged, add)
	f.checkRules(staged, add)
	if len(faults) > 0 {
		return nil, fmt.Errorf("snapshot: %s", faults[0])
	}
	for path, o := range staged {
		f.put(path, o)
	}
	for _, d := range state.Deleted {
		f.deleted[d.Object] = d.Version
	}
	return f, nil
}

// compactJSON leaves <, > and & as they are; escaping them would let a snapshot
// grow to six times the bytes of its state.
func compactJSON(v any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

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
