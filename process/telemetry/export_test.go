package telemetry

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// The fixed seed makes runs repeatable; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func refusedRecord(i int) record.Record {
	return record.Record{At: testStart, Kind: record.KindRequest, Request: &record.Request{
		ID: attempt.RequestID(fmt.Sprint("r", i)), Outcome: attempt.NotRun, Reason: attempt.ReasonOverload}}
}

func ejectionRecord(i int) record.Record {
	return record.Record{At: testStart, Kind: record.KindEjection, Change: &record.Change{
		Subject: fmt.Sprint("t", i), To: "ejected", Why: "9 of 10 answers failed"}}
}

func plainSuccessRecord() record.Record {
	return record.Record{At: testStart, Kind: record.KindRequest, Request: &record.Request{
		ID: "ok", Outcome: attempt.Answered, Status: 200, Attempts: []record.Attempt{{Number: 1, Target: "t"}}}}
}

// faultyLog is a log whose appends succeed (mode 0), take effect without a response
// (mode 1), fail (mode 2) or are refused as invalid (mode 3).
type faultyLog struct {
	batches            [][]byte
	appliedUnconfirmed bool // the current batch took effect without a response
}

func (l *faultyLog) append(data []byte, mode int) error {
	switch mode {
	case 0: // confirmed
		l.batches = append(l.batches, data)
		return nil
	case 1: // took effect, response lost
		l.batches = append(l.batches, data)
		l.appliedUnconfirmed = true
	}
	return eventlog.ErrUnavailable
}

func (l *faultyLog) collect(t interface{ Fatal(...any) }) *record.Collector {
	collector := record.NewCollector()
	for _, data := range l.batches {
		batch, err := record.DecodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range batch.Records {
			collector.Add(r)
		}
	}
	return collector
}

// appendDueBatch appends the batch that is due and returns the size of its data.
func appendDueBatch(queue *ExportQueue, log *faultyLog, now time.Time, mode int) int {
	batch, ok := queue.Next(now)
	if !ok {
		return 0
	}
	data := batch.Encode()
	// A log does not refuse a batch as invalid that it accepted before.
	if mode == 3 && !log.appliedUnconfirmed {
		queue.Reject()
		return 0
	}
	err := log.append(data, mode)
	log.appliedUnconfirmed = log.appliedUnconfirmed && err != nil
	queue.Done(len(data), err)
	return len(data)
}

// countRecords returns the number of distinct records and the sum of gap counts.
func countRecords(collector *record.Collector) (records, missing int64) {
	for _, r := range collector.Records() {
		if r.Kind == record.KindGap {
			missing += r.Count
		} else {
			records++
		}
	}
	return records, missing
}

// runWithAppendFailures runs an export queue with random outages and lost responses,
// then confirms appends until the queue is empty.
func runWithAppendFailures(t *rapid.T, o ExportOptions) (*ExportQueue, *faultyLog) {
	queue, log := NewExportQueue(o), &faultyLog{}
	now := testStart
	step := func(mode int) {
		now = now.Add(o.Interval)
		appendDueBatch(queue, log, now, mode)
	}
	for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
		for j := range rapid.IntRange(0, 40).Draw(t, "adds") {
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				queue.Add(ejectionRecord(i*100 + j))
			} else {
				queue.Add(refusedRecord(i*100 + j))
			}
		}
		step(rapid.IntRange(0, 3).Draw(t, "mode"))
	}
	for _, waiting := queue.Due(); waiting; _, waiting = queue.Due() {
		step(0)
	}
	return queue, log
}

// Guards against records that are lost in a log outage without a gap record:
// delivered records plus gaps equal the numbered records, whatever was retried.
func TestExportDropsNothingSilently(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, log := runWithAppendFailures(t, ExportOptions{Node: "n", Interval: time.Second, BatchBytes: 300, BufferBytes: 6000})
		stats := queue.Stats()
		collector := log.collect(t)
		records, missing := countRecords(collector)
		if records+missing != stats.Numbered || records != stats.Delivered || missing != stats.Dropped {
			t.Fatalf("log has %d records and gaps of %d; stats of the queue: %+v", records, missing, stats)
		}
		for _, g := range collector.Gaps() {
			if !g.Recorded {
				t.Fatalf("missing records without a gap record: %+v", g)
			}
		}
	})
}

