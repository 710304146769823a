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

// upToDateNodes returns the Versions function of a Publisher for one node in each
// domain, all of which follow the log without delay.
func upToDateNodes(log eventlog.Log, domains ...string) func(context.Context) ([]NodeVersion, error) {
	return func(ctx context.Context) ([]NodeVersion, error) {
		s, err := Load(ctx, log)
		var out []NodeVersion
		for i, domain := range domains {
			n := NodeVersion{Node: fmt.Sprint(i), Domain: domain, Err: err}
			if err == nil {
				n.Version = s.Version()
			}
			out = append(out, n)
		}
		return out, nil
	}
}

// decodedHeaderChange returns the change of encodedHeaderChange.
func decodedHeaderChange(id string, base int64) Change {
	c, findings := DecodeChange("test", encodedHeaderChange(id, base))
	if len(findings) > 0 {
		panic(findings)
	}
	return c
}

// publish publishes a change as an operator does who has not read the log yet.
func publish(t *testing.T, p *Publisher, c Change, timeout time.Duration) (Acceptance, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Publish(ctx, NewState(), c)
}

// Guards against a change that is reported as failed although it was applied, and
// against one that is not appended again although its first append had no effect.
func TestPublishAfterLostAppendResponses(t *testing.T) {
	cases := []struct {
		name    string
		faults  logservice.Faults
		once    bool
		appends int
		err     error
	}{
		{"response lost", logservice.Faults{LoseAppends: 1}, false, 1, nil},
		{"no effect, no response", logservice.Faults{RefuseAppends: 2}, false, 3, nil},
		{"no effect, retry off", logservice.Faults{RefuseAppends: 2}, true, 1, ErrOutcomeUnknown},
		{"delivered twice", logservice.Faults{DuplicateReads: true}, false, 1, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Options{})
				log.SetFaults(c.faults)
				p := &Publisher{Log: log, Versions: upToDateNodes(log, "x", "y"), appendOnce: c.once}
				a, err := publish(t, p, decodedHeaderChange("1", 0), time.Minute)
				if !errors.Is(err, c.err) || a.Appends != c.appends || a.Accepted != (c.err == nil) {
					t.Fatalf("got %+v, %v", a, err)
				}
			})
		})
	}
}

// Guards against publishing an accepted change again that fails, since no object
// differs once it is in force, or that appends a second record.
func TestPublishAcceptedChangeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{})
		p := &Publisher{Log: log, Versions: upToDateNodes(log, "x", "y")}
		if _, err := publish(t, p, decodedHeaderChange("1", 0), time.Minute); err != nil {
			t.Fatal(err)
		}
		s, err := Load(t.Context(), log)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		a, err := p.Publish(ctx, s, Change{ChangeID: "1", Author: "ana"})
		if err != nil || !a.Accepted || a.Appends != 0 || a.Result.Offset != 1 {
			t.Errorf("published again: got %+v, %v", a, err)
		}
		if _, err := p.Publish(ctx, s, Change{ChangeID: "2", Author: "ana"}); err == nil {
			t.Error("a new change without edits is accepted")
		}
	})
}

// Guards against giving up, or appending twice, when the log is down for hours,
// and against ErrOutcomeUnknown when nothing was appended.
func TestPublishWaitsForTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{})
		log.SetFaults(logservice.Faults{Outage: true})
		p := &Publisher{Log: log, Versions: upToDateNodes(log, "x", "y"), PollInterval: time.Minute}
		if _, err := publish(t, p, decodedHeaderChange("1", 0), time.Hour); err == nil || errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("got %v, want an error that says that nothing was appended", err)
		}
		time.AfterFunc(3*time.Hour, func() { log.SetFaults(logservice.Faults{DelayMS: 2000}) })
		if a, err := publish(t, p, decodedHeaderChange("1", 0), 4*time.Hour); err != nil || a.Appends != 1 {
			t.Fatalf("got %+v, %v", a, err)
		}
	})
}

// Guards against accepting a change that is known in one failure domain only, and
// would be lost with it.
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

// Guards against reporting to two operators that both changes are in force,
// and against a rejection without the differences, under faults of the log.
func TestConcurrentPublishers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := logservice.Faults{
			LoseAppends:    rapid.IntRange(0, 3).Draw(rt, "lose"),
			RefuseAppends:  rapid.IntRange(0, 3).Draw(rt, "refuse"),
			DelayMS:        rapid.Int64Range(0, 900).Draw(rt, "delay"),
			DuplicateReads: rapid.Bool().Draw(rt, "duplicate"),
		}
		delay := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "offset")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			log := logservice.New(logservice.Options{})
			log.SetFaults(faults)
			p := &Publisher{Log: log, Versions: upToDateNodes(log, "x", "y")}
			errs := make(chan error, 2)
			for i := range 2 {
				go func() {
					time.Sleep(time.Duration(i) * delay)
					_, err := publish(t, p, decodedHeaderChange(fmt.Sprint("operator", i), 0), time.Hour)
					errs <- err
				}()
			}
			rejected, applied := 0, 0
			for range 2 {
				err := <-errs
				var rejectedErr *RejectedError
				switch {
				case err == nil:
					applied++
				case errors.As(err, &rejectedErr) && len(rejectedErr.Differences) == 1:
					rejected++
				default:
					t.Fatal(err)
				}
			}
			if applied != 1 || rejected != 1 {
				t.Fatalf("%d applied, %d rejected", applied, rejected)
			}
		})
	})
}

// Guards against a node or operator that stops reading the log, or skips changes,
// when the records after its offset are trimmed.
func TestAdvancePastTrimmedRecords(t *testing.T) {
	log := logservice.New(logservice.Options{})
	ctx := context.Background()
	behind, follower := NewState(), NewState()
	for i := range int64(6) {
		if _, err := log.Append(ctx, eventlog.StreamConfig, encodedHeaderChange(fmt.Sprint(i), i)); err != nil {
			t.Fatal(err)
		}
		if err := follower.Advance(ctx, log, nil); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := behind.Advance(ctx, log, nil); err != nil {
				t.Fatal(err)
			}
		}
		if i == 4 {
			snapshot, _ := follower.Snapshot()
			for range 2 { // two nodes write the same snapshot
				if _, err := log.Append(ctx, eventlog.StreamSnapshots, snapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	log.Trim(eventlog.StreamConfig, 5)
	if err := behind.Advance(ctx, log, nil); err != nil || behind.Version() != 6 {
		t.Fatalf("version %d, %v", behind.Version(), err)
	}
	if loaded, err := Load(ctx, log); err != nil || loaded.Version() != 6 {
		t.Fatalf("load: %v", err)
	}
}
