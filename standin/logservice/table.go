package logservice

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// followPollInterval is the time between checks for a new record while a reader
// waits.
const followPollInterval = 10 * time.Millisecond

var _ eventlog.Tables = (*Service)(nil)

// encodeRecord returns a table record as its stream stores it: the length of the
// key in one byte, the key and the value.
func encodeRecord(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

func decodeRecord(data []byte) eventlog.TableEntry {
	return eventlog.TableEntry{Key: string(data[1 : 1+data[0]]), Value: data[1+data[0]:]}
}

// Put implements eventlog.Tables.
func (s *Service) Put(ctx context.Context, table, key string, value []byte) error {
	_, err := s.put(ctx, table, key, value)
	return err
}

func (s *Service) put(ctx context.Context, table, key string, value []byte) (int64, error) {
	if key == "" || len(key) > 255 {
		return 0, fmt.Errorf("%w: key of %d bytes", eventlog.ErrInvalid, len(key))
	}
	offset, err := s.Append(ctx, tablePrefix+table, encodeRecord(key, value))
	if err != nil {
		return offset, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.tables[table]
	if values == nil {
		values = map[string][]byte{}
		s.tables[table] = values
	}
	if len(value) == 0 {
		delete(values, key)
	} else {
		values[key] = slices.Clone(value)
	}
	return offset, nil
}

// Newest implements eventlog.Tables.
func (s *Service) Newest(ctx context.Context, table string) ([]eventlog.TableEntry, eventlog.Position, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return nil, eventlog.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []eventlog.TableEntry
	for key, value := range s.tables[table] {
		entries = append(entries, eventlog.TableEntry{Key: key, Value: slices.Clone(value)})
	}
	slices.SortFunc(entries, func(a, b eventlog.TableEntry) int { return strings.Compare(a.Key, b.Key) })
	return entries, eventlog.Position{Era: s.era, Offset: s.stream(tablePrefix+table).next() - 1}, nil
}

// Follow implements eventlog.Tables.
func (s *Service) Follow(ctx context.Context, table string, from eventlog.Position, wait time.Duration) ([]eventlog.TableEntry, eventlog.Position, error) {
	page, err := s.readWait(ctx, tablePrefix+table, from.Offset+1, wait)
	if err == nil && page.Era != from.Era {
		err = fmt.Errorf("%w: table %s from era %d, now %d", eventlog.ErrRestored, table, from.Era, page.Era)
	}
	if err != nil {
		return nil, from, err
	}
	var entries []eventlog.TableEntry
	for _, record := range page.Records {
		entries = append(entries, decodeRecord(record.Data))
	}
	return entries, eventlog.Position{Era: page.Era, Offset: from.Offset + int64(len(page.Records))}, nil
}

// readWait reads like Read, but waits up to the given time for a first record.
func (s *Service) readWait(ctx context.Context, topic string, from int64, wait time.Duration) (eventlog.Page, error) {
	deadline := time.Now().Add(wait)
	page, err := s.Read(ctx, topic, from, eventlog.MaxPageRecords)
	for err == nil && len(page.Records) == 0 && time.Now().Before(deadline) && page.Era == s.Era() {
		select {
		case <-ctx.Done():
			return page, fmt.Errorf("%w: %w", eventlog.ErrUnavailable, ctx.Err())
		case <-time.After(followPollInterval):
		}
		s.mu.Lock()
		available := s.streams[topic] != nil && s.streams[topic].next() > from
		s.mu.Unlock()
		if available {
			page, err = s.Read(ctx, topic, from, eventlog.MaxPageRecords)
		}
	}
	return page, err
}