// Checks that only gap records account for dropped records: without gap records,
// dropped records are unaccounted for.
func TestExportWithoutGapRecordsLosesRecords(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		queue, log := NewExportQueue(ExportOptions{BufferBytes: 1000, noGapRecords: disabled}), &faultyLog{}
		for i := range 50 {
			queue.Add(refusedRecord(i))
		}
		appendDueBatch(queue, log, testStart, 0)
		records, missing := countRecords(log.collect(t))
		if lost := queue.Stats().Numbered - records - missing; (lost > 0) != disabled {
			t.Errorf("gap records disabled %v: %d records unaccounted for", disabled, lost)
		}
	}
}

// Guards against a buffer that grows without bound in an outage, and against request
// records that leave no space for state changes. Without the reserve the changes
// are dropped.
func TestExportBufferIsBoundedAndKeepsRoomForChanges(t *testing.T) {
	const limit = 20_000
	for _, disabled := range []bool{false, true} {
		queue := NewExportQueue(ExportOptions{BufferBytes: limit, noReserve: disabled})
		for i := range 5000 {
			queue.Add(refusedRecord(i))
		}
		dropped := queue.Stats().Dropped
		for i := range 10 {
			queue.Add(ejectionRecord(i))
		}
		stats := queue.Stats()
		if stats.Bytes > limit+gapRecordBytes {
			t.Errorf("reserve disabled %v: %d bytes, bound %d", disabled, stats.Bytes, limit)
		}
		if lost := stats.Dropped - dropped; (lost > 0) != disabled {
			t.Errorf("reserve disabled %v: %d state changes dropped", disabled, lost)
		}
	}
}

// Guards against more appends than the interval allows. Without the interval the
// budget of appends is exceeded.
func TestExportAppendBudget(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		queue := NewExportQueue(ExportOptions{noInterval: disabled})
		for ms := 0; ms < 100_000; ms += 100 {
			queue.Add(refusedRecord(ms))
			if _, ok := queue.Next(testStart.Add(time.Duration(ms) * time.Millisecond)); ok {
				var err error
				if ms%300 == 0 {
					err = eventlog.ErrUnavailable
				}
				queue.Done(100, err)
			}
		}
		if exceeded := queue.Stats().Appends > 25; exceeded != disabled {
			t.Errorf("interval disabled %v: %d appends in 100 s, budget 25", disabled, queue.Stats().Appends)
		}
	}
}

// Guards against losing refusals to sampling, or exporting every success.
func TestExportSamplesOnlyPlainSuccesses(t *testing.T) {
	queue := NewExportQueue(ExportOptions{SampleEvery: 10})
	for i := range 100 {
		queue.Add(plainSuccessRecord())
		queue.Add(refusedRecord(i))
	}
	if stats := queue.Stats(); stats.Numbered != 110 || stats.SampledOut != 90 {
		t.Fatalf("got %+v, want 100 refusals, 10 successes and 90 sampled out", stats)
	}
	retried := plainSuccessRecord()
	retried.Request.Attempts = make([]record.Attempt, 2)
	queue.Add(retried)
	if stats := queue.Stats(); stats.Numbered != 111 {
		t.Fatal("a retried request was sampled out")
	}
}

// Guards against a record that fits no batch and blocks the others forever.
func TestExportDropsRecordLargerThanBatch(t *testing.T) {
	queue, log := NewExportQueue(ExportOptions{BatchBytes: 1000}), &faultyLog{}
	oversized := refusedRecord(0)
	oversized.Request.Detail = strings.Repeat("x", 2000)
	queue.Add(oversized)
	queue.Add(refusedRecord(1))
	appendDueBatch(queue, log, testStart, 0)
	if records, missing := countRecords(log.collect(t)); records != 1 || missing != 1 {
		t.Fatalf("got %d records and gaps of %d, want 1 and 1", records, missing)
	}
}

// Guards against one batch that the log refuses as invalid and that blocks all later
// records. Without Reject it does.
func TestExportContinuesAfterInvalidBatch(t *testing.T) {
	for _, reject := range []bool{true, false} {
		queue, log := NewExportQueue(ExportOptions{noInterval: true}), &faultyLog{}
		queue.Add(refusedRecord(0))
		for range 4 {
			batch, ok := queue.Next(testStart)
			refused := ok && strings.Contains(string(batch.Records[0]), `"r0"`) // the log refuses any batch with this record
			data := batch.Encode()
			switch {
			case refused && reject:
				queue.Reject()
			case refused:
				queue.Done(len(data), eventlog.ErrInvalid)
			case ok:
				queue.Done(len(data), log.append(data, 0))
			}
			if queue.Stats().Numbered == 1 {
				queue.Add(refusedRecord(1))
			}
		}
		records, missing := countRecords(log.collect(t))
		if continued := records == 1 && missing == 1; continued != reject {
			t.Errorf("reject %v: %d records and gaps of %d in the log", reject, records, missing)
		}
	}
}

