package eventlog

import (
	"context"
	"time"
)

// TableNodes is the table that holds the control address of each node, by the
// name of the node.
const TableNodes = "hyssopsill-nodes"

// TableEntry is the newest record of one key of a table.
type TableEntry struct {
	Key   string
	Value []byte // empty when the key was deleted
}

// Store is the log service with its streams and tables.
type Store interface {
	Log
	Tables
	// Era returns the highest era of any response so far, see Position. It makes no
	// call.
	Era() int64
}

// Tables is the part of the log service that keeps the newest record of each
// key. It keeps the record forever, regardless of the retention of streams.
type Tables interface {
	// Put replaces the record of a key. An empty value deletes the key. After
	// ErrUnavailable the record may nevertheless have been replaced.
	Put(ctx context.Context, table, key string, value []byte) error
	// Newest returns the entries of all keys and the position from which to call
	// Follow.
	Newest(ctx context.Context, table string) ([]TableEntry, Position, error)
	// Follow waits up to wait for records at or after the position from and returns
	// them, oldest first, with the next position. It returns ErrTrimmed when the
	// records at that position are no longer kept, and ErrRestored when the position
	// is of an earlier era.
	Follow(ctx context.Context, table string, from Position, wait time.Duration) ([]TableEntry, Position, error)
}
