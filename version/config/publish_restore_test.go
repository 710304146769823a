package config

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
)

// restoredLog returns a log that lost the second of two changes, and its state before.
func restoredLog(t *testing.T) (*logservice.Service, *State) {
	t.Helper()
	log, before := logservice.New(logservice.Options{}), NewState()
	appendChange(t, log, encodedHeaderChange("1", 0))
	log.Checkpoint()
	appendChange(t, log, encodedHeaderChange("2", 1))
	if err := before.Advance(context.Background(), log, nil); err != nil {
		t.Fatal(err)
	}
	log.Restore()
	return log, before
}

func appendChange(t *testing.T, log eventlog.Log, data []byte) {
	t.Helper()
	if _, err := log.Append(context.Background(), eventlog.StreamConfig, data); err != nil {
		t.Fatal(err)
	}
}

func nodesAt(version int64) []NodeVersion {
	return []NodeVersion{{Node: "n1", Domain: "x", Version: version}, {Node: "n2", Domain: "y", Version: version}}
}

// Guards against a new change that takes the place of an accepted one, which the log
// lost and the nodes have not written again yet.
func TestPublishWaitsForNodesOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := restoredLog(t)
		p := &Publisher{Log: log, Versions: func(context.Context) ([]NodeVersion, error) { return nodesAt(2), nil }}
		_, err := publish(t, p, decodedHeaderChange("3", 1), 10*time.Second)
		var earlier *EarlierEraError
		if !errors.As(err, &earlier) || earlier.Era != 1 || len(earlier.Nodes) != 2 || errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("got %v, want the nodes of an earlier era", err)
		}
		time.AfterFunc(3*time.Second, func() { appendChange(t, log, encodedHeaderChange("2", 1)) })
		startedAt := time.Now()
		upToDate := upToDateNodes(log, "x", "y")
		p.Versions = func(ctx context.Context) ([]NodeVersion, error) {
			if time.Since(startedAt) < 4*time.Second {
				return nodesAt(2), nil
			}
			return upToDate(ctx)
		}
		var rejected *RejectedError
		if _, err := publish(t, p, decodedHeaderChange("3", 1), 10*time.Second); !errors.As(err, &rejected) {
			t.Fatalf("got %v, want a change rejected by the one written again", err)
		}
	})
}

// Guards against a change that is reported as accepted after the log lost it, because
// its author has read the log before, or because nodes follow the restored log.
func TestPublishReportsChangeOfAnEarlierEraAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, before := restoredLog(t)
		p := &Publisher{Log: log, Versions: upToDateNodes(log, "x", "y")}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if a, err := p.Publish(ctx, before, decodedHeaderChange("2", 1)); !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, eventlog.ErrRestored) {
			t.Errorf("lost before the publisher reads: %+v, %v", a, err)
		}
		if a, err := p.Publish(ctx, before, decodedHeaderChange("4", 2)); errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, eventlog.ErrRestored) || a.Appends > 0 {
			t.Errorf("not appended yet: %+v, %v", a, err)
		}
		log = logservice.New(logservice.Options{})
		p = &Publisher{Log: log, Versions: func(context.Context) ([]NodeVersion, error) {
			return nodesAt(VersionAt(eventlog.Position{Era: 1, Offset: 1})), nil
		}}
		if a, err := publish(t, p, decodedHeaderChange("1", 0), 10*time.Second); !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, eventlog.ErrRestored) {
			t.Errorf("lost while waiting for nodes: %+v, %v", a, err)
		}
	})
}

// Guards against a rollback to a version that stands for another change since the log
// was restored.
func TestRollbackToVersionOfAnEarlierEra(t *testing.T) {
	log, _ := restoredLog(t)
	appendChange(t, log, encodedHeaderChange("3", 1))
	s, err := Load(context.Background(), log)
	if err != nil {
		t.Fatal(err)
	}
	if c, err := s.Rollback(1, "4", "ana"); err == nil {
		t.Errorf("rollback to version 1 of era 0 in era 1: %+v", c)
	}
	if _, err := s.Rollback(s.History()[0].Offset, "4", "ana"); err != nil {
		t.Errorf("rollback to version %d: %v", s.History()[0].Offset, err)
	}
}
