package config

import (
	"context"
	"errors"
	"fmt"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

const (
	recordsPerRead   = 500
	snapshotsPerRead = 4 // those written at the same time cover about the same records
	maxSnapshotReads = 8
)

// ReadSnapshot returns the snapshot that covers the most records among the newest
// valid ones of the log, nil when there is none. A snapshot of an earlier era is
// returned as one of the log's era if the log still has the records it covers.
func ReadSnapshot(ctx context.Context, log eventlog.Log) ([]byte, error) {
	page, err := log.Read(ctx, eventlog.StreamSnapshots, 1, 1)
	if err != nil && !errors.Is(err, eventlog.ErrTrimmed) {
		return nil, err
	}
	first, end, era := page.First, page.Next, page.Era
	for range maxSnapshotReads {
		if end <= first {
			break
		}
		from := max(first, end-snapshotsPerRead)
		page, err := log.Read(ctx, eventlog.StreamSnapshots, from, snapshotsPerRead)
		if errors.Is(err, eventlog.ErrTrimmed) {
			first = max(page.First, from+1)
			continue
		}
		if err != nil {
			return nil, err
		}
		if page.Era != era {
			return nil, restoredError(era, page.Era)
		}
		best, err := bestSnapshot(ctx, log, page.Records, era)
		if best != nil || err != nil {
			return best, err
		}
		end = from
	}
	return nil, nil
}

func bestSnapshot(ctx context.Context, log eventlog.Log, records []eventlog.Record, era int64) ([]byte, error) {
	var best []byte
	var maxCovered int64 = -1
	for _, r := range records {
		data, err := inEra(ctx, log, r.Data, era)
		if err != nil {
			return nil, err
		}
		if covers, err := SnapshotCovers(data); data != nil && err == nil && covers > maxCovered {
			best, maxCovered = data, covers
		}
	}
	return best, nil
}

// Advance applies the records of the log after the state's offset, up to the end
// of the log at the last read. When they are trimmed it restores a snapshot
// first. It calls observe, which may be nil, with each result. When the log is in
// another era than the state, it returns eventlog.ErrRestored.
func (s *State) Advance(ctx context.Context, log eventlog.Log, observe func(Result)) error {
	for {
		page, err := log.Read(ctx, eventlog.StreamConfig, s.offset+1, recordsPerRead)
		if responded := err == nil || errors.Is(err, eventlog.ErrTrimmed); responded && s.offset > 0 && page.Era != s.era {
			return restoredError(s.era, page.Era)
		}
		if errors.Is(err, eventlog.ErrTrimmed) {
			if err := s.restoreFromLog(ctx, log); err != nil {
				return fmt.Errorf("records after offset %d are trimmed: %w", s.offset, err)
			}
			continue
		}
		if err != nil {
			return err
		}
		s.era = page.Era
		for _, r := range RecordsOf(page) {
			result := s.Apply(r)
			if observe != nil && result.Outcome != OutcomeOld {
				observe(result)
			}
		}
		if s.offset+1 >= page.Next {
			return nil
		}
		if len(page.Records) == 0 {
			return fmt.Errorf("%w: empty page from offset %d, next is %d", eventlog.ErrUnavailable, s.offset+1, page.Next)
		}
	}
}

func (s *State) restoreFromLog(ctx context.Context, log eventlog.Log) error {
	data, err := ReadSnapshot(ctx, log)
	if err != nil {
		return err
	}
	if data == nil {
		return errors.New("no snapshot in the log")
	}
	return s.Restore(data)
}

// Load returns the state that results from the newest snapshot and the records
// after it.
func Load(ctx context.Context, log eventlog.Log) (*State, error) {
	s := NewState()
	data, err := ReadSnapshot(ctx, log)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if data != nil {
		if err := s.Restore(data); err != nil && !errors.Is(err, ErrNotNewer) {
			return nil, fmt.Errorf("config: %w", err)
		}
	}
	if err := s.Advance(ctx, log, nil); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return s, nil
}