// memoryLog is an eventlog.Log in memory that can be made unavailable.
type memoryLog struct {
	down atomic.Bool
	faultyLog
}

func (l *memoryLog) Append(_ context.Context, stream string, data []byte) (int64, error) {
	if l.down.Load() || stream != eventlog.StreamDecisions {
		return 0, eventlog.ErrUnavailable
	}
	return int64(len(l.batches) + 1), l.append(data, 0)
}

func (l *memoryLog) Read(context.Context, string, int64, int) (eventlog.Page, error) {
	return eventlog.Page{}, eventlog.ErrUnavailable
}

// Guards against Serve losing records that were added during a log outage or just
// before it stops.
func TestExporterServeDeliversAfterOutageAndAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		log.down.Store(true)
		exporter := NewExporter(ExportOptions{Node: "n"}, record.NewRing(record.RingOptions{}), log, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- exporter.Serve(ctx) }()
		exporter.Record(refusedRecord(1))
		time.Sleep(time.Minute)
		synctest.Wait()
		log.down.Store(false)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if stats := exporter.Stats(); stats.Delivered != 1 {
			t.Fatalf("after the outage: %+v", stats)
		}
		exporter.Record(refusedRecord(2))
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		if stats := exporter.Stats(); stats.Delivered != 2 {
			t.Fatalf("after the stop: %+v", stats)
		}
	})
}

// Guards against batches far above their bound when records compress worse than
// those before, and against batches far below it.
func TestExportBatchSizeFollowsCompression(t *testing.T) {
	const bound = 12 << 10
	r := rand.New(rand.NewPCG(1, 2))
	queue, log := NewExportQueue(ExportOptions{BatchBytes: bound, BufferBytes: 64 << 20}), &faultyLog{}
	for i := range 20_000 {
		if i < 10_000 {
			queue.Add(refusedRecord(i))
		} else { // compresses worse
			queue.Add(retriedRecord(r, i))
		}
	}
	now, largest, full := testStart, 0, 0
	for _, waiting := queue.Due(); waiting; _, waiting = queue.Due() {
		now = now.Add(time.Minute)
		size := appendDueBatch(queue, log, now, 0)
		largest = max(largest, size)
		if size > bound/2 {
			full++
		}
	}
	t.Logf("%d batches, largest %d bytes, %d more than half full, %d records", len(log.batches), largest, full, queue.Stats().Delivered)
	if largest > 3*bound || full < len(log.batches)*3/4 {
		t.Errorf("largest batch %d bytes, bound %d; %d of %d more than half full", largest, bound, full, len(log.batches))
	}
}

// retriedRecord returns the record of a retried request with three candidates and
// random identities, since these determine how well a batch compresses.
func retriedRecord(r *rand.Rand, i int) record.Record {
	candidates := []record.Candidate{{Target: "orders-1", Weight: 1, Load: r.Float64()}, {Target: "orders-2", Weight: 1, Load: r.Float64(),
		Why: "its load was higher"}, {Target: "orders-3", Weight: 0.01, Suspicion: r.Float64(), Ejected: true, Why: "it is ejected"}}
	return record.Record{At: testStart.Add(time.Duration(i) * 7 * time.Millisecond), Kind: record.KindRequest, Request: &record.Request{
		ID: attempt.NewRequestID(r), ConfigVersion: 41, Route: "orders-view", Service: "orders", Class: "view",
		Customer: fmt.Sprintf("%016x", r.Uint64()), DeadlineMS: 2000, Outcome: attempt.Answered, Status: 200, DurationMS: r.Float64() * 100,
		Attempts: []record.Attempt{
			{Number: 1, Target: "orders-2", Node: "n7", Candidates: candidates, Why: "it had the lower load of two",
				Verdict: attempt.VerdictRefused, Reason: attempt.ReasonOverload, DurationMS: r.Float64(), Next: "it never started"},
			{Number: 2, Target: "orders-1", Node: "n8", Why: "it is another target", Verdict: attempt.VerdictRan, Status: 200,
				DurationMS: r.Float64() * 100}}}}
}

func BenchmarkExporter(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			bytes := 0
			for b.Loop() {
				queue, log := NewExportQueue(ExportOptions{noInterval: true}), &faultyLog{}
				for i := range n {
					queue.Add(retriedRecord(r, i))
				}
				bytes = 0
				for _, waiting := queue.Due(); waiting; _, waiting = queue.Due() {
					bytes += appendDueBatch(queue, log, testStart, 0)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
			b.ReportMetric(float64(bytes)/float64(n), "bytes/record")
		})
	}
}
