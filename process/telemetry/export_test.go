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

// A fixed seed gives each run the same verdict; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func refusal(i int) record.Record {
	return record.Record{At: testStart, Kind: record.KindRequest, Request: &record.Request{
		ID: attempt.RequestID(fmt.Sprint("r", i)), Outcome: attempt.NotRun, Reason: attempt.ReasonOverload}}
}

func change(i int) record.Record {
	return record.Record{At: testStart, Kind: record.KindEjection, Change: &record.Change{
		Subject: fmt.Sprint("t", i), To: "ejected", Why: "9 of 10 answers failed"}}
}

func success() record.Record {
	return record.Record{At: testStart, Kind: record.KindRequest, Request: &record.Request{
		ID: "ok", Outcome: attempt.Answered, Status: 200, Attempts: []record.Attempt{{Number: 1, Target: "t"}}}}
}

// outage is a log whose appends fail with and without taking effect, or are
// refused as invalid (mode 3).
type outage struct {
	batches [][]byte
	took    bool // the current batch took effect without an answer
}

func (l *outage) append(data []byte, mode int) error {
	switch mode {
	case 0: // confirmed
		l.batches = append(l.batches, data)
		return nil
	case 1: // took effect, answer lost
		l.batches = append(l.batches, data)
		l.took = true
	}
	return eventlog.ErrUnavailable
}

func (l *outage) collect(t interface{ Fatal(...any) }) *record.Collector {
	c := record.NewCollector()
	for _, data := range l.batches {
		b, err := record.DecodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range b.Records {
			c.Add(r)
		}
	}
	return c
}

// send appends what is due and returns the size of the data.
func send(e *ExportQueue, l *outage, now time.Time, mode int) int {
	batch, ok := e.Next(now)
	if !ok {
		return 0
	}
	data := batch.Encode()
	// A log does not refuse a batch as invalid that it took before.
	if mode == 3 && !l.took {
		e.Reject()
		return 0
	}
	err := l.append(data, mode)
	l.took = l.took && err != nil
	e.Done(len(data), err)
	return len(data)
}

// count returns distinct records and the sum of gap counts.
func count(c *record.Collector) (records, missing int64) {
	for _, r := range c.Records() {
		if r.Kind == record.KindGap {
			missing += r.Count
		} else {
			records++
		}
	}
	return records, missing
}

// runOutage drives an export through drawn outages and lost answers, then lets
// it drain.
func runOutage(t *rapid.T, o ExportOptions) (*ExportQueue, *outage) {
	e, l := NewExportQueue(o), &outage{}
	now := testStart
	step := func(mode int) {
		now = now.Add(o.Interval)
		send(e, l, now, mode)
	}
	for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
		for j := range rapid.IntRange(0, 40).Draw(t, "adds") {
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				e.Add(change(i*100 + j))
			} else {
				e.Add(refusal(i*100 + j))
			}
		}
		step(rapid.IntRange(0, 3).Draw(t, "mode"))
	}
	for _, waiting := e.Due(); waiting; _, waiting = e.Due() {
		step(0)
	}
	return e, l
}

// Guards against records that vanish in a log outage: delivered records plus
// gaps equal the records made, whatever was repeated.
func TestExportDropsNothingSilently(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, l := runOutage(t, ExportOptions{Node: "n", Interval: time.Second, BatchBytes: 300, BufferBytes: 6000})
		s := e.Stats()
		c := l.collect(t)
		records, missing := count(c)
		if records+missing != s.Numbered || records != s.Delivered || missing != s.Dropped {
			t.Fatalf("log has %d records and gaps of %d; exporter says %+v", records, missing, s)
		}
		for _, g := range c.Gaps() {
			if !g.Recorded {
				t.Fatalf("hole without a gap record: %+v", g)
			}
		}
	})
}

// Proves that gap records are what accounts for dropped records.
func TestExportWithoutGapRecordsLosesRecords(t *testing.T) {
	for _, off := range []bool{false, true} {
		e, l := NewExportQueue(ExportOptions{BufferBytes: 1000, silentDrop: off}), &outage{}
		for i := range 50 {
			e.Add(refusal(i))
		}
		send(e, l, testStart, 0)
		records, missing := count(l.collect(t))
		if lost := e.Stats().Numbered - records - missing; (lost > 0) != off {
			t.Errorf("gap records off %v: %d records unaccounted for", off, lost)
		}
	}
}

// Guards against a buffer that grows in an outage, and against request records
// that leave no room for state changes. Without the reserve the changes are
// dropped.
func TestExportBufferIsBoundedAndKeepsRoomForChanges(t *testing.T) {
	const limit = 20_000
	for _, off := range []bool{false, true} {
		e := NewExportQueue(ExportOptions{BufferBytes: limit, noReserve: off})
		for i := range 5000 {
			e.Add(refusal(i))
		}
		dropped := e.Stats().Dropped
		for i := range 10 {
			e.Add(change(i))
		}
		s := e.Stats()
		if s.Bytes > limit+gapSize {
			t.Errorf("reserve off %v: %d bytes, bound %d", off, s.Bytes, limit)
		}
		if lost := s.Dropped - dropped; (lost > 0) != off {
			t.Errorf("reserve off %v: %d state changes dropped", off, lost)
		}
	}
}

