package logservice

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// followPoll is the time between looks for a record that a reader waits for.
const followPoll = 10 * time.Millisecond

var _ eventlog.Tables = (*Service)(nil)

// encodeRecord returns a record of a table as its stream keeps it.
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
	t := s.tables[table]
	if t == nil {
		t = map[string][]byte{}
		s.tables[table] = t
	}
	if len(value) == 0 {
		delete(t, key)
	} else {
		t[key] = slices.Clone(value)
	}
	return offset, nil
}

// Newest implements eventlog.Tables.
func (s *Service) Newest(ctx context.Context, table string) ([]eventlog.TableEntry, int64, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []eventlog.TableEntry
	for key, value := range s.tables[table] {
		out = append(out, eventlog.TableEntry{Key: key, Value: slices.Clone(value)})
	}
	slices.SortFunc(out, func(a, b eventlog.TableEntry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.stream(tablePrefix+table).next() - 1, nil
}

// Follow implements eventlog.Tables.
func (s *Service) Follow(ctx context.Context, table string, from int64, wait time.Duration) ([]eventlog.TableEntry, int64, error) {
	page, err := s.read(ctx, tablePrefix+table, from+1, wait)
	if err != nil {
		return nil, from, err
	}
	var out []eventlog.TableEntry
	for _, r := range page.Records {
		out = append(out, decodeRecord(r.Data))
	}
	return out, from + int64(len(page.Records)), nil
}

// read is Read with a wait for the first record.
func (s *Service) read(ctx context.Context, topic string, from int64, wait time.Duration) (eventlog.Page, error) {
	until := time.Now().Add(wait)
	page, err := s.Read(ctx, topic, from, eventlog.MaxPageRecords)
	for err == nil && len(page.Records) == 0 && time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return page, fmt.Errorf("%w: %w", eventlog.ErrUnavailable, ctx.Err())
		case <-time.After(followPoll):
		}
		s.mu.Lock()
		grown := s.streams[topic] != nil && s.streams[topic].next() > from
		s.mu.Unlock()
		if grown {
			page, err = s.Read(ctx, topic, from, eventlog.MaxPageRecords)
		}
	}
	return page, err
}
