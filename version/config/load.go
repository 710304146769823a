package config

import (
	"context"
	"errors"
	"fmt"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

const (
	pageRecords  = 500
	tailRecords  = 4 // newest snapshots looked at; concurrent ones cover about the same
	maxTailReads = 8
)

// ReadSnapshot returns the snapshot that covers the most among the newest
// readable ones of the log, nil when there is none.
func ReadSnapshot(ctx context.Context, log eventlog.Log) ([]byte, error) {
	page, err := log.Read(ctx, eventlog.StreamSnapshots, 1, 1)
	if err != nil && !errors.Is(err, eventlog.ErrTrimmed) {
		return nil, err
	}
	first, end := page.First, page.Next
	for range maxTailReads {
		if end <= first {
			break
		}
		from := max(first, end-tailRecords)
		page, err := log.Read(ctx, eventlog.StreamSnapshots, from, tailRecords)
		if errors.Is(err, eventlog.ErrTrimmed) {
			first = max(page.First, from+1)
			continue
		}
		if err != nil {
			return nil, err
		}
		if best := bestSnapshot(page.Records); best != nil {
			return best, nil
		}
		end = from
	}
	return nil, nil
}

func bestSnapshot(records []eventlog.Record) []byte {
	var best []byte
	var most int64 = -1
	for _, r := range records {
		if covers, err := SnapshotCovers(r.Data); err == nil && covers > most {
			best, most = r.Data, covers
		}
	}
	return best
}

// Advance folds the records of the log after the fold's offset, up to the end
// of the log at the last read. When they are trimmed it restores a snapshot
// first. Each result is passed to observe, which may be nil.
func (f *State) Advance(ctx context.Context, log eventlog.Log, observe func(Result)) error {
	for {
		page, err := log.Read(ctx, eventlog.StreamConfig, f.offset+1, pageRecords)
		if errors.Is(err, eventlog.ErrTrimmed) {
			if err := f.restoreFromLog(ctx, log); err != nil {
				return fmt.Errorf("records after offset %d are trimmed: %w", f.offset, err)
			}
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			result := f.Apply(r)
			if observe != nil && result.Outcome != OutcomeOld {
				observe(result)
			}
		}
		if f.offset+1 >= page.Next {
			return nil
		}
		if len(page.Records) == 0 {
			return fmt.Errorf("%w: empty page from offset %d, next is %d", eventlog.ErrUnavailable, f.offset+1, page.Next)
		}
	}
}

func (f *State) restoreFromLog(ctx context.Context, log eventlog.Log) error {
	data, err := ReadSnapshot(ctx, log)
	if err != nil {
		return err
	}
	if data == nil {
		return errors.New("no snapshot in the log")
	}
	return f.Restore(data)
}

// Load returns the fold of the newest snapshot and the records after it.
func Load(ctx context.Context, log eventlog.Log) (*State, error) {
	f := NewState()
	data, err := ReadSnapshot(ctx, log)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if data != nil {
		if err := f.Restore(data); err != nil && !errors.Is(err, ErrNotNewer) {
			return nil, fmt.Errorf("config: %w", err)
		}
	}
	if err := f.Advance(ctx, log, nil); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return f, nil
}
