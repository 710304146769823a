package logservice

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

var streamName = regexp.MustCompile(`^(keyed\.)?[a-z0-9][a-z0-9-]{0,63}$`)

// Options configure a Service.
type Options struct {
	// MaxRecords is the number of records kept per stream; older ones are
	// trimmed. 0 means no limit.
	MaxRecords int
	// MaxAge is the age beyond which records are trimmed. 0 means no limit.
	MaxAge time.Duration
	// MaxRecordBytes is the maximum size of a record. The platform's limit for records of
	// its operators is higher than the default, eventlog.MaxRecordBytes.
	MaxRecordBytes int
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Faults are the faults that the service injects. The zero value has none.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// DelayMS is the delay of every call in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAppends is the number of further appends that take effect but whose
	// response is lost; a negative number means all.
	LoseAppends int `json:"lose_appends"`
	// RefuseAppends is the number of further appends that fail without an
	// effect; a negative number means all.
	RefuseAppends int `json:"refuse_appends"`
	// DuplicateReads delivers each record of a page twice.
	DuplicateReads bool `json:"duplicate_reads"`
}

// Counts are the numbers of calls since the start, including those that failed.
type Counts struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
}

type storedRecord struct {
	appendedAt time.Time
	data       []byte
}

type stream struct {
	first   int64 // offset of records[0], or the next offset when empty
	records []storedRecord
}

// Service is the stand-in for the metadata store. It is safe for concurrent use.
type Service struct {
	options Options

	mu         sync.Mutex
	faults     Faults
	counts     Counts
	image            // tables hold the newest value by table and key
	checkpoint image // for Restore
	era        int64
}

var _ eventlog.Log = (*Service)(nil)

// New returns an empty service without faults.
func New(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MaxRecordBytes <= 0 {
		o.MaxRecordBytes = eventlog.MaxRecordBytes
	}
	return &Service{options: o, image: copyOf(image{})}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that are switched on.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Append implements eventlog.Log.
func (s *Service) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Appends++ }); err != nil {
		return 0, err
	}
	if err := s.checkAppend(name, data); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if consumeFault(&s.faults.RefuseAppends) {
		return 0, fmt.Errorf("%w: append refused", eventlog.ErrUnavailable)
	}
	st := s.stream(name)
	st.records = append(st.records, storedRecord{appendedAt: s.options.Now(), data: append([]byte(nil), data...)})
	offset := st.next() - 1
	s.applyRetention(st)
	if consumeFault(&s.faults.LoseAppends) {
		return 0, fmt.Errorf("%w: response lost", eventlog.ErrUnavailable)
	}
	return offset, nil
}

// Read implements eventlog.Log.
func (s *Service) Read(ctx context.Context, name string, from int64, limit int) (eventlog.Page, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return eventlog.Page{}, err
	}
	if !streamName.MatchString(name) || from < 1 || limit < 1 {
		return eventlog.Page{}, fmt.Errorf("%w: stream %q from %d limit %d", eventlog.ErrInvalid, name, from, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
	}
	s.applyRetention(st)
	page := eventlog.Page{First: st.first, Next: st.next(), Era: s.era}
	if from > page.Next {
		return page, fmt.Errorf("%w: stream %s from %d, next is %d", eventlog.ErrRestored, name, from, page.Next)
	}
	if from < st.first {
		return page, fmt.Errorf("%w: stream %s from %d, first kept %d", eventlog.ErrTrimmed, name, from, st.first)
	}
	size := 0
	for offset := from; offset < page.Next && offset-from < int64(min(limit, eventlog.MaxPageRecords)) && size < eventlog.MaxPageBytes; offset++ {
		size += len(st.records[offset-st.first].data)
		record := eventlog.Record{Offset: offset, Data: append([]byte(nil), st.records[offset-st.first].data...)}
		page.Records = append(page.Records, record)
		if s.faults.DuplicateReads {
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

// Trim drops the records of a stream below offset before.
func (s *Service) Trim(name string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.streams[name]; ok {
		st.trim(before)
	}
}

// begin counts a call and applies the faults DelayMS and Outage to it.
func (s *Service) begin(ctx context.Context, count func(*Counts)) error {
	s.mu.Lock()
	count(&s.counts)
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", eventlog.ErrUnavailable, ctx.Err())
		}
	}
	if s.Faults().Outage {
		return fmt.Errorf("%w: outage", eventlog.ErrUnavailable)
	}
	return nil
}

func (s *Service) checkAppend(name string, data []byte) error {
	if !streamName.MatchString(name) {
		return fmt.Errorf("%w: stream name %q", eventlog.ErrInvalid, name)
	}
	if len(data) > s.options.MaxRecordBytes {
		return fmt.Errorf("%w: record of %d bytes, at most %d", eventlog.ErrInvalid, len(data), s.options.MaxRecordBytes)
	}
	return nil
}

// stream returns the stream of a name and creates it if needed. The caller holds
// s.mu.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
		s.streams[name] = st
	}
	return st
}

// applyRetention trims the records that exceed MaxRecords or MaxAge. The caller
// holds s.mu.
func (s *Service) applyRetention(st *stream) {
	trimBefore := st.first
	if s.options.MaxRecords > 0 {
		trimBefore = max(trimBefore, st.next()-int64(s.options.MaxRecords))
	}
	if s.options.MaxAge > 0 {
		minTime := s.options.Now().Add(-s.options.MaxAge)
		for trimBefore < st.next() && st.records[trimBefore-st.first].appendedAt.Before(minTime) {
			trimBefore++
		}
	}
	st.trim(trimBefore)
}

// next returns the offset of the next record.
func (st *stream) next() int64 { return st.first + int64(len(st.records)) }

func (st *stream) trim(before int64) {
	before = min(before, st.next())
	if before > st.first {
		st.records = append([]storedRecord(nil), st.records[before-st.first:]...)
		st.first = before
	}
}

// consumeFault reports whether a fault with n remaining occurrences applies now,
// and decrements n. A negative n always applies.
func consumeFault(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
