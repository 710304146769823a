package eventlog

import (
	"context"
	"time"
)

// TableNodes holds the control address of each node under its name.
const TableNodes = "hyssopsill-nodes"

// TableEntry is the newest record of one key of a table.
type TableEntry struct {
	Key   string
	Value []byte // empty when the key was dropped
}

// Store is the log service with both of its parts.
type Store interface {
	Log
	Tables
}

// Tables is the part of the log service that keeps the newest record of each
// key for ever, whatever the retention of streams.
type Tables interface {
	// Put replaces the record of a key; an empty value drops the key. After
	// ErrUnavailable the record may still be replaced.
	Put(ctx context.Context, table, key string, value []byte) error
	// Newest returns the entries of all keys and the position to follow from.
	Newest(ctx context.Context, table string) ([]TableEntry, int64, error)
	// Follow waits up to wait for records from a position on and returns them,
	// oldest first, with the next position. It returns ErrTrimmed when records
	// from the position on are no longer kept.
	Follow(ctx context.Context, table string, from int64, wait time.Duration) ([]TableEntry, int64, error)
}