// Guards against more appends than the log's budget allows, and proves that
// the budget is what holds them back.
func TestExportAppendBudget(t *testing.T) {
	for _, off := range []bool{false, true} {
		e := NewExportQueue(ExportOptions{noBudget: off})
		for ms := 0; ms < 100_000; ms += 100 {
			e.Add(refusal(ms))
			if _, ok := e.Next(testStart.Add(time.Duration(ms) * time.Millisecond)); ok {
				var err error
				if ms%300 == 0 {
					err = eventlog.ErrUnavailable
				}
				e.Done(100, err)
			}
		}
		if over := e.Stats().Appends > 25; over != off {
			t.Errorf("budget off %v: %d appends in 100 s, budget 25", off, e.Stats().Appends)
		}
	}
}

// Guards against losing refusals to sampling, or exporting every success.
func TestExportSamplesOnlyPlainSuccesses(t *testing.T) {
	e := NewExportQueue(ExportOptions{SampleEvery: 10})
	for i := range 100 {
		e.Add(success())
		e.Add(refusal(i))
	}
	if s := e.Stats(); s.Numbered != 110 || s.SampledOut != 90 {
		t.Fatalf("got %+v, want 100 refusals, 10 successes and 90 sampled out", s)
	}
	retried := success()
	retried.Request.Attempts = make([]record.Attempt, 2)
	e.Add(retried)
	if s := e.Stats(); s.Numbered != 111 {
		t.Fatal("a retried request was sampled out")
	}
}

// Guards against a record that fits no batch and blocks the others for ever.
func TestExportDropsRecordLargerThanBatch(t *testing.T) {
	e, l := NewExportQueue(ExportOptions{BatchBytes: 1000}), &outage{}
	big := refusal(0)
	big.Request.Detail = strings.Repeat("x", 2000)
	e.Add(big)
	e.Add(refusal(1))
	send(e, l, testStart, 0)
	if records, missing := count(l.collect(t)); records != 1 || missing != 1 {
		t.Fatalf("got %d records and gaps of %d, want 1 and 1", records, missing)
	}
}

// Guards against one batch that the log refuses as invalid and that holds up
// all later records. Without Reject it does.
func TestExportGoesOnAfterInvalidBatch(t *testing.T) {
	for _, reject := range []bool{true, false} {
		e, l := NewExportQueue(ExportOptions{noBudget: true}), &outage{}
		e.Add(refusal(0))
		for range 4 {
			batch, ok := e.Next(testStart)
			refused := ok && strings.Contains(string(batch.Records[0]), `"r0"`) // the log refuses any batch with this record
			data := batch.Encode()
			switch {
			case refused && reject:
				e.Reject()
			case refused:
				e.Done(len(data), eventlog.ErrInvalid)
			case ok:
				e.Done(len(data), l.append(data, 0))
			}
			if e.Stats().Numbered == 1 {
				e.Add(refusal(1))
			}
		}
		records, missing := count(l.collect(t))
		if passed := records == 1 && missing == 1; passed != reject {
			t.Errorf("reject %v: %d records and gaps of %d in the log", reject, records, missing)
		}
	}
}

// memoryLog is a eventlog.Log that can be down.
type memoryLog struct {
	down atomic.Bool
	outage
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

// Guards against a runner that loses the records of an outage or of its own
// end.
func TestExporterServeDeliversAfterOutageAndAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		l.down.Store(true)
		x := NewExporter(ExportOptions{Node: "n"}, record.NewRing(record.RingOptions{}), l, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- x.Serve(ctx) }()
		x.Record(refusal(1))
		time.Sleep(time.Minute)
		synctest.Wait()
		l.down.Store(false)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if s := x.Stats(); s.Delivered != 1 {
			t.Fatalf("after the outage: %+v", s)
		}
		x.Record(refusal(2))
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		if s := x.Stats(); s.Delivered != 2 {
			t.Fatalf("after the stop: %+v", s)
		}
	})
}

// Guards against batches far beyond their bound when records compress worse
// than those before, and against batches that use little of it.
func TestExportBatchSizeFollowsCompression(t *testing.T) {
	const bound = 12 << 10
	r := rand.New(rand.NewPCG(1, 2))
	e, l := NewExportQueue(ExportOptions{BatchBytes: bound, BufferBytes: 64 << 20}), &outage{}
	for i := range 20_000 {
		if i < 10_000 {
			e.Add(refusal(i))
		} else { // compresses worse
			e.Add(typical(r, i))
		}
	}
	now, largest, full := testStart, 0, 0
	for _, waiting := e.Due(); waiting; _, waiting = e.Due() {
		now = now.Add(time.Minute)
		size := send(e, l, now, 0)
		largest = max(largest, size)
		if size > bound/2 {
			full++
		}
	}
	t.Logf("%d batches, largest %d bytes, %d more than half full, %d records", len(l.batches), largest, full, e.Stats().Delivered)
	if largest > 3*bound || full < len(l.batches)*3/4 {
		t.Errorf("largest batch %d bytes, bound %d; %d of %d more than half full", largest, bound, full, len(l.batches))
	}
}

// typical is a retried request with three candidates and identities as random
// as real ones, since they decide how well a batch compresses.
func typical(r *rand.Rand, i int) record.Record {
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
				e, l := NewExportQueue(ExportOptions{noBudget: true}), &outage{}
				for i := range n {
					e.Add(typical(r, i))
				}
				bytes = 0
				for _, waiting := e.Due(); waiting; _, waiting = e.Due() {
					bytes += send(e, l, testStart, 0)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
			b.ReportMetric(float64(bytes)/float64(n), "bytes/record")
		})
	}
}
