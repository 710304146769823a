package eventlog

import (
	"context"
	"errors"
)

// Streams of the fleet on the platform's log service.
const (
	StreamConfig    = "config"
	StreamSnapshots = "config-snapshots"
	StreamOrders    = "orders"
	StreamDecisions = "decisions"
)

const (
	// MaxRecordBytes is the maximum size of the data of one record (recordBytes of
	// the service).
	MaxRecordBytes = 256 << 10
	// MaxPageRecords is the maximum number of records in one page.
	MaxPageRecords = 1000
	// MaxPageBytes is the total size of data after which a page ends. A page holds
	// at least one record.
	MaxPageBytes = 1 << 20
)

// Record is one record of a stream and its offset.
type Record struct {
	Offset int64  `json:"offset"` // 1 for the first record of a stream
	Data   []byte `json:"data"`
}

// Page is the result of Log.Read.
type Page struct {
	Records []Record `json:"records"`
	First   int64    `json:"first"` // lowest offset that is still kept
	Next    int64    `json:"next"`  // offset that the next append will get
	Era     int64    `json:"era"`   // see Position
}

// Position is a place in a stream or table. The log service may come back from an
// older copy: records that it had acknowledged are gone, and their offsets are given
// out again. Each time its era rises, and offsets of different eras must not be
// compared.
type Position struct {
	Era    int64
	Offset int64
}

// Errors of a Log or of Tables, which come from the log service or from the
// connection to it.
var (
	// ErrUnavailable reports that a call got no usable response. An append may
	// nevertheless have taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrTrimmed reports that the records at the requested offset are no longer kept.
	ErrTrimmed = errors.New("log records trimmed")
	// ErrRestored reports that the log service came back from an older copy and that
	// the requested offset is of an earlier era or beyond the end of the stream.
	// Records may be missing at any offset; the stream must be read anew.
	ErrRestored = errors.New("log service restored from an older copy")
	// ErrInvalid reports that the log service rejected the request as invalid. The
	// request had no effect.
	ErrInvalid = errors.New("log request invalid")
)

// Log is the append-only log service.
type Log interface {
	// Append adds a record and returns its offset. After ErrUnavailable the record
	// may nevertheless have been added; a retry may then add it a second time.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records, starting at offset from. When from is no
	// longer kept, it returns ErrTrimmed and a page in which First, Next and Era are
	// set; when from lies beyond the end, ErrRestored and a page in which Era is set.
	// The caller compares Era with that of the records it read before.
	Read(ctx context.Context, stream string, from int64, limit int) (Page, error)
}
