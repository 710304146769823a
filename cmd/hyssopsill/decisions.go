package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/record"
)

const (
	decisionsPerPage = 500
	// clockSlack allows for clock differences between nodes and for appends in
	// progress.
	clockSlack = time.Minute
	// maxDecisionBatches limits the memory that one command uses.
	maxDecisionBatches = 200_000
)

// decisionReader collects the records of the log stream `decisions`.
type decisionReader struct {
	log       eventlog.Log
	collector *record.Collector
	missing   []string // what could not be read, as sentences
	batches   int
}

// readDecisions reads the batches that were sent between from and to+late. A
// batch is sent soon after its records are made or, after a log outage, later.
func readDecisions(ctx context.Context, log eventlog.Log, from, to time.Time, late time.Duration) (*decisionReader, error) {
	d := &decisionReader{log: log, collector: record.NewCollector()}
	first, next, err := d.bounds(ctx)
	if err != nil || first >= next {
		return d, err
	}
	start, err := d.search(ctx, first, next, from.Add(-clockSlack))
	if err != nil {
		return d, err
	}
	if start == first && first > 1 {
		d.missing = append(d.missing, fmt.Sprintf("the log no longer keeps batches before offset %d", first))
	}
	return d, d.read(ctx, start, next, to.Add(late+clockSlack))
}

// bounds returns the lowest offset that the log keeps and the next one to be
// assigned.
func (d *decisionReader) bounds(ctx context.Context) (first, next int64, err error) {
	page, err := d.log.Read(ctx, eventlog.StreamDecisions, 1, 1)
	if err != nil && !errors.Is(err, eventlog.ErrTrimmed) {
		return 0, 0, err
	}
	return max(page.First, 1), page.Next, nil
}

// search returns the lowest offset whose batch was sent at or after the time at.
func (d *decisionReader) search(ctx context.Context, first, next int64, at time.Time) (int64, error) {
	for first < next {
		middle := first + (next-first)/2
		page, err := d.log.Read(ctx, eventlog.StreamDecisions, middle, 1)
		if err != nil && !errors.Is(err, eventlog.ErrTrimmed) {
			return 0, err
		}
		if err == nil && len(page.Records) > 0 {
			if b, err := record.DecodeBatch(page.Records[0].Data); err == nil && !b.SentAt.Before(at) {
				next = middle
				continue
			}
		}
		first = middle + 1 // trimmed, unreadable or earlier
	}
	return first, nil
}

// read collects the records of the batches from the offset from up to next that
// were sent no later than until.
func (d *decisionReader) read(ctx context.Context, from, next int64, until time.Time) error {
	for from < next {
		page, err := d.log.Read(ctx, eventlog.StreamDecisions, from, decisionsPerPage)
		if errors.Is(err, eventlog.ErrTrimmed) && page.First > from {
			d.missing = append(d.missing, fmt.Sprintf("the log dropped batches %d to %d while they were read", from, page.First-1))
			from = page.First
			continue
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		for _, r := range page.Records {
			from = r.Offset + 1
			b, err := record.DecodeBatch(r.Data)
			if err != nil {
				d.missing = append(d.missing, fmt.Sprintf("batch %d of the log is unreadable: %v", r.Offset, err))
				continue
			}
			if b.SentAt.After(until) {
				return nil
			}
			for _, rec := range b.Records {
				d.collector.Add(rec)
			}
			if d.batches++; d.batches >= maxDecisionBatches {
				d.missing = append(d.missing, fmt.Sprintf("only %d batches were read; choose a shorter time range", d.batches))
				return nil
			}
		}
	}
	return nil
}
