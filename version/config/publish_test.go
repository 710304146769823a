package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
)

// nodesOf answers for nodes that follow the log without delay.
func nodesOf(log eventlog.Log, domains ...string) func(context.Context) ([]NodeVersion, error) {
	return func(ctx context.Context) ([]NodeVersion, error) {
		f, err := Load(ctx, log)
		var out []NodeVersion
		for i, domain := range domains {
			n := NodeVersion{Node: fmt.Sprint(i), Domain: domain, Err: err}
			if err == nil {
				n.Version = f.Version()
			}
			out = append(out, n)
		}
		return out, nil
	}
}

func header(id string, base int64) Change {
	c, findings := DecodeChange("test", headerChange(id, base))
	if len(findings) > 0 {
		panic(findings)
	}
	return c
}

func publish(t *testing.T, p *Publisher, c Change, limit time.Duration) (Acceptance, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.Publish(ctx, NewState(), c)
}

// Guards against a change that is reported as failed although it took effect,
// or is given up although it had none.
func TestPublishSurvivesLostAppendAnswers(t *testing.T) {
	cases := []struct {
		name    string
		faults  logservice.Faults
		once    bool
		appends int
		err     error
	}{
		{"answer lost", logservice.Faults{LoseAppends: 1}, false, 1, nil},
		{"no effect, no answer", logservice.Faults{RefuseAppends: 2}, false, 3, nil},
		{"no effect, repetition off", logservice.Faults{RefuseAppends: 2}, true, 1, ErrOutcomeUnknown},
		{"delivered twice", logservice.Faults{DuplicateReads: true}, false, 1, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Options{})
				log.SetFaults(c.faults)
				p := &Publisher{Log: log, Versions: nodesOf(log, "x", "y"), appendOnce: c.once}
				a, err := publish(t, p, header("1", 0), time.Minute)
				if !errors.Is(err, c.err) || a.Appends != c.appends || a.Accepted != (c.err == nil) {
					t.Fatalf("got %+v, %v", a, err)
				}
			})
		})
	}
}

// Guards against a repeated publish of an accepted change that is refused, since
// nothing differs any more, or that appends a second record.
func TestPublishAcceptedChangeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{})
		p := &Publisher{Log: log, Versions: nodesOf(log, "x", "y")}
		if _, err := publish(t, p, header("1", 0), time.Minute); err != nil {
			t.Fatal(err)
		}
		f, err := Load(t.Context(), log)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		a, err := p.Publish(ctx, f, Change{ChangeID: "1", Author: "ana"})
		if err != nil || !a.Accepted || a.Appends != 0 || a.Result.Offset != 1 {
			t.Errorf("repetition: got %+v, %v", a, err)
		}
		if _, err := p.Publish(ctx, f, Change{ChangeID: "2", Author: "ana"}); err == nil {
			t.Error("a new change without edits is accepted")
		}
	})
}

// Guards against giving up, or publishing twice, when the log is down for hours.
func TestPublishWaitsForTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{})
		log.SetFaults(logservice.Faults{Outage: true})
		p := &Publisher{Log: log, Versions: nodesOf(log, "x", "y"), PollInterval: time.Minute}
		if _, err := publish(t, p, header("1", 0), time.Hour); err == nil || errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("got %v, want an error that says that nothing was appended", err)
		}
		time.AfterFunc(3*time.Hour, func() { log.SetFaults(logservice.Faults{DelayMS: 2000}) })
		if a, err := publish(t, p, header("1", 0), 4*time.Hour); err != nil || a.Appends != 1 {
			t.Fatalf("got %+v, %v", a, err)
		}
	})
}

// Guards against calling a change accepted that one failure domain could lose.
func TestPublishNeedsTwoDomains(t *testing.T) {
	cases := []struct {
		nodes    []NodeVersion
		accepted bool
	}{
		{nil, false},
		{[]NodeVersion{{Domain: "x", Version: 5}}, true},
		{[]NodeVersion{{Domain: "x", Version: 5}, {Domain: "x", Version: 4}}, false},
		{[]NodeVersion{{Domain: "x", Version: 5}, {Domain: "x", Version: 6}}, true},
		{[]NodeVersion{{Domain: "x", Version: 5}, {Domain: "x", Version: 5}, {Domain: "y", Version: 4}}, false},
		{[]NodeVersion{{Domain: "x", Version: 5}, {Domain: "y", Version: 5, Err: errors.New("silent")}}, false},
		{[]NodeVersion{{Domain: "x", Version: 5}, {Domain: "y", Version: 5}, {Domain: "z"}}, true},
	}
	for i, c := range cases {
		if got := isAccepted(c.nodes, 5); got != c.accepted {
			t.Errorf("case %d: got %v, want %v", i, got, c.accepted)
		}
	}
}

// Guards against two operators who are both told that their change is in force,
// and against a lost race without a difference to look at, under faults of the
// log.
func TestTwoOperatorsAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := logservice.Faults{
			LoseAppends:    rapid.IntRange(0, 3).Draw(rt, "lose"),
			RefuseAppends:  rapid.IntRange(0, 3).Draw(rt, "refuse"),
			DelayMS:        rapid.Int64Range(0, 900).Draw(rt, "delay"),
			DuplicateReads: rapid.Bool().Draw(rt, "duplicate"),
		}
		offset := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "offset")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			log := logservice.New(logservice.Options{})
			log.SetFaults(faults)
			p := &Publisher{Log: log, Versions: nodesOf(log, "x", "y")}
			errs := make(chan error, 2)
			for i := range 2 {
				go func() {
					time.Sleep(time.Duration(i) * offset)
					_, err := publish(t, p, header(fmt.Sprint("operator", i), 0), time.Hour)
					errs <- err
				}()
			}
			lost, won := 0, 0
			for range 2 {
				err := <-errs
				var l *RejectedError
				switch {
				case err == nil:
					won++
				case errors.As(err, &l) && len(l.Differences) == 1:
					lost++
				default:
					t.Fatal(err)
				}
			}
			if won != 1 || lost != 1 {
				t.Fatalf("%d won, %d lost", won, lost)
			}
		})
	})
}

// Guards against a node or operator that stops forever, or skips changes, when
// the records after its offset are trimmed.
func TestAdvancePastTrimmedRecords(t *testing.T) {
	log := logservice.New(logservice.Options{})
	ctx := context.Background()
	asleep, awake := NewState(), NewState()
	for i := range int64(6) {
		if _, err := log.Append(ctx, eventlog.StreamConfig, headerChange(fmt.Sprint(i), i)); err != nil {
			t.Fatal(err)
		}
		if err := awake.Advance(ctx, log, nil); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := asleep.Advance(ctx, log, nil); err != nil {
				t.Fatal(err)
			}
		}
		if i == 4 {
			snapshot, _ := awake.Snapshot()
			for range 2 { // two nodes write the same snapshot
				if _, err := log.Append(ctx, eventlog.StreamSnapshots, snapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	log.Trim(eventlog.StreamConfig, 5)
	if err := asleep.Advance(ctx, log, nil); err != nil || asleep.Version() != 6 {
		t.Fatalf("version %d, %v", asleep.Version(), err)
	}
	if f, err := Load(ctx, log); err != nil || f.Version() != 6 {
		t.Fatalf("load: %v", err)
	}
}
